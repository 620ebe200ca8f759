#include <hornbeamweir/expert_map/hold_coordinator.hpp>
#include <hornbeamweir/peers/rank_messages.hpp>

#include "test/support/engine_group.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace hornbeamweir;
using std::chrono::milliseconds;
using test::engine_group;

namespace
{

constexpr std::uint32_t ranks = 3;
constexpr duration tick = milliseconds{20};

group_experts make_map(std::uint16_t extra_expert)
{
    return {{{0, extra_expert}, {1}, {2}}};
}

/// \brief A coordinator and a group that executes its orders immediately. All
/// orders are recorded.
struct recorded_group
{
    recorded_group() { engines.set_initial_map(make_map(1)); }

    void report(std::uint32_t rank)
    {
        rank_state const& state = engines.state(rank);
        coordinator.on_report(
            state, engines.experts(rank, state.map_version), now);
    }

    /// \brief Runs for a time.
    /// \param not_reporting Rank that sends no reports.
    void
    run(duration time,
        std::optional<std::uint32_t> not_reporting = std::nullopt)
    {
        for (time_point const end = now + time; now < end; now += tick)
        {
            engines.advance(now);
            engines.begin_pass(now);
            for (std::uint32_t n = 0; n < ranks; ++n)
            {
                if (n != not_reporting)
                    report(n);
            }
            for (rank_order const& it : coordinator.on_tick(now))
            {
                ordered.push_back(it);
                if (it.rank != unreachable)
                    static_cast<void>(engines.execute(it, now));
            }
        }
    }

    /// \brief Makes rank 1 execute a delayed hold order of an earlier
    /// coordinator, with a lower fence.
    void execute_stale_hold()
    {
        rank_order order;
        order.rank = 1;
        order.operation = rank_operation::hold;
        order.step = engines.passes() + 1;
        order.epoch = 1;
        order.fence = 1;
        engines.check_fences(false);
        REQUIRE(engines.execute(order, now));
        engines.check_fences(true);
    }

    null_event_log log;
    hold_coordinator coordinator{log};
    engine_group engines{ranks, milliseconds{40}, milliseconds{100}};
    time_point now{std::chrono::seconds{10}};
    std::vector<rank_order> ordered;
    /// Rank that receives no orders.
    std::optional<std::uint32_t> unreachable;
};

} // namespace

TEST_CASE(
    "a stale hold is released only after each rank executes an order", "[hold]")
{
    recorded_group group;
    group.execute_stale_hold();
    group.unreachable = 2;
    group.coordinator.become_coordinator(5, 0, std::nullopt, group.now);
    group.run(milliseconds{1000});
    // A delayed duplicate of an earlier order could still arm rank 2.
    CHECK(group.engines.is_held());
    group.unreachable.reset();
    group.run(milliseconds{1000});
    CHECK_FALSE(group.engines.is_held());
    CHECK(group.coordinator.current_phase() == hold_coordinator::phase::idle);
}

TEST_CASE("a stale hold found while no map is changed is released", "[hold]")
{
    recorded_group group;
    group.coordinator.become_coordinator(5, 0, std::nullopt, group.now);
    group.run(milliseconds{1000});
    REQUIRE(group.coordinator.current_phase() == hold_coordinator::phase::idle);
    group.execute_stale_hold();
    group.run(milliseconds{1000});
    CHECK_FALSE(group.engines.is_held());
    CHECK(group.coordinator.current_phase() == hold_coordinator::phase::idle);
}

TEST_CASE("a report that arrives out of order is ignored", "[hold]")
{
    recorded_group group;
    rank_state const before = group.engines.state(1);
    group.coordinator.become_coordinator(5, 0, std::nullopt, group.now);
    group.run(milliseconds{600});
    REQUIRE(group.coordinator.ready_for_map(group.now));
    group.coordinator.start(make_map(2), group.now);
    group.run(milliseconds{600});
    REQUIRE(group.coordinator.maps_switched() == 1);
    REQUIRE(*group.coordinator.in_force() == make_map(2));
    group.coordinator.on_report(before, std::nullopt, group.now);
    CHECK(*group.coordinator.in_force() == make_map(2));
}

