#include <hornbeamweir/expert_map/hold_coordinator.hpp>
#include <hornbeamweir/expert_map/order_relay.hpp>
#include <hornbeamweir/peers/rank_messages.hpp>
#include <hornbeamweir/peers/report_schedule.hpp>

#include "test/support/engine_group.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace hornbeamweir;
using std::chrono::milliseconds;
using test::engine_group;

namespace
{

constexpr std::uint32_t ranks = 72;
constexpr std::uint32_t sets = 8;
constexpr std::uint32_t suspended = 1;
constexpr std::uint32_t successor = 6;
constexpr double megabits_per_second = 8;
constexpr duration tick = milliseconds{5};
constexpr duration pass_time = milliseconds{50};
/// Time until a datagram or a direct response arrives, with its processing.
constexpr duration transit = milliseconds{15};

/// \brief A group of 72 ranks whose coordinator, on the VM of rank 1, is
/// suspended during a change; its engine stays reachable. Orders take the time
/// that they occupy the successor's link.
class takeover_group
{
public:
    takeover_group()
    {
        engines.set_initial_map(first_map_);
        first.on_map_ordered(0, std::make_shared<group_experts>(first_map_));
        second.on_map_ordered(0, std::make_shared<group_experts>(first_map_));
        first.become_coordinator(5, suspended, std::nullopt, now);
        run([this] { return first.ready_for_map(now); });
    }

    /// \brief Changes to a map, and stops when the engines meet a condition.
    void change_until(bool (*reached)(engine_group const&))
    {
        ++extra_;
        group_experts next = first_map_;
        for (rank_experts& set : next)
        {
            for (std::uint32_t n = 0; n < ranks; ++n)
            {
                set[n].push_back(
                    static_cast<std::uint16_t>((n + extra_) % ranks));
                std::sort(set[n].begin(), set[n].end());
            }
        }
        first.start(next, now);
        run([&] { return reached(engines); });
    }

    /// \brief Gives the successor a report of each rank, as if it had
    /// coordinated the group.
    void tell_successor()
    {
        for (std::uint32_t n = 0; n < ranks; ++n)
            second.on_report(engines.state(n), engines.experts(n, 0), now);
    }

    /// \brief Suspends the coordinator, and makes another take over.
    /// \returns Time from then until the group runs passes again.
    duration take_over_after(duration time)
    {
        active_ = nullptr;
        time_point const end = now + time;
        run([&] { return now >= end; });
        second.become_coordinator(6, successor, suspended, now);
        active_ = &second;
        reported_.clear();
        time_point const began = now;
        std::uint64_t const passes = engines.passes();
        run([&] { return engines.passes() > passes; });
        return now - began;
    }

    /// \brief Whether the suspended agent's rank can be read and ordered
    /// directly.
    bool rank_reachable = true;
    /// \brief Whether the suspended agent reports again.
    bool agent_resumed = false;
    /// \brief Whether all unreported ranks are read directly, as those that
    /// are registered were at each takeover.
    bool reads_all_unreported = false;
    null_event_log log;
    hold_coordinator first{log, megabits_per_second};
    hold_coordinator second{log, megabits_per_second};
    engine_group engines{ranks, milliseconds{40}, milliseconds{600}};
    time_point now{std::chrono::seconds{100}};

    void run(std::function<bool()> const& done)
    {
        time_point const end = now + std::chrono::seconds{10};
        for (; now < end && !done(); now += tick)
            step();
    }

private:
    void step()
    {
        while (!pending_.empty() && pending_.begin()->first <= now)
        {
            std::function<void()> const action = pending_.begin()->second;
            pending_.erase(pending_.begin());
            action();
        }
        engines.advance(now);
        if (now >= next_pass_)
        {
            next_pass_ = now + pass_time;
            engines.begin_pass(now);
        }
        if (!active_)
            return;
        for (std::uint32_t n = 0; n < ranks; ++n)
        {
            if (active_ == &first || n != suspended || agent_resumed)
                report(n);
        }
        if (now >= next_direct_read_)
        {
            next_direct_read_ = now + milliseconds{100};
            read_directly();
        }
        for (rank_order const& it : active_->on_tick(now))
            send(it);
    }

    void report(std::uint32_t rank)
    {
        rank_state state = engines.state(rank);
        state.agent_accepts_deltas = true;
        state.agent_knows_initial_map = true;
        report_schedule& schedule = reported_[rank];
        if (!schedule.is_due(state, false, now))
            return;
        schedule.on_reported(state, true, now);
        deliver_state(state, transit);
    }

    void read_directly()
    {
        std::vector<std::uint32_t> stale =
            active_->ranks_with_stale_report(max_report_age(ranks), now);
        for (std::uint32_t n = 0; n < ranks && reads_all_unreported; ++n)
        {
            if (!active_->all_ranks_reported() && !active_->knows_experts(n))
                stale.push_back(n);
        }
        for (std::uint32_t const rank : stale)
        {
            if (rank == suspended && !rank_reachable)
                continue;
            rank_state state = engines.state(rank);
            state.accepted_version = 0;
            state.read_directly = true;
            deliver_state(state, 2 * transit);
        }
    }

