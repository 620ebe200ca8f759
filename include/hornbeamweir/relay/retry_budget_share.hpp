#pragma once

#include <hornbeamweir/core/time.hpp>

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

/// \brief This entry's share of the retry budget of a service, computed without
/// communication between entries.
/// \remarks Sans-I/O. Counts in a sliding window. The ratio applies to the
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

    /// \brief Charges a retry to the budget.
    /// \param entries Number of entries that share the budget.
    /// \returns False, without a charge, if the budget is exhausted.
    [[nodiscard]] bool try_consume(std::size_t entries, time_point now);

    [[nodiscard]] retry_usage usage(time_point now);

private:
    struct bucket
    {
        time_point start{};
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    [[nodiscard]] bucket& current(time_point now);

    retry_limits limits_;
    std::deque<bucket> buckets_;
};

} // namespace hornbeamweir
