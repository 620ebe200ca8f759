#include <hornbeamweir/membership/agent_table.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

/// A longer interval between ticks is treated as a pause of this process.
constexpr duration max_tick_interval = std::chrono::milliseconds{500};
/// Minimum number of agents for which a majority is meaningful.
constexpr std::size_t min_fleet_for_majority = 4;
/// When replies of most agents are missing, open attempts are abandoned after
/// this multiple of the time to suspicion.
constexpr int widespread_silence_factor = 3;

member_event event_of(wire::agent_state state) noexcept
{
    if (state == wire::agent_state_up)
        return member_event::heard_up;
    if (state == wire::agent_state_draining)
        return member_event::heard_leaving;
    return member_event::heard_backend_down;
}

} // namespace

connection_changes agent_table::apply_configuration(
    configuration const& current, std::set<backend_server_id> const& selected)
{
    connection_changes changes;
    std::map<backend_server_id, agent_record> next;
    current.for_each_part(
        [&](configuration_part const& part)
        {
            for (auto it = part.backend_servers.begin();
                 it != part.backend_servers.end();
                 ++it)
            {
                backend_server const& server = it->second;
                if (!selected.contains(server.id))
                    continue;
                agent_record* const known = find(server.id);
                bool const same =
                    known != nullptr &&
                    known->server.agent_address == server.agent_address &&
                    known->server.agent_key == server.agent_key;
                agent_record& record = next[server.id];
                if (same)
                    record = *known;
                else
                    changes.dial.push_back(server);
                record.server = server;
                record.evacuated = current.is_evacuated(server.data_centre);
                update_leave_order(record);
            }
        });
    for (auto it = agents_.begin(); it != agents_.end(); ++it)
    {
        if (!next.contains(it->first))
            changes.disconnect.push_back(it->first);
    }
    agents_ = std::move(next);
    schedule_ = heartbeat_schedule{agents_.size(), budget_};
    return changes;
}

void agent_table::update_leave_order(agent_record& agent) const
{
    bool const ordered =
        agent.server.draining || vms_.leaving().contains(agent.server.vm);
    if (ordered == agent.leave_ordered)
        return;
    agent.leave_ordered = ordered;
    agent.observed_state = next_state(
        agent.observed_state,
        ordered ? member_event::leave_ordered : member_event::leave_revoked);
}

bool agent_table::on_vm_list(vm_list newer)
{
    if (!vms_.replace_if_newer(std::move(newer)))
        return false;
    for (auto it = agents_.begin(); it != agents_.end(); ++it)
        update_leave_order(it->second);
    return true;
}

void agent_table::on_attempt_sent(
    agent_record& agent, time_point now) const noexcept
{
    ++agent.in_flight;
    if (agent.observed_state != member_state::suspect)
        return;
    agent.attempts_abandoned = false;
    if (!agent.first_attempt_while_suspect)
        agent.first_attempt_while_suspect = now;
}

void agent_table::on_attempt_failed(
    backend_server_id const& id, member_event observed)
{
    agent_record* const record = find(id);
    if (record != nullptr)
        record->observed_state = next_state(record->observed_state, observed);
}

bool agent_table::on_pong(
    backend_server_id const& id,
    std::uint64_t incarnation,
    wire::pong const& pong,
    time_point now)
{
    agent_record* const record = find(id);
    if (record == nullptr)
        return false;
    bool const restarted =
        record->incarnation != 0 && record->incarnation != incarnation;
    record->incarnation = incarnation;
    record->reported_state = pong.state();
    record->load = pong.load();
    record->revision = pong.head().revision();
    record->last_contact = now;
    record->agent_clock = from_wire(pong.clock_us());
    record->first_attempt_while_suspect.reset();
    record->attempts_abandoned = false;
    record->observed_state = next_state(
        record->observed_state,
        record->leave_ordered ? member_event::heard_leaving
                              : event_of(pong.state()));
    return restarted;
}

duration agent_table::time_since_heartbeat(
    agent_record const& agent, time_point now) const noexcept
{
    return now - std::max(agent.last_contact, resumed_at_);
}

bool agent_table::most_agents_silent(time_point now) const noexcept
{
    std::size_t silent = 0;
    std::size_t responsive = 0;
    for (auto it = agents_.begin(); it != agents_.end(); ++it)
    {
        agent_record const& record = it->second;
        // A data centre is often evacuated before it is switched off, which
        // says nothing about the network of this entry.
        if (record.incarnation == 0 || record.evacuated ||
            record.observed_state == member_state::leaving)
            continue;
        if (time_since_heartbeat(record, now) > schedule_.suspect_after())
            ++silent;
        else
            ++responsive;
    }
    return silent + responsive >= min_fleet_for_majority &&
           panic_.applies(responsive, silent);
}

std::vector<backend_server_id> agent_table::on_tick(time_point now)
{
    std::vector<backend_server_id> lost;
    if (now - last_tick_ > max_tick_interval)
        resumed_at_ = now;
    last_tick_ = now;
    duration const attempt_timeout =
        schedule_.suspect_after() *
        (most_agents_silent(now) ? widespread_silence_factor : 1);
    for (auto it = agents_.begin(); it != agents_.end(); ++it)
    {
        agent_record& record = it->second;
        duration const silent = time_since_heartbeat(record, now);
        if (silent <= schedule_.suspect_after())
            continue;
        record.observed_state =
            next_state(record.observed_state, member_event::silent);
        // For attempts sent while the agent was suspect, the time counts from
        // the first of them.
        duration const waited =
            record.first_attempt_while_suspect
                ? std::min(silent, now - *record.first_attempt_while_suspect)
                : silent;
        if (record.attempts_abandoned || waited <= attempt_timeout)
            continue;
        record.attempts_abandoned = true;
        record.first_attempt_while_suspect.reset();
        lost.push_back(it->first);
    }
    return lost;
}

bool agent_table::usable(agent_record const& agent) const noexcept
{
    return agent.observed_state == member_state::up;
}

bool agent_table::usable_in_panic_mode(agent_record const& agent) const noexcept
{
    return agent.observed_state == member_state::suspect &&
           agent.incarnation != 0 && !agent.leave_ordered;
}

std::size_t agent_table::count(member_state state) const noexcept
{
    std::size_t n = 0;
    for (auto it = agents_.begin(); it != agents_.end(); ++it)
        n += it->second.observed_state == state ? 1 : 0;
    return n;
}

agent_record const* agent_table::find(backend_server_id const& id) const
{
    auto const it = agents_.find(id);
    return it == agents_.end() ? nullptr : &it->second;
}

agent_record* agent_table::find(backend_server_id const& id)
{
    auto const it = agents_.find(id);
    return it == agents_.end() ? nullptr : &it->second;
}

time_point agent_table::latest_start(
    agent_record const& agent, duration allowed, time_point now) const
{
    return agent.agent_clock + (now - agent.last_contact) + allowed;
}

} // namespace hornbeamweir
