#pragma once

#include <hornbeamweir/http/http_exchange.hpp>

namespace hornbeamweir
{

/// \brief Sends an error response for a request that could not be parsed.
void reject_unreadable_request(http_exchange& exchange, result_code code);

} // namespace hornbeamweir
