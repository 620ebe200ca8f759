#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/placement/incremental_placement.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <numeric>

using namespace hornbeamweir;

namespace
{

constexpr duration interval = std::chrono::minutes{10};

popularity_report random_report(
    expert_map_shape const& shape, random_source& random, double slow = 1)
{
    popularity_report report;
    for (std::uint32_t n = 0; n < shape.layers * shape.experts; ++n)
    {
        double const draw = random.unit();
        report.tokens.push_back(std::round(100 + 5000 * draw * draw * draw));
    }
    report.rank_speed.assign(shape.ranks, 1.0);
    report.rank_speed.front() = slow;
    return report;
}

expert_map_shape random_shape()
{
    std::uint32_t const ranks = *rc::gen::inRange(1U, 9U);
    std::uint32_t const experts = *rc::gen::inRange(1U, 25U);
    std::uint32_t const min_slots = (experts + ranks - 1) / ranks;
    std::uint32_t const spare = *rc::gen::inRange(0U, 3U);
    return {*rc::gen::inRange(1U, 3U), experts, ranks, min_slots + spare};
}

double load_of(
    expert_map const& map, popularity_report const& report, std::uint32_t rank)
{
    std::vector<double> const speeds(map.shape.ranks, 1.0);
    layer_layout const layout{map.slots, report.tokens, speeds};
    return layout.times()[rank];
}

// Repeats one report for eight intervals and returns the final map.
expert_map settle(
    incremental_placement& policy,
    expert_map map,
    popularity_report const& report,
    int first = 0)
{
    for (int n = first; n < first + 8; ++n)
    {
        std::optional<placement_decision> decision =
            policy.decide(map, report, time_point{n * interval});
        if (decision)
            map = std::move(decision->map);
    }
    return map;
}

} // namespace

TEST_CASE("a decision has a complete map, the exact number of moves, and stays "
          "within "
          "the move budget")
{
    rc::prop(
        "over random shapes, reports and profiles",
        []
        {
            expert_map_shape const shape = random_shape();
            random_source random{*rc::gen::arbitrary<std::uint64_t>()};
            placement_weights const& weights = weights_of(*rc::gen::element(
                placement_profile::skew_first, placement_profile::cost_first));
            incremental_placement policy{weights};
            expert_map map = make_initial_map(shape);
            double moved = 0;
            for (int n = 0; n < 6; ++n)
            {
                popularity_report const report =
                    random_report(shape, random, 0.5 + random.unit());
                std::optional<placement_decision> const decision =
                    policy.decide(map, report, time_point{n * interval});
                if (!decision)
                    continue;
                RC_ASSERT(is_complete(decision->map));
                RC_ASSERT(decision->map.version == map.version + 1);
                RC_ASSERT(decision->moves > 0U);
                RC_ASSERT(decision->moves == count_moves(map, decision->map));
                moved += static_cast<double>(decision->moves);
                double const granted =
                    weights.max_move_budget +
                    (n + 1) * weights.move_budget_per_interval;
                RC_ASSERT(
                    moved <=
                    granted * static_cast<double>(map.slots.size()) + 1e-6);
                map = decision->map;
            }
        });
}

TEST_CASE("a decision reduces the skew by at least the minimum gain")
{
    rc::prop(
        "over random reports of ranks of equal speed",
        []
        {
            expert_map_shape shape = random_shape();
            shape.layers = 1;
            random_source random{*rc::gen::arbitrary<std::uint64_t>()};
            placement_weights const& weights =
                weights_of(placement_profile::skew_first);
            incremental_placement policy{weights};
            std::optional<placement_decision> const decision = policy.decide(
                make_initial_map(shape),
                random_report(shape, random),
                time_point{});
            if (decision)
                RC_ASSERT(
                    decision->skew_before - decision->skew_after >=
                    weights.min_gain - 1e-9);
        });
}

TEST_CASE("the same reports give the same decisions")
{
    expert_map_shape const shape{2, 64, 16, 5};
    random_source random{7};
    popularity_report const report = random_report(shape, random);
    incremental_placement first{placement_profile::skew_first};
    incremental_placement second{placement_profile::skew_first};
    expert_map const map = make_initial_map(shape);
    CHECK(settle(first, map, report) == settle(second, map, report));
}

TEST_CASE("a slow rank is given less load")
{
    for (placement_profile const profile :
         {placement_profile::skew_first, placement_profile::cost_first})
    {
        expert_map_shape const shape{1, 64, 8, 9};
        random_source random{11};
        popularity_report report = random_report(shape, random);
        incremental_placement policy{profile};
        expert_map const even = settle(policy, make_initial_map(shape), report);
        report.rank_speed.front() = 0.7;
        expert_map const uneven = settle(policy, even, report, 8);
        CHECK(load_of(even, report, 0) > 0.9);
        CHECK(load_of(uneven, report, 0) < 0.8);
    }
}

