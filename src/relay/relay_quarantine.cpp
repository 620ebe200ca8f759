#include <hornbeamweir/relay/relay_core.hpp>

namespace hornbeamweir::relay
{

replica_run relay_core::run_of(request_state const& request)
{
    return {request.target, request.target_registration.revision};
}

void relay_core::log_failed_attempt(
    request_state const& request, bool may_have_run, std::string const& reason)
{
    std::string traits;
    for (request_trait const& it : request.traits)
        traits.append(traits.empty() ? "" : ",").append(to_string(it));
    event line{"attempt_failed"};
    line.with("id", request.message.id)
        .with("attempt", request.attempt)
        .with("replica", request.target)
        .with("may_have_run", may_have_run ? "yes" : "no")
        .with("answer", name_of(request.answer))
        .with("traits", traits)
        .with("reason", reason);
    log_.info(line);
}

void relay_core::observe_broken_attempt(
    request_state& request, time_point now, actions& out)
{
    request_traits const suspects =
        suspects_of(request.traits, request.answer, now - request.answer_began);
    if (suspects.empty())
        return;
    if (std::exchange(request.is_probe, false))
        quarantine_.on_probe_crashed(suspects, now);
    bool const is_first = quarantine_.evidence().on_broken_answer(
        run_of(request), suspects, now - request.attempt_started, now);
    replica const* const target = directory_.find(request.target);
    if (is_first && target)
        out.push_back(check_replica{*target});
}

void relay_core::on_not_accepting(replica const& checked, time_point now)
{
    quarantine_.evidence().on_ended(
        {checked.id, checked.registration_revision}, now);
    event line{"replica_not_accepting"};
    line.with("replica", checked.id)
        .with("registration", checked.registration_revision);
    log_.info(line);
}

void relay_core::observe_answer(
    request_state& request, answer_progress progress, time_point now)
{
    if (request.answer >= progress)
        return;
    request.answer = progress;
    quarantine_.on_answered(request.traits, progress, now);
}

bool relay_core::reject_if_quarantined(
    request_iterator it, time_point now, actions& out)
{
    request_state& request = it->second;
    request_quarantine::verdict const found =
        quarantine_.admit(request.traits, now);
    request.is_probe = found.is_probe;
    if (found.is_probe)
    {
        event line{"request_trait_tried"};
        line.with("id", request.message.id);
        log_.info(line);
    }
    if (!found.blocked_trait)
        return false;
    bool const is_part = found.blocked_trait->kind == trait_kind::prompt_part;
    send_error response;
    response.code = is_part ? result_code::prompt_quarantined
                            : result_code::request_quarantined;
    response.detail =
        is_part ? "replicas ended as they answered prompts with the part " +
                      found.blocked_trait->value
                : "replicas ended as they ran this request";
    response.retry_after = retry_after_.plan_after(found.retry_after);
    send_rejection(it, std::move(response), now, out);
    return true;
}

actions relay_core::on_crash_report(crash_report const& report, time_point now)
{
    actions out;
    quarantine_.merge(report, now);
    update_quarantine(now, out);
    return out;
}

void relay_core::update_quarantine(time_point now, actions& out)
{
    constexpr int us_per_ms = 1000;
    for (replica_run const& it : quarantine_.evidence().unconfirmed())
    {
        if (!directory_.is_current(it.replica, it.registration_revision))
            quarantine_.evidence().on_ended(it, now);
    }
    bool has_new = false;
    for (request_quarantine::decision const& it : quarantine_.on_tick(now))
    {
        has_new = has_new || !it.blame.ended;
        event line{"request_trait_judged"};
        line.with("trait", to_string(it.blame.trait))
            .with("change", name_of(it.kind))
            .with("incidents", it.incidents)
            .with("generation", it.blame.generation)
            .with("level", it.blame.level)
            .with("probes", it.blame.probes)
            .with("blocked", it.blame.ended ? "no" : "yes")
            .with(
                "blocked_for_ms",
                (it.blame.blocked_until - now).count() / us_per_ms);
        log_.info(line);
        metrics_.count(
            "hornbeamweir_request_traits_judged_total",
            {{"change", std::string{name_of(it.kind)}}});
    }
    if (!has_new)
        return;
    for (request_iterator it = requests_.begin(); it != requests_.end();)
    {
        request_iterator const current = it++;
        if (is_quarantined(current->second))
            stop_quarantined(current, now, out);
    }
}

// An answer that has begun is delivered. A replica that has not begun may not
// have run the request yet, and drops it with its connection.
void relay_core::stop_quarantined(
    request_iterator it, time_point now, actions& out)
{
    request_state& request = it->second;
    bool const is_waiting = request.phase == request_phase::queued ||
                            request.phase == request_phase::awaiting_retry;
    if (!is_waiting && request.answer != answer_progress::none)
        return;
    if (request.phase == request_phase::queued)
    {
        request_id const id{std::to_string(it->first)};
        service_name const service = request.service;
        if (reject_if_quarantined(it, now, out))
            service_state_for(service).queue.erase(id);
        return;
    }
    if (!is_waiting)
    {
        out.push_back(close_attempt{it->first});
        end_attempt(request, attempt_outcome::abandoned, now);
        request.may_have_run = true;
    }
    request.last_failure = "requests like it are blocked";
    fail(it, now, out);
}

void relay_core::fail(request_iterator it, time_point now, actions& out)
{
    request_state const& request = it->second;
    if (request.first_data_at)
    {
        abort_started_response(it, request.last_failure, now, out);
        return;
    }
    if (!request.may_have_run && is_quarantined(request) &&
        reject_if_quarantined(it, now, out))
        return;
    std::optional<duration> const pause = backoff_of(request.service, now);
    if (pause && !request.may_have_run)
    {
        reject_for_backoff(it, *pause, now, out);
        return;
    }
    reject(
        it,
        request.may_have_run ? result_code::outcome_unknown
                             : result_code::no_backend_server,
        request.may_have_run ? execution_state::may_have_run
                             : execution_state::not_run,
        request.last_failure,
        request.may_have_run ? std::nullopt
                             : std::optional{rejection_reason::outage},
        now,
        out);
}

} // namespace hornbeamweir::relay
