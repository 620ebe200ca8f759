#include <hornbeamweir/core/overloaded.hpp>

#include "test/support/claim_simulation_nodes.hpp"

#include <set>

using namespace hornbeamweir;

namespace test
{

namespace
{

constexpr std::size_t entry_count = 3;
constexpr std::size_t agent_count = 3;
constexpr std::size_t key_count = 6;
constexpr unsigned requests_per_key = 6;
constexpr duration fault_period = std::chrono::seconds{30};
/// Outages and pauses end within this time after the fault period.
constexpr duration max_pause = std::chrono::seconds{9};
constexpr duration run_length = std::chrono::seconds{60};
constexpr duration request_timeout = std::chrono::seconds{6};
constexpr duration network_delay = std::chrono::milliseconds{1};
constexpr duration tick_interval = std::chrono::milliseconds{20};

} // namespace

claim_simulation::claim_simulation(std::uint64_t seed, fault_rates rates)
    : random_{seed}
    , rates_{rates}
{
    for (std::size_t i = 0; i < entry_count; ++i)
    {
        entries_.push_back(std::make_unique<entry>());
        entries_.back()->name = "entry-" + std::to_string(i);
        tick(*entries_.back());
    }
    for (std::size_t i = 0; i < agent_count; ++i)
    {
        agents_.push_back(std::make_unique<agent>());
        agent& node = *agents_.back();
        node.id = backend_server_id{"backend-" + std::to_string(i)};
        node.clock_offset = random_duration(0, 1e6);
        make_core(node);
        tick(node);
    }
}

claim_simulation::~claim_simulation() = default;

simulation_result claim_simulation::run()
{
    time_point const start = now_;
    schedule_faults();
    schedule_requests();
    at(start + fault_period,
       [this]
       {
           faults_ended_ = true;
           recovered_since_ = now_ + max_pause;
       });
    while (!tasks_.empty() && tasks_.begin()->first < start + run_length)
    {
        auto const first = tasks_.begin();
        now_ = first->first;
        task const next = std::move(first->second);
        tasks_.erase(first);
        next();
    }
    for (std::unique_ptr<entry> const& node : entries_)
    {
        if (!node->requests.empty())
            report_violation("request without an answer at " + node->name);
    }
    for (request_id const& id : reported_not_run_)
    {
        if (result_.executions_by_request.contains(id.str()))
            report_violation("reported as not run, but executed: " + id.str());
    }
    return result_;
}

void claim_simulation::at(time_point when, task run)
{
    tasks_.emplace(when, std::move(run));
}

duration claim_simulation::random_duration(double low_ms, double high_ms)
{
    double const ms = low_ms + random_.unit() * (high_ms - low_ms);
    return duration{static_cast<duration::rep>(ms * 1000)};
}

bool claim_simulation::draw_fault(double probability)
{
    return !faults_ended_ && random_.unit() < probability;
}

void claim_simulation::report_violation(std::string text)
{
    result_.violations.push_back(std::move(text));
}

void claim_simulation::schedule_faults()
{
    double const span = static_cast<double>(fault_period.count()) / 1000;
    for (std::unique_ptr<entry> const& node : entries_)
    {
        for (unsigned n = 0; n < rates_.crashes; ++n)
            at(now_ + random_duration(0, span),
               [this, e = node.get()] { crash(*e); });
        for (unsigned n = 0; n < rates_.pauses; ++n)
        {
            at(now_ + random_duration(0, span),
               [this, e = node.get()]
               { e->paused_until = now_ + random_duration(10, 8000); });
        }
    }
    for (std::unique_ptr<agent> const& node : agents_)
    {
        for (unsigned n = 0; n < rates_.crashes; ++n)
            at(now_ + random_duration(0, span),
               [this, a = node.get()] { crash(*a); });
        for (unsigned n = 0; n < rates_.pauses; ++n)
        {
            at(now_ + random_duration(0, span),
               [this, a = node.get()]
               { a->paused_until = now_ + random_duration(10, 8000); });
        }
    }
    for (unsigned n = 0; n < rates_.outages; ++n)
    {
        at(now_ + random_duration(0, span),
           [this]
           { platform_down_until_ = now_ + random_duration(100, 4000); });
    }
}

void claim_simulation::schedule_requests()
{
    double const span = static_cast<double>(fault_period.count()) / 1000;
    for (std::size_t k = 0; k < key_count; ++k)
    {
        std::string const key = "key-" + std::to_string(k);
        duration const first = random_duration(0, span - 8000);
        for (unsigned n = 0; n < requests_per_key; ++n)
        {
            // One request reuses the key with a different body.
            std::string const body = n == 3 ? "other" : "body";
            entry& node = *entries_[random_.below(entry_count)];
            at(now_ + first + random_duration(0, 8000),
               [this, &node, key, body] {
                   run_on(
                       node,
                       {},
                       [this, &node, key, body] { submit(node, key, body); });
               });
        }
        // The last retry arrives after the faults have ended.
        entry& node = *entries_[random_.below(entry_count)];
        at(now_ + fault_period + std::chrono::seconds{10},
           [this, &node, key] {
               run_on(
                   node, {}, [this, &node, key] { submit(node, key, "body"); });
           });
    }
}

void claim_simulation::tick(entry& node)
{
    run_on(
        node,
        tick_interval,
        [this, &node]
        {
            perform(node, node.ledger.on_tick(now_));
            std::vector<request_id> due;
            for (auto r = node.requests.begin(); r != node.requests.end(); ++r)
            {
                if (r->second.machine.request().deadline <= now_)
                    due.push_back(r->first);
            }
            for (request_id const& id : due)
                perform(node, id, node.requests.at(id).machine.on_deadline());
            tick(node);
        });
}

void claim_simulation::tick(agent& node)
{
    run_on(
        node,
        tick_interval,
        [this, &node]
        {
            node.core->on_probe(
                draw_fault(rates_.failed_probe)
                    ? std::nullopt
                    : std::optional<std::string>{"{}"});
            node.core->on_tick(now_ + node.clock_offset);
            perform_actions(node);
            tick(node);
        });
}

void claim_simulation::submit(
    entry& node, std::string const& key, std::string const& body)
{
    inbound_request request;
    request.id = request_id{random_.hex_id()};
    request.message.method = "POST";
    request.message.body = body;
    request.idempotent = false;
    request.claim = key;
    request.fingerprint = body;
    request.arrived = now_;
    request.deadline = now_ + request_timeout;
    request_id const id = request.id;
    active_request& added =
        node.requests
            .emplace(
                id,
                active_request{request_machine{std::move(request)}, key, {}})
            .first->second;
    perform(node, id, added.machine.start());
}

void claim_simulation::perform(
    entry& node, request_id const& id, request_actions actions)
{
    for (request_action& action : actions)
    {
        auto const found = node.requests.find(id);
        if (found == node.requests.end())
            return;
        active_request& request = found->second;
        std::visit(
            overloaded{
                [&](choose_backend const& act)
                { select_backend(node, request, act); },
                [&](make_claim const& act)
                { perform(node, node.ledger.begin(act.request, now_)); },
                [&](release_claim const& act) {
                    perform(
                        node, node.ledger.release(act.claim, act.fence, now_));
                },
                [&](start_attempt const& act)
                { send_attempt(node, request, act); },
                [](cancel_attempt const&) {},
                [](attempt_ended const&) {},
                [](relay_head const&) {},
                [&](relay_data const& act) { request.relayed += act.bytes; },
                [&](relay_end const&) { on_request_completed(request); },
                [&](fail_request const& act)
                { on_request_failed(request, act); },
                [&](abort_relay const&) { ++result_.may_have_run; }},
            action);
    }
    auto const found = node.requests.find(id);
    if (found != node.requests.end() && found->second.machine.finished())
        node.requests.erase(found);
}

void claim_simulation::perform(entry& node, ledger_actions const& actions)
{
    for (ledger_action const& action : actions)
    {
        std::visit(
            overloaded{
                [&](ledger_commit const& act)
                { commit(node, act.token, act.request); },
                [&](ledger_lease const&)
                {
                    result<std::int64_t> lease{std::int64_t{7}};
                    if (now_ < platform_down_until_)
                        lease = failure(result_code::platform_unavailable, "");
                    run_on(
                        node,
                        random_duration(1, 5),
                        [this, &node, lease]
                        { perform(node, node.ledger.on_lease(lease, now_)); });
                },
                [&](ledger_decision const& act) { apply_decision(node, act); }},
            action);
    }
}

void claim_simulation::apply_decision(
    entry& node, ledger_decision const& decision)
{
    auto const found = node.requests.find(decision.id);
    if (found != node.requests.end())
    {
        perform(
            node,
            decision.id,
            found->second.machine.on_claimed(decision.outcome));
    }
    else if (decision.outcome.verdict == claim_verdict::granted)
    {
        perform(
            node,
            node.ledger.release(decision.claim, decision.outcome.fence, now_));
    }
}

void claim_simulation::select_backend(
    entry& node, active_request& request, choose_backend const& action)
{
    std::vector<agent*> candidates;
    for (std::unique_ptr<agent> const& candidate : agents_)
    {
        if (!action.excluded.contains(candidate->id))
            candidates.push_back(candidate.get());
    }
    std::optional<chosen_backend> chosen;
    if (!candidates.empty())
    {
        agent const& target = *candidates[random_.below(candidates.size())];
        bool const stale = draw_fault(rates_.stale_incarnation) &&
                           target.previous_incarnation != 0;
        chosen = chosen_backend{
            target.id,
            stale ? target.previous_incarnation : target.incarnation};
    }
    // perform() may remove the request, so its id is copied.
    request_id const id = request.machine.request().id;
    perform(node, id, request.machine.on_chosen(std::move(chosen)));
}

void claim_simulation::send_attempt(
    entry& node, active_request& request, start_attempt const& action)
{
    inbound_request const& inbound = request.machine.request();
    if (draw_fault(rates_.unsendable))
    {
        request_id const id = inbound.id;
        perform(node, id, request.machine.on_agent_lost(false, true));
        return;
    }
    for (std::unique_ptr<agent> const& to : agents_)
    {
        if (to->id != action.target)
            continue;
        wire::envelope message;
        wire::execute& out = *message.mutable_execute();
        out.set_request_id(inbound.id.str());
        out.set_attempt(action.attempt);
        out.set_agent_incarnation(action.incarnation);
        out.set_body(inbound.message.body);
        wire::header_field& key = *out.add_headers();
        key.set_name("Key");
        key.set_value(request.key);
        wire::header_field& id = *out.add_headers();
        id.set_name("Request");
        id.set_value(inbound.id.str());
        out.set_start_before_us(to_wire(
            now_ + to->clock_offset +
            std::min<duration>(
                std::chrono::seconds{2}, inbound.deadline - now_)));
        out.set_timeout_us(
            static_cast<std::uint64_t>((inbound.deadline - now_).count()));
        out.set_credit_bytes(1024);
        out.set_claim(inbound.claim);
        out.set_claim_fence(action.fence);
        out.set_replay_only(action.replay_only);
        transmit(
            [this, a = to.get(), from = node.name, message]
            {
                run_on(
                    *a,
                    {},
                    [this, a, from, message]
                    {
                        a->core->on_message(
                            {peer_side::accepted, from},
                            message,
                            now_ + a->clock_offset);
                        perform_actions(*a);
                    });
            });
    }
}

void claim_simulation::transmit(task deliver)
{
    if (draw_fault(rates_.loss))
        return;
    int const copies = draw_fault(rates_.duplicate) ? 2 : 1;
    for (int n = 0; n < copies; ++n)
    {
        duration const delay = draw_fault(rates_.delayed)
                                   ? random_duration(1, 4000)
                                   : network_delay;
        at(now_ + delay, deliver);
    }
}

} // namespace test
