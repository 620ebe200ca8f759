#pragma once

#include <hornbeamweir/admission/admission_controller.hpp>
#include <hornbeamweir/admission/overload_gate.hpp>
#include <hornbeamweir/admission/share_exchange.hpp>
#include <hornbeamweir/configuration/configuration_relay.hpp>
#include <hornbeamweir/entry/capacity_monitor.hpp>
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

/// \brief Decision logic of an entry: admission, routing, retries, membership
/// and configuration.
/// \remarks Sans-I/O: events and the current time come in through the on_...()
/// functions; take_actions() returns the I/O to perform.
class entry_core
{
public:
    entry_core(
        entry_settings settings,
        random_source random,
        routing_policy& routing,
        event_log& log,
        metrics_registry& metrics);

    /// \brief Connects to the neighbouring entries.
    void start();

    /// \brief Starts processing a caller's request.
    /// \returns The id assigned to the request.
    request_id on_request(http_request_message message, time_point now);
    void on_caller_disconnected(request_id const& id, time_point now);

    /// \brief Records that bytes of the response were written to the caller,
    /// and returns credit to the agent.
    void on_response_written(request_id const& id, std::size_t bytes);

    void
    on_message(peer const& from, wire::envelope const& message, time_point now);
    /// \brief Handles a message that could not be sent; an attempt in it
    /// counts as not sent.
    void on_send_failed(
        peer const& to, wire::envelope const& message, time_point now);
    void on_platform_head(configuration_head const& head, time_point now);
    /// \param content Empty if the platform did not return the part.
    void on_platform_part(
        std::string const& hash,
        std::optional<std::string> content,
        time_point now);
    void on_commit(
        std::uint64_t token,
        result<transaction_reply> const& reply,
        time_point now);
    /// \param lease Id of the granted lease, or why none was granted.
    void on_lease(result<std::int64_t> const& lease, time_point now);
    /// \brief Applies the list of VMs read from the platform.
    void on_vm_list(vm_list const& list);
    void on_tick(time_point now);

    /// \brief Rejects new requests from now on; requests in progress
    /// continue.
    void drain() noexcept { draining_ = true; }

    /// \brief Removes and returns the pending actions, in order.
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
    /// \brief Returns the logged decisions on a recent request.
    [[nodiscard]] std::vector<std::string> explain(request_id const& id) const
    {
        return history_.find(id);
    }

private:
    struct live_request
    {
        request_machine machine;
        /// Bytes written to the caller that were not yet returned to the agent
        /// as credit.
        std::uint32_t uncredited = 0;
        time_point attempt_sent{};
        bool head_sent = false;
        unsigned status = 0;
        /// Length of the response that its head states.
        std::optional<std::uint64_t> response_length{};
        std::uint64_t written = 0;

        /// \returns Whether the caller has got the whole response, although
        /// its end is not known here yet.
        [[nodiscard]] bool is_delivered() const noexcept
        {
            return response_length && written >= *response_length;
        }
    };

    void respond_with_models(
        request_id const& id, http_request_message const& message);
    void admit(inbound_request request, time_point now);
    /// Time after which a caller may return if no backend server is available.
    [[nodiscard]] duration retry_after_no_backend();
    void submit_to_gate(request_id const& id, time_point now);
    [[nodiscard]] overload_gate& gate_of(inbound_request const& request);
    void dispatch_queued(overload_gate& gate, time_point now);
    void on_gates_tick(time_point now);
    void reject_for_overload(
        request_id const& id, duration retry_after, time_point now);
    void send_shares(std::vector<outgoing_share_message> const& messages);
    void send_error(
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
    void relay_response_head(
        request_id const& id, live_request& live, relay_head const& action);
    void
    fail(request_id const& id, live_request& live, fail_request const& action);
    void
    abort(request_id const& id, live_request& live, abort_relay const& action);
    void end_attempt(
        request_id const& id, attempt_ended const& action, time_point now);
    void remove_finished(request_id const& id, time_point now);
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
    void on_claim_decided(ledger_decision const& decision, time_point now);
    void perform(configuration_relay_actions const& actions, time_point now);
    void activate(
        std::shared_ptr<configuration const> const& current, time_point now);
    /// Selects the agents to connect to; keeps those with open attempts.
    [[nodiscard]] std::set<backend_server_id>
    select_agents(configuration const& current) const;
    void reject_requests_without_backend(time_point now);
    [[nodiscard]] bool
    is_out_of_service(std::optional<backend_server_id> const& server) const;
    void ping_all(time_point now);
    [[nodiscard]] wire::envelope make_ping(std::uint64_t known_revision) const;
    [[nodiscard]] wire::envelope
    make_pong(wire::ping const& message, time_point now) const;
    void apply_vm_list(vm_list newer);
    void update_agent_state(
        std::optional<backend_server_id> const& agent,
        wire::answer_failure const& failure);
    void update_member_gauges();
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
    /// Keyed by model or service.
    std::map<std::string, overload_gate> gates_;
    std::vector<process_name> neighbours_;
    backend_subset subset_;
    /// Active configuration revision of each other entry.
    std::map<peer, std::uint64_t> entry_revisions_;
    agent_table agents_;
    candidate_finder candidates_;
    capacity_monitor capacity_;
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
    bool dispatching_ = false;
};

} // namespace hornbeamweir
