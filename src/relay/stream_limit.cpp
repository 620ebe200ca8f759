#include <hornbeamweir/relay/stream_limit.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// What a pass may take longer than its token steps: prompts that are read
/// meanwhile, and the most loaded rank until a change of demand is met.
constexpr double pass_allowance = 2.0;

} // namespace

std::uint32_t
stream_limit(engine_profile const& engine, duration target_gap) noexcept
{
    if (target_gap <= duration::zero() ||
        engine.per_sequence <= duration::zero())
        return engine.slots;
    double const step = static_cast<double>(target_gap.count()) /
                        (pass_allowance * engine.stride);
    double const fits = (step - static_cast<double>(engine.step.count())) /
                        static_cast<double>(engine.per_sequence.count());
    double const limited =
        std::clamp(fits, 1.0, static_cast<double>(engine.slots));
    return static_cast<std::uint32_t>(limited);
}

} // namespace hornbeamweir::relay
