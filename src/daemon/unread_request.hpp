#pragma once

#include <hornbeamweir/http/http_exchange.hpp>

namespace hornbeamweir
{

/// \brief Answers a caller's request that could not be read.
void refuse_unread(http_exchange& exchange, result_code code);

} // namespace hornbeamweir
