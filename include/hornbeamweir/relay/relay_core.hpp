#pragma once

#include <hornbeamweir/admission/fair_queue.hpp>
#include <hornbeamweir/relay/cold_pacing.hpp>
#include <hornbeamweir/relay/event_splitter.hpp>
#include <hornbeamweir/relay/group_progress.hpp>
#include <hornbeamweir/relay/relay_action.hpp>
#include <hornbeamweir/relay/relay_core_settings.hpp>
#include <hornbeamweir/relay/replica_chooser.hpp>
#include <hornbeamweir/relay/replica_exclusions.hpp>
#include <hornbeamweir/relay/replica_load_tracker.hpp>
#include <hornbeamweir/relay/replica_rate_limits.hpp>
#include <hornbeamweir/relay/request_quarantine.hpp>
#include <hornbeamweir/relay/request_state.hpp>
#include <hornbeamweir/relay/retry_after_planner.hpp>
#include <hornbeamweir/relay/retry_budget_share.hpp>
#include <hornbeamweir/relay/service_activity.hpp>
#include <hornbeamweir/relay/stream_limit.hpp>
#include <hornbeamweir/relay/stream_share.hpp>
#include <hornbeamweir/relay/trait_policy.hpp>
#include <hornbeamweir/replicas/evacuation_register.hpp>
#include <hornbeamweir/replicas/replica_directory.hpp>
#include <hornbeamweir/routes/versioned_route_table.hpp>
#include <hornbeamweir/routing/failure_tracker.hpp>
#include <hornbeamweir/routing/routing_policy.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include <set>

namespace hornbeamweir::relay
{

/// \brief Whether any part of a failed attempt was sent to the replica.
enum class attempt_progress
{
    not_sent,
    sent
};

/// \brief Relays callers' requests to replicas of the services of their routes.
/// \remarks Sans-I/O. Each request ends with exactly one of send_end,
/// send_error and abort_response, unless the caller disconnects first. A
/// request that must be executed at most once is retried only if no replica can
/// have executed it.
class relay_core
{
public:
    /// Maximum time that a retry waits for a replica with free capacity.
    static constexpr duration max_retry_wait = std::chrono::milliseconds{1500};

    relay_core(
        relay_settings settings,
        event_log& log,
        metrics_registry& metrics,
        random_source random);

    // Configuration, replicas and their loads; the owner keeps them up to date.
    [[nodiscard]] versioned_route_table& routes() noexcept { return routes_; }
    [[nodiscard]] replica_directory& replicas() noexcept { return directory_; }
    [[nodiscard]] replica_load_tracker& loads() noexcept { return loads_; }
    [[nodiscard]] replica_rate_limits& rate_limits() noexcept
    {
        return rate_limits_;
    }
    [[nodiscard]] cold_pacing& cold() noexcept { return cold_; }
    [[nodiscard]] request_quarantine& quarantine() noexcept
    {
        return quarantine_;
    }
    void update(relay_settings const& settings);

    /// \brief Rejects new requests, and those that wait to be sent, from now
    /// on, because they would not be completed before the process exits.
    /// Attempts in progress go on.
    [[nodiscard]] actions close(time_point now);
    /// \brief Ends all requests, as the process exits now: those that were sent
    /// are answered as possibly executed, started responses are aborted.
    [[nodiscard]] actions finish(time_point now);

    // Events of callers.
    [[nodiscard]] actions
    on_request(exchange_id id, relay_request request, time_point now);
    [[nodiscard]] actions
    on_caller_disconnected(exchange_id id, time_point now);

    // Events of attempts; those of any but the current attempt are ignored.
    [[nodiscard]] actions on_head(
        exchange_id id,
        std::uint32_t attempt,
        replica_response_head head,
        time_point now);
    [[nodiscard]] actions on_data(
        exchange_id id,
        std::uint32_t attempt,
        std::string bytes,
        time_point now);
    [[nodiscard]] actions
    on_end(exchange_id id, std::uint32_t attempt, time_point now);
    [[nodiscard]] actions on_failed(
        exchange_id id,
        std::uint32_t attempt,
        attempt_progress progress,
        std::string const& reason,
        time_point now);

    /// \brief Receives what the agent of a replica reports.
    void on_rank_status(backend_server_id const& id, rank_status const& status);

    /// \brief Receives the outcome of check_replica, if no connection was
    /// accepted.
    void on_not_accepting(replica const& checked, time_point now);

    /// \brief Applies which data centres are out of service, as read from the
    /// store or told by another entry. Their replicas get no requests from now
    /// on; attempts in progress there go on.
    [[nodiscard]] actions on_evacuations(
        evacuations const& next, std::string_view source, time_point now);
    /// \brief Applies evacuations that the store has lost and another entry
    /// retains; see evacuation_register.
    [[nodiscard]] actions on_retained_evacuations(
        evacuation_register::retained_map const& told,
        std::uint64_t era,
        time_point now);
    [[nodiscard]] evacuation_register const& evacuated() const noexcept
    {
        return evacuated_;
    }

