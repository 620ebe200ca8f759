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

/// Demand is summed over this time, or since it last changed.
constexpr duration window = milliseconds{1000};
constexpr duration bin_width = milliseconds{100};
/// Difference of two distributions of activations, from 0 to 1, above which the
/// demand counts as changed. Under constant demand, forward passes differ by up
/// to 0.2, since each has few prompts.
constexpr double max_demand_difference = 0.25;
/// Minimum number of bins since the last change of demand. The newest counts
/// may still contain the demand before the change, since the ranks are read one
/// after the other.
constexpr std::size_t min_bins = 2;
/// Minimum number of activations in an expert set; the shares of fewer are
/// dominated by noise.
constexpr double min_activations = 500;
/// Minimum relative reduction of the skew, and thus of the time spent on
/// experts. Passes take 15 % longer while experts are copied.
constexpr double min_gain = 0.06;
/// Minimum gain per copy: the reduction of the skew, averaged over expert sets,
/// divided by the number of experts copied, averaged over ranks and sets. The
/// averages make the bound independent of the group's size. After a change of
/// demand a new map gains 2.4 or more per copy. In a group that is already
/// balanced it gains 0.15, which has no effect that callers notice.
constexpr double min_gain_per_copy = 0.72;
/// Time for which the gain of a map is counted; the next map may replace it
/// then.
constexpr double horizon_s = 1.5;
/// Time to switch maps once they are copied: orders and the held pass.
constexpr double switch_s = 0.15;

void add(std::vector<double> const& from, std::vector<double>& to)
{
    for (std::size_t n = 0; n < to.size(); ++n)
        to[n] += from[n];
}

/// Total variation distance of two distributions, from 0 to 1.
/// \returns 0 if one of them is empty.
double
difference(std::vector<double> const& lhs, std::vector<double> const& rhs)
{
    double const left = std::accumulate(lhs.begin(), lhs.end(), 0.0);
    double const right = std::accumulate(rhs.begin(), rhs.end(), 0.0);
    if (left <= 0 || right <= 0)
        return 0;
    double out = 0;
    for (std::size_t n = 0; n < lhs.size(); ++n)
        out += std::abs(lhs[n] / left - rhs[n] / right);
    return out / 2;
}

/// Time in seconds that the rank with the most new experts takes to copy them.
double copy_time(
    group_experts const& from,
    group_experts const& to,
    engine_profile const& engine)
{
    constexpr double bits = 8;
    if (engine.link_megabits_per_second <= 0)
        return 0;
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
    double const max_new_experts = static_cast<double>(
        *std::max_element(new_experts.begin(), new_experts.end()));
    return max_new_experts * engine.expert_megabytes * bits /
           engine.link_megabits_per_second;
}

} // namespace

void map_planner::on_counts(
    std::uint32_t rank, activation_counts const& counts, time_point now)
{
    rank_samples& history = ranks_[rank];
    if (history.epoch != counts.epoch ||
        history.incarnation != counts.incarnation)
        history = {counts.epoch, counts.incarnation, {}};
    history.samples.push_back({now, counts.counts});
    while (history.samples.size() > 2 &&
           now - history.samples[1].counted_at >= window)
        history.samples.pop_front();
}

// Sums the activations of all ranks into bins of bin_width that end at now; the
// newest bin is first.
std::vector<std::vector<double>>
map_planner::binned_activations(std::size_t size, time_point now) const
{
    std::vector<std::vector<double>> bins(
        static_cast<std::size_t>(window / bin_width),
        std::vector<double>(size, 0.0));
    for (auto const& [rank, history] : ranks_)
    {
        for (std::size_t k = 1; k < history.samples.size(); ++k)
        {
            sample const& last = history.samples[k];
            sample const& first = history.samples[k - 1];
            std::size_t const bin =
                static_cast<std::size_t>((now - last.counted_at) / bin_width);
            if (bin >= bins.size() || last.counts.size() != size ||
                first.counts.size() != size)
                continue;
            for (std::size_t n = 0; n < size; ++n)
            {
                if (last.counts[n] > first.counts[n])
                {
                    bins[bin][n] +=
                        static_cast<double>(last.counts[n] - first.counts[n]);
                }
            }
        }
    }
    return bins;
}

