#include <hornbeamweir/configuration/backend_capacity.hpp>

namespace hornbeamweir
{

namespace
{

bool is_evacuated(configuration_part const& objects, data_centre_id const& id)
{
    auto const it = objects.data_centres.find(id);
    return it != objects.data_centres.end() && it->second.evacuated;
}

request_target
target_of(configuration_part const& objects, backend_server const& server)
{
    if (server.kind == backend_kind::service)
        return {server.kind, server.service};
    auto const group = objects.model_groups.find(server.group);
    return {
        server.kind,
        group == objects.model_groups.end() ? "" : group->second.model};
}

} // namespace

std::string describe(request_target const& target)
{
    return (target.kind == backend_kind::service ? "service " : "model ") +
           target.name;
}

backend_capacity count_backend_servers(configuration_part const& objects)
{
    backend_capacity capacity;
    for (auto it = objects.data_centres.begin();
         it != objects.data_centres.end();
         ++it)
        capacity.data_centres[it->first].evacuated = it->second.evacuated;
    for (auto it = objects.backend_servers.begin();
         it != objects.backend_servers.end();
         ++it)
    {
        backend_server const& server = it->second;
        bool const in_use =
            !server.draining && !is_evacuated(objects, server.data_centre);
        capacity.targets[target_of(objects, server)] += in_use ? 1 : 0;
        capacity.data_centres[server.data_centre].in_use += in_use ? 1 : 0;
    }
    return capacity;
}

std::set<data_centre_id>
data_centres_of_servers(configuration_part const& objects)
{
    std::set<data_centre_id> found;
    for (auto it = objects.backend_servers.begin();
         it != objects.backend_servers.end();
         ++it)
        found.insert(it->second.data_centre);
    return found;
}

std::string describe(std::set<data_centre_id> const& known)
{
    if (known.empty())
        return "a data centre of a backend server, but there are none";
    std::string text = "one of";
    for (data_centre_id const& id : known)
        text += (id == *known.begin() ? " " : ", ") + id.str();
    return text;
}

} // namespace hornbeamweir
