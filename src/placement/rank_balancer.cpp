#include "placement_search.hpp"

#include <queue>

namespace hornbeamweir
{

std::vector<balanced_placement> balance_sets(
    group_experts const& current,
    std::span<double const> shares,
    std::span<double const> slowdowns,
    balance_limits const& limits)
{
    std::size_t const experts = shares.size() / current.size();
    // Bounds the run time: two moves for each expert on average.
    std::size_t const max_steps = 2 * shares.size();
    std::vector<std::uint32_t> copies(current.front().size(), 0);
    std::vector<placement_search> searches;
    std::vector<double> skews_before;
    std::priority_queue<std::pair<double, std::size_t>> gains;
    for (std::size_t set = 0; set < current.size(); ++set)
    {
        searches.emplace_back(
            current[set],
            shares.subspan(set * experts, experts),
            slowdowns,
            limits,
            copies);
        skews_before.push_back(searches.back().slowest_time());
        gains.emplace(searches.back().find(), set);
    }
    for (std::size_t n = 0; n < max_steps && gains.top().first > 0; ++n)
    {
        std::size_t const set = gains.top().second;
        gains.pop();
        if (searches[set].is_possible())
            searches[set].apply_found();
        gains.emplace(searches[set].find(), set);
    }
    std::vector<balanced_placement> out;
    for (std::size_t set = 0; set < current.size(); ++set)
        out.push_back(searches[set].result(skews_before[set]));
    return out;
}

balanced_placement balance_ranks(
    std::vector<std::vector<std::uint16_t>> const& current,
    std::span<double const> shares,
    std::span<double const> slowdowns,
    balance_limits const& limits)
{
    return std::move(
        balance_sets({current}, shares, slowdowns, limits).front());
}

double placement_skew(
    std::vector<std::vector<std::uint16_t>> const& current,
    std::span<double const> shares,
    std::span<double const> slowdowns)
{
    double const total = std::accumulate(shares.begin(), shares.end(), 0.0);
    if (total <= 0)
        return 0;
    std::vector<std::uint32_t> copies(shares.size(), 0);
    for (std::vector<std::uint16_t> const& experts : current)
    {
        for (std::uint16_t const expert : experts)
            ++copies.at(expert);
    }
    double slowest = 0;
    for (std::size_t rank = 0; rank < current.size(); ++rank)
    {
        double time = 0;
        for (std::uint16_t const expert : current[rank])
            time += shares[expert] / copies[expert];
        slowest = std::max(slowest, time * slowdowns[rank]);
    }
    return slowest * static_cast<double>(current.size()) / total;
}

} // namespace hornbeamweir
