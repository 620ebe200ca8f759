#pragma once

#include <hornbeamweir/core/time.hpp>

#include <algorithm>
#include <cstddef>

namespace hornbeamweir
{

/// \brief Bandwidth of an entry's heartbeats with agents and other entries, and
/// the number of exchanges with other entries.
struct heartbeat_budget
{
    static constexpr std::size_t small_fleet_bytes_per_second = 64'000;
    static constexpr std::size_t large_fleet_bytes_per_second = 16'000;
    /// Maximum number of entries of a small fleet.
    static constexpr std::size_t small_fleet_max_entries = 16;

    std::size_t bytes_per_second = small_fleet_bytes_per_second;
    /// Pings sent to and received from other entries in each interval; each is
    /// an exchange.
    std::size_t entry_exchanges = 0;

    [[nodiscard]] static constexpr heartbeat_budget
    for_fleet(std::size_t entries, std::size_t neighbours) noexcept
    {
        constexpr std::size_t directions = 2;
        return {
            entries <= small_fleet_max_entries ? small_fleet_bytes_per_second
                                               : large_fleet_bytes_per_second,
            neighbours * directions};
    }
};

/// \brief Heartbeat interval and time to suspicion for a number of agents.
/// \remarks The interval grows with the number of agents, so that the traffic
/// is constant between the two limits of the interval.
class heartbeat_schedule
{
public:
    static constexpr duration min_interval = std::chrono::milliseconds{500};
    static constexpr duration max_interval = std::chrono::seconds{4};
    /// Size of a ping and its pong on the network, including headers.
    static constexpr std::size_t exchange_bytes = 400;

    explicit constexpr heartbeat_schedule(
        std::size_t agents = 0, heartbeat_budget budget = {}) noexcept
        : interval_{std::clamp(
              duration{static_cast<duration::rep>(
                  (agents + budget.entry_exchanges) * exchange_bytes *
                  std::micro::den / budget.bytes_per_second)},
              min_interval,
              max_interval)}
    {
    }

    [[nodiscard]] constexpr duration interval() const noexcept
    {
        return interval_;
    }

    /// \brief Returns the time without a heartbeat reply after which an agent
    /// is suspect.
    /// \remarks Two missed heartbeats, plus the minimum interval as an
    /// allowance for the network.
    [[nodiscard]] constexpr duration suspect_after() const noexcept
    {
        constexpr int missed = 2;
        return interval_ * missed + min_interval;
    }

private:
    duration interval_;
};

} // namespace hornbeamweir
