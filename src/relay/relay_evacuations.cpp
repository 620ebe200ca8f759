#include <hornbeamweir/relay/relay_core.hpp>

namespace hornbeamweir::relay
{

actions relay_core::on_evacuations(
    evacuations const& next, std::string_view source, time_point now)
{
    actions out;
    std::uint64_t const era = evacuated_.stored().era;
    std::set<data_centre_id> const before = evacuated_.current().data_centres;
    if (evacuated_.update(next, now))
        apply_evacuations(before, source, now, out);
    if (evacuated_.stored().era != era)
        log_retained(now);
    return out;
}

actions relay_core::on_retained_evacuations(
    evacuation_register::retained_map const& told,
    std::uint64_t era,
    time_point now)
{
    actions out;
    std::set<data_centre_id> const before = evacuated_.current().data_centres;
    if (evacuated_.adopt_retained(told, era, now))
        apply_evacuations(before, "retained by another entry", now, out);
    return out;
}

void relay_core::expire_evacuations(time_point now, actions& out)
{
    std::set<data_centre_id> const before = evacuated_.current().data_centres;
    if (evacuated_.expire(now))
        apply_evacuations(before, "retention ended", now, out);
}

// Requests that wait for a replica are dispatched again: after a return there
// are more replicas to choose from, and without any the wait is in vain.
void relay_core::apply_evacuations(
    std::set<data_centre_id> const& before,
    std::string_view source,
    time_point now,
    actions& out)
{
    directory_.set_evacuated(evacuated_.current().data_centres);
    log_evacuations(before, source);
    for (data_centre_id const& it : before)
    {
        if (!evacuated_.current().data_centres.contains(it))
            cold_.on_data_centre_restored(it, now);
    }
    for (auto& [name, state] : services_)
    {
        if (!directory_.is_evacuated(name))
            continue;
        event line{"service_without_replicas"};
        line.with("service", name)
            .with("reason", "all data centres are evacuated")
            .with("revision", evacuated_.current().revision);
        log_.warning(line);
        while (std::optional<queued_request> const waiting =
                   state.queue.pop(now))
        {
            request_iterator const it =
                requests_.find(std::stoull(waiting->id.str()));
            if (it != requests_.end())
                reject_for_outage(it, now, out);
        }
    }
    dispatch_all(now, out);
}

void relay_core::log_retained(time_point now)
{
    for (auto const& [data_centre, remaining] : evacuated_.retained(now))
    {
        event line{"evacuation_retained"};
        line.with("data_centre", data_centre)
            .with("reason", "missing in the store since its era changed")
            .with("era", evacuated_.current().era)
            .with("revision", evacuated_.current().revision);
        log_.warning(line);
        metrics_.count("hornbeamweir_evacuations_retained_total", {});
    }
}

void relay_core::log_evacuations(
    std::set<data_centre_id> const& before, std::string_view source)
{
    std::set<data_centre_id> const& current = evacuated_.current().data_centres;
    std::map<data_centre_id, std::size_t> replicas =
        directory_.replicas_by_data_centre();
    std::set<data_centre_id> changed = before;
    changed.insert(current.begin(), current.end());
    for (data_centre_id const& it : changed)
    {
        bool const is_evacuated = current.contains(it);
        if (is_evacuated == before.contains(it))
            continue;
        event line{"data_centre_changed"};
        line.with("data_centre", it)
            .with("evacuated", is_evacuated ? "yes" : "no")
            .with("era", evacuated_.current().era)
            .with("revision", evacuated_.current().revision)
            .with("source", source)
            .with("replicas", replicas[it])
            .with("attempts", attempts_in(it));
        log_.info(line);
        metrics_.count(
            "hornbeamweir_data_centre_changes_total",
            {{"evacuated", is_evacuated ? "yes" : "no"}});
        metrics_.gauge(
            "hornbeamweir_data_centre_evacuated",
            {{"data_centre", it.str()}},
            is_evacuated ? 1 : 0);
        metrics_.gauge(
            "hornbeamweir_data_centre_replicas_in_use",
            {{"data_centre", it.str()}},
            is_evacuated ? 0 : static_cast<double>(replicas[it]));
    }
}

std::size_t relay_core::attempts_in(data_centre_id const& data_centre) const
{
    std::size_t out = 0;
    for (auto const& [id, n] : loads_.local_in_flight())
    {
        replica const* const it = directory_.find(id);
        out += it && it->data_centre == data_centre ? n : 0;
    }
    return out;
}

} // namespace hornbeamweir::relay
