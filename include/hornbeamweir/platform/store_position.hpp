#pragma once

#include <compare>
#include <cstdint>

namespace hornbeamweir
{

/// \brief A state of the platform's store, ordered by time.
/// \remarks A store that is replaced by an older copy of itself gives its
/// revisions out again, for other changes. Revisions are therefore comparable
/// only within an era.
struct store_position
{
    /// Highest era that is accepted; with it a fencing token has 37 bits.
    static constexpr std::uint64_t max_era = (std::uint64_t{1} << 13U) - 1;

    /// Rises each time the store is replaced by an older copy; 0 if the store
    /// does not state it.
    std::uint64_t era = 0;
    std::int64_t revision = 0;

    [[nodiscard]] friend constexpr auto
    operator<=>(store_position const&, store_position const&) = default;
};

/// \returns The fencing token of a write, which rises with its position; the
/// revision itself if the store states no era.
/// \remarks Versions of expert maps are made of it and must be exact as JSON
/// numbers, so eras are no further apart than needed.
[[nodiscard]] constexpr std::uint64_t
fence_of(store_position const& it) noexcept
{
    // More than an older copy can lack: over an hour of 4,000 writes a second.
    constexpr unsigned lost_revision_bits = 24;
    return (it.era << lost_revision_bits) +
           static_cast<std::uint64_t>(it.revision);
}

} // namespace hornbeamweir
