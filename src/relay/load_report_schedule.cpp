#include <hornbeamweir/relay/load_report_schedule.hpp>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// Interval of reports while requests start.
constexpr duration start_interval = milliseconds{10};
/// Interval of reports while requests only end.
constexpr duration end_interval = milliseconds{100};
/// Interval of reports without news; shows that the entry is alive.
constexpr duration idle_interval = milliseconds{400};

} // namespace

bool load_report_schedule::is_due(
    replica_load_tracker const& loads, time_point now) const noexcept
{
    duration const age = now - reported_at_;
    return (loads.started() != reported_started_ && age >= start_interval) ||
           (loads.ended() != reported_ended_ && age >= end_interval) ||
           age >= idle_interval;
}

void load_report_schedule::on_reported(
    replica_load_tracker const& loads, time_point now) noexcept
{
    reported_started_ = loads.started();
    reported_ended_ = loads.ended();
    reported_at_ = now;
}

} // namespace hornbeamweir
