#pragma once

#include <hornbeamweir/expert_map/order_relay.hpp>
#include <hornbeamweir/peers/datagram_link.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

#include "group_coordination.hpp"

namespace hornbeamweir
{

/// \brief Sends a coordinator's orders to ranks, mostly through their agents.
class order_sender
{
public:
    /// \brief Ways to give an order to a rank without another agent.
    struct direct_ways
    {
        std::function<void(rank_order const&)> to_local_rank;
        std::function<void(std::string const& address, rank_order const&)>
            to_address;
    };

    /// \param local_address Address of the rank on this VM.
    order_sender(
        group_coordination const& coordination,
        datagram_link& link,
        event_log& log,
        std::string local_address,
        direct_ways direct);

    /// \brief Records that an agent is reachable.
    /// \param address Address of its rank.
    void on_agent_report(
        std::string const& address,
        datagram_link::endpoint const& agent,
        time_point now);

    void send(std::vector<rank_order> const& orders, time_point now);

    /// \brief Passes a received order on to its further recipients.
    void pass_on(wire::rank_order const& order);

private:
    using endpoint = datagram_link::endpoint;

    struct agent_contact
    {
        endpoint agent;
        time_point last_contact{};
    };

    /// \returns Endpoint of the agent of the rank at an address; std::nullopt
    /// if it has not reported within max_report_age().
    [[nodiscard]] std::optional<endpoint>
    reporting_agent(std::string const& address, time_point now) const;
    void send_one(rank_order const& order, time_point now);
    void send_relayed(
        relayed_order const& relayed,
        std::map<std::uint32_t, endpoint> const& agents);

    group_coordination const& coordination_;
    datagram_link& link_;
    event_log& log_;
    std::string local_address_;
    direct_ways direct_;
    std::map<std::string, agent_contact> agents_;
};

} // namespace hornbeamweir
