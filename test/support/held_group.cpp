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
    , processes_{process{log_}, process{log_}}
{
    for (std::uint32_t n = 0; n < ranks; ++n)
    {
        rank_state& it = ranks_[n].state;
        it.group = model_group_id{"g"};
        it.epoch = 1;
        it.rank = n;
        it.ranks = ranks;
        it.open = true;
        it.start = 1;
        it.active = 1;
    }
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
    faults_.engines_check_fences = true;
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
        restart_rank(static_cast<std::uint32_t>(random_.below(ranks)));
    for (rank& it : ranks_)
    {
        if (it.copying_version != 0 && now_ >= it.copied_at)
        {
            it.state.prepared_version = it.copying_version;
            it.copying_version = 0;
        }
        it.state.open = now_ >= forms_at_;
    }
    if (now_ >= next_pass_)
        begin_pass();
    if (now_ >= next_report_)
    {
        next_report_ = now_ + report_interval;
        for (std::uint32_t n = 0; n < ranks; ++n)
            report(n);
    }
    run_processes();
}

void held_group::begin_pass()
{
    next_pass_ = now_ + pass_time;
    if (!working_ || now_ < forms_at_)
        return;
    for (rank const& it : ranks_)
    {
        if (it.state.held_step == step_ + 1)
            return;
    }
    ++step_;
    ++passes;
    std::set<std::uint64_t> versions;
    for (rank& it : ranks_)
    {
        it.state.step = step_;
        if (it.state.armed_version != 0 && it.state.armed_step == step_)
        {
            it.state.map_version = it.state.armed_version;
            it.state.armed_version = 0;
        }
        versions.insert(it.state.map_version);
    }
    mixed_passes += versions.size() > 1 ? 1 : 0;
}

void held_group::restart_rank(std::uint32_t number)
{
    ranks_[number].state.start += 1;
    std::uint64_t const epoch = ranks_[0].state.epoch + 1;
    forms_at_ = now_ + form_time;
    for (rank& it : ranks_)
    {
        std::uint64_t const start = it.state.start;
        std::uint32_t const place = it.state.rank;
        std::uint64_t const orders = place == number ? 0 : it.state.orders;
        it = {};
        it.state.group = model_group_id{"g"};
        it.state.epoch = epoch;
        it.state.rank = place;
        it.state.ranks = ranks;
        it.state.start = start;
        it.state.orders = orders;
        it.state.step = step_;
        it.state.active = 1;
    }
}

// What the platform's pages say of each order.
bool held_group::carry_out(rank_order const& order)
{
    rank& it = ranks_[order.rank];
    rank_state& state = it.state;
    if (order.epoch != state.epoch)
        return false;
    if (faults_.engines_check_fences && order.fence < it.newest_fence)
        return false;
    it.newest_fence = std::max(it.newest_fence, order.fence);
    bool const armed = state.armed_version != 0;
    switch (order.operation)
    {
    case rank_operation::prepare:
        if (order.version == it.newest_version && !armed)
            return true;
        if (armed || order.version < it.newest_version)
            return false;
        it.newest_version = order.version;
        it.copying_version = order.version;
        it.copied_at = now_ + copy_time;
        state.prepared_version = 0;
        return true;
    case rank_operation::arm:
        if (state.prepared_version != order.version || order.step <= step_)
            return false;
        state.armed_version = order.version;
        state.armed_step = order.step;
        return true;
    case rank_operation::disarm:
        if (state.armed_version == order.version)
            state.armed_version = 0;
        return true;
    case rank_operation::hold:
        if (order.step <= step_ ||
            (state.held_step && *state.held_step != order.step))
            return false;
        state.held_step = order.step;
        return true;
    case rank_operation::release:
        if (state.held_step == order.step)
            state.held_step.reset();
        return true;
    }
    return false;
}

void held_group::deliver(rank_order const& order)
{
    if (!reachable(order.rank))
    {
        later(milliseconds{100}, [this, order] { deliver(order); });
        return;
    }
    bool const accepted = carry_out(order);
    if (accepted && order.operation == rank_operation::prepare)
        ranks_[order.rank].state.accepted_version = order.version;
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
    rank_state const state = ranks_[number].state;
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

bool held_group::is_held() const
{
    for (rank const& it : ranks_)
    {
        if (it.state.held_step)
            return true;
    }
    return false;
}

bool held_group::is_armed() const
{
    for (rank const& it : ranks_)
    {
        if (it.state.armed_version != 0)
            return true;
    }
    return false;
}

} // namespace test
