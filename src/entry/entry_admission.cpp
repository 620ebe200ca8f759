#include <hornbeamweir/entry/entry_core.hpp>

/// \file
/// \brief Admission of requests: customer limits and overload gates.

namespace hornbeamweir
{

namespace
{

constexpr duration gate_report_interval = std::chrono::milliseconds{100};

std::string const& model_or_service(inbound_request const& request) noexcept
{
    return request.service.empty() ? request.model : request.service;
}

} // namespace

overload_gate& entry_core::gate_of(inbound_request const& request)
{
    return gates_
        .try_emplace(model_or_service(request), random_source{random_.next()})
        .first->second;
}

void entry_core::admit(inbound_request request, time_point now)
{
    customer const* const customer_record =
        configuration_.current()->find(request.customer);
    shares_.on_request(customer_record->id, now);
    // Such a request would only wait in the queue and use the customer's limit.
    if (!capacity_.has_backend_server(request))
    {
        error const reason{
            result_code::no_backend_server,
            "all backend servers are out of service"};
        log_outcome(request, reason, execution_state::not_run);
        send_error(
            request.id,
            reason,
            execution_state::not_run,
            retry_after_no_backend());
        return;
    }
    tl::expected<void, admission_refusal> const admitted = admission_.admit(
        *customer_record,
        shares_.share(customer_record->id, now),
        shares_.equal_share(),
        now);
    if (!admitted)
    {
        send_error(
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
    submit_to_gate(id, now);
}

void entry_core::submit_to_gate(request_id const& id, time_point now)
{
    request_machine& machine = live_.at(id).machine;
    inbound_request const& request = machine.request();
    customer const* const customer_record =
        configuration_.current()->find(request.customer);
    overload_gate::result const result = gate_of(request).submit(
        {id,
         request.customer,
         customer_record->weight,
         request.priority,
         request.deadline},
        now);
    if (result.outcome == overload_gate::decision::dispatch)
        perform(id, machine.start(), now);
    else if (result.outcome == overload_gate::decision::reject)
        reject_for_overload(id, result.retry_after, now);
    else
        metrics_.count("hornbeamweir_requests_queued_total", {});
}

void entry_core::reject_for_overload(
    request_id const& id, duration retry_after, time_point now)
{
    auto const it = live_.find(id);
    if (it == live_.end())
        return;
    error const reason{
        result_code::queue_full, "the request would wait past its deadline"};
    log_outcome(it->second.machine.request(), reason, execution_state::not_run);
    send_error(id, reason, execution_state::not_run, retry_after);
    // Finishes the request without a second response.
    perform(id, it->second.machine.on_caller_disconnected(), now);
}

// A dispatched request may end at once, free its slot and call this function
// again; nested calls return, and the outermost one loops until nothing more
// can be dispatched.
void entry_core::dispatch_queued(overload_gate& gate, time_point now)
{
    if (dispatching_)
        return;
    dispatching_ = true;
    std::vector<request_id> dispatched = gate.dispatch_next(now);
    while (!dispatched.empty())
    {
        for (request_id const& id : dispatched)
        {
            auto const it = live_.find(id);
            if (it != live_.end())
                perform(id, it->second.machine.start(), now);
        }
        dispatched = gate.dispatch_next(now);
    }
    dispatching_ = false;
}

void entry_core::on_gates_tick(time_point now)
{
    send_shares(shares_.on_tick(now));
    for (auto it = gates_.begin(); it != gates_.end(); ++it)
    {
        for (queued_request const& expired : it->second.expire(now))
            reject_for_overload(expired.id, it->second.retry_after(), now);
        dispatch_queued(it->second, now);
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
