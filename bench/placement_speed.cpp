#include <hornbeamweir/placement/incremental_placement.hpp>

#include "bench/placement_trace.hpp"

#include <benchmark/benchmark.h>

/// \file
/// \brief Time to plan maps.

using namespace hornbeamweir;
using namespace placement_bench;

namespace
{

constexpr duration interval_length = std::chrono::minutes{10};

// Each iteration plans from the initial, unbalanced map, which takes longest.
void plan_first_map(benchmark::State& state)
{
    std::uint32_t const ranks = static_cast<std::uint32_t>(state.range(0));
    std::uint32_t const layers = static_cast<std::uint32_t>(state.range(1));
    expert_map_shape const shape{layers, 64, ranks, 64 / ranks + 1};
    popularity_trace trace{
        scenario::day_and_night, shape, default_samples, 20261203};
    expert_map const map = make_initial_map(shape);
    popularity_report const report = trace.sample(54);
    for (auto _ : state)
    {
        incremental_placement policy{placement_profile::skew_first};
        benchmark::DoNotOptimize(policy.decide(map, report, time_point{}));
    }
}

// Each iteration processes the next report of a day.
void follow_day(benchmark::State& state)
{
    std::uint32_t const ranks = static_cast<std::uint32_t>(state.range(0));
    std::uint32_t const layers = static_cast<std::uint32_t>(state.range(1));
    expert_map_shape const shape{layers, 64, ranks, 64 / ranks + 1};
    popularity_trace trace{
        scenario::day_and_night, shape, default_samples, 20261203};
    std::vector<popularity_report> reports;
    for (std::size_t n = 0; n < intervals_per_day; ++n)
        reports.push_back(trace.sample(n));
    incremental_placement policy{placement_profile::skew_first};
    expert_map map = make_initial_map(shape);
    std::size_t n = 0;
    for (auto _ : state)
    {
        time_point const now{static_cast<int>(n) * interval_length};
        std::optional<placement_decision> const decision =
            policy.decide(map, reports[n % reports.size()], now);
        if (decision)
            map = decision->map;
        ++n;
    }
}

} // namespace

BENCHMARK(plan_first_map)
    ->Args({8, 1})
    ->Args({64, 1})
    ->Args({64, 58})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(follow_day)
    ->Args({8, 1})
    ->Args({64, 1})
    ->Args({64, 58})
    ->Unit(benchmark::kMicrosecond);
