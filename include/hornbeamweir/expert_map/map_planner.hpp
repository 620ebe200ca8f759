#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/rank_codec.hpp>
#include <hornbeamweir/routes/engine_profile.hpp>

#include <deque>
#include <map>

namespace hornbeamweir
{

/// \brief A map that is worth changing to.
struct planned_map
{
    group_experts experts;
    /// Sum over sets of the greatest load over the mean, before and after.
    double before = 0;
    double after = 0;
    std::uint32_t moves = 0;
};

/// \brief Follows the demand for experts and proposes maps.
/// \remarks Sans-I/O. Takes the ranks' cumulative counts, which start anew
/// when a rank does.
class map_planner
{
public:
    void
    on_counts(std::uint32_t rank, choice_counts const& counts, time_point now);

    /// \brief Proposes a map, if one is worth its copies.
    /// \param paces Relative time that each rank needs for its work.
    [[nodiscard]] std::optional<planned_map> plan(
        group_experts const& current,
        engine_profile const& engine,
        std::vector<double> const& paces,
        time_point now) const;

    /// \brief Greatest load of a rank over the mean that a map would have with
    /// the demand of the last moments, as a mean over the sets.
    /// \returns Nothing while the demand is not known well enough.
    [[nodiscard]] std::optional<double> skew_of(
        group_experts const& experts,
        engine_profile const& engine,
        std::vector<double> const& paces,
        time_point now) const;

private:
    struct sample
    {
        time_point at{};
        std::vector<std::uint64_t> counts;
    };

    struct rank_samples
    {
        std::uint64_t epoch = 0;
        std::uint64_t start = 0;
        std::deque<sample> samples;
    };

    struct demand
    {
        std::vector<double> choices;
        /// Whether older choices were left out, as they differ.
        bool changed = false;
        /// Whether the choices are recent enough and many enough to act on.
        bool settled = false;
    };

    [[nodiscard]] std::vector<std::vector<double>>
    binned_choices(std::size_t size, time_point now) const;
    [[nodiscard]] demand recent_demand(std::size_t size, time_point now) const;
    [[nodiscard]] static std::optional<planned_map> balance(
        group_experts const& current,
        engine_profile const& engine,
        std::vector<double> const& choices,
        std::vector<double> const& paces,
        std::uint32_t fresh);

    std::map<std::uint32_t, rank_samples> ranks_;
};

} // namespace hornbeamweir
