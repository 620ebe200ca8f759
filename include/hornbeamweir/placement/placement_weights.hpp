#pragma once

#include <hornbeamweir/configuration/objects.hpp>
#include <hornbeamweir/core/time.hpp>

namespace hornbeamweir
{

/// \brief Parameters of the trade-off between step skew and moves of experts.
struct placement_weights
{
    placement_profile profile = placement_profile::skew_first;
    /// Cost of loading all slots of a layer once. Costs and gains are in units
    /// of the slowest rank's time, relative to perfect balance.
    double full_reload_cost = 0;
    /// Minimum gain of changing a layer.
    double min_gain = 0;
    /// Minimum gain, in standard errors of the estimated time of a rank.
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
