#include <hornbeamweir/peers/datagram_link.hpp>

namespace hornbeamweir
{

datagram_link::datagram_link(
    boost::asio::io_context& context,
    endpoint const& local,
    std::string role,
    std::string sender,
    std::uint64_t incarnation,
    metrics_registry& metrics,
    std::function<bool(process_name const&)> is_registered,
    handler received)
    : socket_{context, local}
    , role_{std::move(role)}
    , sender_{std::move(sender)}
    , incarnation_{incarnation}
    , admission_{std::move(is_registered)}
    , metrics_{metrics}
    , received_{std::move(received)}
{
    socket_.non_blocking(true);
    receive();
}

void datagram_link::send(endpoint const& to, wire::datagram message)
{
    message.set_role(role_);
    message.set_sender(sender_);
    message.set_incarnation(incarnation_);
    message.set_sequence(++sequence_);
    std::string const bytes = message.SerializeAsString();
    traffic_.on_datagram(
        datagram_traffic::direction::sent, message, bytes.size());
    // A datagram that the socket cannot accept is dropped, as on a lossy
    // network.
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(bytes), to, 0, ignored);
}

void datagram_link::receive()
{
    socket_.async_receive_from(
        boost::asio::buffer(buffer_),
        from_,
        [this](boost::system::error_code ec, std::size_t size)
        {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (!ec)
                on_received(size);
            receive();
        });
}

void datagram_link::on_received(std::size_t size)
{
    wire::datagram message;
    if (!message.ParseFromArray(buffer_.data(), static_cast<int>(size)))
    {
        metrics_.count(
            "hornbeamweir_datagrams_dropped_total",
            {{"reason", "undecodable"}});
        return;
    }
    traffic_.on_datagram(datagram_traffic::direction::received, message, size);
    if (!admission_.admit(
            message.sender(), message.role(), process_clock::now()))
    {
        metrics_.count(
            "hornbeamweir_datagrams_dropped_total",
            {{"reason", "unknown_sender"}});
        return;
    }
    if (filter_.is_newest(message))
        received_(from_, message);
    else
        metrics_.count(
            "hornbeamweir_datagrams_dropped_total", {{"reason", "overtaken"}});
}

} // namespace hornbeamweir
