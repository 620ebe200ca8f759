#include "test/support/held_group.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using test::held_group;
using test::held_group_faults;

namespace
{

constexpr std::chrono::seconds quiet{20};

} // namespace

TEST_CASE("maps are switched again and again without faults", "[hold]")
{
    held_group group{1, {}};
    group.run(quiet);
    CHECK(group.engines().mixed_passes() == 0);
    CHECK(group.switches > 30);
    // Held passes cost less than one in five.
    CHECK(group.engines().passes() > 320);
}

TEST_CASE("no pass mixes maps and none stays held", "[hold]")
{
    struct row
    {
        char const* name;
        held_group_faults faults;
    };
    std::vector<row> const rows{
        {"late orders", {.late_orders = 0.35}},
        {"doubled orders", {.doubled_orders = 0.3}},
        {"lost reports", {.lost_reports = 0.3}},
        {"frozen coordinators", {.frozen_coordinators = true}},
        {"restarted ranks", {.restarted_ranks = true}},
        {"idle times", {.late_orders = 0.2, .idle_times = true}},
        {"all",
         {.late_orders = 0.2,
          .doubled_orders = 0.1,
          .lost_reports = 0.1,
          .frozen_coordinators = true,
          .restarted_ranks = true,
          .idle_times = true}},
        {"all, engines that ignore fences",
         {.late_orders = 0.2,
          .doubled_orders = 0.1,
          .lost_reports = 0.1,
          .frozen_coordinators = true,
          .restarted_ranks = true,
          .idle_times = true,
          .engines_check_fences = false}},
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
                    group.heal();
                    group.run(std::chrono::seconds{20});
                    std::uint64_t const passes = group.engines().passes();
                    std::uint64_t const switches = group.switches;
                    group.run(std::chrono::seconds{10});
                    RC_ASSERT(group.engines().mixed_passes() == 0U);
                    RC_ASSERT(group.engines().passes() > passes + 100);
                    RC_ASSERT(group.switches > switches + 5);
                });
        }
    }
}
