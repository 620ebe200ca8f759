#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/http_exchange.hpp>
#include <hornbeamweir/transport/peer.hpp>

#include <cstdint>
#include <envelope.pb.h>
#include <variant>

namespace hornbeamweir
{

/// \brief Identifies a call to the backend server.
using call_number = std::uint64_t;

/// \brief Sends a message to a peer.
struct agent_send
{
    peer to;
    wire::envelope message;
};

/// \brief Starts a call to the backend server; answered by on_call_head(),
/// on_call_data() and on_call_ended() or on_call_failed().
struct start_call
{
    call_number call = 0;
    http_request_message request;
    /// Maximum duration of the entire call.
    duration timeout{};
    /// Bytes of the response body that may be read before grant_call_credit
    /// grants more.
    std::size_t initial_credit = 0;
};

/// \brief Lets a call read further bytes of the response body.
struct grant_call_credit
{
    call_number call = 0;
    std::size_t bytes = 0;
};

/// \brief Cancels a call to the backend server; nothing more is reported of it.
struct cancel_call
{
    call_number call = 0;
};

/// \brief Queries the backend server's health; answered by on_probe().
struct probe_backend
{
};

using agent_action = std::variant<
    agent_send,
    start_call,
    grant_call_credit,
    cancel_call,
    probe_backend>;

} // namespace hornbeamweir
