#include <hornbeamweir/routing/candidate_finder.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

template <typename T>
bool allowed(std::vector<std::string> const& names, T const& id)
{
    return names.empty() ||
           std::find(names.begin(), names.end(), id.str()) != names.end();
}

bool matches(placement_rule const& rule, inbound_request const& request)
{
    return (rule.customer.empty() || rule.customer == request.customer) &&
           (rule.model.empty() || rule.model == request.model) &&
           (rule.service.empty() || rule.service == request.service);
}

/// Returns how specific a rule is. A rule for a customer takes precedence over
/// all rules without one; a rule for a model or service comes next.
int specificity(placement_rule const& rule) noexcept
{
    return (rule.customer.empty() ? 0 : 2) +
           (rule.model.empty() && rule.service.empty() ? 0 : 1);
}

} // namespace

void candidate_finder::apply_configuration(
    std::shared_ptr<configuration const> new_configuration)
{
    configuration_ = std::move(new_configuration);
    servers_by_model_.clear();
    servers_by_service_.clear();
    rules_.clear();
    configuration_->for_each_part(
        [&](configuration_part const& part)
        {
            for (auto it = part.backend_servers.begin();
                 it != part.backend_servers.end();
                 ++it)
            {
                backend_server const& server = it->second;
                if (configuration_->is_evacuated(server.data_centre))
                    continue;
                model_group const* const group =
                    configuration_->find(server.group);
                if (server.kind == backend_kind::service)
                    servers_by_service_[server.service].push_back(server.id);
                else if (group != nullptr)
                    servers_by_model_[group->model].push_back(server.id);
            }
            for (auto it = part.placement_rules.begin();
                 it != part.placement_rules.end();
                 ++it)
                rules_.push_back(it->second);
        });
    std::sort(
        rules_.begin(),
        rules_.end(),
        [](placement_rule const& lhs, placement_rule const& rhs)
        {
            int const left = specificity(lhs);
            int const right = specificity(rhs);
            return left != right ? left > right : lhs.id < rhs.id;
        });
}

placement_rule const*
candidate_finder::rule_for(inbound_request const& request) const
{
    for (placement_rule const& rule : rules_)
    {
        if (matches(rule, request))
            return &rule;
    }
    return nullptr;
}

std::vector<backend_server_id> const*
candidate_finder::servers_for(inbound_request const& request) const
{
    std::map<std::string, std::vector<backend_server_id>> const& index =
        request.service.empty() ? servers_by_model_ : servers_by_service_;
    auto const it =
        index.find(request.service.empty() ? request.model : request.service);
    return it == index.end() ? nullptr : &it->second;
}

std::vector<backend_server_id>
candidate_finder::servers(std::string const& target) const
{
    auto const model = servers_by_model_.find(target);
    if (model != servers_by_model_.end())
        return model->second;
    auto const service = servers_by_service_.find(target);
    return service == servers_by_service_.end()
               ? std::vector<backend_server_id>{}
               : service->second;
}

std::vector<routing_candidate> candidate_finder::find(
    inbound_request const& request,
    std::set<backend_server_id> const& excluded,
    agent_table const& agents,
    time_point now) const
{
    std::vector<routing_candidate> candidates;
    std::vector<routing_candidate> panic_candidates;
    std::vector<backend_server_id> const* const servers = servers_for(request);
    if (servers == nullptr)
        return candidates;
    placement_rule const* const rule = rule_for(request);
    for (backend_server_id const& id : *servers)
    {
        agent_record const* const agent = agents.find(id);
        if (agent == nullptr || excluded.contains(id))
            continue;
        bool const usable = agents.usable(*agent);
        if (!usable && !agents.usable_in_panic_mode(*agent))
            continue;
        backend_server const& server = agent->server;
        bool const disallowed =
            rule != nullptr &&
            (!allowed(rule->data_centres, server.data_centre) ||
             (server.kind == backend_kind::rank &&
              !allowed(rule->groups, server.group)));
        if (disallowed)
            continue;
        (usable ? candidates : panic_candidates)
            .push_back(
                {id,
                 server.group,
                 server.data_centre,
                 agent->in_flight,
                 agent->load.in_flight(),
                 agent->load.queued(),
                 duration{agent->load.step_us()},
                 now - agent->last_contact});
    }
    panic_.admit(candidates, panic_candidates, request.idempotent);
    return candidates;
}

} // namespace hornbeamweir
