#include <hornbeamweir/core/overloaded.hpp>
#include <hornbeamweir/entry/entry_core.hpp>
#include <hornbeamweir/entry/error_document.hpp>

#include "peer_names.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr std::size_t history_size = 4096;

std::vector<process_name> entry_names(entry_settings const& settings)
{
    std::vector<process_name> names{settings.identity.name};
    for (peer_settings const& it : settings.peers)
        names.push_back(it.name);
    return names;
}

} // namespace

entry_core::entry_core(
    entry_settings settings,
    random_source random,
    routing_policy& routing,
    event_log& log,
    metrics_registry& metrics)
    : settings_{std::move(settings)}
    , random_{random}
    , routing_{routing}
    , log_{log}
    , metrics_{metrics}
    , intake_{std::chrono::milliseconds{settings_.callers.default_timeout_ms}}
    , entries_{entry_names(settings_)}
    , shares_{settings_.identity.name, entries_}
    , neighbours_{neighbours(settings_.identity.name, entries_)}
    , subset_{{}, settings_.identity.name, entries_}
    , agents_{heartbeat_budget::for_fleet(entries_.size(), neighbours_.size())}
    , capacity_{log_, metrics_}
    , ledger_{make_ledger_limits(settings_.peers.size() + 1)}
    , configuration_{true}
    , history_{history_size}
{
}

void entry_core::start()
{
    for (peer_settings const& it : settings_.peers)
    {
        auto const found =
            std::find(neighbours_.begin(), neighbours_.end(), it.name);
        if (found == neighbours_.end())
            continue;
        actions_.emplace_back(
            dial_agent{entry_peer(it.name).id, it.address, it.public_key});
    }
}

std::vector<entry_action> entry_core::take_actions()
{
    return std::exchange(actions_, {});
}

bool entry_core::ready() const noexcept
{
    return !draining_ && configuration_.current()->revision() > 0;
}

void entry_core::send(peer const& to, wire::envelope message)
{
    actions_.emplace_back(send_envelope{to, std::move(message)});
}

void entry_core::on_message(
    peer const& from, wire::envelope const& message, time_point now)
{
    switch (message.body_case())
    {
    case wire::envelope::kAnswer:
        on_answer(message.answer(), now);
        break;
    case wire::envelope::kMembership:
        on_membership(from, message, now);
        break;
    case wire::envelope::kAdmission:
        send_shares(shares_.on_message(
            process_name{message.sender()}, message.admission(), now));
        break;
    case wire::envelope::kConfiguration:
        perform(
            configuration_.on_message(from, message.configuration(), now), now);
        break;
    default:
        metrics_.count("hornbeamweir_messages_unexpected_total", {});
        break;
    }
}

void entry_core::on_answer(wire::answer const& frame, time_point now)
{
    request_id const id{frame.request_id()};
    auto const it = live_.find(id);
    if (it == live_.end())
    {
        metrics_.count("hornbeamweir_answers_dropped_total", {});
        return;
    }
    if (frame.has_failure() && it->second.machine.attempt() == frame.attempt())
        update_agent_state(it->second.machine.target(), frame.failure());
    perform(id, it->second.machine.on_answer(frame, budget_.available()), now);
}

void entry_core::on_membership(
    peer const& from, wire::envelope const& message, time_point now)
{
    wire::membership_message const& body = message.membership();
    if (body.has_ping())
    {
        perform(
            configuration_.on_peer_head(
                from, from_wire(body.ping().head()), now),
            now);
        send(from, make_pong(body.ping(), now));
        if (body.ping().vm_revision() < agents_.vms().revision())
        {
            wire::envelope notice;
            *notice.mutable_membership()->mutable_vm_notice() =
                to_wire(agents_.vms());
            send(from, std::move(notice));
        }
        return;
    }
    if (body.has_vm_notice())
        apply_vm_list(from_wire(body.vm_notice()));
    if (!body.has_pong())
        return;
    backend_server_id const agent = backend_server_of(from.id);
    // Agents hold only parts of the configuration, and a compromised VM must
    // not announce revisions.
    if (agent.empty())
    {
        perform(
            configuration_.on_peer_head(
                from, from_wire(body.pong().head()), now),
            now);
        shares_.on_entry_alive(process_name{message.sender()}, now);
        entry_revisions_[from] = body.pong().head().revision();
        return;
    }
    bool const restarted =
        agents_.on_pong(agent, message.incarnation(), body.pong(), now);
    if (!restarted)
        return;
    log_.warning(event{"agent_restarted"}.with("backend_server", agent));
    on_agents_lost({agent}, true, now);
}

void entry_core::on_agents_lost(
    std::vector<backend_server_id> const& lost, bool sent, time_point now)
{
    for (backend_server_id const& agent : lost)
    {
        configuration_.on_peer_lost(agent_peer(agent));
        std::vector<request_id> affected;
        for (auto it = live_.begin(); it != live_.end(); ++it)
        {
            if (it->second.machine.target() == agent)
                affected.push_back(it->first);
        }
        for (request_id const& id : affected)
        {
            auto const it = live_.find(id);
            if (it == live_.end())
                continue;
            perform(
                id,
                it->second.machine.on_agent_lost(sent, budget_.available()),
                now);
        }
    }
}

