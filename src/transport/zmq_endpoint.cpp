#include <hornbeamweir/transport/zmq_endpoint.hpp>

#include <boost/asio/post.hpp>

namespace hornbeamweir
{

namespace
{

/// Maximum number of messages received before other handlers may run.
constexpr int max_messages_per_turn = 256;

} // namespace

zmq_endpoint::zmq_endpoint(
    boost::asio::io_context& context, zmq::socket_t socket, handler received)
    : context_{context}
    , socket_{std::move(socket)}
    , descriptor_{context, socket_.get(zmq::sockopt::fd)}
    , received_{std::move(received)}
{
}

// The descriptor belongs to the ZeroMQ socket, which closes it.
zmq_endpoint::~zmq_endpoint()
{
    if (descriptor_.is_open())
        descriptor_.release();
}

void zmq_endpoint::start()
{
    wait();
    schedule_drain();
}

void zmq_endpoint::stop()
{
    if (stopped_)
        return;
    stopped_ = true;
    descriptor_.release();
    socket_.close();
}

// The descriptor is edge-triggered and signals events of both directions, so
// every wake-up and every send must be followed by reading until empty.
void zmq_endpoint::wait()
{
    descriptor_.async_wait(
        boost::asio::posix::stream_descriptor::wait_read,
        [weak = weak_from_this()](boost::system::error_code ec)
        {
            std::shared_ptr<zmq_endpoint> const self = weak.lock();
            if (ec || !self || self->stopped_)
                return;
            self->drain();
            if (!self->stopped_)
                self->wait();
        });
}

void zmq_endpoint::schedule_drain()
{
    if (drain_scheduled_)
        return;
    drain_scheduled_ = true;
    boost::asio::post(
        context_,
        [weak = weak_from_this()]
        {
            std::shared_ptr<zmq_endpoint> const self = weak.lock();
            if (!self)
                return;
            self->drain_scheduled_ = false;
            self->drain();
        });
}

void zmq_endpoint::drain()
{
    for (int n = 0; n < max_messages_per_turn; ++n)
    {
        frames parts;
        if (stopped_ || !receive(parts))
            return;
        received_(std::move(parts));
    }
    schedule_drain();
}

bool zmq_endpoint::receive(frames& parts)
{
    bool more = true;
    while (more)
    {
        zmq::message_t part;
        if (!socket_.recv(part, zmq::recv_flags::dontwait))
            return false;
        more = part.more();
        parts.push_back(std::move(part));
    }
    return true;
}

bool zmq_endpoint::send(frames parts)
{
    if (stopped_)
        return false;
    schedule_drain();
    try
    {
        for (std::size_t n = 0; n < parts.size(); ++n)
        {
            zmq::send_flags flags = zmq::send_flags::dontwait;
            if (n + 1 < parts.size())
                flags = flags | zmq::send_flags::sndmore;
            if (!socket_.send(parts[n], flags))
                return false;
        }
    }
    catch (zmq::error_t const&)
    {
        return false;
    }
    return true;
}

} // namespace hornbeamweir
