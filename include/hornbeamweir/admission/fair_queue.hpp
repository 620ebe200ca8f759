#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace hornbeamweir
{

/// \brief A request that waits in a fair_queue.
struct queued_request
{
    request_id id;
    customer_id customer;
    std::uint32_t weight = 1;
    /// 0 is the most urgent.
    std::uint32_t priority = 1;
    time_point deadline{};
    /// Time from which the request can't be on time any more. It then goes
    /// behind the requests of its priority, with the next lower one.
    time_point late_after = time_point::max();

    [[nodiscard]] friend bool
    operator==(queued_request const&, queued_request const&) = default;
};

/// \brief Weighted fair queueing between customers, within each priority.
/// \remarks Start-time fair queueing: P. Goyal, H. M. Vin, H. Cheng,
/// "Start-time fair queueing", IEEE/ACM Transactions on Networking 5(5), 1997.
/// A request whose expected wait exceeds its deadline is rejected on arrival.
class fair_queue
{
public:
    explicit fair_queue(random_source random) noexcept;

    /// \brief Queues a request.
    /// \returns std::nullopt if the request was queued, or the time after which
    /// to retry if it was rejected.
    [[nodiscard]] std::optional<duration>
    push(queued_request item, time_point now);

    /// \brief Removes and returns the next request to serve.
    [[nodiscard]] std::optional<queued_request> pop(time_point now);

    /// \brief Moves the requests that have become late to the next lower
    /// priority.
    void demote_late(time_point now);

    /// \brief Tells that no request can be served at present; the time until
    /// the next departure does not count towards the time between departures.
    void on_blocked(time_point now) noexcept { last_departure_ = now; }

    /// \brief Removes a request that its caller has cancelled.
    /// \returns Whether the request was queued.
    bool erase(request_id const& id);

    /// \brief Removes and returns the requests that can no longer be served
    /// before their deadline.
    [[nodiscard]] std::vector<queued_request> expire(time_point now);

    /// \brief Returns a random time after which to retry.
    /// \remarks Times are spread over the time that the backlog takes to drain,
    /// so that retries don't arrive together.
    [[nodiscard]] duration retry_after();

    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    struct tagged_request
    {
        queued_request item;
        /// Virtual time at which the request starts.
        double start_tag = 0;
    };

    /// The requests of one customer.
    struct flow
    {
        std::deque<tagged_request> items;
        /// Virtual time at which the last request of the flow finishes.
        double finish_tag = 0;
    };

    /// The flows of one priority.
    struct priority_level
    {
        std::map<customer_id, flow> flows;
        double virtual_time = 0;
        std::size_t size = 0;
    };

    void insert(queued_request item);
    [[nodiscard]] static queued_request pop_from(priority_level& level);
    static void remove_idle_flows(priority_level& level);
    /// Returns the estimated time until a new request would be served.
    [[nodiscard]] duration expected_wait(
        priority_level const& level, queued_request const& item) const;
    /// Returns the number of requests of the same priority that would be
    /// served before a new request.
    [[nodiscard]] std::size_t requests_ahead(
        priority_level const& level, queued_request const& item) const;

    random_source random_;
    std::map<std::uint32_t, priority_level> levels_;
    std::size_t size_ = 0;
    /// Exponential moving average of the time between two departures, taken
    /// only while requests are waiting.
    double departure_interval_us_ = 0;
    time_point last_departure_{};
};

} // namespace hornbeamweir
