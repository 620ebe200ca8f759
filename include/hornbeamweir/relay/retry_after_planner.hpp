#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>

namespace hornbeamweir::relay
{

/// \brief Why a request is rejected.
enum class rejection_reason
{
    /// Another entry can serve the request now.
    try_another_entry,
    /// All replicas are full.
    overload,
    /// No replica is usable.
    outage
};

/// \brief Chooses the Retry-After of rejected requests.
/// \remarks Many callers may be rejected at the same moment, so the delays are
/// spread evenly to avoid a burst of retries. No delay exceeds a third of the
/// caller's remaining time, so that enough is left to serve the retry.
class retry_after_planner
{
public:
    explicit retry_after_planner(random_source random) noexcept
        : random_{random}
    {
    }

    /// \param time_left Time to the deadline of the request.
    /// \returns The delay; at least zero.
    [[nodiscard]] duration plan(rejection_reason reason, duration time_left);

    /// \brief Delay of a request that can't be served for a known time.
    /// \returns At least that time, also if the caller can't wait for so long.
    [[nodiscard]] duration plan_after(duration unavailable);

private:
    random_source random_;
};

} // namespace hornbeamweir::relay
