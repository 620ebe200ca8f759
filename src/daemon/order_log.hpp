#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/expert_map/rank_state.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

namespace hornbeamweir
{

/// \brief Logs an order with the HTTP status of the rank's response, or the
/// reason why there was none.
void log_rank_order(
    event_log& log, rank_order const& order, result<unsigned> const& status);

} // namespace hornbeamweir
