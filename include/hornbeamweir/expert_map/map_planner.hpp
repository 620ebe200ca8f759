#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/rank_codec.hpp>
#include <hornbeamweir/routes/engine_profile.hpp>

#include <deque>
#include <map>

namespace hornbeamweir
{

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
/// \remarks Sans-I/O. Earlier counts of a rank are discarded when its epoch or
/// incarnation changes, since the rank then counts from 0 again.
class map_planner
{
public:
    /// \brief Adds the cumulative counts of a rank.
    void on_counts(
        std::uint32_t rank, activation_counts const& counts, time_point now);

    /// \brief Proposes the map with the highest benefit.
    /// \param slowdowns Execution time of each rank relative to normal speed.
    /// \returns std::nullopt if no map is worth the cost of copying experts, or
    /// there are too few activations since the demand last changed.
    [[nodiscard]] std::optional<planned_map> plan(
        group_experts const& current,
        engine_profile const& engine,
        std::vector<double> const& slowdowns,
        time_point now);

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

private:
    struct sample
    {
        time_point counted_at{};
        std::vector<std::uint64_t> counts;
    };

    struct rank_samples
    {
        std::uint64_t epoch = 0;
        std::uint64_t incarnation = 0;
        std::deque<sample> samples;
    };

    struct demand
    {
        /// Activations by expert set, then by expert.
        std::vector<double> activations;
        /// Whether older activations were left out because their distribution
        /// differs.
        bool changed = false;
        /// Whether the activations cover enough time since the last change of
        /// demand to plan with.
        bool settled = false;
    };

    [[nodiscard]] std::vector<std::vector<double>>
    binned_activations(std::size_t size, time_point now) const;
    [[nodiscard]] demand recent_demand(std::size_t size, time_point now) const;
    /// \param max_new_per_rank Maximum number of experts new to a rank in each
    /// set.
    /// \returns std::nullopt if a set has too few activations.
    [[nodiscard]] static std::optional<planned_map> balance(
        group_experts const& current,
        engine_profile const& engine,
        std::vector<double> const& activations,
        std::vector<double> const& slowdowns,
        std::uint32_t max_new_per_rank);

    std::map<std::uint32_t, rank_samples> ranks_;
    plan_outcome outcome_ = plan_outcome::unsettled;
    double activations_used_ = 0;
};

} // namespace hornbeamweir
