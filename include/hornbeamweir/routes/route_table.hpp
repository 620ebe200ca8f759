#pragma once

#include <hornbeamweir/routes/route_configuration.hpp>

#include <string_view>
#include <unordered_map>

namespace hornbeamweir
{

/// \brief Finds routes, services and customers of one configuration.
class route_table
{
public:
    route_table() = default;
    explicit route_table(route_configuration configuration);

    /// \brief Finds the route with the longest prefix of a path.
    /// \param host Value of the Host field; a port is ignored.
    /// \param target Request target; the query is ignored.
    /// \returns Null if no route matches.
    [[nodiscard]] route const*
    find(std::string_view host, std::string_view target) const;

    /// \returns Null for a key that no customer holds.
    [[nodiscard]] api_key_owner const* find_key(std::string const& key) const;

    /// \returns Null for a service that is not configured.
    [[nodiscard]] service_profile const*
    find_service(service_name const& name) const;

    /// \brief Chooses a service by weight.
    /// \param point Uniform number in [0, 1).
    [[nodiscard]] static service_name
    choose_service(route const& of, double point);

    [[nodiscard]] route_configuration const& configuration() const noexcept
    {
        return configuration_;
    }

private:
    route_configuration configuration_;
    /// Indices of routes by host, then prefix.
    std::
        unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
            by_host_;
};

} // namespace hornbeamweir
