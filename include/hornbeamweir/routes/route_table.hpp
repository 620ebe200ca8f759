#pragma once

#include <hornbeamweir/routes/route_configuration.hpp>

#include <string_view>
#include <unordered_map>

namespace hornbeamweir
{

/// \brief Looks up routes, services and API keys of one configuration.
class route_table
{
public:
    route_table() = default;
    explicit route_table(route_configuration configuration);

    /// \brief Finds the route of the host with the longest matching path
    /// prefix.
    /// \param host Value of the Host field; a port is ignored.
    /// \param target Request target; the query is ignored.
    /// \returns Null if no route matches.
    [[nodiscard]] route const*
    find(std::string_view host, std::string_view target) const;

    /// \returns Null if the key belongs to no customer.
    [[nodiscard]] api_key_owner const* find_key(std::string const& key) const;

    /// \returns Null if the service is not configured.
    [[nodiscard]] service_profile const*
    find_service(service_name const& name) const;

    /// \brief Chooses a service of a route by weight.
    /// \param sample Uniform random number in [0, 1).
    [[nodiscard]] static service_name
    choose_service(route const& from, double sample);

    [[nodiscard]] route_configuration const& configuration() const noexcept
    {
        return configuration_;
    }

private:
    route_configuration configuration_;
    /// Routes of one host.
    struct host_routes
    {
        /// Indices into the routes, by prefix.
        std::unordered_map<std::string, std::size_t> by_prefix;
        std::size_t longest_prefix = 0;
    };

    /// By host in lower case.
    std::unordered_map<std::string, host_routes> by_host_;
};

} // namespace hornbeamweir
