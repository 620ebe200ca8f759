#pragma once

#include <hornbeamweir/expert_map/map_identity.hpp>

#include <optional>
#include <span>

namespace hornbeamweir
{

/// \brief Maps of one rank, as sent in the exchange between the ranks at the
/// end of a step.
struct rank_maps
{
    /// Map used in the last step; empty if the rank has just joined.
    map_identity in_force;
    /// Map whose weights are completely loaded but not yet used; may be empty.
    map_identity staged;

    [[nodiscard]] bool holds(map_identity const& map) const noexcept
    {
        return in_force == map || staged == map;
    }

    [[nodiscard]] friend bool
    operator==(rank_maps const&, rank_maps const&) = default;
};

/// \brief Selects the map that all ranks use in the next step, which is one
/// forward pass of the group.
/// \param ranks Maps of all ranks, in any order, as received in the exchange.
/// \returns The newest map, which is the staged map of a rank or else its map
/// in force, if it is the same for all ranks; else a map in force that all
/// ranks hold; std::nullopt if there is none, and the group waits.
/// \remarks A pure function of the exchanged values, which are the same at
/// every rank. All ranks therefore reach the same decision whatever the state
/// of the coordinator, its lease and the platform.
[[nodiscard]] std::optional<map_identity>
next_map(std::span<rank_maps const> ranks) noexcept;

} // namespace hornbeamweir
