#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/http/header_list.hpp>
#include <hornbeamweir/platform/platform.hpp>
#include <hornbeamweir/transport/peer.hpp>

#include <envelope.pb.h>
#include <variant>
#include <vector>

namespace hornbeamweir
{

struct send_envelope
{
    peer to;
    wire::envelope message;
};

/// \brief Opens a connection to an agent or another entry.
struct dial_agent
{
    /// Peer id, as returned by agent_peer() and entry_peer().
    std::string id;
    std::string address;
    std::string public_key;
};

/// \brief Closes the connection to an agent.
struct disconnect_agent
{
    /// Peer id, as in dial_agent.
    std::string id;
};

struct respond_head
{
    request_id id;
    unsigned status = 0;
    header_list headers;
};

struct respond_data
{
    request_id id;
    std::string bytes;
};

struct respond_end
{
    request_id id;
};

/// \brief Closes the caller's connection before the response is complete.
struct respond_abort
{
    request_id id;
};

/// \brief Commits a transaction to the platform; entry_core::on_commit()
/// receives the result.
struct commit_to_platform
{
    /// Identifies the transaction in on_commit().
    std::uint64_t token = 0;
    transaction request;
};

/// \brief Requests a lease from the platform; entry_core::on_lease()
/// receives the result.
struct grant_platform_lease
{
    duration time_to_live{};
};

/// \brief Reads a part of the configuration from the platform;
/// entry_core::on_platform_part() receives its content.
struct read_part_from_platform
{
    /// Content hash of the part.
    std::string hash;
};

using entry_action = std::variant<
    send_envelope,
    dial_agent,
    disconnect_agent,
    respond_head,
    respond_data,
    respond_end,
    respond_abort,
    commit_to_platform,
    grant_platform_lease,
    read_part_from_platform>;

} // namespace hornbeamweir
