#pragma once

#include <hornbeamweir/expert_map/rank_codec.hpp>

#include <peers.pb.h>

/// \file
/// \brief Conversion of rank states and orders to and from datagrams.

namespace hornbeamweir
{

[[nodiscard]] wire::rank_report to_wire(rank_state const& state);
[[nodiscard]] rank_state from_wire(wire::rank_report const& in);
[[nodiscard]] wire::rank_order to_wire(rank_order const& order);
[[nodiscard]] rank_order from_wire(wire::rank_order const& in);

/// \brief Adds the experts of a rank to its report.
void add_experts(rank_experts const& experts, wire::rank_report& out);
/// \returns std::nullopt if the report carries no experts.
[[nodiscard]] std::optional<rank_experts>
experts_of(wire::rank_report const& in);

} // namespace hornbeamweir
