#pragma once

#include <hornbeamweir/placement/layer_search.hpp>
#include <hornbeamweir/placement/placement_policy.hpp>
#include <hornbeamweir/placement/placement_weights.hpp>
#include <hornbeamweir/placement/popularity_estimator.hpp>
#include <hornbeamweir/placement/speed_estimator.hpp>

namespace hornbeamweir
{

/// \brief Moves a few experts at a time, where the reduction of step skew
/// exceeds the cost of the moves and the error of the estimates.
/// \remarks Reports may arrive at any rate; their counts are summed between
/// decisions. The tokens of an expert are assumed to be split evenly over its
/// replicas.
class incremental_placement : public placement_policy
{
public:
    explicit incremental_placement(placement_profile profile);
    explicit incremental_placement(placement_weights const& weights);

    [[nodiscard]] std::optional<placement_decision> decide(
        expert_map const& current,
        popularity_report const& report,
        time_point now) override;

private:
    struct layer_candidate
    {
        std::uint32_t layer = 0;
        layer_plan plan;
    };

    void reset(expert_map const& current);
    void refund_unapplied_decision(expert_map const& current);
    void add_counts(popularity_report const& report);
    void update_estimates(std::span<double const> rank_speed);
    [[nodiscard]] layer_layout
    layout_of(expert_map const& map, std::uint32_t layer) const;
    [[nodiscard]] bool is_settled(std::uint32_t layer) const;
    [[nodiscard]] double required_gain(std::uint32_t layer) const;
    [[nodiscard]] std::vector<layer_candidate> plan(expert_map const& current);
    [[nodiscard]] placement_decision make_decision(
        expert_map const& current, std::vector<layer_candidate> const& chosen);

    placement_weights weights_;
    expert_map_shape shape_;
    std::vector<popularity_estimator> popularity_;
    speed_estimator speeds_;
    /// Counts reported since the last evaluation, by layer and expert.
    std::vector<double> tokens_;
    std::optional<time_point> last_evaluation_;
    /// Number of slots that may still be loaded; fractions accumulate.
    double move_budget_ = 0;
    /// Moves of the last decision, refunded if it is not applied.
    double spent_moves_ = 0;
    /// Map version on which the last decision was based.
    std::optional<std::uint64_t> decided_version_;
    /// Map that the next evaluation receives if the last decision is applied.
    expert_map expected_map_;
    /// Evaluations since a speed estimate changed, or the map differed from
    /// expected_map_.
    std::size_t evaluations_since_change_ = 0;
};

} // namespace hornbeamweir
