#pragma once

#include <hornbeamweir/admission/admission_controller.hpp>
#include <hornbeamweir/admission/overload_gate.hpp>
#include <hornbeamweir/admission/share_exchange.hpp>
#include <hornbeamweir/configuration/configuration_relay.hpp>
#include <hornbeamweir/entry/decision_history.hpp>
#include <hornbeamweir/entry/entry_action.hpp>
#include <hornbeamweir/entry/request_intake.hpp>
#include <hornbeamweir/entry/request_machine.hpp>
#include <hornbeamweir/idempotency/claim_ledger.hpp>
#include <hornbeamweir/membership/agent_table.hpp>
#include <hornbeamweir/membership/backend_subset.hpp>
#include <hornbeamweir/routing/candidate_finder.hpp>
#include <hornbeamweir/routing/retry_budget.hpp>
#include <hornbeamweir/settings/process_settings.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include <boost/json/object.hpp>

#include <map>

namespace hornbeamweir
{

/// \brief All decisions of an entry.
/// \remarks Sans-I/O: takes requests, messages and instants, and returns what
/// is to be done through take_actions().
class entry_core
{
public:
    entry_core(
        entry_settings settings,
        random_source random,
        routing_policy& routing,
        event_log& log,
        metrics_registry& metrics);

    /// \brief Connects to the peers in the settings.
    void start();

    /// \brief Takes a caller's request and returns its id.
    request_id on_request(http_request_message message, time_point now);
    void on_caller_gone(request_id const& id, time_point now);

    /// \brief Bytes of the answer were written to the caller.
    void on_written(request_id const& id, std::size_t bytes);

    void
    on_message(peer const& from, wire::envelope const& message, time_point now);
    void on_unsendable(
        peer const& to, wire::envelope const& message, time_point now);
    void on_platform_head(configuration_head const& head, time_point now);
    void on_platform_part(
        std::string const& hash,
        std::optional<std::string> content,
        time_point now);
    void on_commit(
        std::uint64_t token,
        result<transaction_reply> const& reply,
        time_point now);
    void on_lease(result<std::int64_t> const& lease, time_point now);
    /// \brief Takes the platform's list of VMs.
    void on_vm_list(vm_list const& list);
    void on_tick(time_point now);

    /// \brief Takes no new requests from now on.
    void drain() noexcept { draining_ = true; }

    [[nodiscard]] std::vector<entry_action> take_actions();

    [[nodiscard]] bool ready() const noexcept;
    [[nodiscard]] bool watches_vm_list() const
    {
        return hornbeamweir::watches_vm_list(settings_.identity.name, entries_);
    }
    [[nodiscard]] std::size_t live_requests() const noexcept
    {
        return live_.size();
    }
    [[nodiscard]] boost::json::object status(time_point now) const;
    [[nodiscard]] std::vector<std::string> explain(request_id const& id) const
    {
        return history_.find(id);
    }

private:
    struct live_request
    {
        request_machine machine;
        /// Agent's copy of the request, sent with each attempt.
        std::uint32_t uncredited = 0;
        time_point attempt_sent{};
        bool head_sent = false;
        unsigned status = 0;
    };

    void
    answer_directly(request_id const& id, http_request_message const& message);
    void begin(inbound_request request, time_point now);
    void enter_gate(request_id const& id, time_point now);
    [[nodiscard]] overload_gate& gate_of(inbound_request const& request);
    void start_next(overload_gate& gate, time_point now);
    void on_gates_tick(time_point now);
    void give_up(request_id const& id, duration retry_after, time_point now);
    void send_shares(std::vector<share_send> const& messages);
    void refuse(
        request_id const& id,
        error const& reason,
        execution_state state,
        std::optional<duration> retry_after);

    void perform(request_id const& id, request_actions actions, time_point now);
    void
    choose(request_id const& id, choose_backend const& action, time_point now);
    void send_attempt(
        live_request& live, start_attempt const& action, time_point now);
    void send_cancel(request_id const& id, cancel_attempt const& action);
    void relay_answer_head(
        request_id const& id, live_request& live, relay_head const& action);
    void
    fail(request_id const& id, live_request& live, fail_request const& action);
    void
    abort(request_id const& id, live_request& live, abort_relay const& action);
    void end_attempt(
        request_id const& id, attempt_ended const& action, time_point now);
    void retire(request_id const& id, time_point now);
    void
    log_choice(inbound_request const& request, routing_choice const& choice);
    void log_outcome(
        inbound_request const& request,
        error const& reason,
        execution_state state);

    void on_answer(wire::answer const& frame, time_point now);
    void on_membership(
        peer const& from, wire::envelope const& message, time_point now);
    void on_agents_lost(
        std::vector<backend_server_id> const& lost, bool sent, time_point now);
    void perform(ledger_action const& action, time_point now);
    void perform(ledger_actions const& actions, time_point now);
    void on_decision(ledger_decision const& decision, time_point now);
    void perform(configuration_relay_actions const& actions, time_point now);
    void activate(
        std::shared_ptr<configuration const> const& current, time_point now);
    void ping_all(time_point now);
    [[nodiscard]] wire::envelope make_ping(std::uint64_t known_revision) const;
    [[nodiscard]] wire::envelope
    make_pong(wire::ping const& message, time_point now) const;
    void take_vm_list(vm_list newer);
    void take_failure(
        std::optional<backend_server_id> const& agent,
        wire::answer_failure const& failure);
    void count_members();
    void send(peer const& to, wire::envelope message);

    entry_settings settings_;
    random_source random_;
    routing_policy& routing_;
    event_log& log_;
    metrics_registry& metrics_;
    request_intake intake_;
    admission_controller admission_;
    std::vector<process_name> entries_;
    share_exchange shares_;
    /// By model or service.
    std::map<std::string, overload_gate> gates_;
    std::vector<process_name> neighbours_;
    backend_subset subset_;
    /// Revisions that other entries have in force.
    std::map<peer, std::uint64_t> entry_revisions_;
    agent_table agents_;
    candidate_finder candidates_;
    claim_ledger ledger_;
    configuration_relay configuration_;
    retry_budget budget_;
    decision_history history_;
    std::map<request_id, live_request> live_;
    std::multimap<time_point, request_id> deadlines_;
    std::vector<entry_action> actions_;
    time_point last_ping_{};
    time_point last_gate_report_{};
    std::uint64_t ping_sequence_ = 0;
    bool draining_ = false;
    bool starting_ = false;
};

} // namespace hornbeamweir
