#include <hornbeamweir/relay/service_activity.hpp>

#include <algorithm>
#include <utility>

namespace hornbeamweir::relay
{

namespace
{

constexpr duration log_interval = std::chrono::seconds{1};

[[nodiscard]] std::int64_t milliseconds_of(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

[[nodiscard]] std::int64_t mean_milliseconds(duration sum, std::uint32_t n)
{
    return n == 0 ? 0 : milliseconds_of(sum / n);
}

} // namespace

void service_activity::on_gap(duration gap, duration target) noexcept
{
    ++current_.gaps;
    if (target > duration::zero() && gap > target)
        ++current_.late_gaps;
    current_.gap_sum += gap;
    current_.max_gap = std::max(current_.max_gap, gap);
}

void service_activity::on_dispatched(duration wait) noexcept
{
    ++current_.dispatched;
    current_.wait_sum += wait;
    current_.max_wait = std::max(current_.max_wait, wait);
}

bool service_activity::is_due(time_point now) const noexcept
{
    return now - written_at_ >= log_interval;
}

void service_activity::write(
    service_name const& service,
    service_occupancy const& occupancy,
    event_log& log,
    metrics_registry& metrics,
    time_point now)
{
    period const last = std::exchange(current_, {});
    written_at_ = now;
    event line{"service_load"};
    line.with("service", service)
        .with("own", occupancy.own_requests)
        .with("all", occupancy.all_requests)
        .with("replicas", occupancy.replicas)
        .with("queued", occupancy.queued)
        .with("dispatched", last.dispatched)
        .with("wait_ms", mean_milliseconds(last.wait_sum, last.dispatched))
        .with("max_wait_ms", milliseconds_of(last.max_wait));
    if (occupancy.stream_limit)
    {
        line.with("limit", *occupancy.stream_limit)
            .with("pass_overhead", occupancy.pass_overhead);
    }
    if (last.gaps > 0)
    {
        line.with("gaps", last.gaps)
            .with("late_gaps", last.late_gaps)
            .with("gap_ms", mean_milliseconds(last.gap_sum, last.gaps))
            .with("max_gap_ms", milliseconds_of(last.max_gap));
    }
    log.info(line);
    metric_labels const labels{{"service", service.str()}};
    metrics.gauge(
        "hornbeamweir_queued_requests",
        labels,
        static_cast<double>(occupancy.queued));
    metrics.gauge("hornbeamweir_open_requests", labels, occupancy.all_requests);
    metrics.count("hornbeamweir_late_gaps_total", labels, last.late_gaps);
    if (occupancy.stream_limit)
        metrics.gauge(
            "hornbeamweir_stream_limit", labels, *occupancy.stream_limit);
}

} // namespace hornbeamweir::relay