    [[nodiscard]] actions on_tick(time_point now);
    /// \brief Applies what another entry has reported of crashes.
    [[nodiscard]] actions
    on_crash_report(crash_report const& report, time_point now);

    /// \returns Null if the request has ended.
    [[nodiscard]] relay_request const* request_of(exchange_id id) const
    {
        auto const it = requests_.find(id);
        return it == requests_.end() ? nullptr : &it->second.message;
    }

    /// \brief Whether requests with API keys can be served.
    [[nodiscard]] bool ready(time_point now) const;
    [[nodiscard]] std::size_t open_requests() const noexcept
    {
        return requests_.size();
    }

private:
    using request_iterator = std::map<exchange_id, request_state>::iterator;

    /// Outcome of looking up the route and the API key of a request.
    struct resolution
    {
        result_code code = result_code::ok;
        char const* detail = "";
        bool retry_other_entry = false;
    };

    /// State of one service.
    struct service_state
    {
        fair_queue queue;
        retry_budget_share budget;
        /// When any replica last sent response data.
        time_point last_progress{};
        /// Start of the current outage, if no replica is usable.
        std::optional<time_point> outage_since;
        /// Configuration from which the members below were computed.
        std::shared_ptr<route_table const> table;
        step_cost cost;
        /// Limits the concurrent streams at a replica; empty for services
        /// without an engine or streaming routes.
        std::optional<stream_limiter> limiter;
        /// Set if there is a limiter.
        std::optional<group_progress> progress;
        /// Whether no replica responded when the progress was last observed.
        bool is_stalled = false;
        /// Streams that this entry may have open, if there is a limiter.
        stream_share share;
        /// When a new request was last rejected because of the load.
        std::optional<time_point> overloaded_at;
        /// Attempts of this entry in progress.
        std::uint32_t own_attempts = 0;
        service_activity activity;
    };

