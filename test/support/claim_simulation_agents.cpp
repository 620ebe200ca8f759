#include <hornbeamweir/core/overloaded.hpp>

#include "test/support/claim_simulation_nodes.hpp"

/// \file
/// \brief Crashes, agents, backend servers and the platform of the simulation.

using namespace hornbeamweir;

namespace test
{

namespace
{

std::string header_of(start_call const& call, std::string_view name)
{
    std::string const* const value = find_header(call.request.headers, name);
    return value == nullptr ? std::string{} : *value;
}

} // namespace

void claim_simulation::crash(entry& node)
{
    ++node.generation;
    node.paused_until = {};
    node.requests.clear();
    node.ledger = claim_ledger{};
    tick(node);
}

void claim_simulation::crash(agent& node)
{
    ++node.generation;
    node.paused_until = {};
    make_core(node);
    tick(node);
    for (std::unique_ptr<entry> const& to : entries_)
    {
        run_on(
            *to,
            random_duration(1, 600),
            [this, e = to.get(), id = node.id]
            {
                std::vector<request_id> affected;
                for (auto r = e->requests.begin(); r != e->requests.end(); ++r)
                {
                    if (r->second.machine.target() == id)
                        affected.push_back(r->first);
                }
                for (request_id const& request : affected)
                {
                    perform(
                        *e,
                        request,
                        e->requests.at(request).machine.on_agent_lost(
                            true, true));
                }
            });
    }
}

void claim_simulation::make_core(agent& node)
{
    agent_settings settings;
    settings.backend_server = node.id;
    settings.retention_bytes = rates_.retention_bytes;
    node.previous_incarnation = node.incarnation;
    node.incarnation = next_incarnation_++;
    node.core = std::make_unique<agent_core>(
        settings, node.incarnation, log_, metrics_);
    node.core->on_probe("{}");
}

void claim_simulation::perform_actions(agent& node)
{
    for (agent_action& action : node.core->take_actions())
    {
        std::visit(
            overloaded{
                [&](agent_send const& act)
                {
                    for (std::unique_ptr<entry> const& to : entries_)
                    {
                        if (to->name != act.to.id || !act.message.has_answer())
                            continue;
                        transmit(
                            [this, e = to.get(), frame = act.message.answer()]
                            {
                                run_on(
                                    *e,
                                    {},
                                    [this, e, frame]
                                    {
                                        request_id const id{frame.request_id()};
                                        auto const r = e->requests.find(id);
                                        if (r == e->requests.end())
                                            return;
                                        perform(
                                            *e,
                                            id,
                                            r->second.machine.on_answer(
                                                frame, true));
                                    });
                            });
                    }
                },
                [&](hornbeamweir::start_call const& act)
                { start_call(node, act); },
                [](grant_call_credit const&) {},
                [](cancel_call const&) {},
                [](probe_backend const&) {}},
            action);
    }
}

void claim_simulation::start_call(
    agent& node, hornbeamweir::start_call const& call)
{
    if (draw_fault(rates_.backend_unreachable))
    {
        run_on(
            node,
            random_duration(0.1, 5),
            [this, &node, n = call.call]
            {
                node.core->on_call_failed(
                    n,
                    {result_code::backend_unreachable, "refused"},
                    false,
                    now_ + node.clock_offset);
                perform_actions(node);
            });
        return;
    }
    run_on_backend(node, call);
}

void claim_simulation::run_on_backend(
    agent& node, hornbeamweir::start_call const& call)
{
    std::string const key = header_of(call, "Key");
    if (++result_.executions_by_key[key] > 1)
        report_violation("executed twice: " + key);
    executed_at_.emplace(key, now_);
    ++result_.executions_by_request[header_of(call, "Request")];
    bool const breaks_off = draw_fault(rates_.broken_response);
    run_on(
        node,
        random_duration(1, draw_fault(0.1) ? 3000 : 50),
        [this,
         &node,
         n = call.call,
         text = answer_for(key, call.request.body),
         breaks_off]
        {
            time_point const now = now_ + node.clock_offset;
            node.core->on_call_head(n, 200, {});
            node.core->on_call_data(n, text.substr(0, 5));
            if (breaks_off)
            {
                node.core->on_call_failed(
                    n, {result_code::backend_failed, "broken"}, true, now);
            }
            else
            {
                node.core->on_call_data(n, text.substr(5));
                node.core->on_call_ended(n, now);
            }
            perform_actions(node);
        });
}

void claim_simulation::commit(
    entry& node, std::uint64_t token, transaction request)
{
    ++result_.commits;
    std::function<void(result<transaction_reply>, duration)> const answer =
        [this, &node, token](result<transaction_reply> reply, duration delay)
    {
        run_on(
            node,
            delay,
            [this, &node, token, reply = std::move(reply)]
            { perform(node, node.ledger.on_commit(token, reply, now_)); });
    };
    if (now_ < platform_down_until_)
    {
        answer(
            failure(result_code::platform_unavailable, "down"),
            random_duration(1, 2));
        return;
    }
    if (draw_fault(rates_.lost_platform_reply))
    {
        answer(
            failure(result_code::platform_outcome_unknown, "timed out"),
            std::chrono::seconds{1});
        // Two thirds of these commits take effect, up to 4 s later.
        if (random_.below(3) != 0)
        {
            at(now_ + random_duration(1, 4000),
               [this, request]
               { static_cast<void>(apply_transaction(request)); });
        }
        return;
    }
    at(now_ + random_duration(1, 4),
       [this, request, answer]
       { answer(apply_transaction(request), random_duration(1, 4)); });
}

transaction_reply
claim_simulation::apply_transaction(transaction const& request)
{
    transaction_reply reply;
    reply.succeeded = true;
    for (key_condition const& condition : request.conditions)
    {
        auto const it = store_.find(condition.key);
        std::int64_t const revision =
            it == store_.end() ? 0 : it->second.modify_revision;
        reply.succeeded =
            reply.succeeded && revision == condition.modify_revision;
    }
    if (reply.succeeded)
    {
        ++revision_;
        for (key_write const& write : request.writes)
        {
            if (write.value)
                store_[write.key] = {*write.value, revision_, revision_};
            else
                store_.erase(write.key);
        }
    }
    else
    {
        for (std::string const& key : request.reads_on_failure)
        {
            auto const it = store_.find(key);
            if (it != store_.end())
                reply.values.emplace(key, it->second);
        }
    }
    reply.revision = revision_;
    return reply;
}

} // namespace test
