#include "test/support/group_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cstdlib>
#include <string_view>

using namespace hornbeamweir;
using test::fault_rates;
using test::group_model;

namespace
{

constexpr duration fault_time = std::chrono::seconds{120};
/// Long enough for a lease to expire, a coordinator to be elected, and a change
/// to be abandoned and replaced.
constexpr duration recovery_time = std::chrono::seconds{90};

/// Faulty on purpose: selects the minimum of the ranks' newest versions, even
/// if not all ranks hold it.
std::optional<map_identity> minimum_rule(std::span<rank_maps const> ranks)
{
    std::optional<map_identity> oldest;
    for (rank_maps const& it : ranks)
    {
        map_identity const& newest =
            it.staged.empty() ? it.in_force : it.staged;
        if (!oldest || newest.version < oldest->version)
            oldest = newest;
    }
    return oldest;
}

/// Faulty on purpose: treats maps with equal versions as equal.
std::optional<map_identity> version_rule(std::span<rank_maps const> ranks)
{
    std::vector<rank_maps> without_digests{ranks.begin(), ranks.end()};
    for (rank_maps& it : without_digests)
    {
        it.in_force.digest = 0;
        it.staged.digest = 0;
    }
    std::optional<map_identity> const next = next_map(without_digests);
    if (!next)
        return std::nullopt;
    rank_maps const& first = ranks.front();
    return first.staged.version == next->version ? first.staged
                                                 : first.in_force;
}

/// Selects the rule by HORNBEAMWEIR_BROKEN_RULE: with a faulty one the tests
/// must fail.
test::step_rule rule_under_test()
{
    char const* const broken = std::getenv("HORNBEAMWEIR_BROKEN_RULE");
    if (broken == nullptr)
        return next_map;
    return std::string_view{broken} == "minimum" ? minimum_rule : version_rule;
}

fault_rates random_fault_rates()
{
    auto const rate = [](double max)
    { return max * *rc::gen::inRange(0, 101) / 100.0; };
    fault_rates rates;
    rates.restart_agent = rate(0.02);
    rates.suspend_agent = rate(0.02);
    rates.replace_rank = rate(0.01);
    rates.platform_outage = rate(0.01);
    rates.lose_reply = rate(0.5);
    rates.lose_order = rate(0.5);
    rates.duplicate_order = rate(0.5);
    rates.delay_order = rate(0.5);
    rates.fail_load = rate(0.5);
    return rates;
}

} // namespace

TEST_CASE("no step mixes maps, and changes complete once faults stop")
{
    rc::prop(
        "random faults",
        [](std::uint64_t seed, bool checks_fence)
        {
            group_model group{seed, checks_fence, rule_under_test()};
            group.run(fault_time, random_fault_rates());
            group.stop_changes();
            group.run(recovery_time, {});
            RC_ASSERT(group.mixed_steps() == 0);
            RC_ASSERT(group.steps() > 0);
            RC_ASSERT(group.settled());
        });
}

TEST_CASE("no step mixes maps even if compare-and-swap ignores conditions")
{
    rc::prop(
        "random faults",
        [](std::uint64_t seed, bool checks_fence)
        {
            group_model group{seed, checks_fence, rule_under_test()};
            fault_rates rates = random_fault_rates();
            rates.ignore_conditions = 0.3;
            group.run(fault_time, rates);
            RC_ASSERT(group.mixed_steps() == 0);
        });
}

TEST_CASE("maps keep changing without faults")
{
    group_model group{1, true, next_map};
    group.run(fault_time, {});
    CHECK(group.changes() > 20);
    CHECK(group.mixed_steps() == 0);
}

TEST_CASE("a map that one rank cannot load is abandoned")
{
    group_model group{1, false, next_map};
    group.fail_loads_of(2, 2);
    group.run(std::chrono::seconds{8}, {});
    CHECK(group.in_force() == make_initial_map(group.in_force().shape));
    group.stop_changes();
    group.run(recovery_time, {});
    CHECK(group.settled());
    CHECK(group.in_force().version > 2);
    CHECK(
        group.in_force().slots ==
        make_initial_map(group.in_force().shape).slots);
}

TEST_CASE("platform calls are limited, with and without map changes")
{
    constexpr duration one_hour = std::chrono::minutes{60};
    group_model group{1, true, next_map, coordinator_settings{}};
    group.run(std::chrono::minutes{2}, {});
    std::uint64_t const calls = group.platform_calls();
    std::uint64_t const changes = group.changes();
    group.run(one_hour, {});
    std::uint64_t const busy = group.platform_calls() - calls;
    std::uint64_t const changed = group.changes() - changes;
    group.stop_changes();
    group.run(std::chrono::minutes{2}, {});
    std::uint64_t const before_idle = group.platform_calls();
    group.run(one_hour, {});
    std::uint64_t const idle = group.platform_calls() - before_idle;

    INFO("idle " << idle << " busy " << busy << " changes " << changed);
    // Each minute has three lease renewals, and two reads of the coordinator
    // key by each of the other two ranks.
    CHECK(idle <= 60 * 7);
    // Each change adds one write, and one read by each of the other two ranks.
    CHECK(changed > 50);
    CHECK(busy <= 60 * 7 + changed * 3);
}