    void deliver_state(rank_state const& state, duration delay)
    {
        hold_coordinator* const to = active_;
        after(
            delay,
            [this, state, to] {
                to->on_report(
                    state, engines.experts(state.rank, state.map_version), now);
            });
    }

    void send(rank_order const& order)
    {
        if (order.operation == rank_operation::prepare)
            second.on_map_ordered(order.version, order.mapping);
        double const copies = order.may_be_relayed
                                  ? static_cast<double>(relay_fan_out) / ranks
                                  : 1;
        double const bits =
            8 * static_cast<double>(to_wire(order).ByteSizeLong()) * copies;
        link_free_at_ =
            std::max(link_free_at_, now) +
            duration{static_cast<duration::rep>(bits / megabits_per_second)};
        hold_coordinator* const from = active_;
        after(
            link_free_at_ - now + (order.may_be_relayed ? 3 : 1) * transit,
            [this, order, from]
            {
                bool const direct = order.rank == suspended && from == &second;
                if (direct && !rank_reachable)
                    return;
                bool const done = engines.execute(order, now);
                if (done && direct)
                    from->on_accepted(order);
            });
    }

    void after(duration delay, std::function<void()> action)
    {
        pending_.emplace(now + delay, std::move(action));
    }

    group_experts first_map_ = initial_experts({sets, ranks, 4 * ranks});
    hold_coordinator* active_ = &first;
    std::map<std::uint32_t, report_schedule> reported_;
    std::multimap<time_point, std::function<void()>> pending_;
    time_point next_pass_{};
    time_point next_direct_read_{};
    time_point link_free_at_{};
    std::uint32_t extra_ = 0;
};

bool is_held(engine_group const& it)
{
    return it.is_held();
}

} // namespace

// A group of 72 ranks stalled for 4 s as its successor stayed in the phase
// clearing for 2.4 s.
TEST_CASE("a pass held by a suspended coordinator is released", "[hold]")
{
    takeover_group group;
    group.change_until(is_held);
    REQUIRE(group.engines.is_held());
    duration const stall = group.take_over_after(milliseconds{1000});
    CAPTURE(stall.count());
    CHECK(stall <= milliseconds{300});
    CHECK(group.engines.mixed_passes() == 0);
}

// What is read from the ranks themselves does not name the abilities of their
// agents, so that each was sent a whole map, one after the other.
TEST_CASE("ranks read directly are still ordered by their agents", "[hold]")
{
    takeover_group group;
    group.reads_all_unreported = true;
    group.change_until(is_held);
    REQUIRE(group.engines.is_held());
    duration const stall = group.take_over_after(milliseconds{1000});
    CAPTURE(stall.count());
    CHECK(stall <= milliseconds{300});
    CHECK(group.engines.mixed_passes() == 0);
}

// The last report that the successor had of that rank was of an earlier map, so
// that it found no common map in force, and waited for the agent to resume.
TEST_CASE("an old report of a suspended agent's rank is not used", "[hold]")
{
    takeover_group group;
    group.tell_successor();
    group.change_until([](engine_group const& it)
                       { return it.state(0).map_version != 0; });
    group.run([&] { return group.first.ready_for_map(group.now); });
    group.change_until(is_held);
    REQUIRE(group.engines.is_held());
    group.rank_reachable = false;
    duration const stall = group.take_over_after(milliseconds{1600});
    CAPTURE(stall.count());
    CHECK(stall <= milliseconds{600});
    CHECK(group.engines.mixed_passes() == 0);
}

// The group stood until the suspended process resumed: all other ranks had been
// armed by orders in transit, so that its own might have been too.
TEST_CASE("a coordinator suspended while it arms ranks is replaced", "[hold]")
{
    takeover_group group;
    group.tell_successor();
    group.change_until(is_held);
    REQUIRE(group.engines.is_held());
    group.run(
        [&] {
            return group.first.current_phase() ==
                   hold_coordinator::phase::arming;
        });
    group.rank_reachable = false;
    duration const stall = group.take_over_after(milliseconds{1600});
    CAPTURE(stall.count());
    CHECK(stall <= milliseconds{600});
    CHECK(group.engines.mixed_passes() == 0);
}

// After all VMs had lost power, the first map came 0.8 s after the group: its
// coordinator waited for orders of others, which the new epoch rules out.
TEST_CASE("a group that re-forms under its coordinator needs no clearing")
{
    takeover_group group;
    group.agent_resumed = true;
    static_cast<void>(group.take_over_after(milliseconds{0}));
    group.engines.restart(3, group.now);
    group.run([&] { return group.engines.state(3).group_formed; });
    time_point const formed_at = group.now;
    group.run([&] { return group.second.ready_for_map(group.now); });
    duration const wait = group.now - formed_at;
    CAPTURE(wait.count());
    CHECK(wait <= 2 * pass_time);
    CHECK(group.engines.mixed_passes() == 0);
}
