#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/expert_map/step_agreement.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <vector>

/// \file
/// \brief Simulates, in virtual time, how many steps a group is held for one
/// change of its expert map. Compares two strategies: agreement of the ranks in
/// each step, and a protocol with prepare, hold and commit whose commit point
/// is a write to the platform.

namespace
{

using hornbeamweir::map_identity;
using hornbeamweir::random_source;
using hornbeamweir::rank_maps;

constexpr std::uint64_t seed = 20261203;
constexpr std::uint32_t changes = 200;
constexpr double step_ms = 10;
constexpr double message_ms = 1;
/// Interval at which agents without a watch poll the key for the commit.
constexpr double read_interval_ms = 500;
constexpr double outage_ms = 10'000;
constexpr double load_ms = 2000;
constexpr double slow_load_ms = 4000;
/// Limit for step agreement; the exit status is 1 above it.
constexpr double max_held_steps = 0;

struct scenario
{
    char const* name;
    /// Whether the platform is unavailable between prepare and commit.
    bool outage;
    /// Whether ranks are notified of the commit by a watch, instead of polling.
    bool watched;
};

constexpr scenario scenarios[] = {
    {"platform answers, watches", false, true},
    {"platform answers, reads", false, false},
    {"platform away for 10 s", true, true}};

/// Mean and maximum number of held steps.
struct held_steps
{
    double mean = 0;
    double max = 0;
};

double uniform(random_source& random, double low, double high)
{
    return low + (high - low) * random.unit();
}

held_steps summarize(std::vector<double> const& held)
{
    held_steps out;
    for (double const steps : held)
    {
        out.mean += steps / static_cast<double>(held.size());
        out.max = std::max(out.max, steps);
    }
    return out;
}

/// Number of steps in which the ranks did not agree on a map, so that the group
/// waited.
double steps_held_by_agreement(random_source& random, std::uint32_t ranks)
{
    constexpr map_identity before{1, 1};
    constexpr map_identity after{2, 2};
    std::vector<rank_maps> maps(ranks, {before, {}});
    std::vector<double> loaded_at;
    for (std::uint32_t rank = 0; rank < ranks; ++rank)
        loaded_at.push_back(uniform(random, load_ms, slow_load_ms));
    double held = 0;
    double now = 0;
    while (maps.front().in_force != after)
    {
        now += step_ms;
        for (std::uint32_t rank = 0; rank < ranks; ++rank)
        {
            if (loaded_at[rank] <= now)
                maps[rank].staged = after;
        }
        std::optional<map_identity> const next = hornbeamweir::next_map(maps);
        if (!next)
        {
            held += 1;
            continue;
        }
        for (rank_maps& rank : maps)
        {
            if (*next == after)
                rank = {after, {}};
        }
    }
    return held;
}

/// Number of steps from the first rank that is held by the coordinator until
/// the last rank is notified of the commit, when the group continues.
double steps_held_by_commit(
    random_source& random, std::uint32_t ranks, scenario const& conditions)
{
    double first_hold = slow_load_ms;
    double last_held = 0;
    for (std::uint32_t rank = 0; rank < ranks; ++rank)
    {
        double const held_at = uniform(random, message_ms / 2, message_ms * 2);
        first_hold = std::min(first_hold, held_at);
        last_held = std::max(last_held, held_at);
    }
    double const acknowledgement =
        uniform(random, message_ms / 2, message_ms * 2);
    // Milliseconds that the platform takes to write the commit.
    double const write = uniform(random, 2, 8);
    double const committed = last_held + acknowledgement + write +
                             (conditions.outage ? outage_ms : 0);
    double last_notified = 0;
    for (std::uint32_t rank = 0; rank < ranks; ++rank)
    {
        double const notification =
            conditions.watched
                ? uniform(random, message_ms / 2, message_ms * 2)
                : uniform(random, 0, read_interval_ms) + message_ms * 2;
        last_notified = std::max(last_notified, committed + notification);
    }
    return (last_notified - first_hold) / step_ms;
}

void print(
    std::ofstream& csv,
    std::uint32_t ranks,
    char const* strategy,
    char const* name,
    held_steps const& held)
{
    std::printf(
        "%5u  %-24s %-28s %10.2f %10.2f\n",
        ranks,
        strategy,
        name,
        held.mean,
        held.max);
    csv << ranks << ',' << strategy << ',' << name << ',' << held.mean << ','
        << held.max << '\n';
}

} // namespace

int main(int argc, char const** argv)
{
    std::ofstream csv{argc > 1 ? argv[1] : "/dev/null"};
    csv << "ranks,way,scenario,mean_held_steps,max_held_steps\n";
    std::printf(
        "%5s  %-24s %-28s %10s %10s\n",
        "ranks",
        "strategy",
        "scenario",
        "mean held",
        "max held");
    bool within_limit = true;
    for (std::uint32_t const ranks : {8U, 64U})
    {
        random_source random{seed};
        std::vector<double> held;
        for (std::uint32_t n = 0; n < changes; ++n)
            held.push_back(steps_held_by_agreement(random, ranks));
        held_steps const agreed = summarize(held);
        print(csv, ranks, "step agreement", "any", agreed);
        within_limit = within_limit && agreed.max <= max_held_steps;
        for (scenario const& it : scenarios)
        {
            held.clear();
            for (std::uint32_t n = 0; n < changes; ++n)
                held.push_back(steps_held_by_commit(random, ranks, it));
            print(
                csv, ranks, "prepare, hold, commit", it.name, summarize(held));
        }
    }
    return within_limit ? 0 : 1;
}
