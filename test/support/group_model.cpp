#include "test/support/group_model.hpp"

#include <hornbeamweir/core/overloaded.hpp>

using namespace hornbeamweir;
using namespace test::group_model_setup;

namespace test
{

namespace
{

/// Proposes to swap two random slots at each decision.
class shuffling_policy final : public placement_policy
{
public:
    shuffling_policy(random_source& random, bool const& enabled)
        : random_{random}
        , enabled_{enabled}
    {
    }

    [[nodiscard]] std::optional<placement_decision> decide(
        expert_map const& current,
        popularity_report const&,
        time_point) override
    {
        if (!enabled_)
            return std::nullopt;
        placement_decision decision;
        decision.map = current;
        std::vector<std::uint16_t>& slots = decision.map.slots;
        std::swap(
            slots[random_.below(slots.size())],
            slots[random_.below(slots.size())]);
        return decision;
    }

private:
    random_source& random_;
    bool const& enabled_;
};

} // namespace

group_model::node::node(
    random_source& random,
    bool const& enabled,
    coordinator_settings const& settings,
    std::uint64_t incarnation_id)
    : policy{std::make_unique<shuffling_policy>(random, enabled)}
    , participant{make_initial_map(shape)}
    , coordinator{group(), "agent", settings, *policy, log}
    , incarnation{incarnation_id}
{
}

model_group_id group_model_setup::group()
{
    return model_group_id{"group-a"};
}

coordinator_settings group_model_setup::fast_settings()
{
    coordinator_settings settings;
    settings.lease_time = std::chrono::seconds{6};
    settings.renewal_interval = std::chrono::seconds{2};
    settings.candidacy_interval = std::chrono::seconds{3};
    settings.decision_interval = std::chrono::seconds{1};
    settings.change_timeout = std::chrono::seconds{10};
    settings.retry_interval = std::chrono::seconds{1};
    return settings;
}

group_model::group_model(
    std::uint64_t seed,
    bool checks_fence,
    step_rule rule,
    coordinator_settings settings)
    : random_{seed}
    , checks_fence_{checks_fence}
    , rule_{std::move(rule)}
    , settings_{settings}
    , engines_(ranks, {make_initial_map(shape), checks_fence})
    , engine_incarnations_(ranks, 0)
    , agents_(ranks)
{
    for (std::uint32_t rank = 0; rank < ranks; ++rank)
        restart(rank);
}

group_model::~group_model() = default;

void group_model::stop_changes()
{
    changes_enabled_ = false;
}

void group_model::fail_loads_of(std::uint32_t rank, std::uint64_t version)
{
    failing_versions_[rank] = version;
}

bool group_model::chance(double probability)
{
    return random_.unit() < probability;
}

duration group_model::random_delay()
{
    return duration{static_cast<duration::rep>(random_.below(5000))};
}

void group_model::run(duration time, fault_rates const& rates)
{
    rates_ = rates;
    time_point const end = now_ + time;
    while (now_ < end)
    {
        now_ += tick_interval;
        inject_faults(rates);
        expire_leases();
        for (std::uint32_t rank = 0; rank < ranks; ++rank)
            tick_agent(rank);
        while (!events_.empty() && events_.begin()->first <= now_)
        {
            event const next = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            next();
            if (chance(0.2))
                step();
        }
        step();
    }
}

void group_model::inject_faults(fault_rates const& rates)
{
    auto const random_time = [this]
    {
        constexpr std::uint64_t max_ms = 15'000;
        return std::chrono::milliseconds{random_.below(max_ms)};
    };
    std::uint32_t const rank = static_cast<std::uint32_t>(random_.below(ranks));
    if (chance(rates.restart_agent))
        restart(rank);
    if (chance(rates.suspend_agent))
        agents_[rank]->suspended_until = now_ + random_time();
    if (chance(rates.platform_outage))
        platform_down_until_ = now_ + random_time();
    if (chance(rates.replace_rank))
    {
        ++engine_incarnations_[rank];
        engines_[rank] = {std::nullopt, checks_fence_};
    }
}

void group_model::restart(std::uint32_t rank)
{
    agents_[rank] = std::make_unique<node>(
        random_, changes_enabled_, settings_, ++incarnations_);
}

void group_model::step()
{
    std::vector<rank_maps> maps;
    for (standin::rank_map_state const& it : engines_)
        maps.push_back(it.maps());
    std::optional<map_identity> const agreed = rule_(maps);
    if (!agreed)
        return;
    ++steps_;
    std::vector<map_identity> used;
    for (standin::rank_map_state& it : engines_)
        used.push_back(it.begin_step(*agreed));
    for (map_identity const& it : used)
    {
        if (it != used.front() || it.empty())
        {
            ++mixed_;
            return;
        }
    }
    changes_ += used.front() == last_used_ ? 0 : 1;
    last_used_ = used.front();
}

void group_model::schedule(duration delay, event run)
{
    events_.emplace(now_ + delay, std::move(run));
}

void group_model::schedule_at_agent(
    std::uint32_t rank, duration delay, std::function<void(node&)> run)
{
    std::uint64_t const incarnation = agents_[rank]->incarnation;
    schedule(
        delay,
        [this, rank, incarnation, run = std::move(run)]
        {
            node& agent = *agents_[rank];
            if (agent.incarnation != incarnation)
                return;
            if (agent.suspended_until <= now_)
                run(agent);
            else
                schedule_at_agent(rank, agent.suspended_until - now_, run);
        });
}

void group_model::tick_agent(std::uint32_t rank)
{
    node& agent = *agents_[rank];
    if (agent.suspended_until > now_)
        return;
    engine_map_report report;
    report.local = engines_[rank].maps();
    report.loading = engines_[rank].loading();
    for (standin::rank_map_state const& it : engines_)
    {
        report.max_ordered_version =
            std::max(report.max_ordered_version, it.max_ordered_version());
        if (!it.maps().in_force.empty())
            report.group_in_force = it.maps().in_force;
    }
    agent.coordinator.on_report(report, now_);
    perform(rank, agent.participant.on_report(report, now_));
    perform(rank, agent.coordinator.on_tick(now_));
}

void group_model::perform(std::uint32_t rank, participant_actions actions)
{
    for (participant_action const& action : actions)
    {
        std::visit(
            overloaded{
                [&](load_map const& it) { order(rank, it); },
                [&](read_map_record const&)
                {
                    read(
                        rank,
                        map_key(group()),
                        [this,
                         rank](node& agent, result<range_reply> const& reply)
                        {
                            perform(
                                rank,
                                agent.participant.on_record(
                                    record_in(reply, group()), now_));
                        });
                },
                [&](read_engine_map const&)
                {
                    schedule_at_agent(
                        rank,
                        random_delay(),
                        [this, rank](node& agent)
                        {
                            std::optional<expert_map> found;
                            for (standin::rank_map_state const& it : engines_)
                            {
                                if (!it.maps().in_force.empty())
                                    found = it.in_force();
                            }
                            perform(
                                rank,
                                agent.participant.on_engine_map(found, now_));
                        });
                }},
            action);
    }
}

void group_model::order(std::uint32_t rank, load_map const& action)
{
    if (chance(rates_.lose_order))
        return;
    constexpr std::uint64_t max_ms = 20'000;
    duration const late_delay =
        std::chrono::milliseconds{random_.below(max_ms)};
    duration const usual_delay = random_delay();
    schedule(
        chance(rates_.delay_order) ? late_delay : usual_delay,
        [this, rank, action] { deliver(rank, action); });
    if (chance(rates_.duplicate_order))
        schedule(late_delay, [this, rank, action] { deliver(rank, action); });
}

void group_model::deliver(std::uint32_t rank, load_map const& action)
{
    standin::rank_map_state& engine = engines_[rank];
    if (!engine.order(action.map, action.fence))
    {
        schedule_at_agent(
            rank,
            random_delay(),
            [](node& agent) { agent.participant.on_order_rejected(); });
        return;
    }
    map_identity const identity = identify(action.map);
    auto const failing = failing_versions_.find(rank);
    bool const fails =
        chance(rates_.fail_load) || (failing != failing_versions_.end() &&
                                     failing->second == identity.version);
    std::uint64_t const incarnation = engine_incarnations_[rank];
    duration const load = std::chrono::milliseconds{random_.below(3000)};
    schedule(
        load,
        [this, rank, identity, fails, incarnation]
        {
            if (engine_incarnations_[rank] != incarnation)
                return;
            if (!fails)
                engines_[rank].on_loaded(identity);
            else if (engines_[rank].loading() == identity)
                engines_[rank].on_load_failed();
        });
}

void group_model::perform(std::uint32_t rank, coordinator_actions actions)
{
    for (coordinator_action const& action : actions)
    {
        std::visit(
            overloaded{
                [&](request_lease const& it) { grant(rank, it.time_to_live); },
                [&](renew_lease const& it) { renew(rank, it.lease); },
                [&](read_key const& it)
                {
                    read(
                        rank,
                        it.key,
                        [this,
                         rank](node& agent, result<range_reply> const& reply) {
                            perform(
                                rank, agent.coordinator.on_read(reply, now_));
                        });
                },
                [&](commit_transaction const& it) { commit(rank, it.request); },
                [&](sample_engine const&) { sample(rank); },
                [&](announce_record const& it) {
                    perform(
                        rank,
                        agents_[rank]->participant.on_record(it.record, now_));
                }},
            action);
    }
}

void group_model::sample(std::uint32_t rank)
{
    schedule_at_agent(
        rank,
        random_delay(),
        [this, rank](node& agent)
        {
            std::optional<engine_sample> found;
            for (standin::rank_map_state const& it : engines_)
            {
                if (!it.maps().in_force.empty())
                    found = engine_sample{it.in_force(), {}};
            }
            perform(rank, agent.coordinator.on_sample(found, now_));
        });
}

bool group_model::settled() const
{
    expert_map wanted = make_initial_map(shape);
    auto const it = keys_.find(map_key(group()));
    if (it != keys_.end())
        wanted = decode_record(it->second.stored.value)->map;
    for (standin::rank_map_state const& engine : engines_)
    {
        if (engine.in_force() != wanted ||
            engine.maps().in_force != identify(wanted))
            return false;
    }
    return true;
}

expert_map const& group_model::in_force() const
{
    return engines_.front().in_force();
}

} // namespace test
