#include "order_sender.hpp"

#include <hornbeamweir/core/socket_address.hpp>

#include <sstream>

namespace hornbeamweir
{

namespace
{

std::string to_text(datagram_link::endpoint const& address)
{
    std::ostringstream out;
    out << address;
    return std::move(out).str();
}

} // namespace

order_sender::order_sender(
    group_coordination const& coordination,
    datagram_link& link,
    event_log& log,
    std::string local_address,
    direct_ways direct)
    : coordination_{coordination}
    , link_{link}
    , log_{log}
    , local_address_{std::move(local_address)}
    , direct_{std::move(direct)}
{
}

void order_sender::on_agent_report(
    std::string const& address, endpoint const& agent, time_point now)
{
    agents_[address] = {agent, now};
}

std::optional<order_sender::endpoint>
order_sender::reporting_agent(std::string const& address, time_point now) const
{
    auto const it = agents_.find(address);
    bool const is_silent =
        it == agents_.end() ||
        now - it->second.last_contact >= max_report_age(coordination_.ranks());
    return is_silent ? std::nullopt : std::optional{it->second.agent};
}

// Orders of a new map are large, so agents pass them on to each other.
void order_sender::send(std::vector<rank_order> const& orders, time_point now)
{
    std::vector<rank_order> relayed;
    std::map<std::uint32_t, endpoint> agents;
    for (rank_order const& it : orders)
    {
        std::string const address = coordination_.address_of(it.rank);
        std::optional<endpoint> const agent = reporting_agent(address, now);
        if (it.may_be_relayed && address != local_address_ && agent)
        {
            agents.emplace(it.rank, *agent);
            relayed.push_back(it);
        }
        else
            send_one(it, now);
    }
    for (relayed_order const& it : plan_relay(relayed))
        send_relayed(it, agents);
}

void order_sender::send_relayed(
    relayed_order const& relayed,
    std::map<std::uint32_t, endpoint> const& agents)
{
    wire::datagram message;
    *message.mutable_order() = to_wire(relayed.order);
    for (order_recipient const& it : relayed.recipients)
    {
        wire::order_recipient& to = *message.mutable_order()->add_recipients();
        to.set_rank(it.rank);
        to.set_expected_orders(it.expected_orders);
        to.set_agent(to_text(agents.at(it.rank)));
    }
    link_.send(agents.at(relayed.order.rank), std::move(message));
}

// Holds and releases go directly to the rank, so that the failure of the
// coordinator's or the rank's VM does not affect the other. Other orders go
// through the rank's agent, whose calls to it cause no traffic cost, or
// directly if the agent is silent.
void order_sender::send_one(rank_order const& order, time_point now)
{
    std::string const address = coordination_.address_of(order.rank);
    if (address.empty())
        return;
    if (address == local_address_)
    {
        direct_.to_local_rank(order);
        return;
    }
    bool const avoids_agent = order.operation == rank_operation::hold ||
                              order.operation == rank_operation::release;
    std::optional<endpoint> const agent = reporting_agent(address, now);
    if (avoids_agent || !agent)
    {
        direct_.to_address(address, order);
        return;
    }
    wire::datagram message;
    *message.mutable_order() = to_wire(order);
    link_.send(*agent, std::move(message));
}

void order_sender::pass_on(wire::rank_order const& order)
{
    // A datagram could name thousands of recipients.
    if (static_cast<std::uint32_t>(order.recipients_size()) >
        coordination_.ranks())
    {
        event line{"order_not_passed_on"};
        line.with("rank", order.rank())
            .with("version", order.version())
            .with("recipients", order.recipients_size())
            .with("reason", "found more recipients than ranks");
        log_.warning(line);
        return;
    }
    for (passed_on_order& it : orders_to_pass_on(order))
    {
        std::optional<boost::asio::ip::tcp::endpoint> const to =
            tcp_endpoint(it.agent);
        if (!to)
        {
            event line{"order_not_passed_on"};
            line.with("rank", it.message.rank())
                .with("version", order.version())
                .with("reason", "found no agent address");
            log_.warning(line);
            continue;
        }
        wire::datagram message;
        *message.mutable_order() = std::move(it.message);
        link_.send(endpoint{to->address(), to->port()}, std::move(message));
    }
}

} // namespace hornbeamweir
