#include <hornbeamweir/relay/stream_limit.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamweir::relay
{

namespace
{

constexpr duration window = std::chrono::milliseconds{250};
/// Windows with fewer gaps are not representative.
constexpr std::uint32_t min_gaps = 10;
/// Gaps above this belong to a group that stands still, not to a slow pass.
constexpr duration max_gap = std::chrono::milliseconds{600};
/// Time in which a higher overhead of the past decays to 1/e of its excess
/// over the measured one.
constexpr double decay_time_s = 12;
/// Part of a rise that one window brings: a single long pass, such as the first
/// after an outage, which reads many prompts, says little about the next ones.
constexpr double rise = 0.4;
/// Fraction of the target gap that a mean pass may take; passes differ by the
/// prompts that they read.
constexpr double mean_gap_fraction = 0.93;
/// Bounds of the overhead: with less, the slots limit the streams; with more,
/// a rank is slow, and fewer streams hardly make its passes shorter.
constexpr double min_overhead = 1.5;
constexpr double max_overhead = 2.5;

} // namespace

std::uint32_t stream_limit(
    engine_profile const& engine,
    duration target_gap,
    double pass_overhead) noexcept
{
    if (target_gap <= duration::zero() ||
        engine.per_sequence <= duration::zero())
        return engine.slots;
    double const max_step = static_cast<double>(target_gap.count()) /
                            (pass_overhead * engine.stride);
    double const fitting_streams =
        (max_step - static_cast<double>(engine.step.count())) /
        static_cast<double>(engine.per_sequence.count());
    double const limited =
        std::clamp(fitting_streams, 1.0, static_cast<double>(engine.slots));
    return static_cast<std::uint32_t>(limited);
}

stream_limiter::stream_limiter(
    engine_profile const& engine, duration target_gap) noexcept
    : engine_{engine}
    , target_gap_{target_gap}
    , limit_{stream_limit(engine, target_gap)}
{
}

void stream_limiter::on_gap(duration gap) noexcept
{
    if (gap > max_gap)
        return;
    ++gaps_;
    gap_sum_ += gap;
}

bool stream_limiter::is_due(time_point now) const noexcept
{
    return now - window_began_at_ >= window;
}

void stream_limiter::update(double streams, time_point now) noexcept
{
    // Windows without streams tell nothing, and are not counted.
    double const elapsed_s = std::chrono::duration<double>(
                                 std::min(now - window_began_at_, 2 * window))
                                 .count();
    window_began_at_ = now;
    double const steps_us =
        engine_.stride *
        (static_cast<double>(engine_.step.count()) +
         streams * static_cast<double>(engine_.per_sequence.count()));
    if (gaps_ >= min_gaps && steps_us > 0)
    {
        double const gap_us = static_cast<double>(gap_sum_.count()) / gaps_;
        double const measured =
            std::clamp(gap_us / steps_us, min_overhead, max_overhead);
        double const kept = measured > overhead_
                                ? 1 - rise
                                : std::exp(-elapsed_s / decay_time_s);
        overhead_ = measured + (overhead_ - measured) * kept;
        limit_ =
            stream_limit(engine_, target_gap_, overhead_ / mean_gap_fraction);
    }
    gaps_ = 0;
    gap_sum_ = {};
}

} // namespace hornbeamweir::relay
