#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace hornbeamweir
{

/// \brief Retry budget of a service, shared by all entries.
struct retry_limits
{
    /// Retries allowed per request within the window.
    double ratio = 0.2;
    duration window = std::chrono::seconds{10};
    /// Retries allowed within the window in addition.
    double allowance = 10;

    [[nodiscard]] friend bool
    operator==(retry_limits const&, retry_limits const&) = default;
};

/// \brief Requests and retries of one entry within the window of its budget.
struct retry_usage
{
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
};

/// \brief This entry's share of the retry budget of a service.
/// \remarks Sans-I/O. The budget bounds the retries that arrive at replicas
/// within any window. A retry is reserved when the attempt before it has
/// failed, and its window begins when it is sent. The ratio applies to the
/// requests of this entry; the allowance is divided by the number of entries,
/// and halved because a restart of the process resets the count.
class retry_budget_share
{
public:
    explicit retry_budget_share(retry_limits const& limits) noexcept
        : limits_{limits}
    {
    }

    void on_request(time_point now);

    /// \brief Reserves a retry; on_sent or release must follow.
    /// \param entries Number of entries that share the budget.
    /// \returns False, without a reservation, if the budget is exhausted.
    [[nodiscard]] bool try_reserve(std::size_t entries, time_point now);
    /// \brief Charges a reserved retry that is sent now.
    void on_sent(time_point now);
    /// \brief Ends the reservation of a retry that is not sent.
    void release() noexcept { --reserved_; }
    /// \brief Takes back the charge of a retry that can't have arrived.
    void on_not_received(time_point sent_at);

    /// \returns The requests of the window, and the retries that are reserved
    /// or may arrive within it.
    [[nodiscard]] retry_usage usage(time_point now);

private:
    struct bucket
    {
        time_point start{};
        std::uint32_t requests = 0;
    };

    void expire(time_point now);

    retry_limits limits_;
    std::deque<bucket> requests_;
    std::deque<time_point> sent_;
    std::uint32_t reserved_ = 0;
};

} // namespace hornbeamweir
