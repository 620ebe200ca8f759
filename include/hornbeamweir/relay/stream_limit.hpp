#pragma once

#include <hornbeamweir/routes/engine_profile.hpp>

namespace hornbeamweir::relay
{

/// \brief Ratio of the duration of a forward pass to the sum of its token
/// steps, assumed until passes were measured.
/// \remarks Allows for prefill during the pass, and for the most loaded rank.
inline constexpr double initial_pass_overhead = 2.0;

/// \brief Computes the maximum number of concurrent streams at a rank for which
/// the gap between events of a stream stays within target_gap.
/// \remarks Without the limit, an overloaded lock-step group fills all slots:
/// each forward pass then takes longer than callers accept, every stream is
/// late, and the slower streams in turn hold their slots for longer.
/// \param target_gap Maximum gap between events; 0 for no limit.
/// \param pass_overhead Ratio of the duration of a pass to the sum of its token
/// steps.
/// \returns A limit from 1 to the slots of the engine.
[[nodiscard]] std::uint32_t stream_limit(
    engine_profile const& engine,
    duration target_gap,
    double pass_overhead = initial_pass_overhead) noexcept;

/// \brief Adapts the stream limit of a service to the passes of its group.
/// \remarks Demand for experts changes again and again, and passes are longest
/// until a map follows it. The limit is therefore set by the longest passes of
/// the last seconds: a stream that is open when demand changes is still on
/// time.
class stream_limiter
{
public:
    stream_limiter(engine_profile const& engine, duration target_gap) noexcept;

    /// \brief Whether the limiter was created for an engine and a target gap.
    [[nodiscard]] bool
    is_for(engine_profile const& engine, duration target_gap) const noexcept
    {
        return engine_ == engine && target_gap_ == target_gap;
    }

    /// \brief Records the time between two events of a stream, which is the
    /// duration of a pass.
    void on_gap(duration gap) noexcept;

    /// \param streams Mean number of open streams at a rank.
    void update(double streams, time_point now) noexcept;

    [[nodiscard]] bool is_due(time_point now) const noexcept;
    [[nodiscard]] std::uint32_t limit() const noexcept { return limit_; }
    [[nodiscard]] double pass_overhead() const noexcept { return overhead_; }

private:
    engine_profile engine_;
    duration target_gap_;
    double overhead_ = initial_pass_overhead;
    std::uint32_t limit_;
    std::uint32_t gaps_ = 0;
    duration gap_sum_{};
    time_point window_began_at_{};
};

} // namespace hornbeamweir::relay
