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

/// \brief Rejects requests that are still arriving, until another one can hold
/// more bytes.
/// \remarks Takes requests that have stalled, the largest first. For a small
/// request it then takes larger ones that still arrive.
/// \param wanted Number of bytes that the request will hold.
/// \returns Whether there is room.
[[nodiscard]] bool make_room(
    http_session_shared& shared,
    http_session const& requester,
    std::size_t wanted);

} // namespace hornbeamweir
