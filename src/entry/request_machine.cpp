#include <hornbeamweir/entry/request_machine.hpp>

namespace hornbeamweir
{

namespace
{

execution_state from_wire(wire::execution_state state) noexcept
{
    if (state == wire::execution_state_not_run)
        return execution_state::not_run;
    if (state == wire::execution_state_done)
        return execution_state::done;
    return execution_state::may_have_run;
}

header_list from_wire(wire::answer_head const& head)
{
    header_list headers;
    for (wire::header_field const& field : head.headers())
        headers.push_back({field.name(), field.value()});
    return headers;
}

constexpr unsigned resumable_status = 200;
constexpr unsigned first_server_error = 500;

bool confirms_resume(header_list const& headers, std::uint32_t tokens)
{
    std::string const* const value =
        find_header(headers, resume_header::resumed);
    return value != nullptr && *value == std::to_string(tokens);
}

} // namespace

request_machine::request_machine(inbound_request request)
    : request_{std::move(request)}
{
}

request_actions request_machine::start()
{
    return {choose_backend{excluded_}};
}

request_actions request_machine::on_chosen(std::optional<chosen_backend> target)
{
    if (phase_ != phase::choosing)
        return {};
    if (!target)
    {
        return finish_with_error(
            {result_code::no_backend_server, "no backend server is available"},
            may_have_run_ ? execution_state::may_have_run
                          : execution_state::not_run);
    }
    target_ = target->id;
    target_incarnation_ = target->incarnation;
    if (request_.claim.empty())
        return begin_attempt(false);
    phase_ = phase::claiming;
    return {make_claim{
        {request_.id,
         request_.claim,
         request_.fingerprint,
         target->id,
         target->incarnation,
         fence_}}};
}

request_actions request_machine::on_claimed(claim_outcome const& outcome)
{
    if (phase_ != phase::claiming)
        return {};
    switch (outcome.verdict)
    {
    case claim_verdict::granted:
        fence_ = outcome.fence;
        return begin_attempt(false);
    case claim_verdict::recorded:
        target_ = outcome.holder;
        target_incarnation_ = outcome.holder_incarnation;
        fence_ = outcome.fence;
        return begin_attempt(true);
    case claim_verdict::key_reused:
        return finish_with_error(
            {result_code::key_reused,
             "the idempotency key was used for a different request"},
            execution_state::not_run);
    case claim_verdict::unavailable:
        return finish_with_error(
            {result_code::platform_unavailable,
             "the request was not claimed; an earlier request with its key "
             "may have run"},
            execution_state::not_run);
    case claim_verdict::unknown:
        break;
    }
    // No attempt is sent before the claim is confirmed, so nothing was executed
    // under it.
    return finish_with_error(
        {result_code::platform_outcome_unknown,
         "the request's claim could not be confirmed"},
        execution_state::not_run);
}

// Nothing was sent under the claim, so it moves to the next choice, or is
// released if there is none.
request_actions request_machine::on_claimed_out_of_service(std::uint64_t fence)
{
    if (phase_ != phase::claiming)
        return {};
    fence_ = fence;
    target_.reset();
    phase_ = phase::choosing;
    return {choose_backend{excluded_}};
}

request_actions request_machine::begin_attempt(bool replay_only)
{
    ++attempt_;
    next_sequence_ = 0;
    replaying_ = replay_only;
    phase_ = phase::awaiting_head;
    return {start_attempt{
        *target_,
        attempt_,
        target_incarnation_,
        fence_,
        replay_only,
        stream_ ? stream_->tokens() : 0}};
}

request_actions
request_machine::on_answer(wire::answer const& frame, bool budget_available)
{
    if (!attempt_in_flight() || frame.attempt() != attempt_ ||
        frame.sequence() < next_sequence_)
    {
        ++dropped_frames_;
        return {};
    }
    if (frame.sequence() > next_sequence_)
    {
        return on_failure(
            {result_code::answer_incomplete, "frames of the answer were lost"},
            execution_state::may_have_run,
            budget_available);
    }
    ++next_sequence_;
    return handle_frame(frame, budget_available);
}

request_actions
request_machine::handle_frame(wire::answer const& frame, bool budget_available)
{
    switch (frame.part_case())
    {
    case wire::answer::kStarted:
        return {};
    case wire::answer::kHead:
        if (phase_ != phase::awaiting_head)
            break;
        return handle_head(frame.head(), budget_available);
    case wire::answer::kData:
        if (phase_ != phase::receiving_body)
            break;
        return handle_data(frame.data());
    case wire::answer::kEnd:
        if (phase_ != phase::receiving_body)
            break;
        return handle_end(budget_available);
    case wire::answer::kFailure:
        return on_failure(
            {result_code_from_number(frame.failure().result_code()),
             frame.failure().detail()},
            from_wire(frame.failure().state()),
            budget_available);
    case wire::answer::PART_NOT_SET:
        break;
    }
    return on_failure(
        {result_code::answer_incomplete,
         "the answer's frames are out of order"},
        execution_state::may_have_run,
        budget_available);
}

request_actions request_machine::handle_head(
    wire::answer_head const& head, bool budget_available)
{
    header_list headers = from_wire(head);
    if (head_relayed_)
    {
        bool const resumes = head.status() == status_ &&
                             (stream_->tokens() == 0 ||
                              confirms_resume(headers, stream_->tokens()));
        if (!resumes)
        {
            return on_failure(
                {result_code::answer_incomplete,
                 "the backend server did not resume the broken stream"},
                execution_state::may_have_run,
                budget_available);
        }
        phase_ = phase::receiving_body;
        return {};
    }
    phase_ = phase::receiving_body;
    head_relayed_ = true;
    status_ = head.status();
    bool const supported =
        find_header(headers, resume_header::support) != nullptr;
    if (supported && request_.streamed && request_.idempotent &&
        status_ == resumable_status)
        stream_.emplace();
    std::erase_if(
        headers,
        [](header_field const& field)
        { return same_header_name(field.name, resume_header::support); });
    return {relay_head{status_, std::move(headers)}};
}

// An event that is too large to buffer is relayed in parts, and from then on
// the stream can't be resumed.
request_actions request_machine::handle_data(std::string const& bytes)
{
    if (!stream_)
        return {relay_data{bytes}};
    std::string ready = stream_->append(bytes);
    if (stream_->overflowed())
    {
        ready += stream_->release_tail();
        stream_.reset();
    }
    if (ready.empty())
        return {};
    return {relay_data{std::move(ready)}};
}

// A resumable stream is complete only with its end event: a backend server that
// crashes may still close its connection cleanly.
request_actions request_machine::handle_end(bool budget_available)
{
    if (stream_ && !stream_->done())
    {
        return on_failure(
            {result_code::answer_incomplete, "the stream ended too early"},
            execution_state::may_have_run,
            budget_available);
    }
    return complete();
}

request_actions request_machine::complete()
{
    request_actions out;
    if (stream_)
    {
        std::string tail = stream_->release_tail();
        if (!tail.empty())
            out.emplace_back(relay_data{std::move(tail)});
    }
    end_attempt(
        out,
        status_ < first_server_error ? attempt_outcome::succeeded
                                     : attempt_outcome::failed);
    phase_ = phase::finished;
    out.emplace_back(relay_end{});
    return out;
}

bool request_machine::can_resume() const noexcept
{
    return stream_.has_value() && request_.idempotent;
}

bool request_machine::can_retry(
    execution_state state, bool budget_available) const noexcept
{
    bool const safe = state == execution_state::not_run || request_.idempotent;
    return safe && budget_available && (!head_relayed_ || can_resume()) &&
           attempt_ < max_attempts;
}

request_actions request_machine::on_failure(
    error reason, execution_state state, bool budget_available)
{
    if (state != execution_state::not_run)
        may_have_run_ = true;
    if (stream_ && stream_->done())
        return complete();
    if (can_retry(state, budget_available))
        return retry();
    // An earlier attempt may have run although the last one did not.
    if (state == execution_state::not_run && may_have_run_)
        state = execution_state::may_have_run;
    return finish_with_error(std::move(reason), state);
}

request_actions request_machine::retry()
{
    request_actions out;
    // A failed replay doesn't exclude the backend server that holds the claim:
    // it has no recorded response, but may be chosen to execute the request.
    if (!replaying_)
        excluded_.insert(*target_);
    out.emplace_back(cancel_attempt{*target_, attempt_});
    end_attempt(out, attempt_outcome::failed);
    if (stream_)
        stream_->discard_tail();
    phase_ = phase::choosing;
    out.emplace_back(choose_backend{excluded_, true});
    return out;
}

void request_machine::end_attempt(request_actions& out, attempt_outcome outcome)
{
    if (attempt_in_flight())
        out.emplace_back(attempt_ended{*target_, attempt_, outcome});
}

request_actions request_machine::finish_with_error(
    error reason, execution_state state, attempt_outcome outcome)
{
    request_actions out;
    if (attempt_in_flight())
        out.emplace_back(cancel_attempt{*target_, attempt_});
    end_attempt(out, outcome);
    phase_ = phase::finished;
    if (fence_ != 0 && state == execution_state::not_run)
        out.emplace_back(release_claim{request_.claim, fence_});
    if (head_relayed_)
        out.emplace_back(abort_relay{std::move(reason), state});
    else
        out.emplace_back(fail_request{std::move(reason), state});
    return out;
}

request_actions request_machine::on_agent_lost(bool sent, bool budget_available)
{
    if (!attempt_in_flight())
        return {};
    return on_failure(
        {result_code::agent_lost, "the backend server's agent was lost"},
        sent || replaying_ ? execution_state::may_have_run
                           : execution_state::not_run,
        budget_available);
}

request_actions request_machine::on_deadline()
{
    if (phase_ == phase::finished)
        return {};
    bool const sent = attempt_in_flight();
    return finish_with_error(
        {result_code::deadline_exceeded, "the request's deadline has passed"},
        sent || may_have_run_ ? execution_state::may_have_run
                              : execution_state::not_run,
        attempt_outcome::abandoned);
}

request_actions request_machine::on_delivered()
{
    if (phase_ != phase::receiving_body)
        return on_caller_disconnected();
    return complete();
}

request_actions request_machine::on_caller_disconnected()
{
    if (phase_ == phase::finished)
        return {};
    request_actions out;
    if (attempt_in_flight())
        out.emplace_back(cancel_attempt{*target_, attempt_});
    end_attempt(out, attempt_outcome::abandoned);
    phase_ = phase::finished;
    return out;
}

} // namespace hornbeamweir
