#pragma once

#include "pooled_connection.hpp"

namespace hornbeamweir
{

/// \brief Sends a request over a pooled connection and reads its response.
/// \returns The handle of the call, by which the caller cancels it.
[[nodiscard]] std::unique_ptr<pooled_call> start_exchange(
    std::shared_ptr<connection_pool::impl> pool,
    boost::asio::ip::tcp::endpoint const& server,
    http_request_message request,
    pooled_call_options options,
    pooled_call_handlers handlers);

} // namespace hornbeamweir
