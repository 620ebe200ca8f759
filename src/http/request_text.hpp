#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/http_exchange.hpp>

namespace hornbeamweir
{

/// \brief Writes a request as it is sent, with its body's length.
[[nodiscard]] std::string write_request(http_request_message const& message);

/// \brief Time for which a connection may be used again, from a Keep-Alive
/// field such as "timeout=5, max=100".
[[nodiscard]] duration keep_alive_time(std::string_view field);

} // namespace hornbeamweir
