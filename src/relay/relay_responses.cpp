#include <hornbeamweir/relay/relay_core.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

constexpr unsigned first_failure_status = 400;
constexpr unsigned first_server_failure = 500;
constexpr unsigned gateway_timeout = 504;
constexpr unsigned misdirected = 421;
/// Time below which a further attempt cannot be answered any more.
constexpr duration least_time_left = std::chrono::milliseconds{100};
/// Time that a further attempt waits for a replica that can take it.
constexpr duration attempt_wait = std::chrono::milliseconds{1500};
/// Target latencies after which an answer that has not begun is given up, if
/// the service's other replicas answer.
constexpr int stuck_latencies = 2;
constexpr int stuck_stream_latencies = 3;
/// Pause within a stream after which it is given up, likewise.
constexpr duration stuck_pause = std::chrono::milliseconds{900};
/// A replica's last answer that shows that its service works.
constexpr duration recent = std::chrono::milliseconds{250};

} // namespace

actions relay_core::on_head(
    exchange_id number,
    std::uint32_t attempt,
    replica_response_head answer,
    time_point now)
{
    actions out;
    record_iterator const it = current(number, attempt);
    if (it == records_.end())
        return out;
    record& of = it->second;
    of.last_progress = now;
    of.has_arrived = true;
    service_name const service = of.service;
    bool const failed = answer.status >= first_server_failure;
    bool const success = answer.status < first_failure_status;
    std::string const found =
        "replica answered " + std::to_string(answer.status);
    if (answer.not_executed)
    {
        // A replica that blames another one belongs to a broken group.
        if (!answer.faulty_replica.empty() &&
            answer.faulty_replica != of.target.str())
            board_.on_rank_status(of.target, {false, 1, now});
        // The replica that was meant got nothing, so that this is no attempt.
        if (answer.status == misdirected)
        {
            directory_.on_misdirected(of.target, now);
            --of.attempts;
        }
        out.push_back(close_attempt{number});
        end_attempt(of, attempt_outcome::abandoned, now);
        try_again(it, false, found + " without executing", now, out);
        dispatch(service, now, out);
        return out;
    }
    bool const unusable = !answer.is_signed || (of.first_bytes && !success);
    bool const repeat = of.rule.retries != retry_class::at_most_once &&
                        failed && answer.status != gateway_timeout &&
                        may_repeat(of, true, now);
    if (unusable || repeat)
    {
        out.push_back(close_attempt{number});
        end_attempt(of, attempt_outcome::failed, now);
        of.last_failure = found;
        of.may_have_run = true;
        if (repeat)
        {
            of.at = phase::between_attempts;
            of.failed_at = now;
            static_cast<void>(try_send(it, now, out));
        }
        else
            try_again(it, true, found + " without a mark", now, out);
        dispatch(service, now, out);
        return out;
    }
    of.is_event_stream = of.rule.streaming && success;
    if (!of.first_bytes)
    {
        of.status = answer.status;
        of.pending_head =
            send_head{number, answer.status, std::move(answer.headers)};
    }
    return out;
}

void relay_core::pass_on(record_iterator it, std::string bytes, actions& out)
{
    record& of = it->second;
    if (of.pending_head)
    {
        out.push_back(std::move(*of.pending_head));
        of.pending_head.reset();
    }
    if (!bytes.empty())
        out.push_back(send_data{it->first, std::move(bytes)});
}

actions relay_core::on_data(
    exchange_id number,
    std::uint32_t attempt,
    std::string bytes,
    time_point now)
{
    actions out;
    record_iterator const it = current(number, attempt);
    if (it == records_.end())
        return out;
    record& of = it->second;
    of.last_progress = now;
    state_of(of.service).last_progress = now;
    if (of.is_event_stream)
        bytes = of.events.take(bytes);
    if (bytes.empty())
        return out;
    if (!of.first_bytes)
        of.first_bytes = now;
    of.at = phase::answering;
    pass_on(it, std::move(bytes), out);
    return out;
}

actions
relay_core::on_end(exchange_id number, std::uint32_t attempt, time_point now)
{
    actions out;
    record_iterator const it = current(number, attempt);
    if (it == records_.end())
        return out;
    record& of = it->second;
    service_name const service = of.service;
    bool const torn =
        of.is_event_stream && (of.events.has_tail() || !of.first_bytes);
    if (torn)
    {
        end_attempt(of, attempt_outcome::failed, now);
        try_again(it, true, "stream ended within an event", now, out);
    }
    else
    {
        bool const failed = of.status >= first_server_failure;
        end_attempt(
            of,
            failed ? attempt_outcome::failed : attempt_outcome::succeeded,
            now);
        if (!of.first_bytes)
            of.first_bytes = now;
        pass_on(it, {}, out);
        out.push_back(send_end{number});
        log_end(of, failed ? "passed_on_failure" : "answered", now);
        forget(it);
    }
    dispatch(service, now, out);
    return out;
}

