#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/header_list.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace hornbeamweir
{

/// Number of a request within one process.
using exchange_id = std::uint64_t;

/// \brief A caller's request, with what its header fields say decoded.
struct relay_request
{
    /// Chosen by the caller; empty if it sent none.
    request_id id;
    std::string method;
    std::string target;
    std::string host;
    /// Fields that are passed on unchanged.
    header_list headers;
    std::string body;
    std::optional<std::string> key;
    /// Time that the caller will wait.
    std::optional<duration> caller_timeout;
    /// Last event that the caller has of an earlier stream.
    std::optional<std::uint64_t> last_event;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;

    [[nodiscard]] friend bool
    operator==(relay_request const&, relay_request const&) = default;
};

/// \brief Requests that a replica was working on when it answered.
struct replica_load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    [[nodiscard]] friend bool operator==(
        replica_load_report const&, replica_load_report const&) = default;
};

/// \brief The head of a replica's answer, decoded.
struct replica_response_head
{
    unsigned status = 0;
    /// Whether the replica states that it has not executed the request.
    bool not_executed = false;
    /// Whether it bears the mark that only replicas set.
    bool is_signed = false;
    std::optional<replica_load_report> load;
    /// Replica that the answer blames, if any.
    std::string faulty_replica;
    header_list headers;

    [[nodiscard]] friend bool operator==(
        replica_response_head const&, replica_response_head const&) = default;
};

} // namespace hornbeamweir
