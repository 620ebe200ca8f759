#include <hornbeamweir/transport/curve_authenticator.hpp>

#include <array>
#include <string_view>

namespace hornbeamweir
{

namespace
{

constexpr std::size_t z85_key_size = 40;
constexpr std::size_t raw_key_size = 32;

// Frames of a request as a ROUTER socket receives it: the routing id, a
// delimiter and the frames of RFC 27.
enum class zap_frame : std::size_t
{
    routing_id,
    delimiter,
    version,
    request_id,
    domain,
    address,
    identity,
    mechanism,
    key,
    count
};

zmq::message_t& frame_of(zmq_endpoint::frames& parts, zap_frame frame)
{
    return parts[static_cast<std::size_t>(frame)];
}

std::string public_key_of(zmq::message_t const& raw)
{
    if (raw.size() != raw_key_size)
        return {};
    std::array<char, z85_key_size + 1> buf{};
    zmq_z85_encode(buf.data(), raw.data<std::uint8_t>(), raw.size());
    return {buf.data(), z85_key_size};
}

zmq::message_t make_frame(std::string_view value)
{
    return zmq::message_t{value.data(), value.size()};
}

std::shared_ptr<zmq_endpoint> make_endpoint(
    boost::asio::io_context& context,
    zmq::context_t& zmq_context,
    zmq_endpoint::handler handler)
{
    zmq::socket_t socket{zmq_context, zmq::socket_type::router};
    socket.set(zmq::sockopt::linger, 0);
    socket.bind("inproc://zeromq.zap.01");
    return std::make_shared<zmq_endpoint>(
        context, std::move(socket), std::move(handler));
}

} // namespace

curve_authenticator::curve_authenticator(
    boost::asio::io_context& context,
    zmq::context_t& zmq_context,
    std::vector<std::string> const& allowed_keys)
    : allowed_{allowed_keys.begin(), allowed_keys.end()}
    , endpoint_{make_endpoint(
          context,
          zmq_context,
          [this](zmq_endpoint::frames parts) { on_request(std::move(parts)); })}
{
    endpoint_->start();
}

curve_authenticator::~curve_authenticator()
{
    endpoint_->stop();
}

void curve_authenticator::on_request(zmq_endpoint::frames request)
{
    if (request.size() < static_cast<std::size_t>(zap_frame::count))
        return;
    std::string const key = public_key_of(frame_of(request, zap_frame::key));
    bool const is_curve =
        frame_of(request, zap_frame::mechanism).to_string_view() == "CURVE";
    bool const accepted = is_curve && allowed_.contains(key);
    if (!accepted)
        ++rejected_;

    zmq_endpoint::frames reply;
    reply.push_back(std::move(frame_of(request, zap_frame::routing_id)));
    reply.push_back(std::move(frame_of(request, zap_frame::delimiter)));
    reply.push_back(make_frame("1.0"));
    reply.push_back(std::move(frame_of(request, zap_frame::request_id)));
    reply.push_back(make_frame(accepted ? "200" : "400"));
    reply.push_back(make_frame(accepted ? "OK" : "unknown key"));
    reply.push_back(make_frame(key));
    reply.push_back(make_frame(""));
    static_cast<void>(endpoint_->send(std::move(reply)));
}

} // namespace hornbeamweir
