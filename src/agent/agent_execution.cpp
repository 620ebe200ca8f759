#include <hornbeamweir/agent/agent_core.hpp>
#include <hornbeamweir/entry/token_stream.hpp>

#include <algorithm>

/// \file
/// \brief Execution of requests by the agent.

namespace hornbeamweir
{

namespace
{

/// Bytes of a response that a call may read without credit from an entry; a
/// longer response is not read further.
constexpr std::size_t max_uncredited_bytes = 4 * 1024 * 1024;
/// Bytes that a call may read beyond what is recorded of its response.
constexpr std::size_t recording_window = 64 * 1024;
/// What an execution needs beside its answer and the ids of its attempts.
constexpr std::size_t execution_bytes = 1024;

http_request_message to_message(wire::execute const& request)
{
    http_request_message message;
    message.method = request.method();
    message.target = request.target();
    for (wire::header_field const& field : request.headers())
    {
        if (!same_header_name(field.name(), resume_header::from_token))
            message.headers.push_back({field.name(), field.value()});
    }
    if (request.resume_from_token() > 0)
    {
        message.headers.push_back(
            {std::string{resume_header::from_token},
             std::to_string(request.resume_from_token())});
    }
    message.body = request.body();
    return message;
}

} // namespace

agent_core::execution* agent_core::find_claim(std::string const& claim)
{
    auto const it = claims_.find(claim);
    return it == claims_.end() ? nullptr : find_call(it->second);
}

agent_core::execution* agent_core::find_call(call_number call)
{
    auto const it = executions_.find(call);
    return it == executions_.end() ? nullptr : &it->second;
}

agent_core::execution* agent_core::find_attempt(
    peer const& from, std::string const& id, std::uint32_t attempt)
{
    for (auto it = executions_.begin(); it != executions_.end(); ++it)
    {
        std::list<answer_stream> const& streams = it->second.streams;
        bool const found = std::any_of(
            streams.begin(),
            streams.end(),
            [&](answer_stream const& stream)
            { return stream.belongs_to(from, id, attempt); });
        if (found)
            return &it->second;
    }
    return nullptr;
}

std::optional<error>
agent_core::rejection_reason(wire::execute const& request, time_point now) const
{
    if (request.agent_incarnation() != incarnation_)
        return error{
            result_code::wrong_incarnation, "meant for an earlier agent"};
    if (is_draining())
        return error{result_code::draining, "the backend server is leaving"};
    if (!backend_up_)
        return error{
            result_code::backend_unreachable, "the backend server is down"};
    if (now > from_wire(request.start_before_us()))
        return error{
            result_code::start_expired, "arrived after its latest start"};
    return std::nullopt;
}

// A claim that was executed is answered from its record, even if a new
// execution would be rejected.
void agent_core::on_execute(
    peer const& from, wire::execute const& request, time_point now)
{
    if (find_attempt(from, request.request_id(), request.attempt()) != nullptr)
        return;
    execution* const known =
        request.claim().empty() ? nullptr : find_claim(request.claim());
    if (known != nullptr || request.replay_only())
    {
        replay(from, request, known);
        return;
    }
    // A second execution would have an effect, and no claim prevents it.
    bool const needs_duplicate_check =
        !request.idempotent() && request.claim().empty();
    if (needs_duplicate_check &&
        !attempts_.register_attempt(
            request.request_id(),
            request.attempt(),
            now + duration{static_cast<duration::rep>(request.timeout_us())}))
        return;
    std::optional<error> const reason = rejection_reason(request, now);
    // The earlier incarnation may have executed a copy of this attempt.
    bool const other_incarnation = request.agent_incarnation() != incarnation_;
    if (other_incarnation && !request.idempotent())
    {
        reject(from, request, *reason, execution_state::may_have_run);
        return;
    }
    if (!request.claim().empty() && !admit_claim(from, request))
        return;
    if (!reason)
    {
        start(from, request, now);
        return;
    }
    // A copy that arrives later must not be executed after this rejection.
    if (!request.claim().empty())
        guard_.dismiss(request.claim(), request.claim_fence());
    reject(from, request, *reason, execution_state::not_run);
}

void agent_core::reject(
    peer const& from,
    wire::execute const& request,
    error const& reason,
    execution_state state)
{
    metrics_.count(
        "hornbeamweir_agent_refusals_total",
        {{"result", std::string{name_of(reason.code)}}});
    log_.info(event{"attempt_refused"}
                  .with("request", request.request_id())
                  .with("attempt", request.attempt())
                  .with("code", number_of(reason.code))
                  .with("result", name_of(reason.code))
                  .with("execution", name_of(state)));
    wire::envelope message;
    *message.mutable_answer() =
        make_failure(request.request_id(), request.attempt(), 0, reason, state);
    send(from, std::move(message));
}

void agent_core::start(
    peer const& from, wire::execute const& request, time_point)
{
    call_number const call = next_call_++;
    execution& run = executions_[call];
    run.call = call;
    run.claim = request.claim();
    run.request_id = request.request_id();
    run.fence = request.claim_fence();
    run.idempotent = request.idempotent();
    add_overhead(run, execution_bytes + run.request_id.size());
    if (!run.claim.empty())
    {
        claims_[run.claim] = call;
        static_cast<void>(remember_attempt(run, request));
        guard_.mark_executed(run.claim, run.fence);
    }
    start_call action;
    action.call = call;
    action.request = to_message(request);
    action.timeout = duration{static_cast<duration::rep>(request.timeout_us())};
    // The response to a claimed request is read and recorded even if the entry
    // grants no credit.
    action.initial_credit =
        run.claim.empty()
            ? request.credit_bytes()
            : std::max<std::size_t>(request.credit_bytes(), recording_window);
    run.granted_bytes = action.initial_credit;
    actions_.emplace_back(std::move(action));
    metrics_.count("hornbeamweir_agent_executions_total", {});
    log_.info(event{"execution_started"}
                  .with("request", run.request_id)
                  .with("attempt", request.attempt())
                  .with("call", call));
    attach(run, from, request);
}

void agent_core::attach(
    execution& target, peer const& from, wire::execute const& request)
{
    target.streams.emplace_back(
        from, request.request_id(), request.attempt(), request.credit_bytes());
    send_ready_frames(target);
}

void agent_core::send_ready_frames(execution& target)
{
    for (answer_stream& stream : target.streams)
    {
        for (wire::answer& frame : stream.take_ready_frames(target.answer))
        {
            wire::envelope message;
            *message.mutable_answer() = std::move(frame);
            send(stream.to(), std::move(message));
        }
    }
    target.streams.remove_if([](answer_stream const& stream)
                             { return stream.finished(); });
    discard_sent_data(target);
}

// An answer that is not recorded is never replayed, so data is discarded once
// all streams have sent it, and the call may read as much as the slowest stream
// has sent and may still send.
void agent_core::discard_sent_data(execution& target)
{
    if (!target.claim.empty() || target.streams.empty())
        return;
    auto const slowest = std::min_element(
        target.streams.begin(),
        target.streams.end(),
        [](answer_stream const& a, answer_stream const& b)
        { return a.position() < b.position(); });
    received_answer& answer = target.answer;
    std::uint64_t const sent = slowest->position() - answer.data_offset;
    answer.data.erase(0, sent);
    answer.data_offset = slowest->position();
    held_bytes_ -= sent;
    grant_up_to(target, slowest->position() + slowest->credit());
}

void agent_core::grant_up_to(execution& target, std::uint64_t limit)
{
    if (!target.running || limit <= target.granted_bytes)
        return;
    actions_.emplace_back(
        grant_call_credit{target.call, limit - target.granted_bytes});
    target.granted_bytes = limit;
}

void agent_core::on_credit(peer const& from, wire::credit const& message)
{
    execution* const run =
        find_attempt(from, message.request_id(), message.attempt());
    if (run == nullptr)
        return;
    for (answer_stream& stream : run->streams)
    {
        if (stream.belongs_to(from, message.request_id(), message.attempt()))
            stream.add_credit(message.bytes());
    }
    send_ready_frames(*run);
}

void agent_core::on_cancel(peer const& from, wire::cancel const& message)
{
    execution* const run =
        find_attempt(from, message.request_id(), message.attempt());
    if (run == nullptr)
        return;
    run->streams.remove_if(
        [&](answer_stream const& stream) {
            return stream.belongs_to(
                from, message.request_id(), message.attempt());
        });
    cancel_if_detached(*run);
}

// A non-idempotent call runs to its end, because cancelling it would leave its
// outcome unknown.
void agent_core::cancel_if_detached(execution& target)
{
    if (!target.running || !target.streams.empty())
        return;
    if (target.idempotent)
    {
        target.running = false;
        actions_.emplace_back(cancel_call{target.call});
        return;
    }
    if (target.claim.empty())
    {
        held_bytes_ -= target.answer.data.size();
        target.answer.data.clear();
        actions_.emplace_back(
            grant_call_credit{target.call, max_uncredited_bytes});
    }
}

void agent_core::on_unsendable(peer const& to, wire::envelope const& message)
{
    if (!message.has_answer())
        return;
    // If the entry is still running, it detects the gap in the sequence.
    execution* const run = find_attempt(
        to, message.answer().request_id(), message.answer().attempt());
    if (run == nullptr)
        return;
    run->streams.remove_if(
        [&](answer_stream const& stream)
        {
            return stream.belongs_to(
                to, message.answer().request_id(), message.answer().attempt());
        });
    cancel_if_detached(*run);
}

void agent_core::on_call_head(
    call_number call, unsigned status, header_list headers)
{
    execution* const run = find_call(call);
    if (run == nullptr || !run->running)
        return;
    run->answer.status = status;
    for (header_field const& it : headers)
        add_overhead(*run, it.name.size() + it.value.size());
    run->answer.headers = std::move(headers);
    run->answer.has_head = true;
    send_ready_frames(*run);
}

void agent_core::on_call_data(call_number call, std::string bytes)
{
    execution* const run = find_call(call);
    if (run == nullptr || !run->running)
        return;
    if (run->claim.empty() && run->streams.empty())
        return;
    run->answer.data += bytes;
    held_bytes_ += bytes.size();
    if (!run->claim.empty())
        record(*run, bytes.size());
    send_ready_frames(*run);
}

void agent_core::record(execution& target, std::size_t bytes)
{
    recorded_bytes_ += bytes;
    if (held_bytes_ > max_held_bytes_)
        evict_excess_answers();
    bool const fits = held_bytes_ <= max_held_bytes_ &&
                      target.answer.data.size() <= max_uncredited_bytes;
    if (fits)
        grant_up_to(target, target.answer.size() + recording_window);
    else
        stop_recording(target);
}

// The guard still counts the claim as executed, so that later attempts are
// told that the request may have run.
void agent_core::stop_recording(execution& target)
{
    metrics_.count("hornbeamweir_agent_answers_not_recorded_total", {});
    log_.warning(event{"answer_not_recorded"}
                     .with("request", target.request_id)
                     .with("bytes", target.answer.data.size())
                     .with("held_bytes", held_bytes_)
                     .with("limit", max_held_bytes_));
    recorded_bytes_ -= target.answer.data.size();
    claims_.erase(target.claim);
    target.claim.clear();
    cancel_if_detached(target);
}

void agent_core::on_call_ended(call_number call, time_point now)
{
    execution* const run = find_call(call);
    if (run == nullptr || !run->running)
        return;
    run->answer.ended = true;
    complete(*run, now);
}

void agent_core::on_call_failed(
    call_number call, error const& reason, bool sent, time_point now)
{
    execution* const run = find_call(call);
    if (run == nullptr || !run->running)
        return;
    run->answer.failed = reason;
    run->answer.failed_state =
        sent ? execution_state::may_have_run : execution_state::not_run;
    log_.warning(event{"execution_failed"}
                     .with("request", run->request_id)
                     .with("code", number_of(reason.code))
                     .with("execution", name_of(run->answer.failed_state))
                     .with("reason", reason.message));
    // A request that was not executed leaves no record, so that this agent can
    // execute it under a later claim.
    if (!sent && !run->claim.empty())
    {
        claims_.erase(run->claim);
        guard_.dismiss(run->claim, run->fence);
        run->claim.clear();
    }
    complete(*run, now);
}

void agent_core::complete(execution& target, time_point now)
{
    target.running = false;
    target.ended_at = now;
    send_ready_frames(target);
    evict_excess_answers();
}

} // namespace hornbeamweir
