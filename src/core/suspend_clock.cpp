#include <hornbeamweir/core/suspend_clock.hpp>

#include <ctime>

namespace hornbeamweir
{

time_point suspend_aware_now() noexcept
{
    timespec at{};
    ::clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::seconds{at.tv_sec} +
        std::chrono::nanoseconds{at.tv_nsec})};
}

} // namespace hornbeamweir
