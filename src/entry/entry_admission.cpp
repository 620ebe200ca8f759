#include <hornbeamweir/entry/entry_core.hpp>

/// \file
/// \brief The part of the entry that holds requests to their limits.

namespace hornbeamweir
{

namespace
{

constexpr duration gate_report_interval = std::chrono::milliseconds{100};

std::string const& target_of(inbound_request const& request) noexcept
{
    return request.service.empty() ? request.model : request.service;
}

} // namespace

overload_gate& entry_core::gate_of(inbound_request const& request)
{
    return gates_.try_emplace(target_of(request), random_source{random_.next()})
        .first->second;
}

void entry_core::begin(inbound_request request, time_point now)
{
    customer const* const who =
        configuration_.current()->find(request.customer);
    shares_.on_request(who->id, now);
    tl::expected<void, admission_refusal> const admitted = admission_.admit(
        *who, shares_.share(who->id, now), shares_.equal_share(), now);
    if (!admitted)
    {
        refuse(
            request.id,
            {admitted.error().code, "the customer's limit is reached"},
            execution_state::not_run,
            admitted.error().retry_after);
        return;
    }
    budget_.on_request();
    request_id const id = request.id;
    deadlines_.emplace(request.deadline, id);
    live_.emplace(id, live_request{request_machine{std::move(request)}});
    enter_gate(id, now);
}

void entry_core::enter_gate(request_id const& id, time_point now)
{
    request_machine& machine = live_.at(id).machine;
    inbound_request const& request = machine.request();
    customer const* const who =
        configuration_.current()->find(request.customer);
    overload_gate::result const result = gate_of(request).submit(
        {id, request.customer, who->weight, request.priority, request.deadline},
        now);
    if (result.outcome == overload_gate::decision::dispatch)
        perform(id, machine.start(), now);
    else if (result.outcome == overload_gate::decision::reject)
        give_up(id, result.retry_after, now);
    else
        metrics_.count("hornbeamweir_requests_queued_total", {});
}

void entry_core::give_up(
    request_id const& id, duration retry_after, time_point now)
{
    auto const it = live_.find(id);
    if (it == live_.end())
        return;
    error const reason{
        result_code::queue_full, "the request would wait past its deadline"};
    log_outcome(it->second.machine.request(), reason, execution_state::not_run);
    refuse(id, reason, execution_state::not_run, retry_after);
    perform(id, it->second.machine.on_caller_disconnected(), now);
}

// A started request may end at once and free its place again; the outermost
// call goes on until no more may start.
void entry_core::start_next(overload_gate& gate, time_point now)
{
    if (starting_)
        return;
    starting_ = true;
    std::vector<request_id> turns = gate.dispatch_next(now);
    while (!turns.empty())
    {
        for (request_id const& id : turns)
        {
            auto const it = live_.find(id);
            if (it != live_.end())
                perform(id, it->second.machine.start(), now);
        }
        turns = gate.dispatch_next(now);
    }
    starting_ = false;
}

void entry_core::on_gates_tick(time_point now)
{
    send_shares(shares_.on_tick(now));
    for (auto it = gates_.begin(); it != gates_.end(); ++it)
    {
        for (queued_request const& late : it->second.expire(now))
            give_up(late.id, it->second.retry_after(), now);
        start_next(it->second, now);
    }
    if (now - last_gate_report_ < gate_report_interval)
        return;
    last_gate_report_ = now;
    for (auto it = gates_.begin(); it != gates_.end(); ++it)
    {
        std::size_t queued = 0;
        std::size_t in_flight = 0;
        for (backend_server_id const& id : candidates_.servers(it->first))
        {
            agent_record const* const agent = agents_.find(id);
            if (agent == nullptr || !agents_.usable(*agent))
                continue;
            in_flight += agent->load.in_flight();
            queued += agent->load.queued();
        }
        it->second.on_report(queued, in_flight, now);
        metrics_.gauge(
            "hornbeamweir_dispatch_limit",
            {{"target", it->first}},
            it->second.limit());
    }
}

void entry_core::send_shares(
    std::vector<outgoing_share_message> const& messages)
{
    for (outgoing_share_message const& it : messages)
    {
        wire::envelope message;
        *message.mutable_admission() = it.message;
        send({peer_side::dialled, "entry/" + it.to.str()}, std::move(message));
    }
}

} // namespace hornbeamweir
