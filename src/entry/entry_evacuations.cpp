#include <hornbeamweir/entry/entry_core.hpp>

/// \file
/// \brief Requests and connections affected by evacuated data centres.

namespace hornbeamweir
{

// An attempt fails if its agent is disconnected, for example when a restored
// data centre takes an agent's place in the subset.
std::set<backend_server_id>
entry_core::select_agents(configuration const& current) const
{
    std::set<backend_server_id> selected = subset_.select(current);
    for (auto it = agents_.all().begin(); it != agents_.all().end(); ++it)
    {
        if (it->second.in_flight > 0)
            selected.insert(it->first);
    }
    return selected;
}

// Queued requests would otherwise wait until the attempts in progress in the
// evacuated data centre have ended.
void entry_core::reject_requests_without_backend(time_point now)
{
    std::vector<request_id> affected;
    for (auto it = live_.begin(); it != live_.end(); ++it)
    {
        request_machine const& machine = it->second.machine;
        if (machine.is_choosing() &&
            !capacity_.has_backend_server(machine.request()))
            affected.push_back(it->first);
    }
    for (request_id const& id : affected)
    {
        auto const it = live_.find(id);
        if (it != live_.end())
            perform(id, it->second.machine.on_chosen(std::nullopt), now);
    }
}

bool entry_core::is_out_of_service(
    std::optional<backend_server_id> const& server) const
{
    if (!server)
        return false;
    configuration const& current = *configuration_.current();
    backend_server const* const found = current.find(*server);
    return found != nullptr && current.is_evacuated(found->data_centre);
}

} // namespace hornbeamweir
