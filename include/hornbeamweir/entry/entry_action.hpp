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

struct dial_agent
{
    std::string id;
    std::string address;
    std::string public_key;
};

struct disconnect_agent
{
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

struct respond_abort
{
    request_id id;
};

/// \brief Commits to the platform; answered by on_commit().
struct commit_to_platform
{
    std::uint64_t token = 0;
    transaction request;
};

/// \brief Asks the platform for a lease; answered by on_lease().
struct grant_platform_lease
{
    duration time_to_live{};
};

/// \brief Reads a part of the configuration; answered by on_platform_part().
struct read_part_from_platform
{
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
