#include <hornbeamweir/relay/relay_core.hpp>

namespace hornbeamweir::relay
{

namespace
{

/// Minimum time to the deadline for a retry; with less, no response could
/// arrive in time.
constexpr duration min_attempt_time = std::chrono::milliseconds{100};

} // namespace

bool relay_core::charge_retry(request_state& request, time_point now)
{
    retry_budget_share& budget = service_state_for(request.service).budget;
    std::size_t const entries = loads_.entry_count(now);
    bool const is_charged = budget.try_consume(entries, now);
    // A stalled request asks again in each tick.
    if (!is_charged && std::exchange(request.retry_was_denied, true))
        return false;
    retry_usage const used = budget.usage(now);
    event line{is_charged ? "retry_charged" : "retry_denied"};
    line.with("id", request.message.id)
        .with("service", request.service)
        .with("attempt", request.attempt + 1)
        .with("window_requests", used.requests)
        .with("window_retries", used.retries)
        .with("entries", entries);
    log_.info(line);
    metrics_.count(
        "hornbeamweir_retries_total",
        {{"service", request.service.str()},
         {"outcome", is_charged ? "charged" : "denied"}});
    return is_charged;
}

bool relay_core::may_retry(
    request_state& request, bool may_have_run, time_point now)
{
    if (may_have_run &&
        request.matched_route.retries == retry_class::at_most_once)
        return false;
    if (is_quarantined(request) || is_suspect(request))
        return false;
    bool const resumable =
        request.matched_route.retries == retry_class::resumable_stream &&
        request.is_event_stream;
    if (request.first_data_at && !resumable)
        return false;
    if (request.counted_attempts >= request.matched_route.max_attempts ||
        request.deadline - now < min_attempt_time)
        return false;
    // The retry budget is not charged if the last attempt never left this
    // process and no replica has responded. It is charged after an attempt that
    // a different replica rejected, although max_attempts does not count it,
    // because a replica received the request.
    return (!may_have_run && !request.reached_replica) ||
           charge_retry(request, now);
}

void relay_core::retry_or_fail(
    request_iterator it,
    bool may_have_run,
    std::string const& reason,
    time_point now,
    actions& out)
{
    request_state& request = it->second;
    request.may_have_run = request.may_have_run || may_have_run;
    request.last_failure = reason;
    request.pending_head.reset();
    request.events.discard_partial_event();
    log_failed_attempt(request, may_have_run, reason);
    if (!may_retry(request, may_have_run, now))
    {
        fail(it, now, out);
        return;
    }
    request.phase = request_phase::awaiting_retry;
    request.failed_at = now;
    retry_or_reject(it, now, out);
}

} // namespace hornbeamweir::relay
