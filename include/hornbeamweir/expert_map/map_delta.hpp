#pragma once

#include <hornbeamweir/expert_map/rank_state.hpp>

namespace hornbeamweir
{

/// \brief Difference of two maps: the cells whose membership differs.
/// \remarks A cell is a pair of an expert list and an expert; the lists are
/// numbered by set, then by rank.
struct map_delta
{
    /// Number of cells of a list.
    std::uint32_t stride = 0;
    /// Numbers of the cells in ascending order; each but the first is relative
    /// to the one before, so that it encodes in few bytes.
    std::vector<std::uint32_t> cells;
    /// Hash of the resulting map: all ranks must use the same one, also if an
    /// agent knows another map under the version of the base.
    std::uint64_t result_hash = 0;

    [[nodiscard]] friend bool
    operator==(map_delta const&, map_delta const&) = default;
};

/// \brief Computes the difference of two maps of the same group.
/// \returns std::nullopt if their shapes differ, or if a list of `to` is not in
/// ascending order, as apply_delta() could not restore it.
[[nodiscard]] std::optional<map_delta>
difference_of(group_experts const& from, group_experts const& to);

/// \brief Numbers of sets, ranks and experts of a group.
struct group_shape
{
    std::uint32_t sets = 0;
    std::uint32_t ranks = 0;
    std::uint32_t experts = 0;
};

/// \brief The map with which a group starts: experts are assigned to ranks in
/// turn.
[[nodiscard]] group_experts initial_experts(group_shape const& shape);

/// \remarks The number of experts is the highest one that is placed, plus 1.
[[nodiscard]] group_shape shape_of(group_experts const& map);

/// \brief Applies a difference to the map from which it was computed.
/// \returns std::nullopt if a cell is outside the map, or the result is not the
/// map from which the difference was computed.
[[nodiscard]] std::optional<group_experts>
apply_delta(group_experts from, map_delta const& delta);

} // namespace hornbeamweir
