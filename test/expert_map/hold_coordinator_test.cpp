#include "test/support/held_group.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using test::held_group;
using test::held_group_faults;

namespace
{

constexpr std::chrono::seconds fault_free_time{20};

} // namespace

TEST_CASE("maps are switched repeatedly without faults", "[hold]")
{
    held_group group{1, {}};
    group.run(fault_free_time);
    CHECK(group.engines().mixed_passes() == 0);
    CHECK(group.maps_switched > 30);
    // 400 passes fit into the time; holds may cost one in five of them.
    CHECK(group.engines().passes() > 320);
}

TEST_CASE("no forward pass mixes maps, and no pass stays held", "[hold]")
{
    struct row
    {
        char const* name;
        held_group_faults faults;
    };
    std::vector<row> const rows{
        {"delayed orders", {.delayed_orders = 0.35}},
        {"duplicated orders", {.duplicated_orders = 0.3}},
        {"lost reports", {.lost_reports = 0.3}},
        {"suspended coordinators", {.suspended_coordinators = true}},
        {"restarted ranks", {.restarted_ranks = true}},
        {"idle periods", {.delayed_orders = 0.2, .idle_periods = true}},
        {"all",
         {.delayed_orders = 0.2,
          .duplicated_orders = 0.1,
          .lost_reports = 0.1,
          .suspended_coordinators = true,
          .restarted_ranks = true,
          .idle_periods = true}},
        {"all, with engines that don't check fences",
         {.delayed_orders = 0.2,
          .duplicated_orders = 0.1,
          .lost_reports = 0.1,
          .suspended_coordinators = true,
          .restarted_ranks = true,
          .idle_periods = true,
          .engines_check_fences = false}},
        {"coordinators suspended in any phase, without fence checks",
         {.delayed_orders = 0.1,
          .duplicated_orders = 0.1,
          .lost_orders = 0.05,
          .suspended_phases = 0.08,
          .reachable_engines = true,
          .restarted_ranks = true,
          .idle_periods = true,
          .engines_check_fences = false}},
        {"coordinators replaced early, that go on when they resume",
         {.delayed_orders = 0.1,
          .duplicated_orders = 0.1,
          .lost_orders = 0.05,
          .lost_reports = 0.05,
          .suspended_phases = 0.08,
          .reachable_engines = true,
          .early_takeovers = true,
          .restarted_ranks = true}},
    };
    for (row const& it : rows)
    {
        SECTION(it.name)
        {
            rc::prop(
                it.name,
                [&]
                {
                    std::uint64_t const seed =
                        *rc::gen::arbitrary<std::uint64_t>();
                    held_group group{seed, it.faults};
                    group.run(std::chrono::seconds{30});
                    RC_ASSERT(group.engines().mixed_passes() == 0U);
                    group.stop_faults();
                    group.run(std::chrono::seconds{20});
                    std::uint64_t const passes_before =
                        group.engines().passes();
                    std::uint64_t const switched_before = group.maps_switched;
                    group.run(std::chrono::seconds{10});
                    RC_ASSERT(group.engines().mixed_passes() == 0U);
                    RC_ASSERT(group.engines().passes() > passes_before + 100);
                    RC_ASSERT(group.maps_switched > switched_before + 5);
                });
        }
    }
}

// Passes stopped for 4 s when the agent of a coordinator was suspended.
TEST_CASE("a suspended coordinator stalls the group for a second", "[hold]")
{
    using phase = hornbeamweir::hold_coordinator::phase;
    constexpr std::chrono::milliseconds one_pass{50};
    constexpr std::chrono::milliseconds limit{1000};
    for (phase const it : {phase::holding, phase::arming, phase::releasing})
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            CAPTURE(hornbeamweir::name_of(it), seed);
            held_group group{
                seed, {.reachable_engines = true, .early_takeovers = true}};
            group.run(std::chrono::seconds{2});
            group.suspend_in(it);
            std::uint64_t const before = group.maps_switched;
            group.run(std::chrono::seconds{6});
            CHECK(group.longest_stall <= limit + one_pass);
            CHECK(group.engines().mixed_passes() == 0);
            CHECK(group.maps_switched > before + 3);
        }
    }
}
