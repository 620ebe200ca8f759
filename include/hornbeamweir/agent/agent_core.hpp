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

#include <deque>
#include <list>
#include <map>
#include <set>
#include <vector>

namespace hornbeamweir
{

/// \brief Logic of an agent: fences and deduplicates attempts, runs them on its
/// backend server, records answers of claimed requests, and drains.
/// \remarks Sans-I/O: the caller performs the actions from take_actions().
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
    /// \brief Handles a message that could not be sent.
    void on_unsendable(peer const& to, wire::envelope const& message);

    void on_call_head(call_number call, unsigned status, header_list headers);
    void on_call_data(call_number call, std::string bytes);
    void on_call_ended(call_number call, time_point now);
    /// \param sent Whether the backend server may have received the request.
    void on_call_failed(
        call_number call, error const& reason, bool sent, time_point now);

    /// \brief Handles the result of a health probe.
    /// \param body Body of the health response; std::nullopt if the probe
    /// failed.
    void on_probe(std::optional<std::string> const& body);

    void on_tick(time_point now);

    /// \brief Rejects new executions from now on.
    void drain() noexcept { draining_ = true; }

    /// \brief Returns the actions that arose since the last call, in order.
    [[nodiscard]] std::vector<agent_action> take_actions();

    /// \brief Number of executions whose call or answer is not yet complete.
    [[nodiscard]] std::size_t unfinished_count() const noexcept;
    [[nodiscard]] bool ready() const noexcept;
    [[nodiscard]] boost::json::object status() const;
    [[nodiscard]] std::shared_ptr<configuration const>
    current_configuration() const noexcept
    {
        return configuration_.current();
    }

private:
    /// Id of a request, and number of its attempt.
    using attempt_id = std::pair<std::string, std::uint32_t>;

    /// A call to the backend server, and the answer to its attempts.
    struct execution
    {
        call_number call = 0;
        /// Empty if the request has no claim.
        std::string claim;
        /// Id of the request that started the execution.
        std::string request_id;
        /// Fencing token of the claim.
        std::uint64_t fence = 0;
        bool idempotent = true;
        bool running = true;
        received_answer answer;
        /// One per attached attempt whose answer is not yet complete.
        std::list<answer_stream> streams;
        /// The latest attempts that were attached; duplicates are not answered.
        std::deque<attempt_id> attached_attempts;
        /// Bytes of the record beside the data of the answer.
        std::uint64_t overhead_bytes = 0;
        time_point ended_at{};
        /// Bytes of the response body that the call may read in total.
        std::uint64_t granted_bytes = 0;
    };

    using execution_map = std::map<call_number, execution>;

    struct entry_contact
    {
        /// Time of the last message from the entry.
        time_point last_contact{};
        /// Interval at which the entry sends pings.
        duration ping_interval{};
    };

    void
    on_execute(peer const& from, wire::execute const& request, time_point now);
    void on_credit(peer const& from, wire::credit const& message);
    void on_cancel(peer const& from, wire::cancel const& message);
    void on_ping(peer const& from, wire::ping const& message, time_point now);
    [[nodiscard]] std::optional<error>
    rejection_reason(wire::execute const& request, time_point now) const;
    void reject(
        peer const& from,
        wire::execute const& request,
        error const& reason,
        execution_state state);
    /// \brief Answers an attempt from the claim's recorded answer.
    /// \remarks If there is none, rejects the attempt and, unless the claim may
    /// have been executed, rules out its execution.
    /// \param known The claim's execution, or null if there is none.
    void
    replay(peer const& from, wire::execute const& request, execution* known);
    /// \brief Rejects an attempt whose claim must not be executed.
    /// \returns Whether the claim may be executed.
    [[nodiscard]] bool
    admit_claim(peer const& from, wire::execute const& request);
    void start(peer const& from, wire::execute const& request, time_point now);
    void
    attach(execution& target, peer const& from, wire::execute const& request);
    /// \brief Sends the frames that the streams' credit permits.
    void send_ready_frames(execution& target);
    /// \brief If no attempt is attached to a running call, cancels it if it is
    /// idempotent, and otherwise lets it run to its end.
    void cancel_if_detached(execution& target);
    void complete(execution& target, time_point now);
    /// \brief Discards sent data of an answer that has no claim, and grants the
    /// call further credit.
    void discard_sent_data(execution& target);
    /// \brief Allows a call to read up to a position of its response.
    void grant_up_to(execution& target, std::uint64_t limit);
    /// \brief Counts data that was added to the answer of a claim, and grants
    /// the call further credit while it may be recorded.
    void record(execution& target, std::size_t bytes);
    /// \brief Goes on as if the request had no claim: the answer is sent, but
    /// not replayed.
    void stop_recording(execution& target);
    /// \returns False if the attempt was attached before.
    [[nodiscard]] static bool
    remember_attempt(execution& target, wire::execute const& request);
    void add_overhead(execution& target, std::uint64_t bytes) noexcept;
    execution_map::iterator remove_execution(execution_map::iterator it);
    /// \brief Removes attempts, entries and executions that are out of date.
    void remove_expired(time_point now);
    /// \brief Evicts the oldest recorded answers beyond the limits.
    void evict_excess_answers();
    void perform(configuration_relay_actions const& actions);
    [[nodiscard]] execution* find_claim(std::string const& claim);
    [[nodiscard]] execution* find_call(call_number call);
    [[nodiscard]] execution* find_attempt(
        peer const& from, std::string const& id, std::uint32_t attempt);
    [[nodiscard]] wire::agent_state state() const noexcept;
    [[nodiscard]] bool is_draining() const noexcept;
    [[nodiscard]] wire::envelope
    make_pong(std::uint64_t sequence, bool full_head, time_point now) const;
    void announce_state(time_point now);
    [[nodiscard]] std::uint32_t running_calls() const noexcept;
    void send(peer const& to, wire::envelope message);
    void log_refusal(wire::execute const& request, error const& reason);

    agent_settings settings_;
    std::uint64_t incarnation_;
    event_log& log_;
    metrics_registry& metrics_;
    configuration_relay configuration_;
    execution_map executions_;
    std::map<std::string, call_number> claims_;
    claim_guard guard_;
    attempt_filter attempts_;
    std::map<peer, entry_contact> contacts_;
    std::vector<agent_action> actions_;
    call_number next_call_ = 1;
    wire::load_report load_;
    time_point last_probe_{};
    /// Data of the answers to claims, and of all answers.
    std::uint64_t recorded_bytes_ = 0;
    std::uint64_t held_bytes_ = 0;
    /// Bytes of all executions beside the data of their answers.
    std::uint64_t overhead_bytes_ = 0;
    /// Above it, no further data of an answer is recorded.
    std::uint64_t max_held_bytes_;
    bool draining_ = false;
    /// Whether the configuration marks the backend server as draining.
    bool configured_draining_ = false;
    /// Until when the last notice that the VM is leaving is valid.
    time_point vm_leaving_until_{};
    /// Whether an entry has announced that the VM is leaving.
    bool vm_leaving_ = false;
    /// State that was last sent to the entries.
    wire::agent_state announced_state_ = wire::agent_state_unspecified;
    bool backend_up_ = false;
};

} // namespace hornbeamweir
