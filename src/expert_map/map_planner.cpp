#include <hornbeamweir/expert_map/map_planner.hpp>
#include <hornbeamweir/placement/rank_balancer.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

/// Interval at which a map is searched for while the demand does not change.
constexpr duration search_interval = milliseconds{200};
/// Changes of demand closer to each other than this count as one, as the
/// reports of the ranks show it one after the other.
constexpr duration min_change_interval = milliseconds{500};
/// Minimum number of activations in an expert set; the shares of fewer are
/// dominated by noise.
constexpr double min_activations = 500;
/// Minimum relative reduction of the skew, and thus of the time spent on
/// experts.
constexpr double min_gain = 0.06;
/// Minimum gain per copy: the reduction of the skew, averaged over expert sets,
/// divided by the number of experts copied, averaged over ranks and sets. The
/// averages make the bound independent of the group's size. After a change of
/// demand a new map gains 2.4 or more per copy. In a group that is already
/// balanced it gains 0.15, which has no effect that callers notice.
constexpr double min_gain_per_copy = 0.72;
/// Minimum gain of each copy of a map, in the same unit. Maps improve by many
/// small moves, so that a bound as high as that of a whole map would stop the
/// search early.
constexpr double min_gain_of_last_copy = 0.36;
/// Minimum weight of the gain in a group with spare capacity. Long passes delay
/// each stream there too, so that maps still follow the largest changes.
constexpr double min_load = 0.3;
/// Passes take this much longer while experts are copied.
constexpr double copy_slowdown = 0.15;
/// Time to switch maps once they are copied: orders and the held pass.
constexpr double switch_s = 0.15;
/// Time for which the gain of a map is counted, unless changes of demand are
/// known to be further apart.
constexpr double min_horizon_s = 1.5;
constexpr double max_horizon_s = 4;
/// Time that the urgent part of a map may take to copy: about one forward pass,
/// as it takes effect only between passes.
constexpr double urgent_copy_s = 0.06;
/// Skew (a ratio; 1 is balanced) above which a map that ranks still copy is
/// replaced, and how far above the planned one. After a change of demand 3 is
/// usual.
constexpr double outdated_skew = 1.8;
constexpr double outdated_ratio = 1.3;

double seconds(duration it)
{
    return std::chrono::duration<double>{it}.count();
}

/// Time in seconds that a rank takes to copy an expert; 0 if unknown.
double copy_time(engine_profile const& engine)
{
    constexpr double bits = 8;
    if (engine.link_megabits_per_second <= 0)
        return 0;
    return engine.expert_megabytes * bits / engine.link_megabits_per_second;
}

/// Largest number of experts that are new to a rank, over all sets.
std::size_t max_new_experts(group_experts const& from, group_experts const& to)
{
    std::vector<std::size_t> new_experts(from.front().size(), 0);
    for (std::size_t set = 0; set < from.size(); ++set)
    {
        for (std::size_t rank = 0; rank < from[set].size(); ++rank)
        {
            for (std::uint16_t const expert : to[set][rank])
            {
                bool const held = std::find(
                                      from[set][rank].begin(),
                                      from[set][rank].end(),
                                      expert) != from[set][rank].end();
                new_experts[rank] += held ? 0 : 1;
            }
        }
    }
    return *std::max_element(new_experts.begin(), new_experts.end());
}

/// Whether a map gains more than its copies cost, in a group with a given load.
bool is_worthwhile(planned_map const& it, double load)
{
    double const ranks = static_cast<double>(it.experts.front().size());
    double const gain = it.skew_sum_before - it.skew_sum_after;
    double const gain_per_copy =
        gain * ranks / std::max(1.0, static_cast<double>(it.moves));
    return gain >= min_gain * it.skew_sum_before &&
           gain_per_copy * load >= min_gain_per_copy;
}

} // namespace

std::optional<double> map_planner::skew_of(
    group_experts const& experts,
    engine_profile const& engine,
    std::vector<double> const& slowdowns,
    time_point now) const
{
    expert_demand const recent =
        demand_.recent(experts.size() * engine.experts, now);
    if (!recent.settled)
        return std::nullopt;
    double total = 0;
    for (std::size_t set = 0; set < experts.size(); ++set)
    {
        std::span<double const> const shares{
            recent.activations.data() + set * engine.experts, engine.experts};
        total += placement_skew(experts[set], shares, slowdowns);
    }
    return total / static_cast<double>(experts.size());
}

// The urgent part of a map may be planned for a high skew, since the rest
// follows.
bool map_planner::is_outdated(
    group_experts const& experts,
    engine_profile const& engine,
    std::vector<double> const& slowdowns,
    time_point now) const
{
    std::optional<double> const skew = skew_of(experts, engine, slowdowns, now);
    double const planned =
        planned_skew_sum_ / static_cast<double>(experts.size());
    return skew && *skew > std::max(outdated_skew, outdated_ratio * planned);
}

void map_planner::track_changes(expert_demand const& recent, time_point now)
{
    constexpr double weight = 0.3;
    if (recent.activations_before.empty())
        return;
    time_point const changed_at = now - recent.age;
    if (changed_at - changed_at_ < min_change_interval)
        return;
    double const interval =
        std::min(max_horizon_s, seconds(changed_at - changed_at_));
    change_seconds_ =
        change_seconds_ > 0
            ? change_seconds_ + weight * (interval - change_seconds_)
            : interval;
    changed_at_ = changed_at;
    searched_at_ = {};
}

