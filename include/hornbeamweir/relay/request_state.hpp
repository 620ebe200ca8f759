#pragma once

#include <hornbeamweir/relay/event_splitter.hpp>
#include <hornbeamweir/relay/relay_action.hpp>
#include <hornbeamweir/relay/relay_request.hpp>
#include <hornbeamweir/relay/request_trait.hpp>
#include <hornbeamweir/relay/retry_budget_share.hpp>
#include <hornbeamweir/relay/trait_policy.hpp>
#include <hornbeamweir/routes/route.hpp>

#include <set>

namespace hornbeamweir::relay
{

/// \brief Progress of a request at an entry.
enum class request_phase
{
    /// In the queue of its service, before the first attempt.
    queued,
    /// Waits for a replica that can take a retry.
    awaiting_retry,
    /// Sent to a replica; no response data was forwarded yet.
    awaiting_response,
    /// Part of the response was forwarded.
    responding
};

/// \brief A request of a caller that has not ended.
struct request_state
{
    relay_request message;
    route matched_route;
    service_name service;
    customer_id customer;
    /// Empty until the customer is known.
    request_traits traits;
    request_phase phase = request_phase::queued;
    time_point arrived{};
    time_point deadline{};
    /// Attempts counted towards route::max_attempts; excludes attempts that
    /// were not sent, and those that a different replica received.
    std::uint32_t counted_attempts = 0;
    /// Number of the current or last attempt, from 1; 0 before the first.
    std::uint32_t attempt = 0;
    backend_server_id target;
    store_position target_registration;
    answer_progress answer = answer_progress::none;
    time_point answer_began{};
    /// Whether the request tries a trait that is blocked.
    bool is_probe = false;
    std::set<backend_server_id> excluded;
    time_point attempt_started{};
    time_point last_progress{};
    /// When the last attempt failed, and the wait for a retry began.
    time_point failed_at{};
    bool may_have_run = false;
    /// Whether a retry was not sent because the budget was exhausted.
    bool retry_was_denied = false;
    /// Whether any attempt may have arrived at a replica, even if the replica
    /// rejected it.
    bool reached_replica = false;
    /// What pays the next attempt, if it is a retry that waits for a replica.
    std::optional<retry_source> reserved_retry;
    /// What has paid the current attempt; empty for the first that arrives.
    std::optional<retry_source> charged_retry;
    /// Response head; forwarded together with the first data.
    std::optional<send_head> pending_head;
    unsigned status = 0;
    bool is_event_stream = false;
    event_splitter events;
    std::optional<time_point> first_data_at;
    std::string last_failure;
};

} // namespace hornbeamweir::relay
