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
/// \remarks Carries only the difference of a map if the order has one.
[[nodiscard]] wire::rank_order to_wire(rank_order const& order);
/// \brief An order that an agent passes on.
struct passed_on_order
{
    /// UDP address of the agent that gets it.
    std::string agent;
    wire::rank_order message;
};

/// \brief The orders that the recipient of an order passes on.
[[nodiscard]] std::vector<passed_on_order>
orders_to_pass_on(wire::rank_order const& received);
/// \remarks The mapping stays empty if the message has only a difference.
[[nodiscard]] rank_order from_wire(wire::rank_order const& in);
/// \brief Restores the map of an order that carries a difference.
/// \param base Map of rank_order::base_version; null if it is unknown.
/// \returns Null if the base is unknown or another map.
[[nodiscard]] shared_experts
restore_map(wire::rank_order const& in, group_experts const* base);

/// \brief Adds the experts of a rank to its report.
void add_experts(rank_experts const& experts, wire::rank_report& out);
/// \returns std::nullopt if the report carries no experts.
[[nodiscard]] std::optional<rank_experts>
experts_of(wire::rank_report const& in);

} // namespace hornbeamweir