double map_planner::expected_seconds(time_point now) const
{
    return std::max(
        min_horizon_s, change_seconds_ - seconds(now - changed_at_));
}

std::optional<planned_map> map_planner::plan(
    group_experts const& current,
    engine_profile const& engine,
    std::vector<double> const& slowdowns,
    time_point now,
    double load)
{
    std::size_t const size = current.size() * engine.experts;
    expert_demand const recent = demand_.recent(size, now);
    track_changes(recent, now);
    activations_used_ = std::accumulate(
        recent.activations.begin(), recent.activations.end(), 0.0);
    outcome_ = plan_outcome::unsettled;
    if (!recent.settled)
        return std::nullopt;
    outcome_ = plan_outcome::balanced;
    if (now - searched_at_ < search_interval)
        return std::nullopt;
    searched_at_ = now;
    if (recent.activations_before.empty())
        demand_.learn_noise(size, now);
    double const weight = std::clamp(load, min_load, 1.0);
    double const per_copy = copy_time(engine);
    std::uint32_t const all = engine.max_new_experts_per_map *
                              static_cast<std::uint32_t>(current.size());
    std::uint32_t const urgent =
        per_copy > 0 ? std::max(
                           1U,
                           static_cast<std::uint32_t>(
                               std::lround(urgent_copy_s / per_copy)))
                     : all;
    std::vector<candidate> candidates;
    for (std::uint32_t const max_copies : {all, urgent})
    {
        // A smaller limit would give the same map, or none.
        bool const is_same =
            !candidates.empty() &&
            (max_copies * per_copy >= candidates.front().copy_seconds ||
             !is_worthwhile(candidates.front().map, weight));
        if (is_same)
            continue;
        std::optional<candidate> next = balance(
            current, engine, recent.activations, slowdowns, max_copies, weight);
        if (!next)
        {
            outcome_ = plan_outcome::too_few_activations;
            return std::nullopt;
        }
        candidates.push_back(std::move(*next));
    }
    std::optional<planned_map> best =
        choose(std::move(candidates), expected_seconds(now), weight);
    if (best)
    {
        outcome_ = plan_outcome::proposed;
        planned_skew_sum_ = best->skew_sum_after;
        searched_at_ = {};
    }
    return best;
}

// Each candidate has the cost of the skew over time, in seconds, if the rest of
// the complete map follows it. The first candidate is the complete one.
std::optional<planned_map> map_planner::choose(
    std::vector<candidate> candidates, double horizon, double load)
{
    if (candidates.empty())
        return std::nullopt;
    double const before = candidates.front().map.skew_sum_before;
    double const complete = candidates.front().map.skew_sum_after;
    double const complete_copy = candidates.front().copy_seconds;
    std::optional<planned_map> best;
    double best_cost = horizon * before;
    for (candidate& it : candidates)
    {
        if (!is_worthwhile(it.map, load))
            continue;
        double const after = it.map.skew_sum_after;
        double const rest_copy = std::max(0.0, complete_copy - it.copy_seconds);
        double const first = it.copy_seconds + switch_s;
        double const second = rest_copy > 0 ? rest_copy + switch_s : 0;
        double const last = std::max(0.0, horizon - first - second);
        double cost = first * before + copy_slowdown * before * it.copy_seconds;
        cost += std::min(
            second * after + copy_slowdown * after * rest_copy +
                last * complete,
            (second + last) * after);
        if (cost >= best_cost)
            continue;
        best_cost = cost;
        best = std::move(it.map);
    }
    return best;
}

std::optional<map_planner::candidate> map_planner::balance(
    group_experts const& current,
    engine_profile const& engine,
    std::vector<double> const& activations,
    std::vector<double> const& slowdowns,
    std::uint32_t max_copies_per_rank,
    double load)
{
    for (std::size_t set = 0; set < current.size(); ++set)
    {
        auto const first = activations.begin() +
                           static_cast<std::ptrdiff_t>(set * engine.experts);
        if (std::accumulate(first, first + engine.experts, 0.0) <
            min_activations)
            return std::nullopt;
    }
    balance_limits limits;
    limits.slots_per_rank = engine.slots_per_rank;
    limits.max_new_per_rank = engine.max_new_experts_per_map;
    limits.min_gain_per_copy = min_gain_of_last_copy /
                               static_cast<double>(current.front().size()) /
                               load;
    limits.max_copies_per_rank = max_copies_per_rank;
    candidate out;
    for (balanced_placement& balanced :
         balance_sets(current, activations, slowdowns, limits))
    {
        out.map.skew_sum_before += balanced.skew_before;
        out.map.skew_sum_after += balanced.skew_after;
        out.map.moves += balanced.moves;
        out.map.experts.push_back(std::move(balanced.ranks));
    }
    out.copy_seconds =
        copy_time(engine) *
        static_cast<double>(max_new_experts(current, out.map.experts));
    return out;
}

} // namespace hornbeamweir
