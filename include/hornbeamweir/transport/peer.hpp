#pragma once

#include <hornbeamweir/core/enum_table.hpp>

#include <compare>
#include <functional>
#include <string>

namespace hornbeamweir
{

/// \brief Which side opened the connection to a peer.
enum class peer_side
{
    dialled,
    accepted
};

/// \brief A connected process: the name under which it was dialled, or the
/// routing id under which it connected.
struct peer
{
    peer_side side = peer_side::dialled;
    std::string id;

    [[nodiscard]] friend bool operator==(peer const&, peer const&) = default;
    [[nodiscard]] friend std::strong_ordering
    operator<=>(peer const&, peer const&) = default;
};

} // namespace hornbeamweir
