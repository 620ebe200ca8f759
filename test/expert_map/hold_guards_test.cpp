#include <hornbeamweir/expert_map/hold_coordinator.hpp>

#include "test/support/engine_group.hpp"

#include <catch2/catch.hpp>

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
    REQUIRE(group.coordinator.in_force() == make_map(2));
    group.coordinator.on_report(before, std::nullopt, group.now);
    CHECK(group.coordinator.in_force() == make_map(2));
}

TEST_CASE("orders of a later change have a higher fence", "[hold]")
{
    recorded_group group;
    group.coordinator.become_coordinator(5, 0, std::nullopt, group.now);
    group.run(milliseconds{600});
    std::uint64_t newest = group.ordered.back().fence;
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

// 63 prepare orders of 6 KB each, repeated every 70 ms, saturate a link of
// 8 Mbit/s. Neither reports nor lease renewals are then delivered.
TEST_CASE("prepare orders do not saturate a slow link", "[hold]")
{
    constexpr std::uint32_t group_size = 63;
    null_event_log log;
    hold_coordinator coordinator{log};
    engine_group engines{group_size, milliseconds{40}, milliseconds{100}};
    group_experts map{{}};
    for (std::uint16_t n = 0; n < group_size; ++n)
        map[0].push_back({n});
    engines.set_initial_map(map);
    time_point now{std::chrono::seconds{10}};
    coordinator.become_coordinator(5, 0, std::nullopt, now);
    std::map<std::uint32_t, int> sent;
    std::size_t orders = 0;
    // No order is executed.
    for (time_point const end = now + milliseconds{1000}; now < end;
         now += tick)
    {
        for (std::uint32_t n = 0; n < group_size; ++n)
            coordinator.on_report(engines.state(n), engines.experts(n, 0), now);
        for (rank_order const& it : coordinator.on_tick(now))
        {
            ++sent[it.rank];
            ++orders;
        }
    }
    // An order of 6 KB takes 6 ms at 8 Mbit/s.
    CHECK(orders <= 1000 / 6);
    CHECK(sent.size() == group_size);
    for (auto const& [rank, n] : sent)
        CHECK(n <= 3);
}