void entry_core::on_send_failed(
    peer const& to, wire::envelope const& message, time_point now)
{
    if (!message.has_execute())
        return;
    metrics_.count("hornbeamweir_unsendable_total", {});
    request_id const id{message.execute().request_id()};
    auto const it = live_.find(id);
    if (it == live_.end() ||
        it->second.machine.attempt() != message.execute().attempt())
        return;
    if (it->second.machine.target())
        agents_.on_attempt_failed(
            *it->second.machine.target(), member_event::attempt_failed);
    log_.warning(
        event{"attempt_unsendable"}.with("request", id).with("peer", to.id));
    perform(
        id, it->second.machine.on_agent_lost(false, budget_.available()), now);
}

void entry_core::on_platform_head(
    configuration_head const& head, time_point now)
{
    perform(configuration_.on_platform_head(head, now), now);
}

void entry_core::on_platform_part(
    std::string const& hash, std::optional<std::string> content, time_point now)
{
    perform(
        configuration_.on_platform_part(hash, std::move(content), now), now);
}

void entry_core::on_commit(
    std::uint64_t token, result<transaction_reply> const& reply, time_point now)
{
    perform(ledger_.on_commit(token, reply, now), now);
}

void entry_core::on_lease(result<std::int64_t> const& lease, time_point now)
{
    perform(ledger_.on_lease(lease, now), now);
}

void entry_core::on_tick(time_point now)
{
    perform(configuration_.on_tick(now), now);
    on_gates_tick(now);
    perform(ledger_.on_tick(now), now);
    on_agents_lost(agents_.on_tick(now), true, now);
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        request_id const id = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        auto const it = live_.find(id);
        if (it != live_.end())
            perform(id, it->second.machine.on_deadline(), now);
    }
    if (now - last_ping_ >= agents_.schedule().interval())
        ping_all(now);
}

void entry_core::perform(
    configuration_relay_actions const& actions, time_point now)
{
    for (configuration_relay_action const& action : actions)
    {
        std::visit(
            overloaded{
                [&](send_configuration_message const& it)
                {
                    wire::envelope message;
                    *message.mutable_configuration() = it.message;
                    send(it.to, std::move(message));
                },
                [&](read_configuration_part const& it)
                { actions_.emplace_back(read_part_from_platform{it.hash}); },
                [&](configuration_activated const& it)
                { activate(it.current, now); },
                [&](configuration_content_rejected const& it)
                {
                    log_.error(event{"configuration_rejected"}
                                   .with("source", it.source)
                                   .with("code", number_of(it.reason.code))
                                   .with("reason", it.reason.message));
                }},
            action);
    }
}

void entry_core::activate(
    std::shared_ptr<configuration const> const& current, time_point now)
{
    intake_.apply_configuration(current);
    candidates_.apply_configuration(current);
    connection_changes const changes =
        agents_.apply_configuration(*current, select_agents(*current));
    for (backend_server_id const& id : changes.disconnect)
        actions_.emplace_back(disconnect_agent{agent_peer(id).id});
    for (backend_server const& server : changes.dial)
    {
        actions_.emplace_back(dial_agent{
            agent_peer(server.id).id, server.agent_address, server.agent_key});
    }
    on_agents_lost(changes.disconnect, true, now);
    metrics_.gauge(
        "hornbeamweir_configuration_revision",
        {},
        static_cast<double>(current->revision()));
    log_.info(event{"configuration_in_force"}
                  .with("revision", current->revision())
                  .with("note", current->head().note_id));
    capacity_.update(current->objects(), current->revision());
    reject_requests_without_backend(now);
    ping_all(now);
}

boost::json::object entry_core::status(time_point now) const
{
    boost::json::object out;
    configuration_head const& head = configuration_.current()->head();
    out["process"] = settings_.identity.name.str();
    out["data_centre"] = settings_.identity.data_centre.str();
    out["ready"] = ready();
    out["revision"] = head.revision;
    out["note"] = head.note_id;
    out["newest_revision"] = configuration_.newest().revision;
    out["requests"] = live_.size();
    boost::json::array evacuated;
    for (data_centre_id const& id : capacity_.evacuated())
        evacuated.emplace_back(id.str());
    out["evacuated"] = std::move(evacuated);
    boost::json::array agents;
    for (auto it = agents_.all().begin(); it != agents_.all().end(); ++it)
    {
        agent_record const& record = it->second;
        boost::json::object agent;
        agent["backend_server"] = it->first.str();
        agent["vm"] = record.server.vm.str();
        agent["usable"] = agents_.usable(record);
        agent["state"] = std::string{name_of(record.observed_state)};
        agent["suspect"] = record.observed_state == member_state::suspect;
        agent["draining"] = record.observed_state == member_state::leaving;
        agent["backend_down"] =
            record.reported_state == wire::agent_state_backend_down;
        agent["revision"] = record.revision;
        agent["in_flight"] = record.in_flight;
        agent["heard_ms_ago"] =
            record.incarnation == 0
                ? boost::json::value{nullptr}
                : boost::json::value{
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - record.last_contact)
                          .count()};
        agents.emplace_back(std::move(agent));
    }
    out["vm_revision"] = agents_.vms().revision();
    out["agents"] = std::move(agents);
    return out;
}

} // namespace hornbeamweir