// The incarnation of a rank is the time of day at its start, which may have
// been set back.
TEST_CASE("a rank that restarts at an earlier time of day is heard", "[hold]")
{
    recorded_group group;
    group.coordinator.become_coordinator(5, 0, std::nullopt, group.now);
    group.run(milliseconds{600});
    rank_state restarted = group.engines.state(1);
    restarted.epoch += 1;
    restarted.incarnation = 0;
    restarted.map_version = 77;
    group.coordinator.on_report(restarted, std::nullopt, group.now);
    // The other ranks are still in the epoch before.
    CHECK(group.coordinator.in_force() == nullptr);
}

TEST_CASE("orders of a later change have a higher fence", "[hold]")
{
    recorded_group group;
    group.coordinator.become_coordinator(5, 0, std::nullopt, group.now);
    group.run(milliseconds{600});
    std::uint64_t newest = 0;
    for (std::uint16_t n = 2; n < 5; ++n)
    {
        group.ordered.clear();
        REQUIRE(group.coordinator.ready_for_map(group.now));
        group.coordinator.start(make_map(n), group.now);
        group.run(milliseconds{600});
        REQUIRE_FALSE(group.ordered.empty());
        CHECK(group.ordered.front().fence > newest);
        newest = group.ordered.back().fence;
    }
    // The fences of the next coordinator are higher than all of these.
    group.ordered.clear();
    group.coordinator.step_down(group.now);
    group.coordinator.become_coordinator(6, 0, std::nullopt, group.now);
    group.run(milliseconds{600});
    REQUIRE(group.coordinator.ready_for_map(group.now));
    group.coordinator.start(make_map(1), group.now);
    group.run(milliseconds{600});
    REQUIRE_FALSE(group.ordered.empty());
    CHECK(group.ordered.front().fence > newest);
}

TEST_CASE(
    "clearing does not wait for a failed coordinator's local rank", "[hold]")
{
    constexpr std::uint32_t failed = 2;
    recorded_group group;
    for (std::uint32_t n = 0; n < ranks; ++n)
        group.report(n);
    // All reports are now too old.
    group.now += std::chrono::seconds{2};
    group.execute_stale_hold();
    group.coordinator.become_coordinator(5, 0, failed, group.now);
    group.run(milliseconds{1000}, failed);
    CHECK_FALSE(group.engines.is_held());
    CHECK(group.coordinator.current_phase() == hold_coordinator::phase::idle);
}

// Clearing sends an order to each rank. In a group of 129 ranks on thin links
// it took longer than its timeout, and began anew, so that no map was ever
// changed.
TEST_CASE("a new coordinator has nothing to clear in an idle group", "[hold]")
{
    recorded_group group;
    group.coordinator.become_coordinator(5, 0, std::nullopt, group.now);
    group.run(milliseconds{400});
    CHECK(group.ordered.empty());
    CHECK(group.coordinator.ready_for_map(group.now));
}

// Orders of the previous coordinator may be in transit when the first reports
// arrive.
TEST_CASE("a hold that takes effect after an election is cleared", "[hold]")
{
    recorded_group group;
    group.coordinator.become_coordinator(5, 0, std::nullopt, group.now);
    group.run(milliseconds{200});
    CHECK_FALSE(group.coordinator.ready_for_map(group.now));
    group.execute_stale_hold();
    group.run(milliseconds{1000});
    CHECK_FALSE(group.engines.is_held());
    std::set<std::uint32_t> prepared;
    for (rank_order const& it : group.ordered)
    {
        if (it.operation == rank_operation::prepare)
            prepared.insert(it.rank);
    }
    CHECK(prepared.size() == ranks);
}

