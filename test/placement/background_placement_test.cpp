#include <hornbeamweir/placement/background_placement.hpp>
#include <hornbeamweir/placement/placement_factory.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

namespace
{

/// Returns a decision for every report: the same map with the next version.
class eager_policy final : public placement_policy
{
public:
    [[nodiscard]] std::optional<placement_decision> decide(
        expert_map const& current,
        popularity_report const&,
        time_point) override
    {
        placement_decision decision;
        decision.map = current;
        ++decision.map.version;
        return decision;
    }
};

time_point at(int s)
{
    return time_point{std::chrono::seconds{s}};
}

} // namespace

TEST_CASE("a later call returns a plan made in the background, unless the map "
          "changed")
{
    background_placement policy{std::make_unique<eager_policy>()};
    expert_map map = make_initial_map({1, 4, 2, 3});
    CHECK(!policy.decide(map, {}, at(1)));
    policy.wait();
    std::optional<placement_decision> const decision =
        policy.decide(map, {}, at(2));
    REQUIRE(decision);
    CHECK(decision->map.version == map.version + 1);

    policy.wait();
    map.version = 9;
    CHECK(!policy.decide(map, {}, at(3)));
}

TEST_CASE("the policy from the factory reduces the skew of a load")
{
    std::unique_ptr<placement_policy> const policy =
        make_placement_policy(placement_profile::skew_first);
    expert_map const map = make_initial_map({1, 8, 4, 4});
    popularity_report report;
    report.tokens = {9000, 8000, 100, 100, 9000, 100, 100, 100};
    report.rank_speed = {1, 1, 1, 1};
    std::optional<placement_decision> decision;
    for (int n = 0; n < 100 && !decision; ++n)
    {
        decision = policy->decide(map, report, at(600 * n));
        dynamic_cast<background_placement&>(*policy).wait();
    }
    REQUIRE(decision);
    CHECK(decision->skew_after < decision->skew_before);
    CHECK(is_complete(decision->map));
}
