#pragma once

#include <hornbeamweir/agent/agent_action.hpp>
#include <hornbeamweir/agent/answer_stream.hpp>
#include <hornbeamweir/configuration/configuration_relay.hpp>
#include <hornbeamweir/idempotency/attempt_filter.hpp>
#include <hornbeamweir/idempotency/claim_guard.hpp>
#include <hornbeamweir/settings/process_settings.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include <boost/json/object.hpp>

#include <list>
#include <map>
#include <set>
#include <vector>

namespace hornbeamweir
{

/// \brief All decisions of an agent: fences, deduplicates and drains for its
/// backend server.
/// \remarks Sans-I/O.
class agent_core
{
public:
    agent_core(
        agent_settings settings,
        std::uint64_t incarnation,
        event_log& log,
        metrics_registry& metrics);

    void
    on_message(peer const& from, wire::envelope const& message, time_point now);
    void on_unsendable(peer const& to, wire::envelope const& message);

    void on_call_head(call_number call, unsigned status, header_list headers);
    void on_call_data(call_number call, std::string bytes);
    void on_call_ended(call_number call, time_point now);
    void on_call_failed(
        call_number call, error const& reason, bool sent, time_point now);

    /// \param body Body of the health answer; nothing if there was none.
    void on_probe(std::optional<std::string> const& body);

    void on_tick(time_point now);

    /// \brief Takes no new attempts from now on.
    void drain() noexcept { draining_ = true; }

    [[nodiscard]] std::vector<agent_action> take_actions();

    /// \brief Number of calls and answers that are not yet complete.
    [[nodiscard]] std::size_t busy() const noexcept;
    [[nodiscard]] bool ready() const noexcept;
    [[nodiscard]] boost::json::object status() const;
    [[nodiscard]] std::shared_ptr<configuration const>
    current_configuration() const noexcept
    {
        return configuration_.current();
    }

private:
    struct execution
    {
        call_number call = 0;
        std::string claim;
        std::string request_id;
        std::uint64_t fence = 0;
        bool idempotent = true;
        bool running = true;
        recorded_answer answer;
        std::list<answer_stream> streams;
        /// Attempts that were attached, so that none is answered twice.
        std::set<std::pair<std::string, std::uint32_t>> served;
        time_point ended{};
        std::uint64_t allowed = 0;
    };

    struct heard_entry
    {
        time_point at{};
        /// Interval of its pings.
        duration interval{};
    };

    void
    on_execute(peer const& from, wire::execute const& request, time_point now);
    void on_credit(peer const& from, wire::credit const& message);
    void on_cancel(peer const& from, wire::cancel const& message);
    void on_ping(peer const& from, wire::ping const& message, time_point now);
    [[nodiscard]] std::optional<error>
    reason_to_refuse(wire::execute const& request, time_point now) const;
    void refuse(
        peer const& from,
        wire::execute const& request,
        error const& reason,
        execution_state state);
    void
    replay(peer const& from, wire::execute const& request, execution* known);
    /// \returns Whether the claim's fence admits an execution; else refuses.
    [[nodiscard]] bool
    admit_claim(peer const& from, wire::execute const& request);
    void start(peer const& from, wire::execute const& request, time_point now);
    void
    attach(execution& target, peer const& from, wire::execute const& request);
    void advance(execution& target);
    void release_unwanted(execution& target);
    void complete(execution& target, time_point now);
    void trim(execution& target);
    void expire(time_point now);
    void evict_beyond_budget();
    void perform(configuration_relay_actions const& actions);
    [[nodiscard]] execution* find_claim(std::string const& claim);
    [[nodiscard]] execution* find_call(call_number call);
    [[nodiscard]] execution* find_attempt(
        peer const& from, std::string const& id, std::uint32_t attempt);
    [[nodiscard]] wire::agent_state state() const noexcept;
    [[nodiscard]] bool leaving() const noexcept;
    [[nodiscard]] wire::envelope
    make_pong(std::uint64_t sequence, bool whole_head, time_point now) const;
    void announce_state(time_point now);
    [[nodiscard]] std::uint32_t running_calls() const noexcept;
    void send(peer const& to, wire::envelope message);
    void log_refusal(wire::execute const& request, error const& reason);

    agent_settings settings_;
    std::uint64_t incarnation_;
    event_log& log_;
    metrics_registry& metrics_;
    configuration_relay configuration_;
    std::map<call_number, execution> executions_;
    std::map<std::string, call_number> claims_;
    claim_guard guard_;
    attempt_filter attempts_;
    std::map<peer, heard_entry> last_heard_;
    std::vector<agent_action> actions_;
    call_number next_call_ = 1;
    wire::load_report load_;
    time_point last_probe_{};
    std::uint64_t recorded_bytes_ = 0;
    bool draining_ = false;
    /// The configuration says that the backend server is draining.
    bool configured_leave_ = false;
    /// Until when an entry's word holds that the VM is leaving.
    time_point vm_leaves_until_{};
    bool vm_leaves_ = false;
    wire::agent_state announced_ = wire::agent_state_unspecified;
    bool backend_up_ = false;
};

} // namespace hornbeamweir
