#include <hornbeamweir/relay/stream_limit.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// Ratio of the duration of a forward pass to the sum of its token steps.
/// Allows for prefill during the pass, and for the most loaded rank until the
/// load is rebalanced after a change of demand.
constexpr double pass_overhead_factor = 2.0;

} // namespace

std::uint32_t
stream_limit(engine_profile const& engine, duration target_gap) noexcept
{
    if (target_gap <= duration::zero() ||
        engine.per_sequence <= duration::zero())
        return engine.slots;
    double const max_step = static_cast<double>(target_gap.count()) /
                            (pass_overhead_factor * engine.stride);
    double const fitting_streams =
        (max_step - static_cast<double>(engine.step.count())) /
        static_cast<double>(engine.per_sequence.count());
    double const limited =
        std::clamp(fitting_streams, 1.0, static_cast<double>(engine.slots));
    return static_cast<std::uint32_t>(limited);
}

} // namespace hornbeamweir::relay
