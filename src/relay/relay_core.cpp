#include <hornbeamweir/relay/relay_core.hpp>

#include <algorithm>

namespace hornbeamweir::relay
{

namespace
{

/// Fraction of max_staleness above which the entry reports not ready, so that
/// callers move to entries with fresher configurations before keys are rejected
/// here.
constexpr double ready_staleness_fraction = 0.6;
/// Staleness above which an unknown route or key is not denied, because it may
/// have been added since.
constexpr duration max_denial_staleness = std::chrono::seconds{2};

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
    , exclusions_{random_source{random_.next()}}
    , chooser_{random_source{random_.next()}}
    , retry_after_{random_source{random_.next()}}
{
}

void relay_core::update(relay_settings const& settings)
{
    settings_ = settings;
    for (auto& [name, state] : services_)
        state.budget.set_limits(settings_.retry_budget);
}

bool relay_core::ready(time_point now) const
{
    duration const limit{static_cast<duration::rep>(
        ready_staleness_fraction *
        static_cast<double>(settings_.max_staleness.count()))};
    return routes_.table() && routes_.staleness(now) <= limit &&
           directory_.size() > 0;
}

relay_core::resolution
relay_core::resolve(request_state& request, time_point now)
{
    if (closed_)
        return {result_code::draining, "this entry is about to end", true};
    std::shared_ptr<route_table const> const table = routes_.table();
    if (!table)
        return {result_code::not_ready, "no configuration was read yet", true};
    bool const unknown_may_be_new =
        routes_.staleness(now) > max_denial_staleness;
    route const* const matched =
        table->find(request.message.host, request.message.target);
    if (!matched && unknown_may_be_new)
        return {result_code::not_ready, "the configuration is stale", true};
    if (!matched)
        return {result_code::not_found, "no route matches host and path"};
    request.matched_route = *matched;
    if (!table->configuration().keys_required || matched->open_to_all)
        return {};
    api_key_owner const* const owner =
        request.message.key ? table->find_key(*request.message.key) : nullptr;
    if (routes_.staleness(now) > settings_.max_staleness)
        return {result_code::not_ready, "keys cannot be verified", true};
    if (!owner && request.message.key && unknown_may_be_new)
        return {result_code::not_ready, "the keys are stale", true};
    if (!owner)
        return {result_code::unauthorized, "found no key of a customer"};
    request.customer = owner->customer;
    request.matched_route.priority =
        owner->priority.value_or(matched->priority);
    return {};
}

actions relay_core::close(time_point now)
{
    actions out;
    closed_ = true;
    for (request_iterator it = requests_.begin(); it != requests_.end();)
    {
        request_iterator const current = it++;
        reject_if_waiting(current, now, out);
    }
    return out;
}

// The caller of a request that was sent learns that it must not count on either
// outcome; a connection that just ends tells less.
actions relay_core::finish(time_point now)
{
    actions out = close(now);
    for (request_iterator it = requests_.begin(); it != requests_.end();)
    {
        request_iterator const current = it++;
        request_state& request = current->second;
        if (request.phase != request_phase::awaiting_retry)
        {
            out.push_back(close_attempt{current->first});
            end_attempt(request, attempt_outcome::abandoned, now);
        }
        request.may_have_run = true;
        request.last_failure = "the entry ended before the replica answered";
        fail(current, now, out);
    }
    return out;
}

void relay_core::reject_if_waiting(
    request_iterator it, time_point now, actions& out)
{
    request_state const& request = it->second;
    bool const is_queued = request.phase == request_phase::queued;
    bool const awaits_retry = request.phase == request_phase::awaiting_retry &&
                              !request.may_have_run && !request.first_data_at;
    if (!is_queued && !awaits_retry)
        return;
    if (is_queued)
        service_state_for(request.service)
            .queue.erase(request_id{std::to_string(it->first)});
    reject(
        it,
        {result_code::draining, "this entry is about to end", true},
        now,
        out);
}

relay_core::service_state&
relay_core::service_state_for(service_name const& name)
{
    auto it = services_.find(name);
    if (it == services_.end())
    {
        service_state created{
            fair_queue{random_source{random_.next()}},
            retry_budget_share{settings_.retry_budget, settings_.started_at},
            {},
            std::nullopt,
            nullptr,
            {},
            std::nullopt,
            std::nullopt,
            false,
            {},
            std::nullopt,
            0,
            {}};
        it = services_.emplace(name, std::move(created)).first;
    }
    refresh_limits(it->second, name);
    return it->second;
}

actions
relay_core::on_request(exchange_id id, relay_request message, time_point now)
{
    actions out;
    request_state created;
    created.arrived = now;
    created.events = event_splitter{message.last_event};
    created.message = std::move(message);
    request_iterator const it =
        requests_.insert_or_assign(id, std::move(created)).first;
    request_state& request = it->second;
    resolution const found = resolve(request, now);
    if (found.code != result_code::ok)
    {
        request.deadline = now + request.message.caller_timeout.value_or(
                                     request.matched_route.timeout);
        reject(it, found, now, out);
        return out;
    }
    request.service =
        route_table::choose_service(request.matched_route, random_.unit());
    request.deadline = now + std::min(
                                 request.message.caller_timeout.value_or(
                                     request.matched_route.timeout),
                                 request.matched_route.timeout);
    request.traits = traits_of(request.message, request.customer);
    if (reject_if_quarantined(it, now, out))
        return out;
    service_state_for(request.service).budget.on_request(now);
    enqueue(it, now, out);
    return out;
}

actions relay_core::on_caller_disconnected(exchange_id id, time_point now)
{
    actions out;
    request_iterator const it = requests_.find(id);
    if (it == requests_.end())
        return out;
    request_state& request = it->second;
    service_name const service = request.service;
    if (request.phase == request_phase::queued)
        service_state_for(service).queue.erase(request_id{std::to_string(id)});
    if (request.phase == request_phase::awaiting_response ||
        request.phase == request_phase::responding)
    {
        out.push_back(close_attempt{id});
        end_attempt(request, attempt_outcome::abandoned, now);
    }
    log_outcome(request, "caller_gone", now);
    erase(it);
    dispatch(service, now, out);
    return out;
}

void relay_core::end_attempt(
    request_state& request, attempt_outcome outcome, time_point now)
{
    loads_.on_attempt_ended(request.target);
    service_state& state = service_state_for(request.service);
    --state.own_attempts;
    if (state.progress)
        state.progress->on_ended(request.target, now);
    if (outcome == attempt_outcome::succeeded)
        failures_.on_succeeded(request.target, now);
    else if (outcome == attempt_outcome::failed)
        failures_.on_failed(request.target, now);
}

void relay_core::reject(
    request_iterator it,
    result_code code,
    execution_state state,
    std::string detail,
    std::optional<rejection_reason> reason,
    time_point now,
    actions& out)
{
    request_state const& request = it->second;
    send_error response;
    response.code = code;
    response.state = state;
    response.detail = std::move(detail);
    if (reason)
    {
        response.retry_after =
            retry_after_.plan(*reason, request.deadline - now);
        response.close_connection =
            *reason == rejection_reason::try_another_entry;
    }
    send_rejection(it, std::move(response), now, out);
}

void relay_core::send_rejection(
    request_iterator it, send_error response, time_point now, actions& out)
{
    request_state& request = it->second;
    response.exchange = it->first;
    response.id = request.message.id;
    result_code const code = response.code;
    request.status = http_status_of(code);
    request.last_failure = response.detail;
    out.push_back(std::move(response));
    log_outcome(request, name_of(code), now);
    erase(it);
}

void relay_core::reject(
    request_iterator it, resolution const& found, time_point now, actions& out)
{
    reject(
        it,
        found.code,
        execution_state::not_run,
        found.detail,
        found.retry_other_entry
            ? std::optional{rejection_reason::try_another_entry}
            : std::nullopt,
        now,
        out);
}

void relay_core::reject_for_outage(
    request_iterator it, time_point now, actions& out)
{
    reject(
        it,
        result_code::no_backend_server,
        execution_state::not_run,
        directory_.is_evacuated(it->second.service)
            ? "all replicas are in evacuated data centres"
            : "no replica is usable",
        rejection_reason::outage,
        now,
        out);
}

void relay_core::abort_started_response(
    request_iterator it,
    std::string const& reason,
    time_point now,
    actions& out)
{
    it->second.last_failure = reason;
    out.push_back(abort_response{it->first});
    log_outcome(it->second, "cut", now);
    erase(it);
}

void relay_core::log_outcome(
    request_state const& request, std::string_view outcome, time_point now)
{
    constexpr int us_per_ms = 1000;
    event line{"request_ended"};
    line.with("id", request.message.id)
        .with("route", request.matched_route.name)
        .with("class", name_of(request.matched_route.retries))
        .with("customer", request.customer)
        .with("service", request.service)
        .with("replica", request.target)
        .with("attempts", request.counted_attempts)
        .with("outcome", outcome)
        .with("status", request.status)
        .with("ms", (now - request.arrived).count() / us_per_ms);
    if (request.first_data_at)
    {
        line.with(
            "first_ms",
            (*request.first_data_at - request.arrived).count() / us_per_ms);
    }
    if (!request.last_failure.empty())
        line.with("failure", request.last_failure);
    if (routes_.table())
    {
        line.with("version", routes_.table()->configuration().version)
            .with("staleness_ms", routes_.staleness(now).count() / us_per_ms);
    }
    log_.info(line);
    metrics_.count(
        "hornbeamweir_relayed_requests_total",
        {{"outcome", std::string{outcome}}});
    metrics_.observe_seconds(
        "hornbeamweir_relayed_request_seconds",
        {{"outcome", std::string{outcome}}},
        std::chrono::duration<double>{now - request.arrived}.count());
}

void relay_core::erase(request_iterator it)
{
    request_state const& request = it->second;
    if (request.reserved_retry)
        service_state_for(request.service)
            .budget.release(*request.reserved_retry);
    requests_.erase(it);
}

relay_core::request_iterator
relay_core::find_attempt(exchange_id id, std::uint32_t attempt)
{
    request_iterator const it = requests_.find(id);
    if (it == requests_.end() || it->second.attempt != attempt)
        return requests_.end();
    bool const in_flight =
        it->second.phase == request_phase::awaiting_response ||
        it->second.phase == request_phase::responding;
    return in_flight ? it : requests_.end();
}

} // namespace hornbeamweir::relay
