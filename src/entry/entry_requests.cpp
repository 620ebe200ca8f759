#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/core/overloaded.hpp>
#include <hornbeamweir/entry/entry_core.hpp>
#include <hornbeamweir/entry/error_document.hpp>

#include "peer_names.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

/// \file
/// \brief Lifecycle of callers' requests.

namespace hornbeamweir
{

namespace
{

constexpr duration unavailable_retry_after = std::chrono::seconds{2};
/// Callers that were rejected together return over this time, so that they do
/// not arrive together once backend servers are in use again.
constexpr duration no_backend_retry_spread = std::chrono::seconds{4};

bool is_temporary_error(result_code code) noexcept
{
    return http_status_of(code) == 503 || http_status_of(code) == 429;
}

std::optional<std::uint64_t> content_length(header_list const& headers)
{
    std::string const* const text = find_header(headers, "Content-Length");
    if (!text)
        return std::nullopt;
    std::uint64_t out = 0;
    char const* const end = text->data() + text->size();
    auto const it = std::from_chars(text->data(), end, out);
    return it.ec == std::errc{} && it.ptr == end ? std::optional{out}
                                                 : std::nullopt;
}

} // namespace

request_id entry_core::on_request(http_request_message message, time_point now)
{
    request_id const id{random_.hex_id()};
    if (!ready())
    {
        send_error(
            id,
            {draining_ ? result_code::draining : result_code::not_ready,
             "this entry takes no requests"},
            execution_state::not_run,
            unavailable_retry_after);
        return id;
    }
    if (message.target == "/v1/models" && message.method == "GET")
    {
        respond_with_models(id, message);
        return id;
    }
    result<inbound_request> request =
        intake_.check(id, std::move(message), now);
    if (!request)
    {
        send_error(id, request.error(), execution_state::not_run, std::nullopt);
        return id;
    }
    admit(std::move(*request), now);
    return id;
}

void entry_core::respond_with_models(
    request_id const& id, http_request_message const& message)
{
    if (intake_.authenticate(message.headers) == nullptr)
    {
        send_error(
            id,
            {result_code::unauthorized, "found no token of a known customer"},
            execution_state::not_run,
            std::nullopt);
        return;
    }
    boost::json::array data;
    for (std::string const& name : intake_.models())
    {
        boost::json::object model;
        model["id"] = name;
        model["object"] = "model";
        model["owned_by"] = "hornbeamweir";
        data.emplace_back(std::move(model));
    }
    boost::json::object body;
    body["object"] = "list";
    body["data"] = std::move(data);
    std::string text = boost::json::serialize(body);
    actions_.emplace_back(respond_head{
        id,
        200,
        {{"Content-Type", "application/json"},
         {"Content-Length", std::to_string(text.size())}}});
    actions_.emplace_back(respond_data{id, std::move(text)});
    actions_.emplace_back(respond_end{id});
}

void entry_core::send_error(
    request_id const& id,
    error const& reason,
    execution_state state,
    std::optional<duration> retry_after)
{
    metrics_.count(
        "hornbeamweir_requests_total",
        {{"outcome", std::string{name_of(reason.code)}}});
    error_document document =
        make_error_document(id, reason, state, retry_after);
    actions_.emplace_back(
        respond_head{id, document.status, std::move(document.headers)});
    actions_.emplace_back(respond_data{id, std::move(document.body)});
    actions_.emplace_back(respond_end{id});
}

void entry_core::perform(
    request_id const& id, request_actions actions, time_point now)
{
    for (request_action& action : actions)
    {
        auto const it = live_.find(id);
        if (it == live_.end())
            return;
        live_request& live = it->second;
        std::visit(
            overloaded{
                [&](choose_backend const& act) { choose(id, act, now); },
                [&](make_claim const& act)
                { perform(ledger_.begin(act.request, now), now); },
                [&](release_claim const& act)
                { perform(ledger_.release(act.claim, act.fence, now), now); },
                [&](start_attempt const& act) { send_attempt(live, act, now); },
                [&](cancel_attempt const& act) { send_cancel(id, act); },
                [&](attempt_ended const& act) { end_attempt(id, act, now); },
                [&](relay_head const& act)
                { relay_response_head(id, live, act); },
                [&](relay_data& act) {
                    actions_.emplace_back(
                        respond_data{id, std::move(act.bytes)});
                },
                [&](relay_end const&)
                {
                    actions_.emplace_back(respond_end{id});
                    log_outcome(
                        live.machine.request(),
                        {result_code::ok, ""},
                        execution_state::done);
                },
                [&](fail_request const& act) { fail(id, live, act); },
                [&](abort_relay const& act) { abort(id, live, act); }},
            action);
    }
    auto const it = live_.find(id);
    if (it != live_.end() && it->second.machine.finished())
        remove_finished(id, now);
}

void entry_core::relay_response_head(
    request_id const& id, live_request& live, relay_head const& action)
{
    header_list headers = action.headers;
    headers.push_back({std::string{caller_header::request_id}, id.str()});
    live.head_sent = true;
    live.status = action.status;
    live.response_length = content_length(headers);
    actions_.emplace_back(respond_head{id, action.status, std::move(headers)});
}

duration entry_core::retry_after_no_backend()
{
    return unavailable_retry_after +
           duration{static_cast<duration::rep>(random_.below(
               static_cast<std::uint64_t>(no_backend_retry_spread.count())))};
}

void entry_core::fail(
    request_id const& id, live_request& live, fail_request const& action)
{
    std::optional<duration> retry_after;
    if (action.reason.code == result_code::no_backend_server)
        retry_after = retry_after_no_backend();
    else if (is_temporary_error(action.reason.code))
        retry_after = unavailable_retry_after;
    log_outcome(live.machine.request(), action.reason, action.state);
    send_error(id, action.reason, action.state, retry_after);
}

void entry_core::abort(
    request_id const& id, live_request& live, abort_relay const& action)
{
    log_outcome(live.machine.request(), action.reason, action.state);
    metrics_.count(
        "hornbeamweir_requests_total",
        {{"outcome", std::string{name_of(action.reason.code)}}});
    actions_.emplace_back(respond_abort{id});
}

void entry_core::log_outcome(
    inbound_request const& request, error const& reason, execution_state state)
{
    event ev{"request_ended"};
    ev.with("request", request.id)
        .with("customer", request.customer)
        .with("code", number_of(reason.code))
        .with("result", name_of(reason.code))
        .with("execution", name_of(state));
    history_.add(request.id, ev.line());
    log_.info(ev);
}

void entry_core::remove_finished(request_id const& id, time_point now)
{
    auto const it = live_.find(id);
    inbound_request const& request = it->second.machine.request();
    admission_.release(
        request.customer,
        it->second.head_sent ? std::optional{now - request.arrived}
                             : std::nullopt);
    overload_gate& gate = gate_of(request);
    gate.release(id, it->second.head_sent);
    if (it->second.head_sent)
    {
        metrics_.count("hornbeamweir_requests_total", {{"outcome", "ok"}});
        metrics_.observe_seconds(
            "hornbeamweir_request_seconds",
            {},
            std::chrono::duration<double>(now - request.arrived).count());
    }
    std::pair<
        std::multimap<time_point, request_id>::iterator,
        std::multimap<time_point, request_id>::iterator> const range =
        deadlines_.equal_range(request.deadline);
    for (auto due = range.first; due != range.second; ++due)
    {
        if (due->second == id)
        {
            deadlines_.erase(due);
            break;
        }
    }
    live_.erase(it);
    dispatch_queued(gate, now);
}

void entry_core::on_caller_disconnected(request_id const& id, time_point now)
{
    auto const it = live_.find(id);
    if (it != live_.end())
    {
        live_request& live = it->second;
        perform(
            id,
            live.is_delivered() ? live.machine.on_delivered()
                                : live.machine.on_caller_disconnected(),
            now);
    }
}

void entry_core::perform(ledger_actions const& actions, time_point now)
{
    for (ledger_action const& action : actions)
        perform(action, now);
}

void entry_core::perform(ledger_action const& action, time_point now)
{
    std::visit(
        overloaded{
            [&](ledger_commit const& it) {
                actions_.emplace_back(commit_to_platform{it.token, it.request});
            },
            [&](ledger_lease const& it)
            { actions_.emplace_back(grant_platform_lease{it.time_to_live}); },
            [&](ledger_decision const& it) { on_claim_decided(it, now); }},
        action);
}

void entry_core::on_claim_decided(
    ledger_decision const& decision, time_point now)
{
    claim_outcome const& outcome = decision.outcome;
    metrics_.count(
        "hornbeamweir_claims_total",
        {{"verdict", std::string{name_of(outcome.verdict)}}});
    event ev{"claim_decided"};
    ev.with("request", decision.id)
        .with("verdict", name_of(outcome.verdict))
        .with("holder", outcome.holder)
        .with("fence", outcome.fence);
    history_.add(decision.id, ev.line());
    log_.info(ev);
    auto const it = live_.find(decision.id);
    bool const out_of_service = it != live_.end() &&
                                outcome.verdict == claim_verdict::granted &&
                                is_out_of_service(it->second.machine.target());
    if (out_of_service)
        perform(
            decision.id,
            it->second.machine.on_claimed_out_of_service(outcome.fence),
            now);
    else if (it != live_.end())
        perform(decision.id, it->second.machine.on_claimed(outcome), now);
    else if (outcome.verdict == claim_verdict::granted)
        perform(ledger_.release(decision.claim, outcome.fence, now), now);
}

} // namespace hornbeamweir
