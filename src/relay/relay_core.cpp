#include <hornbeamweir/relay/relay_core.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// Part of the proof limit at which an entry asks for no new connections, so
/// that callers move to entries with fresher proofs in time.
constexpr double ready_part = 0.6;
/// Age of the proof beyond which an unknown route or key may just be new.
constexpr duration denial_limit = std::chrono::seconds{2};

} // namespace

relay_core::relay_core(
    relay_settings settings,
    event_log& log,
    metrics_registry& metrics,
    random_source random)
    : settings_{std::move(settings)}
    , log_{log}
    , metrics_{metrics}
    , random_{random}
    , chooser_{random_source{random_.next()}}
    , returns_{random_source{random_.next()}}
{
}

bool relay_core::ready(time_point now) const
{
    duration const limit{static_cast<duration::rep>(
        ready_part * static_cast<double>(settings_.max_staleness.count()))};
    return book_.table() && book_.staleness(now) <= limit &&
           directory_.size() > 0;
}

relay_core::verdict relay_core::resolve(record& of, time_point now)
{
    if (closed_)
        return {result_code::draining, "this entry is about to end", true};
    std::shared_ptr<route_table const> const table = book_.table();
    if (!table)
        return {result_code::not_ready, "no configuration was read yet", true};
    bool const may_be_new = book_.staleness(now) > denial_limit;
    route const* const rule = table->find(of.request.host, of.request.target);
    if (!rule && may_be_new)
        return {result_code::not_ready, "the configuration is stale", true};
    if (!rule)
        return {result_code::not_found, "no route matches host and path"};
    of.rule = *rule;
    if (!table->configuration().keys_required || rule->open_to_all)
        return {};
    api_key_owner const* const holder =
        of.request.key ? table->find_key(*of.request.key) : nullptr;
    if (book_.staleness(now) > settings_.max_staleness)
        return {result_code::not_ready, "keys cannot be verified", true};
    if (!holder && of.request.key && may_be_new)
        return {result_code::not_ready, "the keys are stale", true};
    if (!holder)
        return {result_code::unauthorized, "found no key of a customer"};
    of.customer = holder->customer;
    of.rule.priority = holder->priority.value_or(rule->priority);
    return {};
}

relay_core::service_state& relay_core::state_of(service_name const& name)
{
    auto it = services_.find(name);
    if (it == services_.end())
    {
        service_state fresh{
            fair_queue{random_source{random_.next()}},
            retry_budget_share{settings_.retries},
            {},
            std::nullopt,
            nullptr,
            {},
            0};
        it = services_.emplace(name, std::move(fresh)).first;
    }
    refresh(it->second, name);
    return it->second;
}

actions relay_core::on_request(
    exchange_id number, relay_request request, time_point now)
{
    actions out;
    record fresh;
    fresh.arrived = now;
    fresh.events = event_splitter{request.last_event};
    fresh.request = std::move(request);
    record_iterator const it =
        records_.insert_or_assign(number, std::move(fresh)).first;
    record& of = it->second;
    verdict const found = resolve(of, now);
    if (found.code != result_code::ok)
    {
        of.deadline = now + of.request.caller_timeout.value_or(of.rule.timeout);
        reject(it, found, now, out);
        return out;
    }
    of.service = route_table::choose_service(of.rule, random_.unit());
    of.deadline = now + std::min(
                            of.request.caller_timeout.value_or(of.rule.timeout),
                            of.rule.timeout);
    state_of(of.service).budget.on_request(now);
    enqueue(it, now, out);
    return out;
}

actions relay_core::on_caller_gone(exchange_id number, time_point now)
{
    actions out;
    record_iterator const it = records_.find(number);
    if (it == records_.end())
        return out;
    record& of = it->second;
    service_name const service = of.service;
    if (of.at == phase::queued)
        state_of(service).waiting.erase(request_id{std::to_string(number)});
    if (of.at == phase::trying || of.at == phase::answering)
    {
        out.push_back(close_attempt{number});
        end_attempt(of, attempt_outcome::abandoned, now);
    }
    log_end(of, "caller_gone", now);
    forget(it);
    dispatch(service, now, out);
    return out;
}

