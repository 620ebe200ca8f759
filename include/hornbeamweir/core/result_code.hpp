#pragma once

#include <hornbeamweir/core/enum_table.hpp>

#include <cstdint>

namespace hornbeamweir
{

/// \brief Outcome of an operation, as numbered in errors, logs and
/// docs/RESULT_CODES.md.
/// \remarks Numbers are never reused: 1xx callers, 2xx routing and limits,
/// 3xx execution, 4xx configuration, 5xx platform, 6xx processes.
enum class result_code : std::uint16_t
{
    ok = 0,
    malformed_request = 100,
    unauthorized = 101,
    not_found = 102,
    header_too_large = 103,
    body_too_large = 104,
    request_timeout = 105,
    method_not_allowed = 106,
    key_reused = 107,
    key_invalid = 108,
    connection_limit = 109,
    memory_limit = 110,
    no_backend_server = 200,
    rate_limited = 201,
    concurrency_limited = 202,
    queue_full = 203,
    deadline_exceeded = 204,
    retry_budget_exhausted = 205,
    not_ready = 206,
    prompt_quarantined = 207,
    replicas_rate_limited = 208,
    request_quarantined = 209,
    draining = 300,
    wrong_incarnation = 301,
    start_expired = 302,
    agent_lost = 303,
    answer_incomplete = 304,
    backend_failed = 305,
    backend_unreachable = 306,
    outcome_unknown = 307,
    not_recorded = 308,
    fenced = 309,
    cancelled = 310,
    invalid_settings = 400,
    invalid_note = 401,
    revision_conflict = 402,
    part_missing = 403,
    part_corrupt = 404,
    platform_unavailable = 500,
    platform_outcome_unknown = 501,
    platform_refused = 502,
    message_undecodable = 600,
    peer_unreachable = 601,
    internal = 602
};

template <>
struct enum_table<result_code>
{
    static constexpr std::array<enum_name<result_code>, 44> rows{{
        {result_code::ok, "ok"},
        {result_code::malformed_request, "malformed_request"},
        {result_code::unauthorized, "unauthorized"},
        {result_code::not_found, "not_found"},
        {result_code::header_too_large, "header_too_large"},
        {result_code::body_too_large, "body_too_large"},
        {result_code::request_timeout, "request_timeout"},
        {result_code::method_not_allowed, "method_not_allowed"},
        {result_code::key_reused, "key_reused"},
        {result_code::key_invalid, "key_invalid"},
        {result_code::connection_limit, "connection_limit"},
        {result_code::memory_limit, "memory_limit"},
        {result_code::no_backend_server, "no_backend_server"},
        {result_code::rate_limited, "rate_limited"},
        {result_code::concurrency_limited, "concurrency_limited"},
        {result_code::queue_full, "queue_full"},
        {result_code::deadline_exceeded, "deadline_exceeded"},
        {result_code::retry_budget_exhausted, "retry_budget_exhausted"},
        {result_code::not_ready, "not_ready"},
        {result_code::prompt_quarantined, "prompt_quarantined"},
        {result_code::replicas_rate_limited, "replicas_rate_limited"},
        {result_code::request_quarantined, "request_quarantined"},
        {result_code::draining, "draining"},
        {result_code::wrong_incarnation, "wrong_incarnation"},
        {result_code::start_expired, "start_expired"},
        {result_code::agent_lost, "agent_lost"},
        {result_code::answer_incomplete, "answer_incomplete"},
        {result_code::backend_failed, "backend_failed"},
        {result_code::backend_unreachable, "backend_unreachable"},
        {result_code::outcome_unknown, "outcome_unknown"},
        {result_code::not_recorded, "not_recorded"},
        {result_code::fenced, "fenced"},
        {result_code::cancelled, "cancelled"},
        {result_code::invalid_settings, "invalid_settings"},
        {result_code::invalid_note, "invalid_note"},
        {result_code::revision_conflict, "revision_conflict"},
        {result_code::part_missing, "part_missing"},
        {result_code::part_corrupt, "part_corrupt"},
        {result_code::platform_unavailable, "platform_unavailable"},
        {result_code::platform_outcome_unknown, "platform_outcome_unknown"},
        {result_code::platform_refused, "platform_refused"},
        {result_code::message_undecodable, "message_undecodable"},
        {result_code::peer_unreachable, "peer_unreachable"},
        {result_code::internal, "internal"},
    }};
};

/// \brief Returns the code's number.
[[nodiscard]] constexpr unsigned number_of(result_code code) noexcept
{
    return static_cast<unsigned>(code);
}

/// \brief Returns the HTTP status for a code; 503 by default.
[[nodiscard]] unsigned http_status_of(result_code code) noexcept;

/// \brief Returns the code with the given number, or internal if there is none.
[[nodiscard]] result_code result_code_from_number(unsigned number) noexcept;

} // namespace hornbeamweir
