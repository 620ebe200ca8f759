#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/demand_window.hpp>
#include <hornbeamweir/routes/engine_profile.hpp>

namespace hornbeamweir
{

/// \brief Interval at which changes of demand are looked for.
constexpr duration map_plan_interval = std::chrono::milliseconds{40};

/// \brief Proposed map, with its benefit and cost.
struct planned_map
{
    group_experts experts;
    /// Skew with the current and the proposed map: maximum load of a rank
    /// divided by the mean, summed over the expert sets.
    double skew_sum_before = 0;
    double skew_sum_after = 0;
    /// Experts to be copied to ranks that do not hold them yet.
    std::uint32_t moves = 0;
};

/// \brief Why a map is proposed, or not.
enum class plan_outcome
{
    proposed,
    /// The demand has just changed.
    unsettled,
    /// Too few activations were reported to know the demand.
    too_few_activations,
    /// No map is worth the cost of copying experts.
    balanced
};

template <>
struct enum_table<plan_outcome>
{
    static constexpr std::array<enum_name<plan_outcome>, 4> rows{
        {{plan_outcome::proposed, "proposed"},
         {plan_outcome::unsettled, "unsettled"},
         {plan_outcome::too_few_activations, "too_few_activations"},
         {plan_outcome::balanced, "balanced"}}};
};

/// \brief Tracks the activations of experts and proposes maps that balance the
/// load of the ranks.
/// \remarks Sans-I/O.
class map_planner
{
public:
    /// \brief Adds the cumulative counts of a rank.
    void on_counts(
        std::uint32_t rank, activation_counts const& counts, time_point now)
    {
        demand_.on_counts(rank, counts, now);
    }

    /// \brief Proposes the map with the highest benefit.
    /// \param slowdowns Execution time of each rank relative to normal speed.
    /// \param load Share of the group's capacity that is in use, from 0 to 1.
    /// \returns std::nullopt if no map is worth the cost of copying experts, or
    /// there are too few activations since the demand last changed.
    [[nodiscard]] std::optional<planned_map> plan(
        group_experts const& current,
        engine_profile const& engine,
        std::vector<double> const& slowdowns,
        time_point now,
        double load = 1);

    /// \brief Result of the last call of plan().
    [[nodiscard]] plan_outcome outcome() const noexcept { return outcome_; }
    /// \brief Activations on which the last call of plan() was based.
    [[nodiscard]] double activations_used() const noexcept
    {
        return activations_used_;
    }

    /// \brief Computes the skew of a map under the recent demand: maximum load
    /// of a rank divided by the mean, averaged over the expert sets.
    /// \returns std::nullopt shortly after the demand has changed.
    [[nodiscard]] std::optional<double> skew_of(
        group_experts const& experts,
        engine_profile const& engine,
        std::vector<double> const& slowdowns,
        time_point now) const;

    /// \brief Whether the map that was proposed last no longer fits the demand,
    /// so that a new one should replace it while ranks still copy it.
    [[nodiscard]] bool is_outdated(
        group_experts const& experts,
        engine_profile const& engine,
        std::vector<double> const& slowdowns,
        time_point now) const;

private:
    struct candidate
    {
        planned_map map;
        /// Time for which ranks copy experts, in seconds.
        double copy_seconds = 0;
    };

    /// \returns std::nullopt if a set has too few activations.
    [[nodiscard]] static std::optional<candidate> balance(
        group_experts const& current,
        engine_profile const& engine,
        std::vector<double> const& activations,
        std::vector<double> const& slowdowns,
        std::uint32_t max_copies_per_rank,
        double load);
    [[nodiscard]] static std::optional<planned_map>
    choose(std::vector<candidate> candidates, double horizon, double load);
    void track_changes(expert_demand const& recent, time_point now);
    /// \returns Time in seconds for which the demand is expected to last.
    [[nodiscard]] double expected_seconds(time_point now) const;

    demand_window demand_;
    plan_outcome outcome_ = plan_outcome::unsettled;
    double activations_used_ = 0;
    /// Skew that was planned last, summed over the expert sets.
    double planned_skew_sum_ = 0;
    time_point searched_at_{};
    time_point changed_at_{};
    /// Mean time between changes of demand; 0 if unknown.
    double change_seconds_ = 0;
};

} // namespace hornbeamweir
