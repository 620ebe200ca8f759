#include <hornbeamweir/agent/agent_core.hpp>
#include <hornbeamweir/core/overloaded.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr duration probe_interval = std::chrono::milliseconds{500};
/// Maximum number of executed and dismissed claims that are tracked.
constexpr std::size_t max_tracked_claims = 16 * 1024;
/// Minimum time without a message after which an entry is considered lost;
/// entries usually send several pings within it.
constexpr duration min_entry_timeout = std::chrono::seconds{5};
/// Minimum number of its ping intervals after which an entry is considered
/// lost.
constexpr int missed_pings_until_lost = 4;
/// Validity of a notice that the VM is leaving; entries repeat the notice in
/// each ping.
constexpr duration vm_leaving_validity = std::chrono::seconds{15};

/// Selects the parts of the configuration that hold the agent's backend server
/// and its group.
configuration_follower::part_filter
make_part_filter(backend_server_id const& id)
{
    return [id](std::uint32_t part, configuration const& current)
    {
        if (part == part_of(id.str()))
            return true;
        backend_server const* const server = current.find(id);
        return server != nullptr && !server->group.empty() &&
               part == part_of(server->group.str());
    };
}

std::uint32_t
uint32_field(boost::json::object const& document, std::string_view key)
{
    boost::json::value const* const it = document.if_contains(key);
    if (it == nullptr)
        return 0;
    boost::system::error_code ec;
    std::uint32_t const value = it->to_number<std::uint32_t>(ec);
    return ec ? 0 : value;
}

} // namespace

agent_core::agent_core(
    agent_settings settings,
    std::uint64_t incarnation,
    event_log& log,
    metrics_registry& metrics)
    : settings_{std::move(settings)}
    , incarnation_{incarnation}
    , log_{log}
    , metrics_{metrics}
    , configuration_{false, make_part_filter(settings_.backend_server)}
    , guard_{max_tracked_claims}
    , max_held_bytes_{std::max<std::uint64_t>(
          settings_.retention_bytes, held_bytes_limit(settings_.limits) / 2)}
{
}

std::vector<agent_action> agent_core::take_actions()
{
    return std::exchange(actions_, {});
}

void agent_core::send(peer const& to, wire::envelope message)
{
    actions_.emplace_back(agent_send{to, std::move(message)});
}

wire::agent_state agent_core::state() const noexcept
{
    if (is_draining())
        return wire::agent_state_draining;
    return backend_up_ ? wire::agent_state_up : wire::agent_state_backend_down;
}

bool agent_core::is_draining() const noexcept
{
    return draining_ || configured_draining_ || vm_leaving_;
}

bool agent_core::ready() const noexcept
{
    return state() == wire::agent_state_up;
}

std::uint32_t agent_core::running_calls() const noexcept
{
    std::uint32_t n = 0;
    for (auto it = executions_.begin(); it != executions_.end(); ++it)
        n += it->second.running ? 1 : 0;
    return n;
}

std::size_t agent_core::unfinished_count() const noexcept
{
    std::size_t n = 0;
    for (auto it = executions_.begin(); it != executions_.end(); ++it)
        n += it->second.running || !it->second.streams.empty() ? 1 : 0;
    return n;
}

void agent_core::on_message(
    peer const& from, wire::envelope const& message, time_point now)
{
    contacts_[from].last_contact = now;
    switch (message.body_case())
    {
    case wire::envelope::kExecute:
        on_execute(from, message.execute(), now);
        break;
    case wire::envelope::kCredit:
        on_credit(from, message.credit());
        break;
    case wire::envelope::kCancel:
        on_cancel(from, message.cancel());
        break;
    case wire::envelope::kMembership:
        if (message.membership().has_ping())
            on_ping(from, message.membership().ping(), now);
        break;
    case wire::envelope::kConfiguration:
        perform(configuration_.on_message(from, message.configuration(), now));
        break;
    default:
        metrics_.count("hornbeamweir_messages_unexpected_total", {});
        break;
    }
}

void agent_core::on_ping(
    peer const& from, wire::ping const& message, time_point now)
{
    perform(configuration_.on_peer_head(from, from_wire(message.head()), now));
    contacts_[from].ping_interval =
        std::chrono::milliseconds{message.interval_ms()};
    if (message.leaving())
    {
        vm_leaving_ = true;
        vm_leaving_until_ = now + vm_leaving_validity;
    }
    bool const same_revision =
        message.head().revision() == configuration_.current()->head().revision;
    send(from, make_pong(message.sequence(), !same_revision, now));
}

