#include <hornbeamweir/entry/entry_core.hpp>

#include "peer_names.hpp"

/// \file
/// \brief Exchange of heartbeats and lists of VMs.

namespace hornbeamweir
{

wire::envelope
entry_core::make_pong(wire::ping const& message, time_point now) const
{
    wire::envelope reply;
    wire::pong& pong = *reply.mutable_membership()->mutable_pong();
    pong.set_sequence(message.sequence());
    pong.set_clock_us(to_wire(now));
    pong.set_state(wire::agent_state_up);
    configuration_head const& head = configuration_.current()->head();
    if (message.head().revision() == head.revision)
        pong.mutable_head()->set_revision(head.revision);
    else
        *pong.mutable_head() = to_wire(head);
    return reply;
}

void entry_core::on_vm_list(vm_list const& list)
{
    apply_vm_list(list);
}

// Each entry forwards a newer list to its neighbours once, so that it
// reaches every entry.
void entry_core::apply_vm_list(vm_list newer)
{
    if (!agents_.on_vm_list(std::move(newer)))
        return;
    log_.info(event{"vm_list"}
                  .with("revision", agents_.vms().revision())
                  .with("leaving", agents_.vms().leaving().size()));
    for (process_name const& it : neighbours_)
    {
        wire::envelope notice;
        *notice.mutable_membership()->mutable_vm_notice() =
            to_wire(agents_.vms());
        send(entry_peer(it), std::move(notice));
    }
}

void entry_core::update_agent_state(
    std::optional<backend_server_id> const& agent,
    wire::answer_failure const& failure)
{
    if (!agent)
        return;
    result_code const code = result_code_from_number(failure.result_code());
    if (code == result_code::draining)
        agents_.on_attempt_failed(*agent, member_event::heard_leaving);
    if (code == result_code::backend_unreachable)
        agents_.on_attempt_failed(*agent, member_event::heard_backend_down);
}

// A peer with this revision active needs only the revision number, not the
// complete head.
wire::envelope entry_core::make_ping(std::uint64_t known_revision) const
{
    wire::envelope message;
    wire::ping& ping = *message.mutable_membership()->mutable_ping();
    ping.set_sequence(ping_sequence_);
    duration const interval = agents_.schedule().interval();
    if (interval > heartbeat_schedule::min_interval)
        ping.set_interval_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(interval)
                .count()));
    configuration_head const& head = configuration_.current()->head();
    if (known_revision == head.revision)
        ping.mutable_head()->set_revision(head.revision);
    else
        *ping.mutable_head() = to_wire(head);
    return message;
}

void entry_core::ping_all(time_point now)
{
    last_ping_ = now;
    ++ping_sequence_;
    for (auto it = agents_.all().begin(); it != agents_.all().end(); ++it)
    {
        wire::envelope message = make_ping(it->second.revision);
        message.mutable_membership()->mutable_ping()->set_leaving(
            agents_.vms().leaving().contains(it->second.server.vm));
        send(agent_peer(it->first), std::move(message));
    }
    for (process_name const& it : neighbours_)
    {
        wire::envelope message = make_ping(entry_revisions_[entry_peer(it)]);
        message.mutable_membership()->mutable_ping()->set_vm_revision(
            agents_.vms().revision());
        send(entry_peer(it), std::move(message));
    }
    update_member_gauges();
}

void entry_core::update_member_gauges()
{
    for (enum_name<member_state> const& it : enum_table<member_state>::rows)
    {
        metrics_.gauge(
            "hornbeamweir_agents",
            {{"state", std::string{it.name}}},
            static_cast<double>(agents_.count(it.value)));
    }
}

} // namespace hornbeamweir
