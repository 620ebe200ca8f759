#include <hornbeamweir/transport/connection_limiter.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstring>
#include <sys/socket.h>

namespace hornbeamweir
{

namespace
{

namespace asio = boost::asio;

constexpr char const* events_address = "inproc://message-port-events";
/// Events that wait to be read. Beyond them, ZeroMQ accepts no connection.
constexpr int max_events = 4096;

/// \brief First frame of an event of a monitored socket, in the order of the
/// processor, without padding (zmq_socket_monitor).
struct monitor_event
{
    std::uint16_t kind = 0;
    std::int32_t value = 0;
};

monitor_event parse_event(zmq::message_t const& frame)
{
    monitor_event out;
    if (frame.size() < sizeof(out.kind) + sizeof(out.value))
        return out;
    char const* const bytes = frame.data<char>();
    std::memcpy(&out.kind, bytes, sizeof(out.kind));
    std::memcpy(&out.value, bytes + sizeof(out.kind), sizeof(out.value));
    return out;
}

using address_reader = int (*)(int, sockaddr*, socklen_t*);

/// \param read getpeername or getsockname.
/// \returns No value if the descriptor is no connection, or not any more.
std::optional<asio::ip::tcp::endpoint>
endpoint_of(int descriptor, address_reader read)
{
    asio::ip::tcp::endpoint out;
    socklen_t size = static_cast<socklen_t>(out.capacity());
    if (read(descriptor, out.data(), &size) != 0)
        return std::nullopt;
    out.resize(size);
    return out;
}

} // namespace

connection_limiter::connection_limiter(
    boost::asio::io_context& context,
    zmq::context_t& zmq_context,
    zmq::socket_t& listener,
    std::uint16_t port,
    std::size_t max_connections)
    : listener_{listener}
    , port_{port}
    , connections_{max_connections}
{
    if (zmq_socket_monitor(
            listener_.handle(),
            events_address,
            ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED) != 0)
        throw zmq::error_t{};
    zmq::socket_t events{zmq_context, zmq::socket_type::pair};
    events.set(zmq::sockopt::linger, 0);
    events.set(zmq::sockopt::rcvhwm, max_events);
    events.connect(events_address);
    events_ = std::make_shared<zmq_endpoint>(
        context,
        std::move(events),
        [this](zmq_endpoint::frames const& parts) { on_event(parts); });
    events_->start();
}

connection_limiter::~connection_limiter()
{
    zmq_socket_monitor(listener_.handle(), nullptr, 0);
    events_->stop();
}

void connection_limiter::on_message(zmq::message_t const& message)
{
    connections_.on_message(zmq_msg_get(message.handle(), ZMQ_SRCFD));
}

void connection_limiter::on_event(zmq_endpoint::frames const& parts)
{
    monitor_event const event = parse_event(parts.front());
    if (event.kind == ZMQ_EVENT_DISCONNECTED)
    {
        connections_.on_closed(event.value);
        return;
    }
    if (event.kind != ZMQ_EVENT_ACCEPTED)
        return;
    std::optional<asio::ip::tcp::endpoint> const peer =
        endpoint_of(event.value, ::getpeername);
    std::optional<int> const excess = connections_.on_accepted(
        event.value, peer ? peer->address().to_string() : "");
    if (excess)
        end(*excess);
}

// The descriptor belongs to ZeroMQ, which closes it once it finds that the
// connection has ended. If it did so before, the number may be that of another
// socket: one of the same port connects again, others are left alone.
void connection_limiter::end(int descriptor)
{
    std::optional<asio::ip::tcp::endpoint> const local =
        endpoint_of(descriptor, ::getsockname);
    if (!local || local->port() != port_)
        return;
    ++ended_;
    ::shutdown(descriptor, SHUT_RDWR);
}

} // namespace hornbeamweir
