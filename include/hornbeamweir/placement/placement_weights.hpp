#pragma once

#include <hornbeamweir/configuration/objects.hpp>
#include <hornbeamweir/core/time.hpp>

namespace hornbeamweir
{

/// \brief Parameters of the trade-off between step skew and moves of experts.
struct placement_weights
{
    placement_profile profile = placement_profile::skew_first;
    /// Reduction of step skew that justifies loading all slots of a layer once.
    double move_cost = 0;
    /// Minimum reduction of a layer's step skew.
    double min_gain = 0;
    /// Minimum gain, in standard errors of the estimated load of a rank.
    double min_significance = 0;
    /// Moves added to the budget per interval, as a fraction of all slots.
    double move_budget_per_interval = 0;
    /// Upper limit of the unused budget, as a fraction of all slots.
    double max_move_budget = 0;
    /// Minimum time between evaluations.
    duration interval{};
};

[[nodiscard]] placement_weights const&
weights_of(placement_profile profile) noexcept;

} // namespace hornbeamweir
