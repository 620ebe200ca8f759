#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/transport/message_socket.hpp>

#include <google/protobuf/stubs/logging.h>

#include <array>

namespace hornbeamweir
{

namespace
{

constexpr int io_threads = 1;
constexpr int queue_length = 10'000;
constexpr int linger_ms = 500;
constexpr int handshake_timeout_ms = 5'000;
constexpr int reconnect_ms = 50;
constexpr int reconnect_max_ms = 1'000;
constexpr std::size_t frames_per_message = 2;

} // namespace

message_socket::message_socket(
    boost::asio::io_context& context,
    message_settings const& settings,
    process_name name,
    std::uint64_t incarnation,
    handler received,
    message_limits const& limits)
    : context_{context}
    , settings_{settings}
    , limits_{limits}
    , name_{std::move(name)}
    , incarnation_{incarnation}
    , received_{std::move(received)}
    , zmq_context_{io_threads}
    , authenticator_{context, zmq_context_, settings.allowed_keys}
{
    // Undecodable messages are counted; Protocol Buffers' own log would bypass
    // the event log.
    google::protobuf::SetLogHandler(nullptr);
    listener_ = std::make_shared<zmq_endpoint>(
        context,
        make_router(),
        [this](zmq_endpoint::frames parts)
        {
            if (limiter_)
                limiter_->on_message(parts.back());
            on_frames(peer_side::accepted, std::move(parts));
        });
    dialler_ = std::make_shared<zmq_endpoint>(
        context,
        make_router(),
        [this](zmq_endpoint::frames parts)
        { on_frames(peer_side::dialled, std::move(parts)); });
}

message_socket::~message_socket()
{
    limiter_.reset();
    listener_->stop();
    dialler_->stop();
}

zmq::socket_t message_socket::make_router()
{
    zmq::socket_t socket{zmq_context_, zmq::socket_type::router};
    socket.set(zmq::sockopt::linger, linger_ms);
    socket.set(zmq::sockopt::sndhwm, queue_length);
    socket.set(zmq::sockopt::rcvhwm, queue_length);
    socket.set(
        zmq::sockopt::maxmsgsize,
        static_cast<std::int64_t>(limits_.max_message_bytes));
    socket.set(zmq::sockopt::handshake_ivl, handshake_timeout_ms);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
    socket.set(zmq::sockopt::router_mandatory, true);
    socket.set(zmq::sockopt::ipv6, true);
    socket.set(
        zmq::sockopt::routing_id,
        name_.str() + "#" + std::to_string(incarnation_));
    socket.set(zmq::sockopt::curve_publickey, settings_.public_key);
    socket.set(zmq::sockopt::curve_secretkey, settings_.secret_key);
    return socket;
}

void message_socket::listen()
{
    zmq::socket_t& socket = listener_->socket();
    std::optional<boost::asio::ip::tcp::endpoint> const address =
        tcp_endpoint(settings_.address);
    limiter_ = std::make_unique<connection_limiter>(
        context_,
        zmq_context_,
        socket,
        address ? address->port() : 0,
        limits_.max_connections);
    socket.set(zmq::sockopt::curve_server, true);
    socket.bind("tcp://" + settings_.address);
    listener_->start();
    dialler_->start();
}

void message_socket::dial(
    std::string const& id,
    std::string const& address,
    std::string const& public_key)
{
    disconnect(id);
    std::string const target = "tcp://" + address;
    zmq::socket_t& socket = dialler_->socket();
    try
    {
        socket.set(zmq::sockopt::connect_routing_id, id);
        socket.set(zmq::sockopt::curve_serverkey, public_key);
        socket.connect(target);
        dialled_[id] = target;
    }
    catch (zmq::error_t const&)
    {
        ++counters_.unsendable;
    }
}

void message_socket::disconnect(std::string const& id)
{
    auto const it = dialled_.find(id);
    if (it == dialled_.end())
        return;
    try
    {
        dialler_->socket().disconnect(it->second);
    }
    catch (zmq::error_t const&)
    {
        ++counters_.unsendable;
    }
    dialled_.erase(it);
}

bool message_socket::send(peer const& to, wire::envelope message)
{
    message.set_sender(name_.str());
    message.set_incarnation(incarnation_);
    zmq::message_t body{message.ByteSizeLong()};
    message.SerializeToArray(body.data(), static_cast<int>(body.size()));
    std::size_t const size = body.size();
    zmq_endpoint::frames parts;
    parts.emplace_back(to.id.data(), to.id.size());
    parts.push_back(std::move(body));
    zmq_endpoint& endpoint =
        to.side == peer_side::dialled ? *dialler_ : *listener_;
    if (!endpoint.send(std::move(parts)))
    {
        ++counters_.unsendable;
        return false;
    }
    ++counters_.sent;
    counters_.sent_bytes += size;
    return true;
}

void message_socket::on_frames(peer_side side, zmq_endpoint::frames parts)
{
    wire::envelope message;
    bool const valid =
        parts.size() == frames_per_message &&
        message.ParseFromArray(
            parts[1].data(), static_cast<int>(parts[1].size())) &&
        message.body_case() != wire::envelope::BODY_NOT_SET;
    if (!valid)
    {
        ++counters_.undecodable;
        return;
    }
    ++counters_.received;
    counters_.received_bytes += parts[1].size();
    received_({side, parts[0].to_string()}, message);
}

message_socket::counters message_socket::totals() const noexcept
{
    counters totals = counters_;
    totals.refused = authenticator_.rejected();
    totals.evicted = limiter_ ? limiter_->ended() : 0;
    return totals;
}

curve_keys make_curve_keys()
{
    constexpr std::size_t z85_size = 41;
    std::array<char, z85_size> public_key{};
    std::array<char, z85_size> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return {public_key.data(), secret_key.data()};
}

} // namespace hornbeamweir
