#pragma once

#include <hornbeamweir/expert_map/map_delta.hpp>
#include <hornbeamweir/expert_map/rank_codec.hpp>

#include <peers.pb.h>

/// \file
/// \brief Conversion of rank states and orders to and from datagrams.

namespace hornbeamweir
{

[[nodiscard]] wire::rank_report to_wire(rank_state const& state);
[[nodiscard]] rank_state from_wire(wire::rank_report const& in);
/// \param base Map of rank_order::base_version, to send only the difference to
/// it; null to send the whole map.
[[nodiscard]] wire::rank_order
to_wire(rank_order const& order, group_experts const* base = nullptr);
/// \remarks The mapping stays empty if the message has only a difference.
[[nodiscard]] rank_order from_wire(wire::rank_order const& in);
/// \returns The difference to rank_order::base_version.
[[nodiscard]] map_delta delta_of(wire::rank_order const& in);

/// \brief Adds the experts of a rank to its report.
void add_experts(rank_experts const& experts, wire::rank_report& out);
/// \returns std::nullopt if the report carries no experts.
[[nodiscard]] std::optional<rank_experts>
experts_of(wire::rank_report const& in);

} // namespace hornbeamweir
