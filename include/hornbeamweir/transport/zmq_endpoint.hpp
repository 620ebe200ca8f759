#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace hornbeamweir
{

/// \brief A ZeroMQ socket that is read on an Asio io_context.
class zmq_endpoint : public std::enable_shared_from_this<zmq_endpoint>
{
public:
    using frames = std::vector<zmq::message_t>;
    using handler = std::function<void(frames)>;

    zmq_endpoint(
        boost::asio::io_context& context,
        zmq::socket_t socket,
        handler received);
    zmq_endpoint(zmq_endpoint const&) = delete;
    zmq_endpoint& operator=(zmq_endpoint const&) = delete;
    ~zmq_endpoint();

    /// \brief Starts to read; call once, after construction in a shared_ptr.
    void start();

    /// \brief Sends without waiting.
    /// \returns False if the peer is unknown or its queue is full.
    [[nodiscard]] bool send(frames parts);

    /// \brief Stops reading and closes the socket.
    void stop();

    [[nodiscard]] zmq::socket_t& socket() noexcept { return socket_; }

private:
    void wait();
    void drain();
    void schedule_drain();
    [[nodiscard]] bool receive(frames& parts);

    boost::asio::io_context& context_;
    zmq::socket_t socket_;
    boost::asio::posix::stream_descriptor descriptor_;
    handler received_;
    bool drain_scheduled_ = false;
    bool stopped_ = false;
};

} // namespace hornbeamweir
