#include "coordinator_activity.hpp"

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr duration log_interval = std::chrono::seconds{1};

[[nodiscard]] std::int64_t milliseconds_of(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

void coordinator_activity::on_planned(duration elapsed)
{
    ++searches_;
    planning_ += elapsed;
    metrics_.observe_seconds(
        "hornbeamweir_map_planning_seconds",
        {},
        std::chrono::duration<double>(elapsed).count());
}

void coordinator_activity::on_tick(time_point now, duration oldest_report)
{
    if (last_tick_ != time_point{})
        max_tick_gap_ = std::max(max_tick_gap_, now - last_tick_);
    last_tick_ = now;
    if (now - written_at_ < log_interval)
        return;
    written_at_ = now;
    write(oldest_report);
}

void coordinator_activity::write(duration oldest_report)
{
    event line{"coordinator_load"};
    line.with("reports", reports_)
        .with("orders", orders_)
        .with("searches", searches_)
        .with("planning_ms", milliseconds_of(planning_))
        .with("last_search", name_of(outcome_))
        .with("activations", activations_)
        .with("max_tick_gap_ms", milliseconds_of(max_tick_gap_))
        .with("oldest_report_ms", milliseconds_of(oldest_report));
    log_.info(line);
    metrics_.gauge(
        "hornbeamweir_coordinator_tick_gap_seconds",
        {},
        std::chrono::duration<double>(max_tick_gap_).count());
    metrics_.count(
        "hornbeamweir_rank_reports_total", {}, static_cast<double>(reports_));
    reports_ = 0;
    orders_ = 0;
    searches_ = 0;
    planning_ = {};
    max_tick_gap_ = {};
}

} // namespace hornbeamweir
