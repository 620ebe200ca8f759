#include "lock_step/mapped_group.hpp"

#include <cstdio>
#include <ctime>
#include <fstream>

/// \file
/// \brief Replays, in virtual time, changes of the demand for experts, and
/// measures how fast and at which cost the maps of a group follow.

namespace
{

using namespace hornbeamweir;
using namespace bench::lock_step;

constexpr duration run_time = std::chrono::seconds{23};

group_shape shape(
    char const* name,
    std::size_t ranks,
    std::uint32_t sets,
    std::uint32_t experts,
    std::uint32_t places,
    std::uint32_t spare,
    double expert_megabytes)
{
    group_shape out{name, ranks, {}};
    out.engine.expert_sets = sets;
    out.engine.experts = experts;
    out.engine.slots_per_rank = places;
    out.engine.max_new_experts_per_map = spare;
    out.engine.expert_megabytes = expert_megabytes;
    out.engine.link_megabits_per_second = 180'000;
    return out;
}

/// Bounds on the worst of the seeds.
struct scenario
{
    group_shape shape;
    demand_kind kind;
    char const* name;
    std::uint64_t seeds;
    double max_mean_skew;
    double max_follow_seconds;
    double max_gigabytes;
};

bool check(bool holds, scenario const& it, char const* bound)
{
    std::printf(
        "%s %s, %s, %s\n",
        holds ? "held  " : "BROKEN",
        it.shape.name,
        it.name,
        bound);
    return holds;
}

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::vector<scenario> scenarios()
{
    group_shape const middle = shape("24 ranks", 24, 16, 96, 5, 2, 370);
    group_shape const large = shape("72 ranks", 72, 12, 144, 3, 2, 370);
    group_shape const small = shape("12 ranks", 12, 4, 72, 8, 3, 2200);
    return {
        {middle, demand_kind::new_shifts, "new shifts", 3, 1.48, 0.42, 380},
        {middle, demand_kind::recurring, "recurring", 1, 1.61, 0.55, 445},
        {middle, demand_kind::drift, "drift", 1, 1.54, 0.10, 475},
        {large, demand_kind::new_shifts, "new shifts", 1, 1.95, 0.65, 1100},
        {small, demand_kind::new_shifts, "new shifts", 3, 1.33, 0.48, 280},
        {small, demand_kind::recurring, "recurring", 1, 1.37, 0.58, 280}};
}

map_totals run(scenario const& it, std::uint64_t seed, std::ofstream& csv)
{
    double const start = cpu_seconds();
    map_totals const totals =
        mapped_group{it.shape, it.kind, seed}.run(run_time);
    std::printf(
        "%-9s %-11s %4llu %9.3f %6.3f %7.3f %7.3f %7.3f %8.3f %5u %7.1f "
        "%8.4f %6.2f\n",
        it.shape.name,
        it.name,
        static_cast<unsigned long long>(seed),
        totals.mean_skew,
        totals.mean_min_skew,
        totals.shifted_skew,
        totals.reached_skew,
        totals.plan_seconds,
        totals.follow_seconds,
        totals.maps,
        totals.gigabytes,
        totals.copy_overhead,
        cpu_seconds() - start);
    csv << it.shape.name << ',' << it.name << ',' << seed << ','
        << totals.mean_skew << ',' << totals.mean_min_skew << ','
        << totals.shifted_skew << ',' << totals.reached_skew << ','
        << totals.plan_seconds << ',' << totals.follow_seconds << ','
        << totals.maps << ',' << totals.gigabytes << ',' << totals.copy_overhead
        << '\n';
    return totals;
}

} // namespace

int main(int argc, char** argv)
{
    std::ofstream csv{argc > 1 ? argv[1] : "map_shift.csv"};
    csv << "shape,demand,seed,mean_skew,bound,shifted,reached,plan_s,follow_s,"
           "maps,gb,overhead\n";
    std::printf(
        "%-9s %-11s %4s %9s %6s %7s %7s %7s %8s %5s %7s %8s %6s\n",
        "shape",
        "demand",
        "seed",
        "mean skew",
        "bound",
        "shifted",
        "reached",
        "plan s",
        "follow s",
        "maps",
        "GB",
        "overhead",
        "CPU s");
    bool held = true;
    for (scenario const& it : scenarios())
    {
        map_totals worst;
        for (std::uint64_t seed = 1; seed <= it.seeds; ++seed)
        {
            map_totals const totals = run(it, seed, csv);
            worst.mean_skew = std::max(worst.mean_skew, totals.mean_skew);
            worst.follow_seconds =
                std::max(worst.follow_seconds, totals.follow_seconds);
            worst.gigabytes = std::max(worst.gigabytes, totals.gigabytes);
        }
        held =
            check(worst.mean_skew <= it.max_mean_skew, it, "mean skew") && held;
        held = check(
                   worst.follow_seconds <= it.max_follow_seconds,
                   it,
                   "time to follow a shift") &&
               held;
        held =
            check(worst.gigabytes <= it.max_gigabytes, it, "GB copied") && held;
    }
    return held ? 0 : 1;
}
