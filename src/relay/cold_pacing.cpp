#include <hornbeamweir/relay/cold_pacing.hpp>

namespace hornbeamweir::relay
{

namespace
{

/// Interval at which the other entries and ended times are considered.
constexpr duration tick_interval = std::chrono::milliseconds{100};

} // namespace

cold_pacing::cold_pacing(
    versioned_route_table const& routes,
    replica_load_tracker const& loads,
    replica_rate_limits& limits,
    event_log& log,
    metrics_registry& metrics)
    : routes_{routes}
    , loads_{loads}
    , limits_{limits}
    , log_{log}
    , metrics_{metrics}
{
}

void cold_pacing::read_configuration(time_point now)
{
    if (table_ == routes_.table())
        return;
    table_ = routes_.table();
    rates_.clear();
    std::map<service_name, duration> start_times;
    for (service_profile const& it : table_->configuration().services)
    {
        if (it.cold_requests_per_second <= 0)
            continue;
        rates_.emplace(it.name, it.cold_requests_per_second);
        start_times.emplace(it.name, it.cold_start);
    }
    replicas_.set_services(std::move(start_times), now);
    is_changed_ = true;
}

void cold_pacing::on_replicas(
    std::map<backend_server_id, replica> const& snapshot, time_point now)
{
    read_configuration(now);
    replicas_.update(snapshot, now);
    apply(now);
}

void cold_pacing::on_reported(
    backend_server_id const& id,
    duration remaining,
    cold_source source,
    time_point now)
{
    read_configuration(now);
    replicas_.on_reported(id, remaining, source, now);
    apply(now);
}

void cold_pacing::on_data_centre_restored(
    data_centre_id const& id, time_point now)
{
    read_configuration(now);
    replicas_.on_data_centre_restored(id, now);
    apply(now);
}

void cold_pacing::on_tick(process_name const& self, time_point now)
{
    if (now - ticked_at_ < tick_interval)
        return;
    ticked_at_ = now;
    read_configuration(now);
    if (!rates_.empty())
        limits_.set_entries(self, loads_.other_entries(now), now);
    replicas_.expire(now);
    apply(now);
}

void cold_pacing::apply(time_point now)
{
    std::vector<cold_replicas::change> const changes = replicas_.take_changes();
    if (changes.empty() && !std::exchange(is_changed_, false))
        return;
    for (cold_replicas::change const& it : changes)
    {
        constexpr int us_per_ms = 1000;
        std::string_view const state = it.is_cold ? "cold" : "warm";
        event line{"replica_temperature_changed"};
        line.with("replica", it.id)
            .with("state", state)
            .with("source", name_of(it.source))
            .with("ms", it.time.count() / us_per_ms);
        log_.info(line);
        metrics_.count(
            "hornbeamweir_replica_temperature_changes_total",
            {{"state", std::string{state}},
             {"source", std::string{name_of(it.source)}}});
    }
    std::map<backend_server_id, double> rates;
    for (auto const& [id, service] : replicas_.cold())
    {
        if (auto const it = rates_.find(service); it != rates_.end())
            rates.emplace(id, it->second);
    }
    limits_.set_cold_rates(rates, now);
}

} // namespace hornbeamweir::relay
