#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/entry/entry_core.hpp>

#include "peer_names.hpp"

/// \file
/// \brief Choice of backend servers, and sending of attempts.

namespace hornbeamweir
{

namespace
{

/// Response bytes that an agent may send before it receives credit.
constexpr std::uint32_t credit_window = 256 * 1024;
/// Bytes written to the caller after which credit is returned.
constexpr std::uint32_t credit_step = 64 * 1024;
/// Maximum time for an attempt to reach its agent and be started.
constexpr duration max_start_delay = std::chrono::seconds{2};
/// Maximum number of leading bytes of the body hashed for prefix affinity.
constexpr std::size_t prefix_bytes = 1024;

/// \returns Hash of the prompt's prefix; 0 for plain services, which have no
/// prompt.
std::uint64_t prefix_hash(inbound_request const& request) noexcept
{
    if (!request.service.empty())
        return 0;
    return stable_hash(
        std::string_view{request.message.body}.substr(0, prefix_bytes));
}

} // namespace

void entry_core::choose(
    request_id const& id, choose_backend const& action, time_point now)
{
    request_machine& machine = live_.at(id).machine;
    inbound_request const& request = machine.request();
    std::vector<routing_candidate> const found =
        candidates_.find(request, action.excluded, agents_, now);
    routing_query query;
    query.customer = request.customer;
    query.priority = request.priority;
    query.data_centre = settings_.identity.data_centre;
    query.prefix = prefix_hash(request);
    std::optional<routing_choice> const choice =
        routing_.choose(query, found, now);
    if (!choice)
    {
        log_.warning(event{"routing_decision"}
                         .with("request", id)
                         .with("chosen", "none"));
        perform(id, machine.on_chosen(std::nullopt), now);
        return;
    }
    log_choice(request, *choice);
    if (action.retry)
        budget_.take();
    agent_record const* const agent = agents_.find(choice->chosen);
    perform(
        id,
        machine.on_chosen(chosen_backend{choice->chosen, agent->incarnation}),
        now);
}

void entry_core::log_choice(
    inbound_request const& request, routing_choice const& choice)
{
    event ev{"routing_decision"};
    ev.with("request", request.id)
        .with("customer", request.customer)
        .with(
            "target", request.service.empty() ? request.model : request.service)
        .with("chosen", choice.chosen)
        .with("reason", choice.reason);
    for (routing_choice::score const& score : choice.scores)
        ev.with("cost." + score.id.str(), score.cost);
    history_.add(request.id, ev.line());
    log_.info(ev);
}

void entry_core::send_attempt(
    live_request& live, start_attempt const& action, time_point now)
{
    inbound_request const& request = live.machine.request();
    agent_record* const agent = agents_.find(action.target);
    if (agent == nullptr)
    {
        // perform() may destroy the request, so its id is copied.
        request_id const id = request.id;
        perform(
            id, live.machine.on_agent_lost(false, budget_.available()), now);
        return;
    }
    agents_.on_attempt_sent(*agent, now);
    routing_.on_started(action.target, now);
    wire::envelope message;
    wire::execute& out = *message.mutable_execute();
    out.set_request_id(request.id.str());
    out.set_attempt(action.attempt);
    out.set_agent_incarnation(action.incarnation);
    out.set_method(request.message.method);
    out.set_target(request.message.target);
    for (header_field const& field : request.message.headers)
    {
        if (same_header_name(field.name, caller_header::authorization))
            continue;
        wire::header_field& header = *out.add_headers();
        header.set_name(field.name);
        header.set_value(field.value);
    }
    wire::header_field& header = *out.add_headers();
    header.set_name(std::string{caller_header::customer});
    header.set_value(request.customer.str());
    out.set_body(request.message.body);
    out.set_idempotent(request.idempotent);
    out.set_start_before_us(to_wire(agents_.latest_start(
        *agent, std::min(max_start_delay, request.deadline - now), now)));
    out.set_timeout_us(static_cast<std::uint64_t>(
        std::max(request.deadline - now, duration{}).count()));
    out.set_priority(request.priority);
    out.set_credit_bytes(credit_window);
    out.set_customer(request.customer.str());
    out.set_claim(request.claim);
    out.set_claim_fence(action.fence);
    out.set_replay_only(action.replay_only);
    out.set_resume_from_token(action.resume_from_token);
    live.uncredited = 0;
    live.attempt_sent = now;
    metrics_.count("hornbeamweir_attempts_total", {});
    send(agent_peer(action.target), std::move(message));
}

void entry_core::send_cancel(request_id const& id, cancel_attempt const& action)
{
    wire::envelope message;
    message.mutable_cancel()->set_request_id(id.str());
    message.mutable_cancel()->set_attempt(action.attempt);
    send(agent_peer(action.target), std::move(message));
}

void entry_core::end_attempt(
    request_id const& id, attempt_ended const& action, time_point now)
{
    agent_record* const agent = agents_.find(action.target);
    if (agent != nullptr && agent->in_flight > 0)
        --agent->in_flight;
    live_request const& live = live_.at(id);
    routing_.on_ended(
        {action.target,
         action.outcome,
         prefix_hash(live.machine.request()),
         now - live.attempt_sent},
        now);
    if (action.outcome == attempt_outcome::succeeded)
        return;
    event ev{"attempt_ended"};
    ev.with("request", id)
        .with("attempt", action.attempt)
        .with("backend_server", action.target)
        .with("outcome", name_of(action.outcome));
    history_.add(id, ev.line());
    log_.info(ev);
}

void entry_core::on_response_written(request_id const& id, std::size_t bytes)
{
    auto const it = live_.find(id);
    if (it == live_.end() || !it->second.machine.target())
        return;
    live_request& live = it->second;
    live.written += bytes;
    live.uncredited += static_cast<std::uint32_t>(bytes);
    if (live.uncredited < credit_step)
        return;
    wire::envelope message;
    wire::credit& credit = *message.mutable_credit();
    credit.set_request_id(id.str());
    credit.set_attempt(live.machine.attempt());
    credit.set_bytes(live.uncredited);
    live.uncredited = 0;
    send(agent_peer(*live.machine.target()), std::move(message));
}

} // namespace hornbeamweir
