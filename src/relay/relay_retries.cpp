#include <hornbeamweir/relay/relay_core.hpp>

namespace hornbeamweir::relay
{

namespace
{

/// Minimum time to the deadline for a retry; with less, no response could
/// arrive in time.
constexpr duration min_attempt_time = std::chrono::milliseconds{100};

} // namespace

bool relay_core::reserve_retry(request_state& request, time_point now)
{
    retry_budget_share& budget = service_state_for(request.service).budget;
    std::size_t const entries = loads_.entry_count(now);
    request.reserved_retry = budget.try_reserve(entries, now);
    bool const is_reserved = request.reserved_retry.has_value();
    // A stalled request asks again in each tick.
    if (!is_reserved && std::exchange(request.retry_was_denied, true))
        return false;
    event line{is_reserved ? "retry_reserved" : "retry_denied"};
    line.with("id", request.message.id)
        .with("service", request.service)
        .with("attempt", request.attempt + 1)
        .with("earned", budget.earned(now))
        .with("allowance_used", budget.allowance_used(now))
        .with("entries", entries);
    log_.info(line);
    metrics_.count(
        "hornbeamweir_retries_total",
        {{"service", request.service.str()},
         {"outcome", is_reserved ? "reserved" : "denied"}});
    return is_reserved;
}

void relay_core::on_not_sent(request_state& request)
{
    --request.counted_attempts;
    std::optional<retry_source> const charged =
        std::exchange(request.charged_retry, std::nullopt);
    if (charged)
        service_state_for(request.service)
            .budget.on_not_received(*charged, request.attempt_started);
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
    // The first attempt that arrives is no retry. One that a different replica
    // rejected is charged, although max_attempts does not count it.
    return (!may_have_run && !request.reached_replica) ||
           reserve_retry(request, now);
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
