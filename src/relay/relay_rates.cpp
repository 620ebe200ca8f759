#include <hornbeamweir/relay/relay_core.hpp>

namespace hornbeamweir::relay
{

namespace
{

/// Interval at which the parts of limits follow the loads of the entries.
constexpr duration share_interval = std::chrono::milliseconds{100};

} // namespace

void relay_core::observe_rate(
    request_state const& request,
    replica_response_head const& head,
    time_point now)
{
    // A different replica has answered.
    constexpr unsigned misdirected = 421;
    if (head.status == misdirected)
        return;
    if (head.cold_remaining > duration::zero())
    {
        cold_.on_reported(
            request.target, head.cold_remaining, cold_source::response, now);
    }
    bool const changed = rate_limits_.on_answer(
        request.target,
        head.max_requests_per_second,
        request.attempt_started,
        now);
    if (!changed)
        return;
    std::optional<double> const limit = rate_limits_.limit_of(request.target);
    event line{"replica_rate_changed"};
    line.with("id", request.message.id)
        .with("replica", request.target)
        .with("limited", limit ? "yes" : "no")
        .with("per_second", limit.value_or(0));
    log_.info(line);
    metrics_.count(
        "hornbeamweir_replica_rate_changes_total",
        {{"limited", limit ? "yes" : "no"}});
}

void relay_core::share_rates(time_point now)
{
    cold_.on_tick(settings_.name, now);
    if (rate_limits_.empty() || now - rates_shared_at_ < share_interval)
        return;
    rates_shared_at_ = now;
    rate_limits_.set_loads(
        settings_.name, loads_.own_total(), loads_.peer_totals(now));
    rate_limits_.refresh(now);
}

std::optional<duration> relay_core::rate_wait(
    service_state const& state, service_name const& name, time_point now) const
{
    if (rate_limits_.empty())
        return std::nullopt;
    std::optional<duration> out;
    bool is_limited = false;
    for (replica const* it : directory_.usable(name))
    {
        if (exclusions_.is_leaving(*it) ||
            exclusions_.backing_off_until(it->id, now))
            continue;
        is_limited = true;
        std::optional<duration> const delay =
            rate_limits_.delay_of(it->id, now);
        if (delay == duration::zero())
            return std::nullopt;
        if (delay)
            out = std::min(out.value_or(*delay), *delay);
    }
    if (!out)
        return is_limited ? std::optional{duration::max()} : std::nullopt;
    // Those that wait already go first.
    return *out * static_cast<std::int64_t>(state.queue.size() + 1);
}

bool relay_core::reject_for_rate(
    request_iterator it, duration max_wait, time_point now, actions& out)
{
    service_name const service = it->second.service;
    std::optional<duration> const wait =
        rate_wait(service_state_for(service), service, now);
    if (!wait || *wait <= max_wait)
        return false;
    if (*wait == duration::max())
    {
        reject(
            it,
            result_code::replicas_rate_limited,
            execution_state::not_run,
            "this entry has no part of the rates that the replicas tolerate",
            rejection_reason::try_another_entry,
            now,
            out);
        return true;
    }
    send_error response;
    response.code = result_code::replicas_rate_limited;
    response.detail = "the rates that the replicas tolerate are used up";
    response.retry_after = retry_after_.plan_after(*wait);
    send_rejection(it, std::move(response), now, out);
    return true;
}

} // namespace hornbeamweir::relay
