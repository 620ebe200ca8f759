#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <deque>

namespace hornbeamweir
{

/// \brief What all entries together may repeat at a service.
struct retry_limits
{
    /// Repeats for each request of a window.
    double ratio = 0.2;
    duration window = std::chrono::seconds{10};
    /// Repeats in a window besides.
    double allowance = 10;

    [[nodiscard]] friend bool
    operator==(retry_limits const&, retry_limits const&) = default;
};

/// \brief This entry's part of a service's retry budget, without any exchange.
/// \remarks Sans-I/O. Counts in a sliding window. The ratio applies to the
/// entry's own requests; the allowance is divided by the number of entries, of
/// which each may be restarted once in a window.
class retry_budget_share
{
public:
    explicit retry_budget_share(retry_limits const& limits) noexcept
        : limits_{limits}
    {
    }

    void on_request(time_point now);

    /// \brief Pays for a repeat, if the budget allows it.
    /// \param entries Number of entries that share the service.
    [[nodiscard]] bool take(std::size_t entries, time_point now);

private:
    struct bucket
    {
        time_point start{};
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    [[nodiscard]] bucket& current(time_point now);

    retry_limits limits_;
    std::deque<bucket> buckets_;
};

} // namespace hornbeamweir