actions relay_core::on_failed(
    exchange_id number,
    std::uint32_t attempt,
    attempt_progress progress,
    std::string const& reason,
    time_point now)
{
    actions out;
    record_iterator const it = current(number, attempt);
    if (it == records_.end())
        return out;
    record& of = it->second;
    service_name const service = of.service;
    bool const sent = progress == attempt_progress::sent;
    end_attempt(of, attempt_outcome::failed, now);
    if (!sent)
        --of.attempts;
    try_again(it, sent, reason, now, out);
    dispatch(service, now, out);
    return out;
}

bool relay_core::may_repeat(record const& of, bool ran, time_point now)
{
    if (ran && of.rule.retries == retry_class::at_most_once)
        return false;
    bool const resumable =
        of.rule.retries == retry_class::resumable_stream && of.is_event_stream;
    if (of.first_bytes && !resumable)
        return false;
    if (of.attempts >= of.rule.max_attempts ||
        of.deadline - now < least_time_left)
        return false;
    // An attempt that never left this process is no repeat. One that another
    // replica refused at the address is none for the route's limit, but the
    // replica was asked.
    return (!ran && !of.has_arrived) ||
           state_of(of.service).budget.take(board_.entries(now), now);
}

void relay_core::try_again(
    record_iterator it,
    bool ran,
    std::string const& reason,
    time_point now,
    actions& out)
{
    record& of = it->second;
    of.may_have_run = of.may_have_run || ran;
    of.last_failure = reason;
    of.pending_head.reset();
    of.events.discard_tail();
    event line{"attempt_failed"};
    line.with("id", of.request.id)
        .with("attempt", of.attempt)
        .with("replica", of.target)
        .with("may_have_run", ran ? "yes" : "no")
        .with("reason", reason);
    log_.info(line);
    if (!may_repeat(of, ran, now))
    {
        give_up(it, now, out);
        return;
    }
    of.at = phase::between_attempts;
    of.failed_at = now;
    static_cast<void>(try_send(it, now, out));
}

void relay_core::give_up(record_iterator it, time_point now, actions& out)
{
    record const& of = it->second;
    if (of.first_bytes)
    {
        cut_off(it, of.last_failure, now, out);
        return;
    }
    reject(
        it,
        of.may_have_run ? result_code::outcome_unknown
                        : result_code::no_backend_server,
        of.may_have_run ? execution_state::may_have_run
                        : execution_state::not_run,
        of.last_failure,
        of.may_have_run ? std::nullopt
                        : std::optional{rejection_reason::outage},
        now,
        out);
}

bool relay_core::is_stuck(record const& of, time_point now)
{
    bool const others_answer =
        now - state_of(of.service).last_progress < recent;
    if (!others_answer || of.rule.retries == retry_class::at_most_once)
        return false;
    if (of.at == phase::answering)
        return of.is_event_stream && now - of.last_progress > stuck_pause;
    int const latencies =
        of.rule.streaming ? stuck_stream_latencies : stuck_latencies;
    return now - of.attempt_started > of.rule.target_latency * latencies;
}

void relay_core::check_time(record_iterator it, time_point now, actions& out)
{
    record& of = it->second;
    if (of.at == phase::between_attempts)
    {
        bool const over =
            now >= of.deadline || now - of.failed_at > attempt_wait;
        if (over)
            give_up(it, now, out);
        else
            static_cast<void>(try_send(it, now, out));
        return;
    }
    if (of.at == phase::queued)
        return;
    if (now >= of.deadline)
    {
        out.push_back(close_attempt{it->first});
        end_attempt(of, attempt_outcome::abandoned, now);
        if (of.first_bytes)
            cut_off(it, "deadline exceeded", now, out);
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
    bool const stuck = is_stuck(of, now);
    bool const moves = stuck || holds_up_group(of, now);
    if (moves && may_repeat(of, true, now))
    {
        move_attempt(
            it,
            stuck ? "no answer while other replicas answer"
                  : "the replica holds up its group",
            now,
            out);
    }
}

// Every pass of a group waits for its slowest rank, so that the streams there
// are late, and those of all other ranks with them.
bool relay_core::holds_up_group(record const& of, time_point now)
{
    if (of.rule.retries != retry_class::resumable_stream)
        return false;
    if (board_.rank(of.target, now).pace < slow_rank_threshold)
        return false;
    std::vector<candidate> const others = candidates_for(of, now);
    return std::any_of(
        others.begin(),
        others.end(),
        [](candidate const& it)
        { return it.pace < slow_rank_threshold && it.in_flight <= it.limit; });
}

void relay_core::move_attempt(
    record_iterator it, std::string const& reason, time_point now, actions& out)
{
    record& of = it->second;
    out.push_back(close_attempt{it->first});
    end_attempt(of, attempt_outcome::failed, now);
    of.may_have_run = true;
    of.last_failure = reason;
    of.pending_head.reset();
    of.events.discard_tail();
    of.at = phase::between_attempts;
    of.failed_at = now;
    static_cast<void>(try_send(it, now, out));
}

} // namespace hornbeamweir::relay
