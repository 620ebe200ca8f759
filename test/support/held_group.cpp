#include "held_group.hpp"

namespace test
{

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

constexpr duration tick = milliseconds{5};
constexpr duration pass_time = milliseconds{50};
constexpr duration copy_time = milliseconds{80};
constexpr duration report_interval = milliseconds{60};
constexpr duration lease_time = milliseconds{1600};
constexpr duration form_time = milliseconds{600};
constexpr std::uint32_t experts = 8;

} // namespace

held_group::held_group(std::uint64_t seed, held_group_faults const& faults)
    : random_{seed}
    , faults_{faults}
    , engines_{ranks, copy_time, form_time}
    , processes_{process{log_}, process{log_}}
{
    engines_.check_fences(faults.engines_check_fences);
    processes_[0].home = 0;
    processes_[1].home = 2;
}

bool held_group::chance(double probability)
{
    return random_.unit() < probability;
}

void held_group::later(duration delay, std::function<void()> act)
{
    pending_.emplace(now_ + delay, std::move(act));
}

// A process that is frozen takes the rank beside it off the network.
bool held_group::reachable(std::uint32_t number) const
{
    for (process const& it : processes_)
    {
        if (it.home == number && now_ < it.frozen_until)
            return false;
    }
    return true;
}

void held_group::run(duration time)
{
    for (time_point const end = now_ + time; now_ < end; now_ += tick)
        step();
}

void held_group::heal()
{
    faults_ = {};
    engines_.check_fences(true);
    working_ = true;
}

void held_group::step()
{
    while (!pending_.empty() && pending_.begin()->first <= now_)
    {
        std::function<void()> const act = pending_.begin()->second;
        pending_.erase(pending_.begin());
        act();
    }
    if (faults_.idle_times && chance(0.002))
        working_ = !working_;
    if (faults_.restarted_ranks && chance(0.0004))
        engines_.restart(
            static_cast<std::uint32_t>(random_.below(ranks)), now_);
    engines_.advance(now_);
    if (now_ >= next_pass_)
    {
        next_pass_ = now_ + pass_time;
        if (working_)
            engines_.begin_pass(now_);
    }
    if (now_ >= next_report_)
    {
        next_report_ = now_ + report_interval;
        for (std::uint32_t n = 0; n < ranks; ++n)
            report(n);
    }
    run_processes();
}

void held_group::deliver(rank_order const& order)
{
    if (!reachable(order.rank))
    {
        later(milliseconds{100}, [this, order] { deliver(order); });
        return;
    }
    static_cast<void>(engines_.carry_out(order, now_));
    report(order.rank);
}

void held_group::send(process& from, rank_order const& order)
{
    static_cast<void>(from);
    for (process& it : processes_)
    {
        if (order.operation == rank_operation::prepare)
            it.coordinator.on_map_ordered(order.version, order.mapping);
    }
    duration const usual =
        milliseconds{1 + static_cast<std::int64_t>(random_.below(8))};
    duration const late =
        milliseconds{2000 + static_cast<std::int64_t>(random_.below(8000))};
    bool const is_late = chance(faults_.late_orders);
    later(is_late ? late : usual, [this, order] { deliver(order); });
    if (chance(faults_.doubled_orders))
        later(late, [this, order] { deliver(order); });
}

void held_group::report(std::uint32_t number)
{
    if (!reachable(number) || chance(faults_.lost_reports))
        return;
    rank_state const state = engines_.state(number);
    later(
        milliseconds{1 + static_cast<std::int64_t>(random_.below(5))},
        [this, state]
        {
            rank_experts const held{
                {static_cast<std::uint16_t>(2 * state.rank),
                 static_cast<std::uint16_t>(2 * state.rank + 1)}};
            for (process& it : processes_)
            {
                if (now_ >= it.frozen_until)
                {
                    it.coordinator.on_report(
                        state,
                        state.map_version == 0 ? std::optional{held}
                                               : std::nullopt,
                        now_);
                }
            }
        });
}

group_experts held_group::some_map()
{
    group_experts out(1);
    for (std::uint32_t n = 0; n < ranks; ++n)
    {
        out[0].push_back(
            {static_cast<std::uint16_t>(2 * n),
             static_cast<std::uint16_t>(2 * n + 1),
             static_cast<std::uint16_t>(random_.below(experts))});
    }
    return out;
}

void held_group::elect()
{
    for (process const& it : processes_)
    {
        if (now_ < it.lease_until)
            return;
    }
    for (std::size_t n = 0; n < processes_.size(); ++n)
    {
        process& it = processes_[n];
        if (now_ < it.frozen_until)
            continue;
        it.lease_until = now_ + lease_time;
        ++fence_;
        it.coordinator.lead(fence_, it.home, last_home_, now_);
        return;
    }
}

void held_group::run_processes()
{
    elect();
    for (process& it : processes_)
    {
        if (now_ < it.frozen_until)
            continue;
        if (it.coordinator.leading() && now_ >= it.lease_until)
            it.coordinator.step_down(now_);
        if (!it.coordinator.leading())
            continue;
        it.lease_until = now_ + lease_time;
        if (faults_.frozen_coordinators && chance(0.002))
        {
            it.frozen_until =
                now_ +
                milliseconds{
                    1000 + static_cast<std::int64_t>(random_.below(4000))};
            continue;
        }
        if (it.coordinator.ready_for_map(now_))
        {
            last_home_ = it.home;
            it.coordinator.start(some_map(), now_);
        }
        for (rank_order const& order : it.coordinator.on_tick(now_))
            send(it, order);
    }
    switches = processes_[0].coordinator.maps_switched() +
               processes_[1].coordinator.maps_switched();
}

} // namespace test
