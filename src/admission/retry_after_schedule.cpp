#include <hornbeamweir/admission/retry_after_schedule.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

/// Callers rarely wait longer; retries that would be later share this delay.
constexpr duration max_delay = std::chrono::minutes{1};
/// Fraction of the free slots that retries may take; new requests need the
/// rest.
constexpr double retry_fraction = 0.9;
/// Keeps the interval from overflowing if the limit is close to zero.
constexpr double min_slots_per_second = 0.01;

} // namespace

duration retry_after_schedule::reserve(
    duration min_delay, double slots_per_second, time_point now) noexcept
{
    std::chrono::duration<double> const interval{
        1 / std::max(retry_fraction * slots_per_second, min_slots_per_second)};
    time_point const latest = now + max_delay;
    time_point const reserved =
        std::min(latest, std::max(now + min_delay, reserved_until_));
    reserved_until_ = std::min(
        latest, reserved + std::chrono::duration_cast<duration>(interval));
    return reserved - now;
}

} // namespace hornbeamweir
