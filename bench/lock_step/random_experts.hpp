#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/expert_map/rank_state.hpp>

#include <algorithm>

namespace bench::lock_step
{

/// \brief Changes a map: each rank gets a random expert in nearly every set,
/// beside or in place of one that other ranks hold too.
[[nodiscard]] inline hornbeamweir::group_experts with_random_experts(
    hornbeamweir::group_experts map,
    std::uint32_t experts,
    hornbeamweir::random_source& random)
{
    constexpr std::size_t places = 3;
    for (std::vector<std::vector<std::uint16_t>>& set : map)
    {
        std::vector<int> copies(experts, 0);
        for (std::vector<std::uint16_t> const& list : set)
        {
            for (std::uint16_t const it : list)
                ++copies[it];
        }
        for (std::vector<std::uint16_t>& list : set)
        {
            std::uint16_t const added =
                static_cast<std::uint16_t>(random.below(experts));
            auto const spare_iter = std::find_if(
                list.begin(),
                list.end(),
                [&](std::uint16_t it) { return copies[it] > 1; });
            if (std::find(list.begin(), list.end(), added) != list.end())
                continue;
            if (list.size() < places)
                list.push_back(added);
            else if (spare_iter != list.end())
            {
                --copies[*spare_iter];
                *spare_iter = added;
            }
            else
                continue;
            ++copies[added];
            std::sort(list.begin(), list.end());
        }
    }
    return map;
}

} // namespace bench::lock_step
