#include <hornbeamweir/peers/report_schedule.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

constexpr duration min_report_interval = milliseconds{150};
/// Time in which a coordinator can process a report without news and still has
/// most of its processor time for other work.
constexpr duration time_per_report = std::chrono::microseconds{2400};
/// Time that a report may be delayed.
constexpr duration report_delay = milliseconds{50};
/// Interval at which reports include the experts, if they are the same.
constexpr duration experts_interval = milliseconds{1000};
/// Entries need only whether the rank makes progress, and its slowdown.
constexpr duration entry_report_interval = milliseconds{200};
/// Interval of reports of changes, so that a rank that changes at each reading
/// sends at most four times as many.
constexpr duration min_entry_report_interval = milliseconds{50};

} // namespace

duration report_interval(std::uint32_t ranks) noexcept
{
    return std::max(min_report_interval, time_per_report * ranks);
}

duration max_report_age(std::uint32_t ranks) noexcept
{
    return 2 * report_interval(ranks) + report_delay;
}

// The step and the load change with each pass; the coordinator learns the step
// from its own rank, and does not use the load.
bool report_schedule::is_due(
    rank_state const& state, bool has_activations, time_point now) const
{
    rank_state compared = state;
    compared.step = reported_.step;
    compared.active = reported_.active;
    compared.queued = reported_.queued;
    return compared != reported_ || has_activations ||
           now - reported_at_ >= report_interval(state.ranks);
}

bool report_schedule::includes_experts(
    rank_state const& state, time_point now) const
{
    return state.map_version != reported_.map_version ||
           state.epoch != reported_.epoch ||
           now - experts_reported_at_ >= experts_interval;
}

void report_schedule::on_reported(
    rank_state const& state, bool with_experts, time_point now)
{
    bool const map_changed = state.map_version != reported_.map_version ||
                             state.epoch != reported_.epoch;
    if (with_experts)
        experts_reported_at_ = now;
    else if (map_changed)
        experts_reported_at_ = {};
    reported_ = state;
    reported_at_ = now;
}

bool entry_report_schedule::is_due(bool serves, time_point now) const
{
    duration const interval =
        serves == serves_ ? entry_report_interval : min_entry_report_interval;
    return now - reported_at_ >= interval;
}

void entry_report_schedule::on_reported(bool serves, time_point now)
{
    serves_ = serves;
    reported_at_ = now;
}

} // namespace hornbeamweir
