#pragma once

#include <hornbeamweir/expert_map/rank_state.hpp>

#include <span>

namespace hornbeamweir
{

/// \brief What a new placement of one set may use.
struct balance_limits
{
    /// Experts that a rank may hold.
    std::uint32_t slots_per_rank = 1;
    /// Experts new to a rank that one map may bring.
    std::uint32_t new_per_rank = 1;
    /// Least relative reduction of the sum of the loads' eighth powers that a
    /// move must bring.
    double least_gain = 0.08;
};

/// \brief A placement of one set.
struct balanced_set
{
    /// Experts by rank.
    std::vector<std::vector<std::uint16_t>> ranks;
    /// Greatest load of a rank over the mean, before and after.
    double before = 1;
    double after = 1;
    /// Experts that are new to their rank, and the most of any rank.
    std::uint32_t moves = 0;
    std::uint32_t most_moves = 0;
};

/// \brief Improves the placement of a set of experts step by step.
/// \param current Experts by rank; each on one rank at least.
/// \param shares Each expert's part of the choices.
/// \param paces Relative time that each rank needs for its work.
/// \remarks An expert's work is divided evenly between its ranks. Answers the
/// pattern of a demand that changes every few seconds, where a good placement
/// soon is worth more than the best one later.
[[nodiscard]] balanced_set balance_ranks(
    std::vector<std::vector<std::uint16_t>> const& current,
    std::span<double const> shares,
    std::span<double const> paces,
    balance_limits const& limits);

} // namespace hornbeamweir
