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

} // namespace hornbeamweir
