#include <hornbeamweir/core/overloaded.hpp>

#include "test/support/claim_simulation_nodes.hpp"

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

void claim_simulation::crash(entry& it)
{
    ++it.generation;
    it.paused_until = {};
    it.requests.clear();
    it.ledger = claim_ledger{};
    tick(it);
}

void claim_simulation::crash(agent& it)
{
    ++it.generation;
    it.paused_until = {};
    make_core(it);
    tick(it);
    for (std::unique_ptr<entry> const& to : entries_)
    {
        on(*to,
           between(1, 600),
           [this, e = to.get(), id = it.id]
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

void claim_simulation::make_core(agent& it)
{
    agent_settings settings;
    settings.backend_server = it.id;
    settings.retention_bytes = rates_.retention_bytes;
    it.previous_incarnation = it.incarnation;
    it.incarnation = next_incarnation_++;
    it.core =
        std::make_unique<agent_core>(settings, it.incarnation, log_, metrics_);
    it.core->on_probe("{}");
}

void claim_simulation::flush(agent& it)
{
    for (agent_action& action : it.core->take_actions())
    {
        std::visit(
            overloaded{
                [&](agent_send const& act)
                {
                    for (std::unique_ptr<entry> const& to : entries_)
                    {
                        if (to->name != act.to.id || !act.message.has_answer())
                            continue;
                        network(
                            [this, e = to.get(), frame = act.message.answer()]
                            {
                                on(*e,
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
                { start_call(it, act); },
                [](allow_call const&) {},
                [](cancel_call const&) {},
                [](probe_backend const&) {}},
            action);
    }
}

void claim_simulation::start_call(
    agent& it, hornbeamweir::start_call const& call)
{
    if (chance(rates_.backend_refusal))
    {
        on(it,
           between(0.1, 5),
           [this, &it, n = call.call]
           {
               it.core->on_call_failed(
                   n,
                   {result_code::backend_unreachable, "refused"},
                   false,
                   now_ + it.clock_offset);
               flush(it);
           });
        return;
    }
    execute(it, call);
}

void claim_simulation::execute(agent& it, hornbeamweir::start_call const& call)
{
    std::string const key = header_of(call, "Key");
    if (++result_.executions_by_key[key] > 1)
        violate("executed twice: " + key);
    executed_at_.emplace(key, now_);
    ++result_.executions_by_request[header_of(call, "Request")];
    bool const breaks = chance(rates_.backend_break);
    on(it,
       between(1, chance(0.1) ? 3000 : 50),
       [this,
        &it,
        n = call.call,
        text = answer_for(key, call.request.body),
        breaks]
       {
           time_point const now = now_ + it.clock_offset;
           it.core->on_call_head(n, 200, {});
           it.core->on_call_data(n, text.substr(0, 5));
           if (breaks)
           {
               it.core->on_call_failed(
                   n, {result_code::backend_failed, "broken"}, true, now);
           }
           else
           {
               it.core->on_call_data(n, text.substr(5));
               it.core->on_call_ended(n, now);
           }
           flush(it);
       });
}

void claim_simulation::commit(
    entry& it, std::uint64_t token, transaction request)
{
    ++result_.commits;
    std::function<void(result<transaction_reply>, duration)> const answer =
        [this, &it, token](result<transaction_reply> reply, duration delay)
    {
        on(it,
           delay,
           [this, &it, token, reply = std::move(reply)]
           { perform(it, it.ledger.on_commit(token, reply, now_)); });
    };
    if (now_ < platform_down_until_)
    {
        answer(
            failure(result_code::platform_unavailable, "down"), between(1, 2));
        return;
    }
    if (chance(rates_.lost_platform_answer))
    {
        answer(
            failure(result_code::platform_outcome_unknown, "timed out"),
            std::chrono::seconds{1});
        if (random_.below(3) != 0)
        {
            at(now_ + between(1, 4000),
               [this, request] { static_cast<void>(apply(request)); });
        }
        return;
    }
    at(now_ + between(1, 4),
       [this, request, answer] { answer(apply(request), between(1, 4)); });
}

transaction_reply claim_simulation::apply(transaction const& request)
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
