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

/// Demand is taken over this time, as far as it has not changed.
constexpr duration window = milliseconds{1000};
constexpr duration bin_width = milliseconds{100};
/// Difference of two distributions of choices, from 0 to 1, beyond which the
/// demand has changed. Passes of one demand differ by up to 0.2, since each has
/// few prompts.
constexpr double changed_demand = 0.25;
/// Demand that has changed less long ago than this is still mixed with what
/// was before, as ranks are asked one after the other.
constexpr std::size_t least_bins = 2;
/// Choices in a set without which its shares are noise.
constexpr double least_choices = 500;
/// Relative reduction of the time for experts that a map must bring: passes
/// take 15 % longer while experts are copied.
constexpr double least_gain = 0.06;
/// Reduction of the skew that copies must bring for each expert that a rank
/// copies, as a mean over ranks and sets: both what a copy costs and what it
/// brings to the group grow with their number. A change of demand brings 2.4
/// and more; what is left after it 0.15, which no caller notices.
constexpr double least_gain_per_copy = 0.72;
/// Time for which a map is worth its gain; by then the next one can be there.
constexpr double horizon_s = 1.5;
/// Time for the switch itself: orders, and the wait for the held pass.
constexpr double switch_s = 0.15;

void add(std::vector<double> const& from, std::vector<double>& to)
{
    for (std::size_t n = 0; n < to.size(); ++n)
        to[n] += from[n];
}

/// Half the sum of the differences of two distributions.
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

/// Time that the busiest rank needs to copy its new experts, in seconds.
double copy_time(
    group_experts const& from,
    group_experts const& to,
    engine_profile const& engine)
{
    constexpr double bits = 8;
    if (engine.link_megabits_per_second <= 0)
        return 0;
    std::vector<std::size_t> fresh(from.front().size(), 0);
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
                fresh[rank] += held ? 0 : 1;
            }
        }
    }
    double const most =
        static_cast<double>(*std::max_element(fresh.begin(), fresh.end()));
    return most * engine.expert_megabytes * bits /
           engine.link_megabits_per_second;
}

} // namespace

void map_planner::on_counts(
    std::uint32_t rank, choice_counts const& counts, time_point now)
{
    rank_samples& it = ranks_[rank];
    if (it.epoch != counts.epoch || it.start != counts.start)
        it = {counts.epoch, counts.start, {}};
    it.samples.push_back({now, counts.counts});
    while (it.samples.size() > 2 && now - it.samples[1].at >= window)
        it.samples.pop_front();
}

// Bins are aligned to now, the newest first.
std::vector<std::vector<double>>
map_planner::binned_choices(std::size_t size, time_point now) const
{
    std::vector<std::vector<double>> bins(
        static_cast<std::size_t>(window / bin_width),
        std::vector<double>(size, 0.0));
    for (auto const& [rank, it] : ranks_)
    {
        for (std::size_t k = 1; k < it.samples.size(); ++k)
        {
            sample const& last = it.samples[k];
            sample const& first = it.samples[k - 1];
            std::size_t const bin =
                static_cast<std::size_t>((now - last.at) / bin_width);
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

// Adds up bins from the newest to the oldest until one differs from them.
map_planner::demand
map_planner::recent_demand(std::size_t size, time_point now) const
{
    std::vector<std::vector<double>> const bins = binned_choices(size, now);
    demand out;
    out.choices.assign(size, 0.0);
    std::size_t used = 0;
    for (std::vector<double> const& bin : bins)
    {
        bool const differs =
            used > 0 && difference(out.choices, bin) > changed_demand;
        if (differs)
        {
            out.changed = true;
            break;
        }
        add(bin, out.choices);
        ++used;
    }
    out.settled = used >= least_bins;
    return out;
}

std::optional<double> map_planner::skew_of(
    group_experts const& experts,
    engine_profile const& engine,
    std::vector<double> const& paces,
    time_point now) const
{
    demand const recent = recent_demand(experts.size() * engine.experts, now);
    if (!recent.settled)
        return std::nullopt;
    // With no move allowed, balancing only measures.
    balance_limits limits;
    limits.min_gain = 1;
    double total = 0;
    for (std::size_t set = 0; set < experts.size(); ++set)
    {
        std::span<double const> const shares{
            recent.choices.data() + set * engine.experts, engine.experts};
        total += balance_ranks(experts[set], shares, paces, limits).skew_before;
    }
    return total / static_cast<double>(experts.size());
}

std::optional<planned_map> map_planner::plan(
    group_experts const& current,
    engine_profile const& engine,
    std::vector<double> const& paces,
    time_point now) const
{
    demand const recent = recent_demand(current.size() * engine.experts, now);
    if (!recent.settled)
        return std::nullopt;
    std::optional<planned_map> best;
    double best_value = 0;
    for (std::uint32_t fresh = 1; fresh <= engine.new_per_map; ++fresh)
    {
        std::optional<planned_map> next =
            balance(current, engine, recent.choices, paces, fresh);
        if (!next)
            return std::nullopt;
        double const gain = next->before - next->after;
        double const left =
            horizon_s - switch_s - copy_time(current, next->experts, engine);
        // Gain and copies are both sums over the sets.
        double const per_copy = gain *
                                static_cast<double>(current.front().size()) /
                                std::max(1.0, static_cast<double>(next->moves));
        if (gain < least_gain * next->before ||
            per_copy < least_gain_per_copy || gain * left <= best_value)
            continue;
        best_value = gain * left;
        best = std::move(next);
    }
    return best;
}

std::optional<planned_map> map_planner::balance(
    group_experts const& current,
    engine_profile const& engine,
    std::vector<double> const& choices,
    std::vector<double> const& paces,
    std::uint32_t fresh)
{
    balance_limits limits;
    limits.slots_per_rank = engine.slots_per_rank;
    limits.max_new_per_rank = fresh;
    planned_map out;
    for (std::size_t set = 0; set < current.size(); ++set)
    {
        std::span<double const> const shares{
            choices.data() + set * engine.experts, engine.experts};
        double const total = std::accumulate(shares.begin(), shares.end(), 0.0);
        if (total < least_choices)
            return std::nullopt;
        balanced_placement balanced =
            balance_ranks(current[set], shares, paces, limits);
        out.before += balanced.skew_before;
        out.after += balanced.skew_after;
        out.moves += balanced.moves;
        out.experts.push_back(std::move(balanced.ranks));
    }
    return out;
}

} // namespace hornbeamweir
