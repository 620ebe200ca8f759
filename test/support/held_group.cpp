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
constexpr duration reform_time = milliseconds{600};
constexpr std::uint32_t experts = 8;

} // namespace

held_group::held_group(std::uint64_t seed, held_group_faults const& faults)
    : random_{seed}
    , faults_{faults}
    , engines_{ranks, copy_time, reform_time}
    , processes_{process{log_}, process{log_}}
{
    engines_.check_fences(faults.engines_check_fences);
    processes_[0].local_rank = 0;
    processes_[1].local_rank = 2;
}

bool held_group::chance(double probability)
{
    return random_.unit() < probability;
}

void held_group::schedule(duration delay, std::function<void()> action)
{
    pending_.emplace(now_ + delay, std::move(action));
}

// The local rank of a suspended process is disconnected from the network.
bool held_group::reachable(std::uint32_t rank) const
{
    for (process const& it : processes_)
    {
        if (it.local_rank == rank && now_ < it.suspended_until)
            return false;
    }
    return true;
}

void held_group::run(duration time)
{
    for (time_point const end = now_ + time; now_ < end; now_ += tick)
        step();
}

void held_group::stop_faults()
{
    faults_ = {};
    engines_.check_fences(true);
    has_work_ = true;
}

void held_group::step()
{
    while (!pending_.empty() && pending_.begin()->first <= now_)
    {
        std::function<void()> const action = pending_.begin()->second;
        pending_.erase(pending_.begin());
        action();
    }
    if (faults_.idle_periods && chance(0.002))
        has_work_ = !has_work_;
    if (faults_.restarted_ranks && chance(0.0004))
        engines_.restart(
            static_cast<std::uint32_t>(random_.below(ranks)), now_);
    engines_.advance(now_);
    if (now_ >= next_pass_)
    {
        next_pass_ = now_ + pass_time;
        if (has_work_)
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
        schedule(milliseconds{100}, [this, order] { deliver(order); });
        return;
    }
    static_cast<void>(engines_.execute(order, now_));
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
    duration const usual_delay =
        milliseconds{1 + static_cast<std::int64_t>(random_.below(8))};
    duration const late_delay =
        milliseconds{2000 + static_cast<std::int64_t>(random_.below(8000))};
    bool const is_late = chance(faults_.delayed_orders);
    schedule(
        is_late ? late_delay : usual_delay, [this, order] { deliver(order); });
    if (chance(faults_.duplicated_orders))
        schedule(late_delay, [this, order] { deliver(order); });
}

void held_group::report(std::uint32_t rank)
{
    if (!reachable(rank) || chance(faults_.lost_reports))
        return;
    rank_state const state = engines_.state(rank);
    schedule(
        milliseconds{1 + static_cast<std::int64_t>(random_.below(5))},
        [this, state]
        {
            rank_experts const held{
                {static_cast<std::uint16_t>(2 * state.rank),
                 static_cast<std::uint16_t>(2 * state.rank + 1)}};
            for (process& it : processes_)
            {
                if (now_ >= it.suspended_until)
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

group_experts held_group::random_map()
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
        if (now_ < it.lease_expiry)
            return;
    }
    for (std::size_t n = 0; n < processes_.size(); ++n)
    {
        process& it = processes_[n];
        if (now_ < it.suspended_until)
            continue;
        it.lease_expiry = now_ + lease_time;
        ++fence_;
        it.coordinator.become_coordinator(
            fence_, it.local_rank, last_local_rank_, now_);
        return;
    }
}

void held_group::run_processes()
{
    elect();
    for (process& it : processes_)
    {
        if (now_ < it.suspended_until)
            continue;
        if (it.coordinator.is_coordinator() && now_ >= it.lease_expiry)
            it.coordinator.step_down(now_);
        if (!it.coordinator.is_coordinator())
            continue;
        it.lease_expiry = now_ + lease_time;
        if (faults_.suspended_coordinators && chance(0.002))
        {
            it.suspended_until =
                now_ +
                milliseconds{
                    1000 + static_cast<std::int64_t>(random_.below(4000))};
            continue;
        }
        if (it.coordinator.ready_for_map(now_))
        {
            last_local_rank_ = it.local_rank;
            it.coordinator.start(random_map(), now_);
        }
        for (rank_order const& order : it.coordinator.on_tick(now_))
            send(it, order);
    }
    maps_switched = processes_[0].coordinator.maps_switched() +
                    processes_[1].coordinator.maps_switched();
}

} // namespace test
