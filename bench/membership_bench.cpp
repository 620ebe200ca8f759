#include "bench/membership_traffic.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>

/// \file
/// \brief Control traffic of entries and agents in virtual time, and the
/// balance and stability of the subsets of backend servers.

namespace
{

using namespace bench;

// The bench fails beyond these limits.
constexpr double max_bytes_per_second = 17'000;
constexpr double max_bytes_per_second_small = 68'000;
constexpr double max_over_mean = 1.6;
constexpr double max_movement = 1.05;

struct subset_figures
{
    double mean = 0;
    std::size_t largest = 0;
    std::size_t min_coverage = 0;
    std::size_t max_coverage = 0;
    /// Result of movement() for the subsets and for the baseline.
    double movement = 0;
    double slice_movement = 0;
};

struct row
{
    fleet_size size;
    subset_figures subsets;
    double entry_messages = 0;
    double entry_bytes = 0;
    double agent_messages = 0;
    double agent_bytes = 0;
    double baseline_bytes = 0;
    double interval_ms = 0;
};

std::set<backend_server_id> select(
    process_name const& self,
    std::vector<process_name> const& names,
    server_lists const& lists)
{
    backend_subset const subset{{}, self, names};
    std::set<backend_server_id> chosen;
    for (std::vector<backend_server_id> const& list : lists)
    {
        for (backend_server_id& id : subset.select_from(list))
            chosen.insert(std::move(id));
    }
    return chosen;
}

using assignment = std::vector<std::set<backend_server_id>>;

assignment
assign(std::vector<process_name> const& names, server_lists const& lists)
{
    assignment all;
    for (process_name const& it : names)
        all.push_back(select(it, names, lists));
    return all;
}

/// Baseline: the sorted list of backend servers, divided into equal slices.
assignment
assign_slices(std::vector<process_name> const& names, server_lists const& lists)
{
    constexpr std::size_t entries_per_server = 3;
    assignment all(names.size());
    for (std::vector<backend_server_id> const& list : lists)
    {
        for (std::size_t n = 0; n < list.size(); ++n)
        {
            for (std::size_t copy = 0; copy < entries_per_server; ++copy)
                all[(n * names.size() / list.size() + copy) % names.size()]
                    .insert(list[n]);
        }
    }
    return all;
}

/// Ratio of the number of backend servers that the remaining entries gain when
/// the last entry is removed to the number that the last entry had.
double movement(assignment const& before, assignment const& after)
{
    std::size_t gained = 0;
    for (std::size_t n = 0; n < after.size(); ++n)
    {
        for (backend_server_id const& id : after[n])
            gained += before[n].contains(id) ? 0 : 1;
    }
    return static_cast<double>(gained) /
           static_cast<double>(before.back().size());
}

subset_figures measure_subsets(fleet_size const& size)
{
    constexpr std::size_t limit = subset_settings{}.full_coverage_limit;
    subset_figures out;
    std::vector<process_name> names = entry_names(size.entries);
    server_lists const lists = make_servers(size);
    assignment const before = assign(names, lists);
    assignment const sliced = assign_slices(names, lists);
    std::map<backend_server_id, std::size_t> coverage;
    std::size_t sum = 0;
    for (std::set<backend_server_id> const& chosen : before)
    {
        sum += chosen.size();
        out.largest = std::max(out.largest, chosen.size());
        for (backend_server_id const& id : chosen)
            ++coverage[id];
    }
    out.mean = static_cast<double>(sum) / static_cast<double>(names.size());
    out.min_coverage = names.size();
    for (auto it = coverage.begin(); it != coverage.end(); ++it)
    {
        out.min_coverage = std::min(out.min_coverage, it->second);
        out.max_coverage = std::max(out.max_coverage, it->second);
    }
    if (coverage.size() != static_cast<std::size_t>(size.agents))
        out.min_coverage = 0;
    names.pop_back();
    bool const covers_all = static_cast<std::size_t>(size.agents) <= limit;
    out.movement = covers_all ? 0 : movement(before, assign(names, lists));
    out.slice_movement = movement(sliced, assign_slices(names, lists));
    return out;
}

row measure(fleet_size const& size)
{
    row out;
    out.size = size;
    out.subsets = measure_subsets(size);
    simulation const run{size};
    double const seconds =
        std::chrono::duration<double>(simulation::measured_time).count();
    double const agents = static_cast<double>(run.agents());
    traffic const entry = run.entry_traffic();
    traffic const agent = run.agent_traffic();
    out.entry_messages = static_cast<double>(entry.messages) / seconds;
    out.entry_bytes = static_cast<double>(entry.bytes) / seconds;
    // The simulation has one entry; an agent has the traffic of each entry that
    // selects it.
    double const entries = static_cast<double>(
        run.agents() == static_cast<std::size_t>(size.agents)
            ? static_cast<std::size_t>(size.entries)
            : out.subsets.max_coverage);
    out.agent_messages =
        static_cast<double>(agent.messages) / seconds / agents * entries;
    out.agent_bytes =
        static_cast<double>(agent.bytes) / seconds / agents * entries;
    double const exchange = static_cast<double>(agent.bytes) /
                            (static_cast<double>(agent.messages) / 2);
    constexpr double pings_per_second = 2;
    out.baseline_bytes =
        exchange * pings_per_second * (size.agents + 2 * (size.entries - 1));
    std::vector<process_name> const names = entry_names(size.entries);
    heartbeat_schedule const schedule{
        run.agents(),
        heartbeat_budget::for_fleet(
            names.size(), neighbours(names.front(), names).size())};
    out.interval_ms =
        std::chrono::duration<double, std::milli>(schedule.interval()).count();
    return out;
}

bool within_bounds(row const& it)
{
    subset_figures const& subsets = it.subsets;
    bool const small = static_cast<std::size_t>(it.size.entries) <=
                       heartbeat_budget::small_fleet_max_entries;
    bool const traffic_fits =
        it.entry_bytes <=
            (small ? max_bytes_per_second_small : max_bytes_per_second) &&
        it.agent_bytes <= max_bytes_per_second;
    bool const balanced =
        static_cast<double>(subsets.largest) <= max_over_mean * subsets.mean;
    bool const fully_covered =
        subsets.min_coverage >=
        std::min<std::size_t>(3, static_cast<std::size_t>(it.size.entries));
    return traffic_fits && balanced && fully_covered &&
           subsets.movement <= max_movement;
}

void print(row const& it, std::ofstream& csv)
{
    subset_figures const& s = it.subsets;
    std::printf(
        "%4d x %5d | %6.1f %4zu | %2zu..%2zu | %5.2f %7.2f | %5.0f | %6.1f "
        "%7.0f | %6.1f %7.0f | %9.0f %s\n",
        it.size.entries,
        it.size.agents,
        s.mean,
        s.largest,
        s.min_coverage,
        s.max_coverage,
        s.movement,
        s.slice_movement,
        it.interval_ms,
        it.entry_messages,
        it.entry_bytes,
        it.agent_messages,
        it.agent_bytes,
        it.baseline_bytes,
        within_bounds(it) ? "" : "PAST BOUND");
    csv << it.size.entries << ',' << it.size.agents << ',' << s.mean << ','
        << s.largest << ',' << s.min_coverage << ',' << s.movement << ','
        << s.slice_movement << ',' << it.interval_ms << ',' << it.entry_messages
        << ',' << it.entry_bytes << ',' << it.agent_messages << ','
        << it.agent_bytes << ',' << it.baseline_bytes << '\n';
}

} // namespace

int main(int argc, char const** argv)
{
    std::ofstream csv{argc > 1 ? argv[1] : "membership_bench.csv"};
    csv << "entries,agents,subset_mean,subset_max,covered_min,movement,"
           "movement_slices,interval_ms,entry_messages_s,entry_bytes_s,"
           "agent_messages_s,agent_bytes_s,ping_all_bytes_s\n";
    std::printf(
        " fleet       | subset: mean max | covered | moved, slices | "
        "interval ms | entry msg/s B/s | agent msg/s B/s | ping all B/s\n");
    bool passed = true;
    for (fleet_size const& size :
         {fleet_size{3, 15, 3},
          fleet_size{3, 99, 3},
          fleet_size{8, 400, 4},
          fleet_size{40, 1'200, 8},
          fleet_size{120, 4'000, 12},
          fleet_size{430, 12'000, 12}})
    {
        row const it = measure(size);
        print(it, csv);
        passed = passed && within_bounds(it);
    }
    return passed ? 0 : 1;
}
