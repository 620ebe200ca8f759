#pragma once

#include <hornbeamweir/entry/inbound_request.hpp>
#include <hornbeamweir/membership/agent_table.hpp>
#include <hornbeamweir/membership/panic_policy.hpp>
#include <hornbeamweir/routing/routing_policy.hpp>

#include <memory>
#include <set>

namespace hornbeamweir
{

/// \brief Finds the backend servers that placement rules allow for a request.
/// \remarks Backend servers of evacuated data centres are left out.
class candidate_finder
{
public:
    /// \brief Replaces the configuration and rebuilds the lookup indexes.
    void
    apply_configuration(std::shared_ptr<configuration const> new_configuration);

    /// \brief Returns the backend servers that may take a request.
    /// \param excluded Backend servers to skip, such as those that have already
    /// failed the request.
    /// \remarks Contains the usable backend servers; in panic mode also those
    /// of the others that are most likely to be usable.
    [[nodiscard]] std::vector<routing_candidate> find(
        inbound_request const& request,
        std::set<backend_server_id> const& excluded,
        agent_table const& agents,
        time_point now) const;

    /// \brief Returns the configured backend servers of a model or service,
    /// apart from those of evacuated data centres.
    /// \param target Name of the model or service.
    /// \returns Empty if the target is unknown.
    [[nodiscard]] std::vector<backend_server_id>
    servers(std::string const& target) const;

private:
    /// Returns the most specific rule that matches, or nullptr.
    [[nodiscard]] placement_rule const*
    rule_for(inbound_request const& request) const;
    /// Returns the backend servers of the request's model or service, or
    /// nullptr if it is unknown.
    [[nodiscard]] std::vector<backend_server_id> const*
    servers_for(inbound_request const& request) const;

    std::shared_ptr<configuration const> configuration_;
    std::map<std::string, std::vector<backend_server_id>> servers_by_model_;
    std::map<std::string, std::vector<backend_server_id>> servers_by_service_;
    /// Ordered from the most to the least specific.
    std::vector<placement_rule> rules_;
    panic_policy panic_;
};

} // namespace hornbeamweir
