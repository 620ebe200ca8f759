#pragma once

#include <hornbeamweir/expert_map/rank_state.hpp>

#include <limits>
#include <span>

namespace hornbeamweir
{

/// \brief Limits of a new placement of one set of experts. Each set is placed
/// independently of the others.
struct balance_limits
{
    /// Maximum number of experts on a rank.
    std::uint32_t slots_per_rank = 1;
    /// Maximum number of experts that one map adds to a rank.
    std::uint32_t max_new_per_rank = 1;
    /// Maximum number of experts that one map adds to a rank, over all sets.
    std::uint32_t max_copies_per_rank =
        std::numeric_limits<std::uint32_t>::max();
    /// Minimum reduction, by one move, of the sum of the eighth powers of the
    /// times of the ranks, relative to that of the slowest rank.
    double min_gain = 0.08;
    /// Minimum reduction of the skew by one copied expert.
    double min_gain_per_copy = 0;
};

/// \brief Placement of one set of experts.
struct balanced_placement
{
    /// Experts by rank.
    std::vector<std::vector<std::uint16_t>> ranks;
    /// Time of the slowest rank before and after, relative to perfect balance
    /// of ranks with slowdown 1.
    double skew_before = 1;
    double skew_after = 1;
    /// Number of experts that are new to their rank: in total, and the maximum
    /// of one rank.
    std::uint32_t moves = 0;
    std::uint32_t max_moves_per_rank = 0;
};

/// \brief Improves the placement of one set of experts by greedy local search.
/// \param current Experts by rank; each expert is on at least one rank.
/// \param shares Each expert's share of the activations in the set.
/// \param slowdowns Relative step time of each rank; over 1 is slow.
/// \remarks The work of an expert is split evenly between its ranks. Intended
/// for demand that changes every few seconds, where a good placement now is
/// worth more than an optimal one later.
[[nodiscard]] balanced_placement balance_ranks(
    std::vector<std::vector<std::uint16_t>> const& current,
    std::span<double const> shares,
    std::span<double const> slowdowns,
    balance_limits const& limits);

/// \brief Improves the placements of all sets of experts, which share the limit
/// of a rank's copies: moves that reduce the skew most per copy go first.
/// \param current Experts by set and rank.
/// \param shares Shares by set, then by expert; as many for each set.
[[nodiscard]] std::vector<balanced_placement> balance_sets(
    group_experts const& current,
    std::span<double const> shares,
    std::span<double const> slowdowns,
    balance_limits const& limits);

/// \brief Computes the time of the slowest rank, relative to perfect balance of
/// ranks with slowdown 1.
[[nodiscard]] double placement_skew(
    std::vector<std::vector<std::uint16_t>> const& current,
    std::span<double const> shares,
    std::span<double const> slowdowns);

} // namespace hornbeamweir
