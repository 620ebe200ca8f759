#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/http_exchange.hpp>

namespace hornbeamweir
{

/// \brief Serializes the header of a request for HTTP/1.1, up to its body.
/// \remarks Leaves out hop-by-hop fields and sets Content-Length from the body.
[[nodiscard]] std::string serialize_head(http_request_message const& message);

/// \brief Returns the time for which an idle connection may be reused, from a
/// Keep-Alive field such as "timeout=5, max=100".
[[nodiscard]] duration keep_alive_time(std::string_view field);

} // namespace hornbeamweir
