#pragma once

#include <hornbeamweir/admission/fair_queue.hpp>
#include <hornbeamweir/relay/event_splitter.hpp>
#include <hornbeamweir/relay/relay_action.hpp>
#include <hornbeamweir/relay/replica_chooser.hpp>
#include <hornbeamweir/relay/replica_load_tracker.hpp>
#include <hornbeamweir/relay/retry_after_planner.hpp>
#include <hornbeamweir/relay/retry_budget_share.hpp>
#include <hornbeamweir/replicas/replica_directory.hpp>
#include <hornbeamweir/routes/versioned_route_table.hpp>
#include <hornbeamweir/routing/failure_tracker.hpp>
#include <hornbeamweir/routing/routing_policy.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include <set>

namespace hornbeamweir::relay
{

struct relay_settings
{
    data_centre_id data_centre;
    /// Age of the proof of the configuration beyond which keys are not
    /// accepted; kept below the time in which a withdrawn key must stop.
    duration max_staleness = std::chrono::milliseconds{4500};
    retry_limits retries;

    [[nodiscard]] friend bool
    operator==(relay_settings const&, relay_settings const&) = default;
};

/// \brief How far a failed attempt had got.
enum class attempt_progress
{
    not_sent,
    sent
};

/// \brief Takes requests from callers to replicas of their routes' services.
/// \remarks Sans-I/O. Each request ends with exactly one of send_end, refuse
/// and cut, unless the caller goes first. A request that may be executed only
/// once is sent again only if nothing can have executed it.
class relay_core
{
public:
    relay_core(
        relay_settings settings,
        event_log& log,
        metrics_registry& metrics,
        random_source random);

    // What is known of the world.
    [[nodiscard]] versioned_route_table& routes() noexcept { return book_; }
    [[nodiscard]] replica_directory& replicas() noexcept { return directory_; }
    [[nodiscard]] replica_load_tracker& loads() noexcept { return board_; }
    void update(relay_settings const& settings) { settings_ = settings; }

    /// \brief Refuses all later requests: the process ends before it could
    /// answer them.
    void close() noexcept { closed_ = true; }

    // Requests.
    [[nodiscard]] actions
    on_request(exchange_id number, relay_request request, time_point now);
    [[nodiscard]] actions on_caller_gone(exchange_id number, time_point now);

    // Attempts; what comes of an earlier one than the current is dropped.
    [[nodiscard]] actions on_head(
        exchange_id number,
        std::uint32_t attempt,
        replica_response_head answer,
        time_point now);
    [[nodiscard]] actions on_data(
        exchange_id number,
        std::uint32_t attempt,
        std::string bytes,
        time_point now);
    [[nodiscard]] actions
    on_end(exchange_id number, std::uint32_t attempt, time_point now);
    [[nodiscard]] actions on_failed(
        exchange_id number,
        std::uint32_t attempt,
        attempt_progress progress,
        std::string const& reason,
        time_point now);

    [[nodiscard]] actions on_tick(time_point now);

    /// \returns Null for a request that has ended.
    [[nodiscard]] relay_request const* request_of(exchange_id number) const
    {
        auto const it = records_.find(number);
        return it == records_.end() ? nullptr : &it->second.request;
    }

    /// \brief Whether requests with a key can be served now.
    [[nodiscard]] bool ready(time_point now) const;
    [[nodiscard]] std::size_t open_requests() const noexcept
    {
        return records_.size();
    }

private:
    enum class phase
    {
        /// In the queue, for the first attempt.
        queued,
        /// Waits for a replica that can take a further attempt.
        between_attempts,
        /// Sent; nothing of an answer was passed on.
        trying,
        /// A part of the answer was passed on.
        answering
    };

