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
/// Silence after which a coordinator is replaced if fences are checked.
constexpr duration silence_limit = milliseconds{600};
/// Time in which a replaced coordinator learns of it after it has resumed.
constexpr duration notice_time = milliseconds{300};
constexpr duration direct_read_interval = milliseconds{100};
constexpr duration reform_time = milliseconds{600};
constexpr std::uint32_t experts = 8;

} // namespace

held_group::held_group(std::uint64_t seed, held_group_faults const& faults)
    : random_{seed}
    , faults_{faults}
    , engines_{ranks, copy_time, reform_time}
    , processes_{
          process{log_, faults.early_takeovers},
          process{log_, faults.early_takeovers}}
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

bool held_group::has_silent_agent(std::uint32_t rank) const
{
    return std::any_of(
        processes_.begin(),
        processes_.end(),
        [&](process const& it)
        { return it.local_rank == rank && now_ < it.suspended_until; });
}

// The local rank of a suspended process is disconnected from the network.
bool held_group::reachable(std::uint32_t rank) const
{
    return faults_.reachable_engines || !has_silent_agent(rank);
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
    count_stall();
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
    bool const accepted = engines_.execute(order, now_);
    report(order.rank);
    if (!accepted || !has_silent_agent(order.rank))
        return;
    for (process& it : processes_)
    {
        if (now_ >= it.suspended_until && it.coordinator.is_coordinator())
            it.coordinator.on_accepted(order);
    }
}

void held_group::count_stall()
{
    bool const passes = engines_.passes() != last_pass_ || !has_work_ ||
                        !engines_.state(0).group_formed;
    last_pass_ = engines_.passes();
    if (passes)
        last_pass_at_ = now_;
    longest_stall = std::max(longest_stall, now_ - last_pass_at_);
}

void held_group::suspend_in(hold_coordinator::phase phase)
{
    for (;; step())
    {
        for (process& it : processes_)
        {
            if (!it.coordinator.is_coordinator() ||
                it.coordinator.current_phase() != phase)
                continue;
            suspend(it, std::chrono::seconds{4});
            return;
        }
        now_ += tick;
    }
}

void held_group::suspend(process& it, duration time)
{
    it.suspended_at = now_;
    it.suspended_until = now_ + time;
}

// What a rank reports to other VMs is some time old.
void held_group::read_directly(process& reader)
{
    for (std::uint32_t const rank :
         reader.coordinator.ranks_with_stale_report(milliseconds{300}, now_))
    {
        rank_state state = engines_.state(rank);
        state.read_directly = true;
        if (!reachable(rank))
            continue;
        schedule(
            milliseconds{20 + static_cast<std::int64_t>(random_.below(200))},
            [this, state, &reader]
            {
                if (now_ >= reader.suspended_until)
                    reader.coordinator.on_report(state, std::nullopt, now_);
            });
    }
}

void held_group::send(process& from, rank_order const& order)
{
    static_cast<void>(from);
    if (chance(faults_.lost_orders))
        return;
    for (process& it : processes_)
    {
        if (order.operation == rank_operation::prepare)
            it.coordinator.on_map_ordered(order.version, order.mapping);
    }
    duration const usual_delay =
        milliseconds{1 + static_cast<std::int64_t>(random_.below(8))};
    duration const late_delay =
        milliseconds{2000 + static_cast<std::int64_t>(random_.below(10'000))};
    bool const is_late = chance(faults_.delayed_orders);
    schedule(
        is_late ? late_delay : usual_delay, [this, order] { deliver(order); });
    if (chance(faults_.duplicated_orders))
        schedule(late_delay, [this, order] { deliver(order); });
}

void held_group::report(std::uint32_t rank)
{
    if (has_silent_agent(rank) || chance(faults_.lost_reports))
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
    for (process& it : processes_)
    {
        bool const is_silent = faults_.early_takeovers &&
                               now_ < it.suspended_until &&
                               now_ - it.suspended_at >= silence_limit;
        if (it.coordinator.is_coordinator() && is_silent)
            it.replaced = true;
        if (!it.replaced && now_ < it.lease_expiry)
            return;
    }
    for (process& it : processes_)
    {
        if (now_ < it.suspended_until || it.replaced)
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
    bool const reads = now_ >= next_direct_read_;
    if (reads)
        next_direct_read_ = now_ + direct_read_interval;
    for (process& it : processes_)
    {
        if (now_ < it.suspended_until)
            continue;
        if (reads && it.coordinator.is_coordinator())
            read_directly(it);
        run(it);
    }
    maps_switched = processes_[0].coordinator.maps_switched() +
                    processes_[1].coordinator.maps_switched();
}

void held_group::run(process& it)
{
    bool const notices = it.replaced ? now_ >= it.suspended_until + notice_time
                                     : now_ >= it.lease_expiry;
    if (it.coordinator.is_coordinator() && notices)
        it.coordinator.step_down(now_);
    if (!it.coordinator.is_coordinator())
    {
        it.replaced = false;
        return;
    }
    if (!it.replaced)
        it.lease_expiry = now_ + lease_time;
    bool const enters = it.coordinator.current_phase() != it.last_phase;
    it.last_phase = it.coordinator.current_phase();
    bool const suspends = (faults_.suspended_coordinators && chance(0.002)) ||
                          (enters && chance(faults_.suspended_phases));
    if (suspends)
    {
        suspend(
            it,
            milliseconds{500 + static_cast<std::int64_t>(random_.below(4500))});
        return;
    }
    if (it.coordinator.ready_for_map(now_))
    {
        last_local_rank_ = it.local_rank;
        it.coordinator.start(random_map(), now_);
    }
    for (rank_order const& order : it.coordinator.on_tick(now_))
        send(it, order);
}

} // namespace test