// Sums up bins from the newest to the oldest, and stops at the first one whose
// distribution differs from that sum.
map_planner::demand
map_planner::recent_demand(std::size_t size, time_point now) const
{
    std::vector<std::vector<double>> const bins = binned_activations(size, now);
    demand out;
    out.activations.assign(size, 0.0);
    std::size_t used = 0;
    for (std::vector<double> const& bin : bins)
    {
        bool const differs = used > 0 && difference(out.activations, bin) >
                                             max_demand_difference;
        if (differs)
        {
            out.changed = true;
            break;
        }
        add(bin, out.activations);
        ++used;
    }
    out.settled = used >= min_bins;
    return out;
}

std::optional<double> map_planner::skew_of(
    group_experts const& experts,
    engine_profile const& engine,
    std::vector<double> const& slowdowns,
    time_point now) const
{
    demand const recent = recent_demand(experts.size() * engine.experts, now);
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

std::optional<planned_map> map_planner::plan(
    group_experts const& current,
    engine_profile const& engine,
    std::vector<double> const& slowdowns,
    time_point now)
{
    demand const recent = recent_demand(current.size() * engine.experts, now);
    activations_used_ = std::accumulate(
        recent.activations.begin(), recent.activations.end(), 0.0);
    outcome_ = plan_outcome::unsettled;
    if (!recent.settled)
        return std::nullopt;
    outcome_ = plan_outcome::balanced;
    std::optional<planned_map> best;
    double best_value = 0;
    for (std::uint32_t max_new_per_rank = 1;
         max_new_per_rank <= engine.max_new_experts_per_map;
         ++max_new_per_rank)
    {
        std::optional<planned_map> next = balance(
            current, engine, recent.activations, slowdowns, max_new_per_rank);
        if (!next)
        {
            outcome_ = plan_outcome::too_few_activations;
            return std::nullopt;
        }
        double const gain = next->skew_sum_before - next->skew_sum_after;
        double const time_in_force =
            horizon_s - switch_s - copy_time(current, next->experts, engine);
        // Both the gain and the number of copies are sums over the sets.
        double const gain_per_copy =
            gain * static_cast<double>(current.front().size()) /
            std::max(1.0, static_cast<double>(next->moves));
        if (gain < min_gain * next->skew_sum_before ||
            gain_per_copy < min_gain_per_copy ||
            gain * time_in_force <= best_value)
            continue;
        best_value = gain * time_in_force;
        best = std::move(next);
        outcome_ = plan_outcome::proposed;
    }
    return best;
}

std::optional<planned_map> map_planner::balance(
    group_experts const& current,
    engine_profile const& engine,
    std::vector<double> const& activations,
    std::vector<double> const& slowdowns,
    std::uint32_t max_new_per_rank)
{
    balance_limits limits;
    limits.slots_per_rank = engine.slots_per_rank;
    limits.max_new_per_rank = max_new_per_rank;
    planned_map out;
    for (std::size_t set = 0; set < current.size(); ++set)
    {
        std::span<double const> const shares{
            activations.data() + set * engine.experts, engine.experts};
        double const total = std::accumulate(shares.begin(), shares.end(), 0.0);
        if (total < min_activations)
            return std::nullopt;
        balanced_placement balanced =
            balance_ranks(current[set], shares, slowdowns, limits);
        out.skew_sum_before += balanced.skew_before;
        out.skew_sum_after += balanced.skew_after;
        out.moves += balanced.moves;
        out.experts.push_back(std::move(balanced.ranks));
    }
    return out;
}

} // namespace hornbeamweir
