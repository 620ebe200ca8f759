#include <hornbeamweir/placement/placement_weights.hpp>

#include <array>

namespace hornbeamweir
{

namespace
{

constexpr duration decision_interval = std::chrono::minutes{10};

constexpr std::array<placement_weights, 2> weights_table{
    {{.profile = placement_profile::skew_first,
      .full_reload_cost = 0.15,
      .min_gain = 0.010,
      .min_significance = 2.0,
      .move_budget_per_interval = 0.06,
      .max_move_budget = 0.60,
      .interval = decision_interval},
     {.profile = placement_profile::cost_first,
      .full_reload_cost = 1.50,
      .min_gain = 0.040,
      .min_significance = 2.0,
      .move_budget_per_interval = 0.012,
      .max_move_budget = 0.60,
      .interval = decision_interval}}};

} // namespace

placement_weights const& weights_of(placement_profile profile) noexcept
{
    for (placement_weights const& row : weights_table)
    {
        if (row.profile == profile)
            return row;
    }
    return weights_table.front();
}

} // namespace hornbeamweir
