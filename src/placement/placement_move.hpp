#pragma once

#include <cstdint>
#include <optional>

namespace hornbeamweir
{

/// \brief Change of a placement: an expert is added to a rank, into an empty
/// slot or in place of another expert, and may be removed from its source rank.
/// A displaced expert is removed if it has other ranks, or moves to the source
/// rank. If both ranks are equal, the expert is only removed from it.
struct placement_move
{
    std::uint16_t expert = 0;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    /// Expert that is displaced; none if an empty slot is used.
    std::optional<std::uint16_t> displaced;
    /// Whether the expert is removed from its source rank.
    bool leaves_source = false;
    /// Whether the displaced expert moves to the source rank.
    bool swaps = false;
};

} // namespace hornbeamweir
