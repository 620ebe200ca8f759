#pragma once

#include <hornbeamweir/admission/dispatch_limit.hpp>
#include <hornbeamweir/admission/fair_queue.hpp>

#include <set>

namespace hornbeamweir
{

/// \brief Limits the open requests for one model or service to the capacity of
/// its backend servers, and queues or rejects the others.
class overload_gate
{
public:
    explicit overload_gate(random_source random) noexcept;

    enum class decision
    {
        /// The request may be sent at once.
        dispatch,
        /// The request is queued until dispatch_next() returns it.
        queue,
        /// The request is rejected: it would wait past its deadline.
        reject
    };

    struct result
    {
        decision outcome = decision::dispatch;
        /// Time after which a rejected caller should retry.
        duration retry_after{};
    };

    /// \brief Dispatches, queues or rejects a new request.
    [[nodiscard]] result submit(queued_request const& item, time_point now);

    /// \brief Removes a request that has ended or was cancelled while queued.
    /// \param succeeded Whether the request has succeeded.
    void release(request_id const& id, bool succeeded) noexcept;

    /// \brief Takes as many requests from the queue as the limit allows.
    /// \returns The requests to send now; they count as open.
    [[nodiscard]] std::vector<request_id> dispatch_next(time_point now);

    /// \brief Removes and returns the queued requests that can no longer be
    /// served before their deadline.
    [[nodiscard]] std::vector<queued_request> expire(time_point now)
    {
        return queue_.expire(now);
    }

    /// \brief Processes the load that the backend servers reported.
    /// \param queued Total number of requests queued at the backend servers.
    /// \param in_flight Total number of requests there, queued ones included.
    void on_report(
        std::size_t queued, std::size_t in_flight, time_point now) noexcept
    {
        limit_.on_report(queued, in_flight, now);
    }

    /// \brief Returns a random time after which a rejected caller should retry.
    [[nodiscard]] duration retry_after() { return queue_.retry_after(); }
    /// \brief Number of queued requests.
    [[nodiscard]] std::size_t queued() const noexcept { return queue_.size(); }
    /// \brief Number of requests that were sent and have not ended.
    [[nodiscard]] std::size_t open_count() const noexcept
    {
        return open_.size();
    }
    /// \brief Current limit on open_count().
    [[nodiscard]] double limit() const noexcept { return limit_.limit(); }

private:
    dispatch_limit limit_;
    fair_queue queue_;
    /// Requests that were sent and have not ended.
    std::set<request_id> open_;
};

} // namespace hornbeamweir
