#include <hornbeamweir/relay/relay_core.hpp>

#include <algorithm>
#include <limits>

namespace hornbeamweir::relay
{

namespace
{

/// Fraction of the target latency that a request may spend in the queue; the
/// rest is needed for the prefill of its prompt.
constexpr double queue_wait_fraction = 0.5;
/// A request whose caller_timeout is below this fraction of the route's timeout
/// is assumed to be the caller's retry after a rejection.
constexpr double min_new_request_timeout_fraction = 0.95;
/// Time after the loss of all replicas during which requests are still queued.
constexpr duration max_outage_queueing = std::chrono::milliseconds{2000};
/// Time after the rejection of a new request for which callers' retries are
/// rejected at once: they are late in any case, and would take the place of
/// requests that can still be on time.
constexpr duration overload_memory = std::chrono::milliseconds{500};
/// Maximum wait of a caller's retry for a stream, as a multiple of the target
/// latency: callers abandon streams that do not begin within four times it.
constexpr int max_stream_wait_factor = 2;
/// Maximum wait for a replica in an outage: callers abandon streams that do not
/// begin within 2 s.
constexpr duration max_outage_wait = std::chrono::milliseconds{1500};
/// Fraction of the time to the deadline that a request may wait in an outage.
constexpr double outage_wait_fraction = 0.3;
/// Time without response data, as a multiple of the target gap, after which a
/// lock-step group is stalled: no pass of a working group takes that long.
constexpr int max_silent_gaps = 3;
/// Retries that a replica may get in excess of its limit.
constexpr std::uint32_t retry_overcommit = 2;

duration scaled(duration value, double factor)
{
    return duration{static_cast<duration::rep>(
        static_cast<double>(value.count()) * factor)};
}

} // namespace

std::vector<candidate>
relay_core::candidates_for(request_state const& request, time_point now)
{
    std::vector<candidate> out;
    service_state const& state = service_state_for(request.service);
    std::optional<stream_limiter> const& limiter = state.limiter;
    // The entry's share bounds the streams of the group; a single rank may have
    // one more, as the streams can't be spread exactly.
    std::uint32_t const limit = limiter
                                    ? limiter->limit() + 1
                                    : std::numeric_limits<std::uint32_t>::max();
    for (replica const* it : directory_.usable(request.service))
    {
        rank_status const status = loads_.status_of(it->id, now);
        if (request.excluded.contains(it->id) || !status.accepts_requests ||
            exclusions_.is_leaving(*it) ||
            exclusions_.backing_off_until(it->id, now) ||
            (state.progress && !state.progress->may_send(it->id, now)))
            continue;
        out.push_back(
            {it,
             loads_.in_flight(it->id),
             std::min(it->slots, limit),
             status.slowdown,
             failures_.score_of(it->id, now),
             rate_limits_.delay_of(it->id, now) == duration::zero()});
    }
    // A slow rank delays its whole group, so it gets no new requests while a
    // faster one is available, even if only the slow one has free slots.
    bool const any_fast = std::any_of(
        out.begin(),
        out.end(),
        [](candidate const& it) { return it.slowdown < slow_rank_threshold; });
    if (any_fast)
    {
        std::erase_if(
            out,
            [](candidate const& it)
            { return it.slowdown >= slow_rank_threshold; });
    }
    return out;
}

// Recomputes the step cost and the stream limit when the configuration has
// changed. A limiter for the same engine and gap keeps what it has measured.
void relay_core::refresh_limits(
    service_state& state, service_name const& name) const
{
    if (state.table == routes_.table())
        return;
    state.table = routes_.table();
    state.cost = {};
    service_profile const* const profile =
        state.table ? state.table->find_service(name) : nullptr;
    if (!profile || !profile->engine)
    {
        state.limiter.reset();
        state.progress.reset();
        return;
    }
    state.cost = {profile->engine->step, profile->engine->per_sequence};
    std::optional<duration> target_gap;
    for (route const& it : state.table->configuration().routes)
    {
        bool const routed_here = std::any_of(
            it.services.begin(),
            it.services.end(),
            [&](weighted_service const& weighted)
            { return weighted.service == name; });
        if (routed_here && it.streaming && it.target_gap > duration::zero())
            target_gap =
                std::min(target_gap.value_or(it.target_gap), it.target_gap);
    }
    if (!target_gap)
        state.limiter.reset();
    else if (
        !state.limiter || !state.limiter->is_for(*profile->engine, *target_gap))
        state.limiter.emplace(*profile->engine, *target_gap);
    if (!target_gap)
        state.progress.reset();
    else if (!state.progress)
        state.progress.emplace(*target_gap * max_silent_gaps);
    else
        state.progress->set_max_silence(*target_gap * max_silent_gaps);
}

// A group that has lost a rank re-forms within 1 s to 2 s, so requests wait for
// it at first; in a longer outage, or if operators have taken all replicas out
// of service, they are rejected at once with a Retry-After.
std::optional<duration>
relay_core::outage_wait(request_state const& request, time_point now)
{
    service_state& state = service_state_for(request.service);
    if (!candidates_for(request, now).empty())
    {
        state.outage_since.reset();
        return std::nullopt;
    }
    if (!state.outage_since)
        state.outage_since = now;
    if (directory_.is_evacuated(request.service))
        return duration::zero();
    return std::min(
        {*state.outage_since + max_outage_queueing - now,
         max_outage_wait,
         scaled(request.deadline - now, outage_wait_fraction)});
}

bool relay_core::is_caller_retry(request_state const& request)
{
    return request.message.caller_timeout.value_or(
               request.matched_route.timeout) <
           scaled(
               request.matched_route.timeout, min_new_request_timeout_fraction);
}

void relay_core::reject_for_overload(
    request_iterator it, std::string detail, time_point now, actions& out)
{
    if (!is_caller_retry(it->second))
        service_state_for(it->second.service).overloaded_at = now;
    reject(
        it,
        result_code::queue_full,
        execution_state::not_run,
        std::move(detail),
        rejection_reason::overload,
        now,
        out);
}

// A new request waits only as long as it can still meet the target latency. A
// caller's retry is late in any case: it gets a lower priority, but may wait
// longer.
void relay_core::enqueue(request_iterator it, time_point now, actions& out)
{
    request_state& request = it->second;
    if (std::optional<duration> const delay = backoff_of(request.service, now))
    {
        reject_for_backoff(it, *delay, now, out);
        return;
    }
    std::optional<duration> const outage = outage_wait(request, now);
    if (outage && *outage <= duration::zero())
    {
        reject_for_outage(it, now, out);
        return;
    }
    service_state& state = service_state_for(request.service);
    bool const is_retry = is_caller_retry(request);
    if (is_retry && state.limiter && state.overloaded_at &&
        now - *state.overloaded_at < overload_memory)
    {
        reject_for_overload(it, "new requests are rejected too", now, out);
        return;
    }
    duration wait =
        is_retry
            ? scaled(request.deadline - now, queue_wait_fraction)
            : scaled(request.matched_route.target_latency, queue_wait_fraction);
    if (request.matched_route.streaming)
    {
        wait = std::min(
            wait,
            request.matched_route.target_latency * max_stream_wait_factor);
    }
    if (reject_for_rate(it, wait, now, out))
        return;
    queued_request item;
    // The exchange id is unique; the id set by the caller may be missing.
    item.id = request_id{std::to_string(it->first)};
    item.customer = request.customer;
    item.priority = 2 * request.matched_route.priority + (is_retry ? 1 : 0);
    item.deadline = now + outage.value_or(wait);
    if (!is_retry)
    {
        item.late_after =
            request.arrived +
            scaled(request.matched_route.target_latency, queue_wait_fraction);
    }
    state.queue.demote_late(now);
    service_name const service = request.service;
    if (state.queue.push(item, now))
    {
        reject_for_overload(it, "the wait would be too long", now, out);
        return;
    }
    dispatch(service, now, out);
}

void relay_core::dispatch(
    service_name const& name, time_point now, actions& out)
{
    auto const state = services_.find(name);
    if (state == services_.end())
        return;
    if (state->second.queue.size() > 0)
    {
        if (std::optional<duration> const delay = backoff_of(name, now))
            reject_queued_for_backoff(state->second, *delay, now, out);
    }
    if (state->second.limiter && state->second.share.is_due(now))
        update_share(name, state->second, now);
    state->second.queue.demote_late(now);
    while (state->second.queue.size() > 0)
    {
        if (state->second.limiter &&
            state->second.own_attempts >= state->second.share.maximum())
            return;
        // Stands for any new request, which excludes no replica.
        request_state new_request;
        new_request.service = name;
        std::vector<candidate> const candidates =
            candidates_for(new_request, now);
        if (candidates.empty())
            state->second.queue.on_blocked(now);
        if (!chooser_.choose(
                candidates, state->second.cost, settings_.data_centre))
            return;
        std::optional<queued_request> const next = state->second.queue.pop(now);
        if (!next)
            return;
        request_iterator const it = requests_.find(std::stoull(next->id.str()));
        if (it != requests_.end())
            send_queued(it, now, out);
    }
}

void relay_core::dispatch_all(time_point now, actions& out)
{
    for (auto& [name, state] : services_)
        dispatch(name, now, out);
}

// The configuration may have changed while the request was queued, so its route
// and key are looked up again.
void relay_core::send_queued(request_iterator it, time_point now, actions& out)
{
    resolution const found = resolve(it->second, now);
    if (found.code != result_code::ok)
    {
        reject(it, found, now, out);
        return;
    }
    duration const wait = now - it->second.arrived;
    service_activity& activity = service_state_for(it->second.service).activity;
    if (try_send(it, now, out))
    {
        activity.on_dispatched(wait);
        return;
    }
    reject_for_outage(it, now, out);
}

bool relay_core::try_send(request_iterator it, time_point now, actions& out)
{
    request_state& request = it->second;
    std::vector<candidate> const candidates = candidates_for(request, now);
    // Retries go ahead of new requests, so that a broken stream resumes soon.
    std::uint32_t const over_limit = request.attempt > 0 ? retry_overcommit : 0;
    std::optional<std::size_t> const chosen = chooser_.choose(
        candidates,
        service_state_for(request.service).cost,
        settings_.data_centre,
        over_limit);
    if (!chosen)
        return false;
    replica const& target = *candidates[*chosen].target;
    request.target = target.id;
    request.target_registration = target.registered_at();
    request.answer = answer_progress::none;
    request.excluded.insert(target.id);
    ++request.attempt;
    ++request.counted_attempts;
    request.attempt_started = now;
    request.last_progress = now;
    request.phase = request.first_data_at ? request_phase::responding
                                          : request_phase::awaiting_response;
    loads_.on_attempt_started(target.id);
    rate_limits_.on_sent(target.id, now);
    service_state& state = service_state_for(request.service);
    ++state.own_attempts;
    request.charged_retry = std::exchange(request.reserved_retry, std::nullopt);
    if (request.charged_retry)
        state.budget.on_sent(*request.charged_retry, now);
    if (state.progress)
        state.progress->on_sent(target.id, now);
    open_attempt open;
    open.exchange = it->first;
    open.attempt = request.attempt;
    open.target = target;
    open.time_left = request.deadline - now;
    open.resume_after = request.events.last_id();
    open.fresh_connection =
        request.matched_route.retries == retry_class::at_most_once;
    open.customer = request.customer;
    out.push_back(std::move(open));
    event line{"attempt_sent"};
    line.with("id", request.message.id)
        .with("attempt", request.attempt)
        .with("replica", target.id)
        .with("in_flight", candidates[*chosen].in_flight)
        .with("candidates", candidates.size());
    if (request.attempt == 1)
        log_.debug(line);
    else
        log_.info(line.with(
            "waited_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - request.failed_at)
                .count()));
    return true;
}

actions relay_core::on_tick(time_point now)
{
    actions out;
    loads_.expire(now);
    expire_evacuations(now, out);
    update_quarantine(now, out);
    share_rates(now);
    for (auto& [name, state] : services_)
    {
        for (queued_request const& expired : state.queue.expire(now))
        {
            request_iterator const it =
                requests_.find(std::stoull(expired.id.str()));
            if (it == requests_.end())
                continue;
            reject_for_overload(it, "the wait became too long", now, out);
        }
    }
    for (request_iterator it = requests_.begin(); it != requests_.end();)
    {
        request_iterator const current = it++;
        check_timeouts(current, now, out);
    }
    dispatch_all(now, out);
    observe_services(now);
    return out;
}

} // namespace hornbeamweir::relay