    struct record
    {
        relay_request request;
        route rule;
        service_name service;
        customer_id customer;
        phase at = phase::queued;
        time_point arrived{};
        time_point deadline{};
        /// Attempts that may have reached a replica.
        std::uint32_t attempts = 0;
        /// Number of the current or last attempt.
        std::uint32_t attempt = 0;
        backend_server_id target;
        std::set<backend_server_id> excluded;
        time_point attempt_started{};
        time_point last_progress{};
        /// Since when a further attempt has been waiting.
        time_point failed_at{};
        bool may_have_run = false;
        /// Whether an attempt has met a replica, even one that refused it.
        bool has_arrived = false;
        /// The answer's head, until its first bytes arrive.
        std::optional<send_head> pending_head;
        unsigned status = 0;
        bool is_event_stream = false;
        event_splitter events;
        std::optional<time_point> first_bytes;
        std::string last_failure;
    };

    using record_iterator = std::map<exchange_id, record>::iterator;

    struct verdict
    {
        result_code code = result_code::ok;
        char const* detail = "";
        bool another_entry = false;
    };

    /// State of one service.
    struct service_state
    {
        fair_queue waiting;
        retry_budget_share budget;
        /// When any of its replicas last sent part of an answer.
        time_point last_progress{};
        /// Since when no replica has been usable.
        std::optional<time_point> unusable_since;
        /// Configuration that the following were taken from.
        std::shared_ptr<route_table const> table;
        step_cost cost;
        /// Streams that a replica may have at once.
        std::uint32_t stream_limit = 0;
    };

    [[nodiscard]] verdict resolve(record& of, time_point now);
    [[nodiscard]] service_state& state_of(service_name const& name);
    [[nodiscard]] std::vector<candidate>
    candidates_for(record const& of, time_point now);
    void refresh(service_state& state, service_name const& name) const;
    [[nodiscard]] bool try_send(record_iterator it, time_point now, actions&);
    /// \returns Nothing while any replica is usable; otherwise how long a
    /// request may wait for one, which is not positive in a long outage.
    [[nodiscard]] std::optional<duration>
    outage_wait(record const& of, time_point now);
    void enqueue(record_iterator it, time_point now, actions& out);
    void dispatch(service_name const& name, time_point now, actions& out);
    void dispatch_all(time_point now, actions& out);
    void send_queued(record_iterator it, time_point now, actions& out);
    void try_again(
        record_iterator it,
        bool ran,
        std::string const& reason,
        time_point now,
        actions& out);
    [[nodiscard]] bool may_repeat(record const& of, bool ran, time_point now);
    void give_up(record_iterator it, time_point now, actions& out);
    void check_time(record_iterator it, time_point now, actions& out);
    [[nodiscard]] bool is_stuck(record const& of, time_point now);
    [[nodiscard]] bool holds_up_group(record const& of, time_point now);
    void move_attempt(
        record_iterator it,
        std::string const& reason,
        time_point now,
        actions& out);
    void end_attempt(record& of, attempt_outcome outcome, time_point now);
    void pass_on(record_iterator it, std::string bytes, actions& out);
    void reject(
        record_iterator it,
        result_code code,
        execution_state state,
        std::string detail,
        std::optional<rejection_reason> reason,
        time_point now,
        actions& out);
    /// Refuses a request that may not be sent, as resolve() found.
    void reject(
        record_iterator it, verdict const& found, time_point now, actions& out);
    /// Refuses a request for which no replica is there.
    void reject_for_outage(record_iterator it, time_point now, actions& out);
    void cut_off(
        record_iterator it,
        std::string const& reason,
        time_point now,
        actions& out);
    void log_end(record const& of, std::string_view outcome, time_point now);
    void forget(record_iterator it);
    [[nodiscard]] record_iterator
    current(exchange_id number, std::uint32_t attempt);

    relay_settings settings_;
    event_log& log_;
    metrics_registry& metrics_;
    random_source random_;
    versioned_route_table book_;
    replica_directory directory_;
    replica_load_tracker board_;
    failure_tracker failures_;
    replica_chooser chooser_;
    retry_after_planner returns_;
    bool closed_ = false;
    std::map<service_name, service_state> services_;
    std::map<exchange_id, record> records_;
};

} // namespace hornbeamweir::relay
