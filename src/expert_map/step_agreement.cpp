#include <hornbeamweir/expert_map/step_agreement.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

map_identity const& newest_of(rank_maps const& rank) noexcept
{
    return rank.staged.empty() ? rank.in_force : rank.staged;
}

bool all_hold(
    std::span<rank_maps const> ranks, map_identity const& map) noexcept
{
    return !map.empty() &&
           std::all_of(
               ranks.begin(),
               ranks.end(),
               [&](rank_maps const& rank) { return rank.holds(map); });
}

} // namespace

// Taking the minimum of the staged versions would be wrong: a rank that has
// staged version 8 no longer holds version 7, which a slower rank has staged.
std::optional<map_identity> next_map(std::span<rank_maps const> ranks) noexcept
{
    if (ranks.empty())
        return std::nullopt;
    map_identity const& first = newest_of(ranks.front());
    bool const agreed = std::all_of(
        ranks.begin(),
        ranks.end(),
        [&](rank_maps const& rank) { return newest_of(rank) == first; });
    if (agreed && !first.empty())
        return first;
    for (rank_maps const& rank : ranks)
    {
        if (all_hold(ranks, rank.in_force))
            return rank.in_force;
    }
    return std::nullopt;
}

} // namespace hornbeamweir
