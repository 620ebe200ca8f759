#include <hornbeamweir/routes/route_table.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

std::string lower_case(std::string_view text)
{
    std::string out{text};
    std::transform(
        out.begin(),
        out.end(),
        out.begin(),
        [](char c)
        { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    return out;
}

std::string_view without_port(std::string_view host)
{
    std::size_t const colon = host.rfind(':');
    std::size_t const bracket = host.rfind(']');
    bool const has_port =
        colon != std::string_view::npos &&
        (bracket == std::string_view::npos || colon > bracket);
    return has_port ? host.substr(0, colon) : host;
}

} // namespace

route_table::route_table(route_configuration configuration)
    : configuration_{std::move(configuration)}
{
    for (std::size_t n = 0; n < configuration_.routes.size(); ++n)
    {
        route const& it = configuration_.routes[n];
        host_routes& host = by_host_[lower_case(it.host)];
        host.by_prefix[it.prefix] = n;
        host.longest_prefix = std::max(host.longest_prefix, it.prefix.size());
    }
}

// Looks up each prefix of the path that ends with a slash, from the longest to
// the shortest, so that the cost does not depend on the number of routes.
// Longer ones than any route has are left out: callers choose the length of the
// path.
route const*
route_table::find(std::string_view host, std::string_view target) const
{
    auto const found = by_host_.find(lower_case(without_port(host)));
    if (found == by_host_.end())
        return nullptr;
    host_routes const& routes = found->second;
    std::string_view const path =
        target.substr(0, target.find('?')).substr(0, routes.longest_prefix);
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;)
    {
        auto const it =
            routes.by_prefix.find(std::string{path.substr(0, slash + 1)});
        if (it != routes.by_prefix.end())
            return &configuration_.routes[it->second];
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

api_key_owner const* route_table::find_key(std::string const& key) const
{
    auto const it = configuration_.keys.find(key);
    return it == configuration_.keys.end() ? nullptr : &it->second;
}

service_profile const* route_table::find_service(service_name const& name) const
{
    auto const it = std::find_if(
        configuration_.services.begin(),
        configuration_.services.end(),
        [&](service_profile const& service) { return service.name == name; });
    return it == configuration_.services.end() ? nullptr : &*it;
}

service_name route_table::choose_service(route const& from, double sample)
{
    double total = 0;
    for (weighted_service const& weighted : from.services)
        total += weighted.weight;
    double remaining = sample * total;
    for (weighted_service const& weighted : from.services)
    {
        remaining -= weighted.weight;
        if (remaining < 0)
            return weighted.service;
    }
    return from.services.empty() ? service_name{}
                                 : from.services.back().service;
}

} // namespace hornbeamweir
