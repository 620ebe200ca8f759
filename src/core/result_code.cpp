#include <hornbeamweir/core/result_code.hpp>

namespace hornbeamweir
{

namespace
{

struct status_row
{
    result_code code;
    unsigned status;
};

constexpr unsigned default_status = 503;

constexpr std::array<status_row, 20> statuses{{
    {result_code::ok, 200},
    {result_code::malformed_request, 400},
    {result_code::unauthorized, 401},
    {result_code::not_found, 404},
    {result_code::header_too_large, 431},
    {result_code::body_too_large, 413},
    {result_code::request_timeout, 408},
    {result_code::method_not_allowed, 405},
    {result_code::key_reused, 422},
    {result_code::key_invalid, 400},
    {result_code::rate_limited, 429},
    {result_code::concurrency_limited, 429},
    {result_code::deadline_exceeded, 504},
    {result_code::agent_lost, 502},
    {result_code::answer_incomplete, 502},
    {result_code::backend_failed, 502},
    {result_code::outcome_unknown, 502},
    {result_code::not_recorded, 502},
    {result_code::fenced, 502},
    {result_code::internal, 500},
}};

} // namespace

unsigned http_status_of(result_code code) noexcept
{
    for (status_row const& row : statuses)
    {
        if (row.code == code)
            return row.status;
    }
    return default_status;
}

result_code result_code_from_number(unsigned number) noexcept
{
    for (enum_name<result_code> const& row : enum_table<result_code>::rows)
    {
        if (number_of(row.value) == number)
            return row.value;
    }
    return result_code::internal;
}

} // namespace hornbeamweir
