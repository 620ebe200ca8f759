#pragma once

#include <cstdint>
#include <vector>

namespace hornbeamweir
{

/// \brief Dimensions of an expert map.
struct expert_map_shape
{
    std::uint32_t layers = 1;
    std::uint32_t experts = 1;
    std::uint32_t ranks = 1;
    std::uint32_t slots_per_rank = 1;

    [[nodiscard]] friend bool
    operator==(expert_map_shape const&, expert_map_shape const&) = default;
};

/// \brief Assignment of experts to the slots of each rank, for each layer.
/// \remarks In each layer an expert may be replicated in several slots, and
/// must be in at least one; see is_complete().
struct expert_map
{
    std::uint64_t version = 0;
    expert_map_shape shape;
    /// Expert numbers in layer-major order, then by rank, then by slot.
    std::vector<std::uint16_t> slots;

    /// \returns The position in slots.
    [[nodiscard]] std::size_t index(
        std::uint32_t layer,
        std::uint32_t rank,
        std::uint32_t slot) const noexcept
    {
        std::size_t const row =
            static_cast<std::size_t>(layer) * shape.ranks + rank;
        return row * shape.slots_per_rank + slot;
    }

    /// \returns The expert in a slot.
    [[nodiscard]] std::uint16_t
    at(std::uint32_t layer, std::uint32_t rank, std::uint32_t slot) const
    {
        return slots.at(index(layer, rank, slot));
    }

    [[nodiscard]] friend bool
    operator==(expert_map const&, expert_map const&) = default;
};

/// \brief Builds version 1 of a map, with experts assigned to the slots of each
/// layer round-robin.
[[nodiscard]] expert_map make_initial_map(expert_map_shape const& shape);

/// \brief Whether the number of slots matches the shape, all experts are in
/// range and each layer contains every expert.
[[nodiscard]] bool is_complete(expert_map const& map);

/// \brief Counts the slots whose expert weights must be loaded to change maps.
/// \remarks These are the slots whose rank does not hold the expert in the same
/// layer of the old map.
[[nodiscard]] std::size_t
count_moves(expert_map const& from, expert_map const& to);

} // namespace hornbeamweir
