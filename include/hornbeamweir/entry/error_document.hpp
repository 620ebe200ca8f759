#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/header_list.hpp>

#include <optional>
#include <string>

namespace hornbeamweir
{

/// \brief HTTP error response with a problem document (RFC 9457).
struct error_document
{
    unsigned status = 0;
    header_list headers;
    std::string body;
};

/// \param retry_after Sent as Retry-After, rounded up to seconds, at least 1.
[[nodiscard]] error_document make_error_document(
    request_id const& id,
    error const& reason,
    execution_state state,
    std::optional<duration> retry_after);

} // namespace hornbeamweir
