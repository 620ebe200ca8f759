#include <hornbeamweir/admission/return_schedule.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

/// Callers rarely wait for longer; those beyond share the last moment.
constexpr duration longest_wait = std::chrono::minutes{1};
/// Part of the places that returns may take; new requests come as well.
constexpr double returning_part = 0.9;
/// Keeps a limit of nearly nothing from overflowing the gap.
constexpr double least_per_second = 0.01;

} // namespace

duration return_schedule::book(
    duration earliest, double per_second, time_point now) noexcept
{
    std::chrono::duration<double> const gap{
        1 / std::max(returning_part * per_second, least_per_second)};
    time_point const latest = now + longest_wait;
    time_point const at =
        std::min(latest, std::max(now + earliest, booked_until_));
    booked_until_ =
        std::min(latest, at + std::chrono::duration_cast<duration>(gap));
    return at - now;
}

} // namespace hornbeamweir
