#pragma once

#include <hornbeamweir/configuration/configuration.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/membership/heartbeat_schedule.hpp>
#include <hornbeamweir/membership/member_state.hpp>
#include <hornbeamweir/membership/panic_policy.hpp>
#include <hornbeamweir/membership/vm_list.hpp>

#include <map>
#include <membership.pb.h>
#include <optional>
#include <set>
#include <vector>

namespace hornbeamweir
{

/// \brief State of one agent as known to an entry.
struct agent_record
{
    backend_server server;
    /// Identifies one run of the agent process; 0 until the first heartbeat
    /// reply.
    std::uint64_t incarnation = 0;
    /// State that the agent reported in its last heartbeat reply.
    wire::agent_state reported_state = wire::agent_state_unspecified;
    wire::load_report load;
    /// Configuration revision that is active at the agent.
    std::uint64_t revision = 0;
    /// Time of the last heartbeat reply.
    time_point last_contact{};
    /// Reading of the agent's own clock in its last heartbeat reply.
    time_point agent_clock{};
    /// Attempts by this entry that have not ended.
    std::uint32_t in_flight = 0;
    /// State as seen by this entry, which decides whether it gets work.
    member_state observed_state = member_state::suspect;
    /// Whether the configuration or the VM list marks the backend server as
    /// leaving.
    bool leave_ordered = false;
    /// Whether the backend server's data centre is evacuated.
    bool evacuated = false;
    /// Time of the first attempt sent to the agent while suspect, since the
    /// last heartbeat reply or the last abandonment.
    std::optional<time_point> first_attempt_while_suspect;
    /// Whether the open attempts were abandoned, with neither a heartbeat reply
    /// nor a new attempt since.
    bool attempts_abandoned = false;
};

/// \brief Connections to open and close when a configuration is activated.
struct connection_changes
{
    std::vector<backend_server> dial;
    std::vector<backend_server_id> disconnect;
};

/// \brief Tracks the state of all agents to which an entry sends heartbeats.
class agent_table
{
public:
    explicit agent_table(heartbeat_budget budget = {}) noexcept
        : budget_{budget}
    {
    }

    /// \brief Replaces the table by the selected backend servers of a
    /// configuration.
    /// \remarks Keeps the state of agents whose address and key are unchanged.
    [[nodiscard]] connection_changes apply_configuration(
        configuration const& current,
        std::set<backend_server_id> const& selected);

    /// \brief Replaces the VM list if the given one is newer.
    /// \returns Whether it was newer.
    bool on_vm_list(vm_list newer);

    /// \brief Records that an attempt is sent to an agent.
    /// \remarks The caller decrements in_flight when the attempt ends.
    void on_attempt_sent(agent_record& agent, time_point now) const noexcept;

    /// \brief Updates the state of a member after a failed attempt.
    /// \param observed What the failure shows, for example that the backend
    /// server is down.
    void on_attempt_failed(backend_server_id const& id, member_event observed);

    /// \brief Processes a heartbeat reply.
    /// \returns Whether the agent was restarted since the previous one.
    bool on_pong(
        backend_server_id const& id,
        std::uint64_t incarnation,
        wire::pong const& pong,
        time_point now);

    /// \brief Marks agents without a recent heartbeat reply as suspect.
    /// \returns The agents whose open attempts must be abandoned.
    /// \remarks When replies of most agents are missing at once, open attempts
    /// are given more time. A pause of this process does not count as missing
    /// replies.
    [[nodiscard]] std::vector<backend_server_id> on_tick(time_point now);

    /// \brief Whether new work may be sent to an agent outside panic mode.
    [[nodiscard]] bool usable(agent_record const& agent) const noexcept;

    /// \brief Whether new work may be sent to an agent in panic mode.
    [[nodiscard]] bool
    usable_in_panic_mode(agent_record const& agent) const noexcept;

    /// \brief Number of agents in a state.
    [[nodiscard]] std::size_t count(member_state state) const noexcept;

    [[nodiscard]] heartbeat_schedule const& schedule() const noexcept
    {
        return schedule_;
    }
    [[nodiscard]] vm_list const& vms() const noexcept { return vms_; }

    /// \returns nullptr if the agent is unknown.
    [[nodiscard]] agent_record const* find(backend_server_id const& id) const;
    [[nodiscard]] agent_record* find(backend_server_id const& id);

    /// \brief Returns the latest permitted start of an attempt, on the agent's
    /// own clock.
    /// \param allowed Time from now within which the attempt must start.
    /// \remarks The agent's clock is estimated from its last heartbeat reply.
    /// Apart from clock drift, the estimate is never ahead of the clock.
    [[nodiscard]] time_point latest_start(
        agent_record const& agent, duration allowed, time_point now) const;

    [[nodiscard]] std::map<backend_server_id, agent_record> const&
    all() const noexcept
    {
        return agents_;
    }

private:
    void update_leave_order(agent_record& agent) const;
    [[nodiscard]] duration time_since_heartbeat(
        agent_record const& agent, time_point now) const noexcept;
    [[nodiscard]] bool most_agents_silent(time_point now) const noexcept;

    std::map<backend_server_id, agent_record> agents_;
    heartbeat_budget budget_;
    heartbeat_schedule schedule_;
    panic_policy panic_;
    vm_list vms_;
    time_point last_tick_{};
    /// Time at which this process resumed after its last pause.
    time_point resumed_at_{};
};

} // namespace hornbeamweir
