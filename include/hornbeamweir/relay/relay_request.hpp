#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/header_list.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// Identifies a request and its response within one process.
using exchange_id = std::uint64_t;

/// Identifies a part of a prompt by its content.
using prompt_part_id = identifier<struct prompt_part_tag>;

/// \brief A caller's request, with the relevant header fields decoded.
struct relay_request
{
    /// Set by the caller; empty if it sent none.
    request_id id;
    std::string method;
    std::string target;
    std::string host;
    /// Header fields that are forwarded unchanged.
    header_list headers;
    std::string body;
    /// API key, to be looked up in the configuration.
    std::optional<std::string> key;
    /// Time for which the caller waits for the response.
    std::optional<duration> caller_timeout;
    /// Id of the last event that the caller received of a broken stream.
    std::optional<std::uint64_t> last_event;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    /// Parts of the prompt that other requests may share, in their order;
    /// without the last part, which belongs to this request alone.
    std::vector<prompt_part_id> shared_parts;

    [[nodiscard]] friend bool
    operator==(relay_request const&, relay_request const&) = default;
};

/// \brief Load of a replica when it responded.
struct replica_load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    [[nodiscard]] friend bool operator==(
        replica_load_report const&, replica_load_report const&) = default;
};

/// \brief Decoded head of a replica's response.
struct replica_response_head
{
    unsigned status = 0;
    /// Whether the replica states that it has not executed the request.
    bool not_executed = false;
    /// Whether it has the replica signature header, which only replicas set.
    bool is_signed = false;
    std::optional<replica_load_report> load;
    /// Id of the replica that caused the failure, if the response names one;
    /// otherwise empty.
    std::string faulty_replica;
    /// Whether the replica states that it is about to stop.
    bool is_leaving = false;
    /// Time for which the replica wants no requests; set only with a 503.
    std::optional<duration> retry_after;
    /// Requests per second that the replica takes from all entries together.
    std::optional<double> max_requests_per_second;
    /// Time for which the replica is still cold; 0 if it names none.
    duration cold_remaining{};
    header_list headers;

    [[nodiscard]] friend bool operator==(
        replica_response_head const&, replica_response_head const&) = default;
};

} // namespace hornbeamweir
