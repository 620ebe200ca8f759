#pragma once

#include <hornbeamweir/expert_map/expert_map.hpp>

namespace hornbeamweir
{

/// \brief Identifies an expert map by its version and a digest of its contents.
/// \remarks Version 0 means no map. The digest tells apart two maps that were
/// published under one version.
struct map_identity
{
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    [[nodiscard]] bool empty() const noexcept { return version == 0; }

    [[nodiscard]] friend bool
    operator==(map_identity const&, map_identity const&) = default;
};

/// \brief Computes the identity of a map.
/// \remarks The digest covers the JSON encoding of the map, with its version.
[[nodiscard]] map_identity identify(expert_map const& map);

} // namespace hornbeamweir
