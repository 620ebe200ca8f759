#pragma once

#include <chrono>
#include <cstdint>

namespace hornbeamweir
{

/// \brief Duration type of all interfaces, in microseconds.
using duration = std::chrono::microseconds;

/// \brief Clock whose time points are comparable only within one process.
/// \remarks State machines receive time points as arguments and never read a
/// clock.
struct process_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<process_clock>;
    static constexpr bool is_steady = true;

    /// \brief Reads the system's monotonic clock.
    [[nodiscard]] static time_point now() noexcept
    {
        return time_point{std::chrono::duration_cast<duration>(
            std::chrono::steady_clock::now().time_since_epoch())};
    }
};

using time_point = process_clock::time_point;

/// \brief Converts a time point to microseconds for transmission.
[[nodiscard]] inline constexpr std::uint64_t to_wire(time_point at) noexcept
{
    return static_cast<std::uint64_t>(at.time_since_epoch().count());
}

/// \brief Converts transmitted microseconds to a time point.
[[nodiscard]] inline constexpr time_point from_wire(std::uint64_t us) noexcept
{
    return time_point{duration{static_cast<duration::rep>(us)}};
}

} // namespace hornbeamweir
