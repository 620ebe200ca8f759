#include <hornbeamweir/relay/relay_core.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

void relay_core::update_share(
    service_name const& name, service_state& state, time_point now) const
{
    std::vector<replica const*> const usable = directory_.usable(name);
    stream_counts counts;
    counts.own = state.own_attempts;
    counts.peers = loads_.peers_in_flight(usable, now);
    for (replica const* it : usable)
        counts.capacity += std::min(it->slots, state.limiter->limit());
    state.share.update(counts, now);
}

service_occupancy relay_core::occupancy_of(service_name const& name) const
{
    service_occupancy out;
    for (replica const* it : directory_.usable(name))
    {
        ++out.replicas;
        out.all_requests += loads_.in_flight(it->id);
        out.own_requests += loads_.own_in_flight(it->id);
    }
    return out;
}

void relay_core::on_rank_status(
    backend_server_id const& id, rank_status const& status)
{
    loads_.on_rank_status(id, status);
    if (!status.accepts_requests)
        return;
    for (auto& [name, state] : services_)
    {
        if (state.progress)
            state.progress->on_serving(id);
    }
}

void relay_core::observe_progress(
    service_name const& name, service_state& state, time_point now)
{
    bool const stalled = state.progress && state.progress->is_stalled(now);
    if (stalled == state.is_stalled)
        return;
    state.is_stalled = stalled;
    event line{"service_progress_changed"};
    line.with("service", name)
        .with("state", stalled ? "stalled" : "responding")
        .with("attempts", state.own_attempts)
        .with("queued", state.queue.size());
    log_.warning(line);
    metrics_.gauge(
        "hornbeamweir_service_stalled",
        {{"service", name.str()}},
        stalled ? 1 : 0);
}

void relay_core::observe_services(time_point now)
{
    for (auto& [name, state] : services_)
    {
        observe_progress(name, state, now);
        bool const limit_due = state.limiter && state.limiter->is_due(now);
        bool const log_due = state.activity.is_due(now);
        if (!limit_due && !log_due)
            continue;
        service_occupancy occupancy = occupancy_of(name);
        if (limit_due && occupancy.replicas > 0)
            state.limiter->update(
                static_cast<double>(occupancy.all_requests) /
                    static_cast<double>(occupancy.replicas),
                now);
        if (!log_due)
            continue;
        occupancy.queued = state.queue.size();
        if (state.limiter)
        {
            occupancy.stream_limit = state.limiter->limit();
            occupancy.pass_overhead = state.limiter->pass_overhead();
        }
        state.activity.write(name, occupancy, log_, metrics_, now);
    }
}

} // namespace hornbeamweir::relay
