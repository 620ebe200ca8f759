#include <hornbeamweir/relay/relay_core.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned first_failure_status = 400;
constexpr unsigned first_server_failure = 500;
constexpr unsigned gateway_timeout = 504;
constexpr unsigned misdirected = 421;
/// Multiple of the target latency after which an attempt without response data
/// counts as stalled, if other replicas of the service respond.
constexpr int stall_latency_factor = 2;
constexpr int stream_stall_latency_factor = 3;
/// Gap within a stream above which it counts as stalled, if other replicas of
/// the service respond.
constexpr duration max_stream_gap = std::chrono::milliseconds{900};
/// Age up to which the last response data of any replica shows that the service
/// works.
constexpr duration recent_progress = std::chrono::milliseconds{250};

/// \brief Whether the body of a response may follow the events of another one.
bool continues_stream(replica_response_head const& head)
{
    constexpr std::string_view event_stream = "text/event-stream";
    std::string const* const type = find_header(head.headers, "Content-Type");
    return head.status == ok && (!type || type->starts_with(event_stream));
}

} // namespace

actions relay_core::on_head(
    exchange_id id,
    std::uint32_t attempt,
    replica_response_head head,
    time_point now)
{
    actions out;
    request_iterator const it = find_attempt(id, attempt);
    if (it == requests_.end())
        return out;
    request_state& request = it->second;
    request.last_progress = now;
    request.reached_replica = true;
    observe_replica(request, head, now);
    service_name const service = request.service;
    if (service_state& state = service_state_for(service); state.progress)
        state.progress->on_response(request.target, now);
    bool const failed = head.status >= first_server_failure;
    bool const success = head.status < first_failure_status;
    std::string const cause = "replica answered " + std::to_string(head.status);
    if (head.not_executed)
    {
        on_not_executed(it, head, cause, now, out);
        return out;
    }
    bool const discard =
        !head.is_signed || (request.first_data_at && !continues_stream(head));
    bool const retry =
        request.matched_route.retries != retry_class::at_most_once && failed &&
        head.status != gateway_timeout && may_retry(request, true, now);
    if (discard || retry)
    {
        out.push_back(close_attempt{id});
        end_attempt(request, attempt_outcome::failed, now);
        request.last_failure = cause;
        request.may_have_run = true;
        if (retry)
        {
            request.phase = request_phase::awaiting_retry;
            request.failed_at = now;
            retry_or_reject(it, now, out);
        }
        else
            retry_or_fail(it, true, cause + " without a mark", now, out);
        dispatch(service, now, out);
        return out;
    }
    request.answer = answer_progress::head;
    request.answer_began = now;
    request.is_event_stream = request.matched_route.streaming && success;
    if (!request.first_data_at)
    {
        request.status = head.status;
        request.pending_head =
            send_head{id, head.status, std::move(head.headers)};
    }
    return out;
}

void relay_core::on_not_executed(
    request_iterator it,
    replica_response_head const& head,
    std::string const& cause,
    time_point now,
    actions& out)
{
    request_state& request = it->second;
    service_name const service = request.service;
    // Its group is blocked by the named peer: no requests for now.
    if (!head.faulty_replica.empty() &&
        head.faulty_replica != request.target.str())
        loads_.on_rank_status(request.target, {false, 1, now});
    // The intended replica got no request: the attempt does not count.
    if (head.status == misdirected)
    {
        quarantine_.evidence().on_ended(run_of(request), now);
        directory_.on_misdirected(request.target, now);
        --request.counted_attempts;
    }
    out.push_back(close_attempt{it->first});
    end_attempt(request, attempt_outcome::abandoned, now);
    retry_or_fail(it, false, cause + " without executing", now, out);
    dispatch(service, now, out);
}

void relay_core::forward(request_iterator it, std::string bytes, actions& out)
{
    request_state& request = it->second;
    if (request.pending_head)
    {
        out.push_back(std::move(*request.pending_head));
        request.pending_head.reset();
    }
    if (!bytes.empty())
        out.push_back(send_data{it->first, std::move(bytes)});
}

actions relay_core::on_data(
    exchange_id id, std::uint32_t attempt, std::string bytes, time_point now)
{
    actions out;
    request_iterator const it = find_attempt(id, attempt);
    if (it == requests_.end())
        return out;
    request_state& request = it->second;
    service_state& service = service_state_for(request.service);
    // Part of an event is no progress: a stalled replica may send a byte now
    // and then.
    if (request.is_event_stream)
        bytes = request.events.append(bytes);
    if (request.events.overflowed())
    {
        out.push_back(close_attempt{id});
        end_attempt(request, attempt_outcome::failed, now);
        retry_or_fail(it, true, "an event has no end", now, out);
        return out;
    }
    if (bytes.empty())
        return out;
    if (request.is_event_stream && request.first_data_at)
    {
        duration const gap = now - request.last_progress;
        service.activity.on_gap(gap, request.matched_route.target_gap);
        if (service.limiter)
            service.limiter->on_gap(gap);
    }
    observe_answer(request, answer_progress::data, now);
    request.last_progress = now;
    service.last_progress = now;
    if (service.progress)
        service.progress->on_response(request.target, now);
    if (!request.first_data_at)
        request.first_data_at = now;
    request.phase = request_phase::responding;
    forward(it, std::move(bytes), out);
    return out;
}

