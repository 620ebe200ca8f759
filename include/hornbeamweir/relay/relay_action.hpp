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
    relay_number request = 0;
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
    relay_number request = 0;
};

struct send_head
{
    relay_number request = 0;
    unsigned status = 0;
    header_list headers;
};

struct send_data
{
    relay_number request = 0;
    std::string bytes;
};

struct send_end
{
    relay_number request = 0;
};

/// \brief Answers the caller with an error of this process.
struct refuse
{
    relay_number request = 0;
    request_id id;
    result_code code = result_code::internal;
    execution_state state = execution_state::not_run;
    std::string detail;
    std::optional<duration> retry_after;
    /// Whether the caller should return over a new connection.
    bool close_connection = false;
};

/// \brief Cuts off an answer of which a part was sent.
struct cut
{
    relay_number request = 0;
};

using action = std::variant<
    open_attempt,
    close_attempt,
    send_head,
    send_data,
    send_end,
    refuse,
    cut>;

using actions = std::vector<action>;

} // namespace hornbeamweir::relay