    [[nodiscard]] resolution resolve(request_state& request, time_point now);
    [[nodiscard]] service_state& service_state_for(service_name const& name);
    [[nodiscard]] std::vector<candidate>
    candidates_for(request_state const& request, time_point now);
    void refresh_limits(service_state& state, service_name const& name) const;
    [[nodiscard]] bool try_send(request_iterator it, time_point now, actions&);
    /// \returns Empty if any replica is usable; otherwise how long the request
    /// may wait for one, which is zero or negative in a long outage.
    [[nodiscard]] std::optional<duration>
    outage_wait(request_state const& request, time_point now);
    /// \returns Empty if any replica may get a request; otherwise the time
    /// until the first one may that has asked to be left alone.
    [[nodiscard]] std::optional<duration>
    backoff_of(service_name const& name, time_point now) const;
    /// \returns Empty if any replica may get requests at once; otherwise how
    /// long a new request would wait for the rates that replicas have named,
    /// which is the maximum if this entry has no part of them.
    [[nodiscard]] std::optional<duration> rate_wait(
        service_state const& state,
        service_name const& name,
        time_point now) const;
    [[nodiscard]] bool reject_for_rate(
        request_iterator it, duration max_wait, time_point now, actions& out);
    /// Records the rate that a response names.
    void observe_rate(
        request_state const& request,
        replica_response_head const& head,
        time_point now);
    void share_rates(time_point now);
    void reject_for_backoff(
        request_iterator it, duration delay, time_point now, actions& out);
    /// Whether all replicas that may get a retry have asked to be left alone
    /// for longer than it may wait.
    [[nodiscard]] bool
    is_retry_paused(request_state const& request, time_point now) const;
    /// Sends a retry, lets it wait for a replica, or ends it if the wait is in
    /// vain.
    void retry_or_reject(request_iterator it, time_point now, actions& out);
    /// Rejects queued requests that would wait for longer than they may.
    void reject_queued_for_backoff(
        service_state& state, duration delay, time_point now, actions& out);
    /// Records what a replica says about itself in a response.
    void observe_replica(
        request_state const& request,
        replica_response_head const& head,
        time_point now);
    [[nodiscard]] static replica_run run_of(request_state const& request);
    /// Records that a connection to a replica broke.
    void observe_broken_attempt(
        request_state& request, time_point now, actions& out);
    /// Records how far a replica has answered.
    void observe_answer(
        request_state& request, answer_progress progress, time_point now);
    [[nodiscard]] bool is_quarantined(request_state const& request) const
    {
        return !request.is_probe && quarantine_.is_blocked(request.traits);
    }
    /// Whether a retry may well end another replica, as the last attempt did.
    [[nodiscard]] bool is_suspect(request_state const& request) const
    {
        return request.answer < answer_progress::data &&
               quarantine_.evidence().is_repeated(suspects_of(
                   request.traits, request.answer, duration::zero()));
    }
    /// \returns Whether the request was rejected for one of its traits.
    [[nodiscard]] bool
    reject_if_quarantined(request_iterator it, time_point now, actions& out);
    /// Judges crashes, and ends the requests that must not be sent any more.
    void update_quarantine(time_point now, actions& out);
    void stop_quarantined(request_iterator it, time_point now, actions& out);
    void reject_if_waiting(request_iterator it, time_point now, actions& out);
    void apply_evacuations(
        std::set<data_centre_id> const& before,
        std::string_view source,
        time_point now,
        actions& out);
    void expire_evacuations(time_point now, actions& out);
    void log_retained(time_point now);
    void log_evacuations(
        std::set<data_centre_id> const& before, std::string_view source);
    /// \returns This entry's attempts in progress in a data centre.
    [[nodiscard]] std::size_t
    attempts_in(data_centre_id const& data_centre) const;
    void
    reject_for_evacuation(request_iterator it, time_point now, actions& out);
    void enqueue(request_iterator it, time_point now, actions& out);
    void dispatch(service_name const& name, time_point now, actions& out);
    void dispatch_all(time_point now, actions& out);
    void send_queued(request_iterator it, time_point now, actions& out);
    /// Adapts the stream limits, and logs the load of each service.
    void observe_services(time_point now);
    /// Logs when the replicas of a service stall, and when they go on.
    void observe_progress(
        service_name const& name, service_state& state, time_point now);
    [[nodiscard]] static bool is_caller_retry(request_state const& request);
    /// Rejects a request that can't be served in time.
    void reject_for_overload(
        request_iterator it, std::string detail, time_point now, actions& out);
    void update_share(
        service_name const& name, service_state& state, time_point now) const;
    [[nodiscard]] service_occupancy
    occupancy_of(service_name const& name) const;
    /// Handles a response that states that the request was not executed.
    void on_not_executed(
        request_iterator it,
        replica_response_head const& head,
        std::string const& cause,
        time_point now,
        actions& out);
    void retry_or_fail(
        request_iterator it,
        bool may_have_run,
        std::string const& reason,
        time_point now,
        actions& out);
    void log_failed_attempt(
        request_state const& request,
        bool may_have_run,
        std::string const& reason);
    [[nodiscard]] bool
    may_retry(request_state& request, bool may_have_run, time_point now);
    /// Undoes what was counted for an attempt that was not sent.
    void on_not_sent(request_state& request);
    /// Reserves a retry in the budget of its service.
    /// \returns False if the budget is exhausted.
    [[nodiscard]] bool reserve_retry(request_state& request, time_point now);
    void fail(request_iterator it, time_point now, actions& out);
    void check_timeouts(request_iterator it, time_point now, actions& out);
    [[nodiscard]] bool is_stalled(request_state const& request, time_point now);
    [[nodiscard]] bool
    slows_group_down(request_state const& request, time_point now);
    /// Whether another replica can take a request.
    [[nodiscard]] bool
    has_alternative(request_state const& request, time_point now);
    void move_to_other_replica(
        request_iterator it,
        std::string const& reason,
        time_point now,
        actions& out);
    void end_attempt(
        request_state& request, attempt_outcome outcome, time_point now);
    void forward(request_iterator it, std::string bytes, actions& out);
    void reject(
        request_iterator it,
        result_code code,
        execution_state state,
        std::string detail,
        std::optional<rejection_reason> reason,
        time_point now,
        actions& out);
    /// Ends a request with an error.
    /// \param response The error; its fields that name the request are set
    /// here.
    void send_rejection(
        request_iterator it, send_error response, time_point now, actions& out);
    /// Rejects a request that resolve() did not accept.
    void reject(
        request_iterator it,
        resolution const& found,
        time_point now,
        actions& out);
    /// Rejects a request because no replica of its service is usable.
    void reject_for_outage(request_iterator it, time_point now, actions& out);
    void abort_started_response(
        request_iterator it,
        std::string const& reason,
        time_point now,
        actions& out);
    void log_outcome(
        request_state const& request, std::string_view outcome, time_point now);
    void erase(request_iterator it);
    [[nodiscard]] request_iterator
    find_attempt(exchange_id id, std::uint32_t attempt);

    relay_settings settings_;
    event_log& log_;
    metrics_registry& metrics_;
    random_source random_;
    versioned_route_table routes_;
    replica_directory directory_;
    evacuation_register evacuated_;
    replica_load_tracker loads_;
    failure_tracker failures_;
    replica_exclusions exclusions_;
    request_quarantine quarantine_;
    replica_rate_limits rate_limits_;
    cold_pacing cold_{routes_, loads_, rate_limits_, log_, metrics_};
    time_point rates_shared_at_{};
    replica_chooser chooser_;
    retry_after_planner retry_after_;
    bool closed_ = false;
    std::map<service_name, service_state> services_;
    std::map<exchange_id, request_state> requests_;
};

} // namespace hornbeamweir::relay
