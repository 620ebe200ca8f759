#pragma once

#include "http_session.hpp"

namespace hornbeamweir
{

/// \brief Ends one connection of a server, so that another one can be accepted.
/// \remarks Takes connections that never sent anything, then those that wait
/// between requests, then those whose request has been arriving; of each kind
/// the oldest. Requests that were read are never ended.
/// \returns Whether there was one to end.
[[nodiscard]] bool free_connection(http_session_shared& shared);

} // namespace hornbeamweir
