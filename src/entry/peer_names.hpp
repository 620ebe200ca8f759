#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/transport/peer.hpp>

/// \file
/// \brief Peer ids that an entry uses for agents and other entries.

namespace hornbeamweir
{

[[nodiscard]] inline peer agent_peer(backend_server_id const& id)
{
    return {peer_side::dialled, "agent/" + id.str()};
}

/// \returns An empty id if the peer is not an agent.
[[nodiscard]] inline backend_server_id
backend_server_of(std::string const& peer_id)
{
    constexpr std::string_view prefix = "agent/";
    return backend_server_id{
        peer_id.starts_with(prefix) ? peer_id.substr(prefix.size()) : ""};
}

[[nodiscard]] inline peer entry_peer(process_name const& name)
{
    return {peer_side::dialled, "entry/" + name.str()};
}

} // namespace hornbeamweir
