#include <hornbeamweir/replicas/cold_replicas.hpp>

#include <algorithm>

namespace hornbeamweir
{

// The registry may be read before the configuration.
void cold_replicas::set_services(
    std::map<service_name, duration> start_times, time_point now)
{
    start_times_ = std::move(start_times);
    for (auto const& [id, known] : known_)
        apply(id, known, now);
}

void cold_replicas::apply(
    backend_server_id const& id, known_replica const& known, time_point now)
{
    std::optional<duration> const start_time = start_time_of(known.service);
    if (!start_time)
        return;
    if (known.started_at)
        mark(id, *known.started_at + *start_time, cold_source::start, now);
    mark(id, known.stated_until, cold_source::registration, now);
}

std::optional<duration>
cold_replicas::start_time_of(service_name const& name) const
{
    auto const it = start_times_.find(name);
    return it == start_times_.end() ? std::nullopt : std::optional{it->second};
}

void cold_replicas::mark(
    backend_server_id const& id,
    time_point until,
    cold_source source,
    time_point now)
{
    until = std::min(until, now + max_time);
    if (until <= now)
        return;
    auto const [it, is_new] = cold_.try_emplace(id);
    cold_state& state = it->second;
    if (is_new)
    {
        state.since = now;
        state.source = source;
        changes_.push_back({id, true, source, until - now});
    }
    state.until = std::max(state.until, until);
    if (source == cold_source::response)
        state.seen_until = std::max(state.seen_until, until);
}

// The replicas of the first read may have started long ago.
void cold_replicas::update(
    std::map<backend_server_id, replica> const& snapshot, time_point now)
{
    for (auto const& [id, next] : snapshot)
    {
        auto const [it, is_new] = known_.try_emplace(id);
        known_replica& known = it->second;
        if (is_new && has_read_)
            known.started_at = now;
        known.service = next.service;
        known.data_centre = next.data_centre;
        known.missing_since.reset();
        if (is_new || known.modify_revision != next.modify_revision)
        {
            known.modify_revision = next.modify_revision;
            known.stated_until = now + std::min(next.cold_remaining, max_time);
        }
        apply(id, known, now);
    }
    has_read_ = true;
    for (auto& [id, known] : known_)
    {
        if (!snapshot.contains(id) && !known.missing_since)
            known.missing_since = now;
    }
    std::erase_if(
        known_,
        [&](auto const& it)
        {
            return it.second.missing_since &&
                   now - *it.second.missing_since >= gone_retention;
        });
}

void cold_replicas::on_reported(
    backend_server_id const& id,
    duration remaining,
    cold_source source,
    time_point now)
{
    auto const it = known_.find(id);
    if (it != known_.end() && start_time_of(it->second.service))
        mark(id, now + std::min(remaining, max_time), source, now);
}

void cold_replicas::on_data_centre_restored(
    data_centre_id const& id, time_point now)
{
    for (auto const& [replica_id, known] : known_)
    {
        if (known.data_centre != id)
            continue;
        if (std::optional<duration> const start = start_time_of(known.service))
            mark(replica_id, now + *start, cold_source::restored, now);
    }
}

std::map<backend_server_id, service_name> cold_replicas::cold() const
{
    std::map<backend_server_id, service_name> out;
    for (auto const& [id, it] : cold_)
    {
        if (auto const known = known_.find(id); known != known_.end())
            out.emplace(id, known->second.service);
    }
    return out;
}

std::map<backend_server_id, duration> cold_replicas::seen(time_point now) const
{
    std::map<backend_server_id, duration> out;
    for (auto const& [id, it] : cold_)
    {
        if (it.seen_until > now)
            out.emplace(id, it.seen_until - now);
    }
    return out;
}

void cold_replicas::expire(time_point now)
{
    std::erase_if(
        cold_,
        [&](auto const& it)
        {
            cold_state const& state = it.second;
            auto const known = known_.find(it.first);
            bool const is_considered =
                known != known_.end() && start_time_of(known->second.service);
            if (is_considered && state.until > now)
                return false;
            changes_.push_back(
                {it.first, false, state.source, now - state.since});
            return true;
        });
}

} // namespace hornbeamweir
