#pragma once

#include <hornbeamweir/relay/replica_rate_limits.hpp>

#include <peers.pb.h>

namespace hornbeamweir
{

/// \brief Adds rates to a load report; their times become ages.
void encode_rates(
    relay::replica_rate_limits::observations const& seen,
    time_point now,
    wire::entry_load& out);

/// \brief Decodes the rates of a load report.
/// \remarks Invalid rates are dropped.
[[nodiscard]] relay::replica_rate_limits::observations
decode_rates(wire::entry_load const& message, time_point now);

/// \brief Adds the times for which replicas stay cold; the longest of them if
/// there are too many for a datagram.
void encode_cold(
    std::map<backend_server_id, duration> const& remaining,
    wire::entry_load& out);

[[nodiscard]] std::map<backend_server_id, duration>
decode_cold(wire::entry_load const& message);

} // namespace hornbeamweir
