#include <hornbeamweir/relay/relay_core.hpp>
#include <hornbeamweir/relay/stream_limit.hpp>

#include <algorithm>
#include <limits>

namespace hornbeamweir::relay
{

namespace
{

/// Part of the target latency that a request may spend waiting and still be
/// on time: the rest is needed to read its prompt.
constexpr double wait_part = 0.5;
/// Callers with less time than this part of the route's timeout have spent the
/// rest on an earlier try.
constexpr double returning_part = 0.95;
/// Time after the loss of all replicas in which requests wait for them.
constexpr duration outage_limit = std::chrono::milliseconds{2000};
/// Callers leave streams that do not begin within two seconds.
constexpr duration longest_outage_wait = std::chrono::milliseconds{1500};
/// Part of a caller's time that it may wait for replicas to return.
constexpr double outage_part = 0.3;
/// Further attempts that may wait at a replica whose slots are taken.
constexpr std::uint32_t repeats_beyond_slots = 2;

duration scaled(duration of, double by)
{
    return duration{
        static_cast<duration::rep>(static_cast<double>(of.count()) * by)};
}

} // namespace

std::vector<candidate>
relay_core::candidates_for(record const& of, time_point now)
{
    std::vector<candidate> out;
    std::uint32_t const limit = state_of(of.service).stream_limit;
    for (replica const* it : directory_.usable(of.service))
    {
        rank_status const condition = board_.rank(it->id, now);
        if (of.excluded.contains(it->id) || !condition.open)
            continue;
        out.push_back(
            {it,
             board_.in_flight(it->id, now),
             std::min(it->slots, limit),
             condition.pace,
             failures_.score_of(it->id, now)});
    }
    // One slow rank holds up its whole group, so that it is no better than a
    // full one, even if it has free slots.
    bool const any_fast = std::any_of(
        out.begin(),
        out.end(),
        [](candidate const& it) { return it.pace < slow_rank_threshold; });
    if (any_fast)
    {
        std::erase_if(
            out,
            [](candidate const& it) { return it.pace >= slow_rank_threshold; });
    }
    return out;
}

// Costs and limits follow the configuration, which is newer now and then.
void relay_core::refresh(service_state& state, service_name const& name) const
{
    if (state.table == book_.table())
        return;
    state.table = book_.table();
    state.cost = {};
    state.stream_limit = std::numeric_limits<std::uint32_t>::max();
    service_profile const* const profile =
        state.table ? state.table->find_service(name) : nullptr;
    if (!profile || !profile->engine)
        return;
    state.cost = {profile->engine->step, profile->engine->per_sequence};
    for (route const& it : state.table->configuration().routes)
    {
        bool const leads_there = std::any_of(
            it.shares.begin(),
            it.shares.end(),
            [&](weighted_service const& share)
            { return share.service == name; });
        if (leads_there && it.streaming)
        {
            state.stream_limit = std::min(
                state.stream_limit,
                stream_limit(*profile->engine, it.target_gap));
        }
    }
}

// A group that has lost a rank forms again within a second or two, so that the
// first requests wait for it; later ones are told at once to come back.
std::optional<duration>
relay_core::outage_wait(record const& of, time_point now)
{
    service_state& state = state_of(of.service);
    if (!candidates_for(of, now).empty())
    {
        state.unusable_since.reset();
        return std::nullopt;
    }
    if (!state.unusable_since)
        state.unusable_since = now;
    return std::min(
        {*state.unusable_since + outage_limit - now,
         longest_outage_wait,
         scaled(of.deadline - now, outage_part)});
}

// A request that can still be on time waits as long as that holds; one that
// returned after a refusal is late anyhow and gives way, but may wait longer.
void relay_core::enqueue(record_iterator it, time_point now, actions& out)
{
    record& of = it->second;
    std::optional<duration> const outage = outage_wait(of, now);
    if (outage && *outage <= duration::zero())
    {
        reject_for_outage(it, now, out);
        return;
    }
    bool const returning = of.request.caller_timeout.value_or(of.rule.timeout) <
                           scaled(of.rule.timeout, returning_part);
    duration const wait = returning ? scaled(of.deadline - now, wait_part)
                                    : scaled(of.rule.target_latency, wait_part);
    queued_request item;
    item.id = request_id{std::to_string(it->first)};
    item.customer = of.customer;
    item.priority = 2 * of.rule.priority + (returning ? 1 : 0);
    item.deadline = now + outage.value_or(wait);
    service_name const service = of.service;
    if (state_of(service).waiting.push(item, now))
    {
        reject(
            it,
            result_code::queue_full,
            execution_state::not_run,
            "the wait would be too long",
            rejection_reason::overload,
            now,
            out);
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
    while (state->second.waiting.size() > 0)
    {
        record probe;
        probe.service = name;
        std::vector<candidate> const candidates = candidates_for(probe, now);
        if (!chooser_.choose(
                candidates, state->second.cost, settings_.data_centre))
            return;
        std::optional<queued_request> const next =
            state->second.waiting.pop(now);
        if (!next)
            return;
        record_iterator const it = records_.find(std::stoull(next->id.str()));
        if (it != records_.end())
            send_queued(it, now, out);
    }
}

void relay_core::dispatch_all(time_point now, actions& out)
{
    for (auto& [name, state] : services_)
        dispatch(name, now, out);
}

// What was true when the request arrived may have changed while it waited, so
// that keys and routes are looked up again.
void relay_core::send_queued(record_iterator it, time_point now, actions& out)
{
    verdict const found = resolve(it->second, now);
    if (found.code != result_code::ok)
    {
        reject(it, found, now, out);
        return;
    }
    if (try_send(it, now, out))
        return;
    reject_for_outage(it, now, out);
}

bool relay_core::try_send(record_iterator it, time_point now, actions& out)
{
    record& of = it->second;
    std::vector<candidate> const candidates = candidates_for(of, now);
    // A stream that has begun goes before requests that have not.
    std::uint32_t const beyond = of.attempt > 0 ? repeats_beyond_slots : 0;
    std::optional<std::size_t> const chosen = chooser_.choose(
        candidates, state_of(of.service).cost, settings_.data_centre, beyond);
    if (!chosen)
        return false;
    replica const& target = *candidates[*chosen].target;
    of.target = target.id;
    of.excluded.insert(target.id);
    ++of.attempt;
    ++of.attempts;
    of.attempt_started = now;
    of.last_progress = now;
    of.at = of.first_bytes ? phase::answering : phase::trying;
    board_.on_started(target.id);
    open_attempt open;
    open.request = it->first;
    open.attempt = of.attempt;
    open.target = target;
    open.time_left = of.deadline - now;
    open.resume_after = of.events.last();
    open.fresh_connection = of.rule.retries == retry_class::at_most_once;
    open.customer = of.customer;
    out.push_back(std::move(open));
    event line{"attempt_sent"};
    line.with("id", of.request.id)
        .with("attempt", of.attempt)
        .with("replica", target.id)
        .with("in_flight", candidates[*chosen].in_flight)
        .with("candidates", candidates.size());
    log_.debug(line);
    return true;
}

actions relay_core::on_tick(time_point now)
{
    actions out;
    for (auto& [name, state] : services_)
    {
        for (queued_request const& late : state.waiting.expire(now))
        {
            record_iterator const it =
                records_.find(std::stoull(late.id.str()));
            if (it == records_.end())
                continue;
            reject(
                it,
                result_code::queue_full,
                execution_state::not_run,
                "the wait became too long",
                rejection_reason::overload,
                now,
                out);
        }
    }
    for (record_iterator it = records_.begin(); it != records_.end();)
    {
        record_iterator const at = it++;
        check_time(at, now, out);
    }
    dispatch_all(now, out);
    return out;
}

} // namespace hornbeamweir::relay
