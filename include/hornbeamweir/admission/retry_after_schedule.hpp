#pragma once

#include <hornbeamweir/core/time.hpp>

namespace hornbeamweir
{

/// \brief Assigns each rejected caller its own time to retry.
/// \remarks When many callers are rejected at once, their retries are scheduled
/// at the rate at which the limit admits requests, so that each retry is likely
/// to be admitted.
class retry_after_schedule
{
public:
    /// \brief Reserves a time for one retry.
    /// \param min_delay Minimum time to wait.
    /// \param admissions_per_second Rate at which requests are
    /// admitted.
    /// \returns Time to wait from now, at most a minute.
    [[nodiscard]] duration reserve(
        duration min_delay,
        double admissions_per_second,
        time_point now) noexcept;

private:
    time_point reserved_until_{};
};

} // namespace hornbeamweir
