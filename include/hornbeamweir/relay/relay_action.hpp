#pragma once

#include <hornbeamweir/core/execution_state.hpp>
#include <hornbeamweir/core/result_code.hpp>
#include <hornbeamweir/relay/relay_request.hpp>
#include <hornbeamweir/replicas/replica.hpp>

#include <variant>
#include <vector>

namespace hornbeamweir::relay
{

/// \brief Sends a request to a replica.
struct open_attempt
{
    exchange_id exchange = 0;
    std::uint32_t attempt = 0;
    replica target;
    /// Time to the deadline, set by the timeouts of the caller and the route.
    duration time_left{};
    /// Id of the event after which the stream is to be resumed.
    std::optional<std::uint64_t> resume_after;
    /// Whether to avoid pooled connections, which the server may have closed.
    bool fresh_connection = false;
    /// Customer that owns the API key of the request.
    customer_id customer;
};

/// \brief Cancels the current attempt by closing its connection.
struct close_attempt
{
    exchange_id exchange = 0;
};

/// \brief Starts the response to the caller.
struct send_head
{
    exchange_id exchange = 0;
    unsigned status = 0;
    header_list headers;
};

/// \brief Sends a part of the response body.
struct send_data
{
    exchange_id exchange = 0;
    std::string bytes;
};

/// \brief Completes the response.
struct send_end
{
    exchange_id exchange = 0;
};

/// \brief Responds to the caller with an error of this process.
struct send_error
{
    exchange_id exchange = 0;
    request_id id;
    result_code code = result_code::internal;
    execution_state state = execution_state::not_run;
    std::string detail;
    std::optional<duration> retry_after;
    /// Whether the caller should retry over a new connection, which may lead
    /// to another entry.
    bool close_connection = false;
};

/// \brief Aborts a response of which a part was sent.
struct abort_response
{
    exchange_id exchange = 0;
};

/// \brief Finds out whether a replica still accepts connections.
struct check_replica
{
    replica target;
};

using action = std::variant<
    open_attempt,
    close_attempt,
    send_head,
    send_data,
    send_end,
    send_error,
    abort_response,
    check_replica>;

using actions = std::vector<action>;

} // namespace hornbeamweir::relay