TEST_CASE("invalid reports cause no moves")
{
    expert_map_shape const shape{1, 16, 4, 5};
    expert_map const map = make_initial_map(shape);
    double const nan = std::nan("");
    std::vector<popularity_report> const reports{
        {{}, {}},
        {std::vector<double>(15, 1.0), {1, 1, 1, 1}},
        {std::vector<double>(16, 0.0), {1, 1, 1, 1}},
        {std::vector<double>(16, nan), {nan, 1, 1, 1}},
        {std::vector<double>(16, -1.0), {0, 1, 1, 1}}};
    incremental_placement policy{placement_profile::skew_first};
    for (int n = 0; n < 20; ++n)
    {
        for (popularity_report const& report : reports)
            CHECK_FALSE(policy.decide(map, report, time_point{n * interval}));
    }
}

TEST_CASE("no decision is made from an incomplete map or before the interval "
          "has passed")
{
    expert_map_shape const shape{1, 64, 8, 9};
    random_source random{13};
    popularity_report const report = random_report(shape, random);
    expert_map const map = make_initial_map(shape);
    expert_map broken = map;
    broken.slots.pop_back();
    incremental_placement policy{placement_profile::skew_first};
    CHECK_FALSE(policy.decide(broken, report, time_point{}));
    REQUIRE(policy.decide(map, report, time_point{}));
    time_point const early{interval - duration{1}};
    CHECK_FALSE(policy.decide(map, report, early));
    CHECK(policy.decide(map, report, time_point{interval}));
}

TEST_CASE("a decision that is not put into effect is made again")
{
    expert_map_shape const shape{1, 64, 64, 2};
    random_source random{17};
    popularity_report const report = random_report(shape, random);
    expert_map const map = make_initial_map(shape);
    incremental_placement policy{placement_profile::cost_first};
    std::optional<placement_decision> const first =
        policy.decide(map, report, time_point{});
    REQUIRE(first);
    for (int n = 1; n < 30; ++n)
    {
        std::optional<placement_decision> const next =
            policy.decide(map, report, time_point{n * interval});
        REQUIRE(next);
        CHECK(next->moves >= first->moves);
    }
}

TEST_CASE("the estimator averages noise and follows shifts")
{
    random_source random{19};
    popularity_estimator estimator{32};
    std::vector<double> counts(32);
    for (int n = 0; n < 60; ++n)
    {
        for (double& count : counts)
            count = 1000 + 110 * (random.unit() - 0.5);
        estimator.update(counts);
    }
    CHECK(estimator.steady_updates() > 12);
    CHECK(estimator.shares()[3] == Approx(1.0 / 32).epsilon(0.02));
    counts[3] *= 4;
    estimator.update(counts);
    double const total = std::accumulate(counts.begin(), counts.end(), 0.0);
    CHECK(estimator.steady_updates() == 0);
    CHECK(estimator.shares()[3] == Approx(counts[3] / total).epsilon(0.05));
}

// The shares of all experts change by a fifth at once, as at the start of a
// festival. No single change is significant; only all of them together are.
TEST_CASE("a simultaneous change of many shares is detected in one report")
{
    constexpr std::size_t experts = 64;
    constexpr double samples = 16384;
    random_source random{20261203};
    auto const report = [&](std::vector<double> const& shares)
    {
        std::vector<double> out;
        for (double const share : shares)
        {
            double const mean = samples * share;
            out.push_back(std::round(
                mean + std::sqrt(mean) * 3.46 * (random.unit() - 0.5)));
        }
        return out;
    };
    std::vector<double> before(experts, 1.0 / experts);
    std::vector<double> after;
    for (std::size_t n = 0; n < experts; ++n)
        after.push_back((n % 2 == 0 ? 0.8 : 1.2) / experts);
    popularity_estimator estimator{experts};
    for (int n = 0; n < 100; ++n)
        estimator.update(report(before));
    estimator.update(report(after));
    double distance = 0;
    for (std::size_t n = 0; n < experts; ++n)
        distance += std::abs(estimator.shares()[n] - after[n]) / 2;
    // The mean error of one report, and a tenth of the change.
    CHECK(distance < 0.025 + 0.01);
}

TEST_CASE("the estimated speed of a rank changes only if reports agree")
{
    struct row
    {
        double reported;
        double held;
    };

    speed_estimator speeds{2};
    for (row const& next : std::vector<row>{
             {0.5, 1.0}, {1.0, 1.0}, {1.03, 1.0}, {0.7, 1.0}, {0.7, 0.7}})
    {
        bool const changes = next.held != speeds.speeds()[0];
        CHECK(speeds.update(std::vector<double>{next.reported, 1}) == changes);
        CHECK(speeds.speeds() == std::vector<double>{next.held, 1});
    }
}

TEST_CASE(
    "the lower bound of the slowest time falls if a spare slot holds a replica")
{
    std::vector<double> const even(4, 1.0);
    CHECK(slowest_time_lower_bound(even, even, 4) == Approx(1));
    std::vector<double> const one_hot{4.0, 1.0, 1.0, 2.0};
    CHECK(slowest_time_lower_bound(one_hot, even, 4) == Approx(2));
    CHECK(slowest_time_lower_bound(one_hot, even, 5) == Approx(1));
}
