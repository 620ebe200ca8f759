#include <hornbeamweir/entry/capacity_monitor.hpp>

namespace hornbeamweir
{

namespace
{

/// Returns the state of a data centre; one that is unknown is in service.
backend_capacity::data_centre_state
state_of(backend_capacity const& capacity, data_centre_id const& id)
{
    auto const it = capacity.data_centres.find(id);
    return it == capacity.data_centres.end()
               ? backend_capacity::data_centre_state{}
               : it->second;
}

std::set<data_centre_id>
names_in(backend_capacity const& lhs, backend_capacity const& rhs)
{
    std::set<data_centre_id> names;
    for (backend_capacity const* const capacity : {&lhs, &rhs})
    {
        for (auto it = capacity->data_centres.begin();
             it != capacity->data_centres.end();
             ++it)
            names.insert(it->first);
    }
    return names;
}

} // namespace

void capacity_monitor::update(
    configuration_part const& objects, std::uint64_t revision)
{
    backend_capacity const before =
        std::exchange(current_, count_backend_servers(objects));
    for (data_centre_id const& id : names_in(before, current_))
    {
        bool const evacuated = state_of(current_, id).evacuated;
        if (evacuated != state_of(before, id).evacuated)
            log_data_centre(id, evacuated, revision);
    }
    log_targets_without_servers(before, revision);
    update_gauges(before);
}

void capacity_monitor::log_data_centre(
    data_centre_id const& id, bool evacuated, std::uint64_t revision)
{
    event ev{"data_centre_changed"};
    ev.with("data_centre", id)
        .with("evacuated", evacuated ? "true" : "false")
        .with("revision", revision);
    for (auto it = current_.targets.begin(); it != current_.targets.end(); ++it)
    {
        std::string const key =
            it->first.kind == backend_kind::service ? "service." : "model.";
        ev.with("in_use." + key + it->first.name, it->second);
    }
    log_.info(ev);
}

void capacity_monitor::log_targets_without_servers(
    backend_capacity const& before, std::uint64_t revision)
{
    for (auto it = current_.targets.begin(); it != current_.targets.end(); ++it)
    {
        auto const old = before.targets.find(it->first);
        bool const had_none = old != before.targets.end() && old->second == 0;
        if (it->second > 0 || had_none)
            continue;
        log_.warning(event{"no_backend_server_in_use"}
                         .with("target", describe(it->first))
                         .with("revision", revision));
    }
}

void capacity_monitor::update_gauges(backend_capacity const& before)
{
    for (data_centre_id const& id : names_in(before, current_))
    {
        backend_capacity::data_centre_state const state =
            state_of(current_, id);
        metrics_.gauge(
            "hornbeamweir_backend_servers_in_use",
            {{"data_centre", id.str()}},
            static_cast<double>(state.in_use));
        metrics_.gauge(
            "hornbeamweir_data_centre_evacuated",
            {{"data_centre", id.str()}},
            state.evacuated ? 1 : 0);
    }
}

bool capacity_monitor::has_backend_server(inbound_request const& request) const
{
    bool const is_service = !request.service.empty();
    auto const it = current_.targets.find(
        {is_service ? backend_kind::service : backend_kind::rank,
         is_service ? request.service : request.model});
    return it != current_.targets.end() && it->second > 0;
}

std::set<data_centre_id> capacity_monitor::evacuated() const
{
    std::set<data_centre_id> found;
    for (auto it = current_.data_centres.begin();
         it != current_.data_centres.end();
         ++it)
    {
        if (it->second.evacuated)
            found.insert(it->first);
    }
    return found;
}

} // namespace hornbeamweir
