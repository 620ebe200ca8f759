#include <hornbeamweir/relay/relay_core.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// A different replica has answered.
constexpr unsigned misdirected = 421;

} // namespace

void relay_core::observe_replica(
    request_state const& request,
    replica_response_head const& head,
    time_point now)
{
    replica const* const lost =
        directory_.find(backend_server_id{head.faulty_replica});
    if (lost && head.not_executed)
        quarantine_.evidence().on_ended(
            {lost->id, lost->registration_revision}, now);
    if (head.is_leaving && head.status != misdirected &&
        exclusions_.on_leaving(request.target, request.target_registration))
    {
        event line{"replica_excluded"};
        line.with("id", request.message.id)
            .with("replica", request.target)
            .with("reason", "leaving")
            .with("registration", request.target_registration.revision);
        log_.info(line);
        metrics_.count(
            "hornbeamweir_replicas_excluded_total", {{"reason", "leaving"}});
    }
    observe_rate(request, head, now);
    if (!head.retry_after)
        return;
    time_point const until =
        exclusions_.on_retry_after(request.target, *head.retry_after, now);
    event line{"replica_excluded"};
    line.with("id", request.message.id)
        .with("replica", request.target)
        .with("reason", "retry_after")
        .with("asked_ms", head.retry_after->count() / 1000)
        .with("for_ms", (until - now).count() / 1000);
    log_.info(line);
    metrics_.count(
        "hornbeamweir_replicas_excluded_total", {{"reason", "retry_after"}});
}

std::optional<duration>
relay_core::backoff_of(service_name const& name, time_point now) const
{
    std::optional<duration> out;
    for (replica const* it : directory_.usable(name))
    {
        if (exclusions_.is_leaving(*it))
            continue;
        std::optional<time_point> const until =
            exclusions_.backing_off_until(it->id, now);
        if (!until)
            return std::nullopt;
        out = std::min(out.value_or(*until - now), *until - now);
    }
    return out;
}

// A replica that is added meanwhile may end the wait sooner; that can't be
// known, and the caller is better told now.
bool relay_core::is_retry_paused(
    request_state const& request, time_point now) const
{
    time_point const last_start =
        std::min(request.failed_at + max_retry_wait, request.deadline);
    bool is_paused = false;
    for (replica const* it : directory_.usable(request.service))
    {
        if (exclusions_.is_leaving(*it) || request.excluded.contains(it->id))
            continue;
        std::optional<time_point> const until =
            exclusions_.backing_off_until(it->id, now);
        if (!until || *until < last_start)
            return false;
        is_paused = true;
    }
    return is_paused || backoff_of(request.service, now);
}

void relay_core::retry_or_reject(
    request_iterator it, time_point now, actions& out)
{
    if (!try_send(it, now, out) && is_retry_paused(it->second, now))
        fail(it, now, out);
}

void relay_core::reject_for_backoff(
    request_iterator it, duration delay, time_point now, actions& out)
{
    send_error response;
    response.code = result_code::no_backend_server;
    response.state = execution_state::not_run;
    response.detail = "all replicas have asked for a pause";
    response.retry_after = retry_after_.plan_after(delay);
    send_rejection(it, std::move(response), now, out);
}

void relay_core::reject_queued_for_backoff(
    service_state& state, duration delay, time_point now, actions& out)
{
    while (std::optional<queued_request> const next = state.queue.pop(now))
    {
        request_iterator const it = requests_.find(std::stoull(next->id.str()));
        if (it != requests_.end())
            reject_for_backoff(it, delay, now, out);
    }
}

} // namespace hornbeamweir::relay
