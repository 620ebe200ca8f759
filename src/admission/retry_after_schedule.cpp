#include <hornbeamweir/admission/retry_after_schedule.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

/// Maximum delay, since callers rarely wait longer. Retries that would exceed
/// it are all scheduled at the maximum.
constexpr duration max_delay = std::chrono::minutes{1};
/// Fraction of the admissions that retries may take; the rest is left to new
/// requests.
constexpr double retry_fraction = 0.9;
/// Keeps the interval from overflowing if the rate is close to zero.
constexpr double min_admissions_per_second = 0.01;

} // namespace

duration retry_after_schedule::reserve(
    duration min_delay, double admissions_per_second, time_point now) noexcept
{
    std::chrono::duration<double> const interval{
        1 /
        std::max(
            retry_fraction * admissions_per_second, min_admissions_per_second)};
    time_point const latest = now + max_delay;
    time_point const reserved =
        std::min(latest, std::max(now + min_delay, reserved_until_));
    reserved_until_ = std::min(
        latest, reserved + std::chrono::duration_cast<duration>(interval));
    return reserved - now;
}

} // namespace hornbeamweir