void relay_core::end_attempt(
    record& of, attempt_outcome outcome, time_point now)
{
    board_.on_ended(of.target);
    if (outcome == attempt_outcome::succeeded)
        failures_.on_succeeded(of.target, now);
    else if (outcome == attempt_outcome::failed)
        failures_.on_failed(of.target, now);
}

void relay_core::reject(
    record_iterator it,
    result_code code,
    execution_state state,
    std::string detail,
    std::optional<rejection_reason> reason,
    time_point now,
    actions& out)
{
    record& of = it->second;
    send_error answer;
    answer.request = it->first;
    answer.id = of.request.id;
    answer.code = code;
    answer.state = state;
    answer.detail = std::move(detail);
    if (reason)
    {
        answer.retry_after = returns_.plan(*reason, of.deadline - now);
        answer.close_connection =
            *reason == rejection_reason::try_another_entry;
    }
    of.status = http_status_of(code);
    of.last_failure = answer.detail;
    out.push_back(std::move(answer));
    log_end(of, name_of(code), now);
    forget(it);
}

void relay_core::reject(
    record_iterator it, verdict const& found, time_point now, actions& out)
{
    reject(
        it,
        found.code,
        execution_state::not_run,
        found.detail,
        found.another_entry ? std::optional{rejection_reason::try_another_entry}
                            : std::nullopt,
        now,
        out);
}

void relay_core::reject_for_outage(
    record_iterator it, time_point now, actions& out)
{
    reject(
        it,
        result_code::no_backend_server,
        execution_state::not_run,
        "no replica is usable",
        rejection_reason::outage,
        now,
        out);
}

void relay_core::cut_off(
    record_iterator it, std::string const& reason, time_point now, actions& out)
{
    it->second.last_failure = reason;
    out.push_back(abort_response{it->first});
    log_end(it->second, "cut", now);
    forget(it);
}

void relay_core::log_end(
    record const& of, std::string_view outcome, time_point now)
{
    constexpr int us_per_ms = 1000;
    event line{"request_ended"};
    line.with("id", of.request.id)
        .with("route", of.rule.name)
        .with("class", name_of(of.rule.retries))
        .with("customer", of.customer)
        .with("service", of.service)
        .with("replica", of.target)
        .with("attempts", of.attempts)
        .with("outcome", outcome)
        .with("status", of.status)
        .with("ms", (now - of.arrived).count() / us_per_ms);
    if (of.first_bytes)
    {
        line.with(
            "first_ms", (*of.first_bytes - of.arrived).count() / us_per_ms);
    }
    if (!of.last_failure.empty())
        line.with("failure", of.last_failure);
    if (book_.table())
    {
        line.with("version", book_.table()->configuration().version)
            .with("staleness_ms", book_.staleness(now).count() / us_per_ms);
    }
    log_.info(line);
    metrics_.count(
        "hornbeamweir_relayed_requests_total",
        {{"outcome", std::string{outcome}}});
    metrics_.observe_seconds(
        "hornbeamweir_relayed_request_seconds",
        {{"outcome", std::string{outcome}}},
        std::chrono::duration<double>{now - of.arrived}.count());
}

void relay_core::forget(record_iterator it)
{
    records_.erase(it);
}

relay_core::record_iterator
relay_core::current(exchange_id number, std::uint32_t attempt)
{
    record_iterator const it = records_.find(number);
    if (it == records_.end() || it->second.attempt != attempt)
        return records_.end();
    bool const in_flight =
        it->second.at == phase::trying || it->second.at == phase::answering;
    return in_flight ? it : records_.end();
}

} // namespace hornbeamweir::relay
