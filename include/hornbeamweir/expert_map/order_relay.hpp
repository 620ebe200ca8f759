#pragma once

#include <hornbeamweir/expert_map/rank_state.hpp>

namespace hornbeamweir
{

/// \brief A rank whose agent gets an order from another agent.
struct order_recipient
{
    std::uint32_t rank = 0;
    /// See rank_order::expected_orders.
    std::uint64_t expected_orders = 0;

    [[nodiscard]] friend bool
    operator==(order_recipient const&, order_recipient const&) = default;
};

/// \brief An order to one agent, which passes it on to the agents of others.
struct relayed_order
{
    rank_order order;
    std::vector<order_recipient> recipients;
};

/// Number of agents to which one sender passes an order on: with few, a slow
/// link is soon free again, and an order reaches 258 ranks in three hops.
inline constexpr std::uint32_t relay_fan_out = 6;

/// \brief Splits recipients into those that a sender serves itself and, for
/// each of these, the ones that it passes the order on to.
/// \returns Indices of recipients; the first of each row is served directly.
[[nodiscard]] std::vector<std::vector<std::size_t>>
split_recipients(std::size_t n);

/// \brief Groups orders that differ only in the rank, so that the sender's link
/// carries their map a few times instead of once for each rank.
[[nodiscard]] std::vector<relayed_order>
plan_relay(std::vector<rank_order> const& orders);

} // namespace hornbeamweir
