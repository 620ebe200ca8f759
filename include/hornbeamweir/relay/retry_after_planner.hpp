#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>

namespace hornbeamweir::relay
{

/// \brief Why a request is refused.
enum class rejection_reason
{
    /// Another entry can serve it now.
    try_another_entry,
    /// All replicas are full.
    overload,
    /// No replica is usable for the time being.
    outage
};

/// \brief Decides when a refused caller returns.
/// \remarks Answers the pattern of many callers that are refused in the same
/// moment: returns are spread evenly, so that they do not arrive together, and
/// none is asked to wait for more than a third of the time that it has left,
/// which would leave no time to serve it.
class retry_after_planner
{
public:
    explicit retry_after_planner(random_source random) noexcept
        : random_{random}
    {
    }

    /// \param time_left Time that the caller will still wait.
    [[nodiscard]] duration plan(rejection_reason reason, duration time_left);

private:
    random_source random_;
};

} // namespace hornbeamweir::relay
