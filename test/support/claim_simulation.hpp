#pragma once

#include <hornbeamweir/agent/agent_core.hpp>
#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/entry/request_machine.hpp>
#include <hornbeamweir/idempotency/claim_ledger.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace test
{

/// \brief Probabilities and numbers of the faults in a simulated run.
struct fault_rates
{
    /// Share of messages that are lost.
    double loss = 0.03;
    /// Share of messages that are delivered twice.
    double duplicate = 0.05;
    /// Share of messages that are delayed by up to 4 s.
    double delayed = 0.05;
    /// Share of commits whose reply is lost.
    double lost_platform_reply = 0.1;
    /// Share of calls that do not reach the backend server.
    double backend_unreachable = 0.1;
    /// Share of calls that fail during the response.
    double broken_response = 0.05;
    /// Share of health probes that fail.
    double failed_probe = 0.1;
    /// Share of attempts that are sent to an agent's earlier incarnation.
    double stale_incarnation = 0.1;
    /// Share of attempts that cannot be sent.
    double unsendable = 0.02;
    /// Bytes of answers that an agent keeps; the default forces evictions.
    std::uint32_t retention_bytes = 40;
    /// Number of crashes of each process.
    unsigned crashes = 2;
    /// Number of pauses of each process.
    unsigned pauses = 2;
    /// Number of outages of the platform.
    unsigned outages = 2;
};

/// \brief Outcome of a run, with the violations of its invariants.
struct simulation_result
{
    std::vector<std::string> violations;
    std::map<std::string, unsigned> executions_by_key;
    std::map<std::string, unsigned> executions_by_request;
    unsigned done = 0;
    unsigned not_run = 0;
    unsigned may_have_run = 0;
    /// Requests that were rejected because their key was reused.
    unsigned reused = 0;
    unsigned commits = 0;
    /// Number of failed requests by result code and message.
    std::map<std::string, unsigned> failures;
};

/// \brief Simulates entries, agents, the platform and the network in virtual
/// time, to check that each key is executed at most once under faults.
class claim_simulation
{
public:
    claim_simulation(std::uint64_t seed, fault_rates rates);
    ~claim_simulation();

    [[nodiscard]] simulation_result run();

private:
    struct entry;
    struct agent;
    struct active_request;

    using task = std::function<void()>;

    /// \brief Schedules a task for an instant of virtual time.
    void at(hornbeamweir::time_point when, task run);
    /// \brief Runs a task on a process after a delay, or once the process is no
    /// longer paused; drops the task if the process crashes first.
    /// \param delay Minimum time until the task runs.
    template <typename Process>
    void run_on(Process& process, hornbeamweir::duration delay, task run);
    [[nodiscard]] hornbeamweir::duration
    random_duration(double low_ms, double high_ms);
    /// \brief Draws whether a fault occurs; false once the fault period has
    /// ended.
    [[nodiscard]] bool draw_fault(double probability);

    void schedule_faults();
    void schedule_requests();
    void crash(entry& node);
    void crash(agent& node);
    void tick(entry& node);
    void tick(agent& node);
    void make_core(agent& node);

    void submit(entry& node, std::string const& key, std::string const& body);
    void perform(
        entry& node,
        hornbeamweir::request_id const& id,
        hornbeamweir::request_actions actions);
    void perform(entry& node, hornbeamweir::ledger_actions const& actions);
    void
    apply_decision(entry& node, hornbeamweir::ledger_decision const& decision);
    void select_backend(
        entry& node,
        active_request& request,
        hornbeamweir::choose_backend const& action);
    void send_attempt(
        entry& node,
        active_request& request,
        hornbeamweir::start_attempt const& action);
    void on_request_failed(
        active_request const& request,
        hornbeamweir::fail_request const& action);
    void on_request_completed(active_request const& request);
    void perform_actions(agent& node);
    void start_call(agent& node, hornbeamweir::start_call const& call);
    void run_on_backend(agent& node, hornbeamweir::start_call const& call);

    void
    commit(entry& node, std::uint64_t token, hornbeamweir::transaction request);
    [[nodiscard]] hornbeamweir::transaction_reply
    apply_transaction(hornbeamweir::transaction const& request);
    /// \brief Delivers a message, which may be lost, duplicated or delayed.
    void transmit(task deliver);
    void report_violation(std::string text);

    hornbeamweir::random_source random_;
    fault_rates rates_;
    hornbeamweir::null_event_log log_;
    hornbeamweir::metrics_registry metrics_;
    hornbeamweir::time_point now_{std::chrono::hours{1}};
    std::multimap<hornbeamweir::time_point, task> tasks_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::vector<std::unique_ptr<agent>> agents_;
    std::map<std::string, hornbeamweir::stored_value> store_;
    std::int64_t revision_ = 1;
    hornbeamweir::time_point platform_down_until_{};
    bool faults_ended_ = false;
    /// Instant from which no fault has an effect; unset before the fault
    /// period ends.
    hornbeamweir::time_point recovered_since_{};
    std::uint64_t next_incarnation_ = 1;
    simulation_result result_;
    /// Requests whose callers were told that they were not executed.
    std::vector<hornbeamweir::request_id> reported_not_run_;
    /// Start of each key's first execution.
    std::map<std::string, hornbeamweir::time_point> executed_at_;
};

} // namespace test