wire::envelope agent_core::make_pong(
    std::uint64_t sequence, bool full_head, time_point now) const
{
    wire::envelope reply;
    wire::pong& pong = *reply.mutable_membership()->mutable_pong();
    pong.set_sequence(sequence);
    pong.set_clock_us(to_wire(now));
    pong.set_state(state());
    *pong.mutable_load() = load_;
    pong.mutable_load()->set_in_flight(running_calls());
    configuration_head const& head = configuration_.current()->head();
    if (full_head)
        *pong.mutable_head() = to_wire(head);
    else
        pong.mutable_head()->set_revision(head.revision);
    return reply;
}

// Sends a changed state to all entries at once instead of with the next
// heartbeat.
void agent_core::announce_state(time_point now)
{
    if (state() == announced_state_)
        return;
    announced_state_ = state();
    log_.info(event{"state"}
                  .with("leaving", is_draining() ? 1 : 0)
                  .with("backend_up", backend_up_ ? 1 : 0));
    for (auto it = contacts_.begin(); it != contacts_.end(); ++it)
        send(it->first, make_pong(0, false, now));
}

void agent_core::perform(configuration_relay_actions const& actions)
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
                [](read_configuration_part const&) {},
                [&](configuration_activated const& it)
                {
                    backend_server const* const self =
                        it.current->find(settings_.backend_server);
                    configured_draining_ = self != nullptr && self->draining;
                    log_.info(event{"configuration_in_force"}
                                  .with("revision", it.current->revision())
                                  .with("note", it.current->head().note_id));
                },
                [&](configuration_content_rejected const& it)
                {
                    log_.error(event{"configuration_rejected"}
                                   .with("source", it.source)
                                   .with("reason", it.reason.message));
                }},
            action);
    }
}

void agent_core::on_probe(std::optional<std::string> const& body)
{
    bool const up = body.has_value();
    if (up != backend_up_)
        log_.warning(event{up ? "backend_up" : "backend_down"});
    backend_up_ = up;
    if (!up)
        return;
    boost::system::error_code ec;
    boost::json::value const document = boost::json::parse(*body, ec);
    if (ec || !document.is_object())
        return;
    boost::json::object const& report = document.get_object();
    load_.set_queued(uint32_field(report, "queued"));
    load_.set_step_us(uint32_field(report, "step_us"));
    load_.set_expert_map(uint32_field(report, "expert_map"));
}

void agent_core::on_tick(time_point now)
{
    perform(configuration_.on_tick(now));
    if (now - last_probe_ >= probe_interval)
    {
        last_probe_ = now;
        actions_.emplace_back(probe_backend{});
    }
    vm_leaving_ = vm_leaving_ && now < vm_leaving_until_;
    announce_state(now);
    remove_expired(now);
}

void agent_core::remove_expired(time_point now)
{
    attempts_.expire(now);
    for (auto it = contacts_.begin(); it != contacts_.end();)
    {
        duration const timeout = std::max(
            min_entry_timeout,
            it->second.ping_interval * missed_pings_until_lost);
        if (now - it->second.last_contact < timeout)
        {
            ++it;
            continue;
        }
        log_.warning(event{"entry_lost"}.with("entry", it->first.id));
        configuration_.on_peer_lost(it->first);
        for (auto run = executions_.begin(); run != executions_.end(); ++run)
        {
            run->second.streams.remove_if([&](answer_stream const& stream)
                                          { return stream.to() == it->first; });
            cancel_if_detached(run->second);
        }
        it = contacts_.erase(it);
    }
    duration const retention = std::chrono::seconds{settings_.retention_s};
    for (auto it = executions_.begin(); it != executions_.end();)
    {
        execution const& run = it->second;
        bool const kept =
            run.running || !run.streams.empty() ||
            (!run.claim.empty() && now - run.ended_at < retention);
        if (kept)
        {
            ++it;
            continue;
        }
        it = remove_execution(it);
    }
}

agent_core::execution_map::iterator
agent_core::remove_execution(execution_map::iterator it)
{
    execution const& run = it->second;
    held_bytes_ -= run.answer.data.size();
    overhead_bytes_ -= run.overhead_bytes;
    if (!run.claim.empty())
    {
        recorded_bytes_ -= run.answer.data.size();
        claims_.erase(run.claim);
    }
    return executions_.erase(it);
}

boost::json::object agent_core::status() const
{
    boost::json::object out;
    out["process"] = settings_.identity.name.str();
    out["backend_server"] = settings_.backend_server.str();
    out["ready"] = ready();
    out["draining"] = is_draining();
    out["revision"] = configuration_.current()->revision();
    out["running"] = running_calls();
    out["recorded_bytes"] = recorded_bytes_;
    out["held_bytes"] = held_bytes_;
    out["overhead_bytes"] = overhead_bytes_;
    std::uint64_t attempts = 0;
    for (auto it = executions_.begin(); it != executions_.end(); ++it)
        attempts += it->second.attached_attempts.size();
    out["tracked_attempts"] = attempts;
    return out;
}

} // namespace hornbeamweir
