#include <hornbeamweir/expert_map/map_planner.hpp>
#include <hornbeamweir/placement/rank_balancer.hpp>

#include <numeric>

namespace hornbeamweir
{

namespace
{

/// Demand is taken over this time: it changes every few seconds, and less
/// would be noise.
constexpr duration window = std::chrono::milliseconds{800};
/// Choices in a set without which its shares are noise.
constexpr double least_choices = 500;
/// Relative reduction of the time for experts that a map must bring: passes
/// take 15 % longer while experts are copied.
constexpr double least_gain = 0.04;

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

std::vector<double>
map_planner::recent_choices(std::size_t size, time_point now) const
{
    std::vector<double> out(size, 0.0);
    for (auto const& [rank, it] : ranks_)
    {
        if (it.samples.size() < 2 || now - it.samples.back().at > window)
            continue;
        sample const& first = it.samples.front();
        sample const& last = it.samples.back();
        if (first.counts.size() != size || last.counts.size() != size)
            continue;
        for (std::size_t n = 0; n < size; ++n)
        {
            if (last.counts[n] > first.counts[n])
                out[n] += static_cast<double>(last.counts[n] - first.counts[n]);
        }
    }
    return out;
}

std::optional<planned_map> map_planner::plan(
    group_experts const& current,
    engine_profile const& engine,
    std::vector<double> const& paces,
    time_point now)
{
    std::size_t const sets = current.size();
    std::vector<double> const choices =
        recent_choices(sets * engine.experts, now);
    balance_limits limits;
    limits.slots_per_rank = engine.slots_per_rank;
    limits.new_per_rank = engine.new_per_map;
    planned_map out;
    for (std::size_t set = 0; set < sets; ++set)
    {
        std::span<double const> const shares{
            choices.data() + set * engine.experts, engine.experts};
        double const total = std::accumulate(shares.begin(), shares.end(), 0.0);
        if (total < least_choices)
            return std::nullopt;
        balanced_set balanced =
            balance_ranks(current[set], shares, paces, limits);
        out.before += balanced.before;
        out.after += balanced.after;
        out.moves += balanced.moves;
        out.experts.push_back(std::move(balanced.ranks));
    }
    bool const worth = out.before - out.after > least_gain * out.before;
    return worth ? std::optional{std::move(out)} : std::nullopt;
}

} // namespace hornbeamweir
