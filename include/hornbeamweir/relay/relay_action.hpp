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
    exchange_id request = 0;
    std::uint32_t attempt = 0;
    replica target;
    /// Time that the caller and the route leave.
    duration time_left{};
    /// Event after which a stream is to go on.
    std::optional<std::uint64_t> resume_after;
    /// Whether a kept connection, which may be stale, is too risky.
    bool fresh_connection = false;
    /// Customer that holds the request's key.
    customer_id customer;
};

/// \brief Closes the connection of an attempt that is no longer wanted.
struct close_attempt
{
    exchange_id request = 0;
};

struct send_head
{
    exchange_id request = 0;
    unsigned status = 0;
    header_list headers;
};

struct send_data
{
    exchange_id request = 0;
    std::string bytes;
};

struct send_end
{
    exchange_id request = 0;
};

/// \brief Answers the caller with an error of this process.
struct send_error
{
    exchange_id request = 0;
    request_id id;
    result_code code = result_code::internal;
    execution_state state = execution_state::not_run;
    std::string detail;
    std::optional<duration> retry_after;
    /// Whether the caller should return over a new connection.
    bool close_connection = false;
};

/// \brief Cuts off an answer of which a part was sent.
struct abort_response
{
    exchange_id request = 0;
};

using action = std::variant<
    open_attempt,
    close_attempt,
    send_head,
    send_data,
    send_end,
    send_error,
    abort_response>;

using actions = std::vector<action>;

} // namespace hornbeamweir::relay