actions
relay_core::on_end(exchange_id id, std::uint32_t attempt, time_point now)
{
    actions out;
    request_iterator const it = find_attempt(id, attempt);
    if (it == requests_.end())
        return out;
    request_state& request = it->second;
    service_name const service = request.service;
    bool const truncated =
        request.is_event_stream &&
        (request.events.has_partial_event() || !request.first_data_at);
    if (truncated)
    {
        observe_broken_attempt(request, now, out);
        end_attempt(request, attempt_outcome::failed, now);
        retry_or_fail(it, true, "stream ended within an event", now, out);
    }
    else
    {
        bool const failed = request.status >= first_server_failure;
        end_attempt(
            request,
            failed ? attempt_outcome::failed : attempt_outcome::succeeded,
            now);
        observe_answer(request, answer_progress::data, now);
        observe_answer(request, answer_progress::complete, now);
        if (!request.first_data_at)
            request.first_data_at = now;
        forward(it, {}, out);
        out.push_back(send_end{id});
        log_outcome(request, failed ? "passed_on_failure" : "answered", now);
        erase(it);
    }
    dispatch(service, now, out);
    return out;
}

actions relay_core::on_failed(
    exchange_id id,
    std::uint32_t attempt,
    attempt_progress progress,
    std::string const& reason,
    time_point now)
{
    actions out;
    request_iterator const it = find_attempt(id, attempt);
    if (it == requests_.end())
        return out;
    request_state& request = it->second;
    service_name const service = request.service;
    bool const sent = progress == attempt_progress::sent;
    if (sent)
        observe_broken_attempt(request, now, out);
    else
        quarantine_.evidence().on_ended(run_of(request), now);
    end_attempt(request, attempt_outcome::failed, now);
    if (sent)
        request.reached_replica = true;
    else
        on_not_sent(request);
    retry_or_fail(it, sent, reason, now, out);
    dispatch(service, now, out);
    return out;
}

bool relay_core::is_stalled(request_state const& request, time_point now)
{
    bool const others_respond =
        now - service_state_for(request.service).last_progress <
        recent_progress;
    if (!others_respond ||
        request.matched_route.retries == retry_class::at_most_once)
        return false;
    if (request.phase == request_phase::responding)
        return request.is_event_stream &&
               now - request.last_progress > max_stream_gap;
    int const latency_factor = request.matched_route.streaming
                                   ? stream_stall_latency_factor
                                   : stall_latency_factor;
    return now - request.attempt_started >
           request.matched_route.target_latency * latency_factor;
}

void relay_core::check_timeouts(
    request_iterator it, time_point now, actions& out)
{
    request_state& request = it->second;
    if (request.phase == request_phase::awaiting_retry)
    {
        bool const expired =
            now >= request.deadline || now - request.failed_at > max_retry_wait;
        if (expired)
            fail(it, now, out);
        else
            retry_or_reject(it, now, out);
        return;
    }
    if (request.phase == request_phase::queued)
        return;
    if (now >= request.deadline)
    {
        out.push_back(close_attempt{it->first});
        end_attempt(request, attempt_outcome::abandoned, now);
        if (request.first_data_at)
            abort_started_response(it, "deadline exceeded", now, out);
        else
        {
            reject(
                it,
                result_code::deadline_exceeded,
                execution_state::may_have_run,
                "the replica did not answer in time",
                std::nullopt,
                now,
                out);
        }
        return;
    }
    // A stream that has begun is better slow than cut, which it would be if no
    // other replica took it.
    bool const stalled =
        is_stalled(request, now) &&
        (!request.first_data_at || has_alternative(request, now));
    bool const must_move = stalled || slows_group_down(request, now);
    if (must_move && may_retry(request, true, now))
    {
        move_to_other_replica(
            it,
            stalled ? "no answer while other replicas answer"
                    : "the replica holds up its group",
            now,
            out);
    }
}

// Every forward pass of a group waits for its slowest rank, so a slow rank
// delays the streams of all ranks. Resumable streams are moved away from it if
// another replica can take them.
bool relay_core::slows_group_down(request_state const& request, time_point now)
{
    if (request.matched_route.retries != retry_class::resumable_stream)
        return false;
    if (loads_.status_of(request.target, now).slowdown < slow_rank_threshold)
        return false;
    std::vector<candidate> const alternatives = candidates_for(request, now);
    return std::any_of(
        alternatives.begin(),
        alternatives.end(),
        [](candidate const& it)
        { return it.slowdown < slow_rank_threshold && it.has_room(1); });
}

bool relay_core::has_alternative(request_state const& request, time_point now)
{
    std::vector<candidate> const alternatives = candidates_for(request, now);
    return std::any_of(
        alternatives.begin(),
        alternatives.end(),
        [](candidate const& it) { return it.has_room(1); });
}

void relay_core::move_to_other_replica(
    request_iterator it,
    std::string const& reason,
    time_point now,
    actions& out)
{
    request_state& request = it->second;
    out.push_back(close_attempt{it->first});
    end_attempt(request, attempt_outcome::failed, now);
    request.may_have_run = true;
    request.reached_replica = true;
    request.last_failure = reason;
    request.pending_head.reset();
    request.events.discard_partial_event();
    request.phase = request_phase::awaiting_retry;
    request.failed_at = now;
    retry_or_reject(it, now, out);
}

} // namespace hornbeamweir::relay
