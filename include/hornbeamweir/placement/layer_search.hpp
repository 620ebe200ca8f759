#pragma once

#include <hornbeamweir/placement/layer_layout.hpp>

#include <vector>

namespace hornbeamweir
{

/// \brief Proposed assignment of slots of one layer, with its cost and gain.
struct layer_plan
{
    std::vector<std::uint16_t> slots;
    std::size_t moves = 0;
    /// Time of the slowest rank before and after; 1 is perfect balance.
    double slowest_before = 1;
    double slowest_after = 1;

    [[nodiscard]] double gain() const noexcept
    {
        return slowest_before - slowest_after;
    }
};

/// \brief Cost of moves and limits of a plan. Costs and gains are in units of
/// the slowest rank's time, relative to perfect balance.
struct search_limits
{
    /// Cost of loading all slots once.
    double full_reload_cost = 0;
    /// Minimum reduction of the slowest rank's time.
    double min_gain = 0;
    /// Maximum number of slots to load.
    std::size_t max_moves = 0;
};

/// \brief Searches for the plan with the greatest gain less the cost of its
/// moves.
/// \param start The current layout.
/// \returns A plan without moves if no other plan is within the limits.
[[nodiscard]] layer_plan
plan_layer(layer_layout const& start, search_limits const& limits);

/// \brief Returns a lower bound of the slowest rank's time, relative to perfect
/// balance, for any assignment of experts to slots.
/// \param shares Each expert's share of the tokens.
/// \param speeds Relative speed of each rank.
/// \param slots Total number of slots of all ranks.
[[nodiscard]] double slowest_time_lower_bound(
    std::span<double const> shares,
    std::span<double const> speeds,
    std::size_t slots);

} // namespace hornbeamweir