// During a rolling restart some agent is always stopped. Its rank is read and
// ordered directly, so that maps are still changed.
TEST_CASE("maps are changed while an agent is stopped", "[hold]")
{
    constexpr std::uint32_t silent = 1;
    recorded_group group;
    group.coordinator.become_coordinator(5, 0, std::nullopt, group.now);
    group.run(milliseconds{600});
    bool started = false;
    for (time_point const end = group.now + milliseconds{6000}; group.now < end;
         group.now += tick)
    {
        group.engines.advance(group.now);
        group.engines.begin_pass(group.now);
        group.report(0);
        group.report(2);
        for (std::uint32_t const rank :
             group.coordinator.ranks_with_stale_report(
                 milliseconds{350}, group.now))
        {
            CHECK(rank == silent);
            rank_state state = group.engines.state(rank);
            state.accepted_version = 0;
            state.read_directly = true;
            group.coordinator.on_report(
                state,
                group.engines.experts(rank, state.map_version),
                group.now);
        }
        // The last report of the stopped agent is out of date at first.
        if (!started && group.now > end - milliseconds{4000} &&
            group.coordinator.ready_for_map(group.now))
        {
            started = true;
            group.coordinator.start(make_map(2), group.now);
        }
        for (rank_order const& it : group.coordinator.on_tick(group.now))
        {
            group.ordered.push_back(it);
            if (group.engines.execute(it, group.now) && it.rank == silent)
                group.coordinator.on_accepted(it);
        }
    }
    CHECK(started);
    CHECK(group.coordinator.maps_switched() == 1);
    CHECK(group.engines.mixed_passes() == 0);
    // The whole map is not sent to it again and again.
    std::ptrdiff_t const prepares = std::count_if(
        group.ordered.begin(),
        group.ordered.end(),
        [](rank_order const& it) {
            return it.rank == silent && it.operation == rank_operation::prepare;
        });
    CHECK(prepares <= 2);
}

namespace
{

struct link_usage
{
    std::map<std::uint32_t, int> orders_by_rank;
    double bytes = 0;
    /// Largest number of bytes beyond what half of the link carries.
    double max_excess = 0;
};

/// \brief Orders a map, which no rank prepares, for a second.
link_usage order_unanswered_map(
    std::uint32_t size, std::uint32_t sets, double megabits_per_second)
{
    null_event_log log;
    hold_coordinator coordinator{log, megabits_per_second};
    engine_group engines{size, milliseconds{40}, milliseconds{100}};
    group_experts const map = initial_experts({sets, size, 4 * size});
    engines.set_initial_map(map);
    time_point now{std::chrono::seconds{10}};
    link_usage out;
    coordinator.become_coordinator(5, 0, std::nullopt, now);
    bool started = false;
    time_point started_at{};
    while (!started || now < started_at + milliseconds{1000})
    {
        now += tick;
        for (std::uint32_t n = 0; n < size; ++n)
            coordinator.on_report(engines.state(n), engines.experts(n, 0), now);
        if (!started && coordinator.ready_for_map(now))
        {
            started = true;
            started_at = now;
            coordinator.start(map, now);
        }
        for (rank_order const& it : coordinator.on_tick(now))
        {
            ++out.orders_by_rank[it.rank];
            out.bytes += static_cast<double>(to_wire(it).ByteSizeLong());
        }
        double const elapsed_s =
            std::chrono::duration<double>(now - started_at).count();
        double const half_link = megabits_per_second * 1e6 / 8 / 2;
        out.max_excess =
            std::max(out.max_excess, out.bytes - elapsed_s * half_link);
    }
    return out;
}

} // namespace

// Whole maps to all ranks, repeated every 70 ms, saturate a slow link. Neither
// reports nor lease renewals are then delivered.
TEST_CASE("prepare orders do not saturate a slow link", "[hold]")
{
    struct row
    {
        std::uint32_t ranks;
        std::uint32_t sets;
        double megabits_per_second;
    };
    for (row const& it : {row{63, 8, 8}, row{129, 16, 6}})
    {
        CAPTURE(it.ranks);
        link_usage const usage =
            order_unanswered_map(it.ranks, it.sets, it.megabits_per_second);
        // What is sent at once takes the link no longer than 100 ms.
        double const burst = it.megabits_per_second * 1e6 / 8 * 0.1;
        CHECK(usage.max_excess <= burst);
        for (auto const& [rank, n] : usage.orders_by_rank)
            CHECK(n <= 3);
    }
}
