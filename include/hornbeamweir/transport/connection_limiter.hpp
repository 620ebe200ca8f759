#pragma once

#include <hornbeamweir/transport/connection_table.hpp>
#include <hornbeamweir/transport/zmq_endpoint.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief Limits the connections of a listening ZeroMQ socket, which by itself
/// accepts as many as the process has descriptors.
class connection_limiter
{
public:
    /// \param listener Must live as long as the limiter, and not listen yet.
    /// \param port The port on which it will listen.
    connection_limiter(
        boost::asio::io_context& context,
        zmq::context_t& zmq_context,
        zmq::socket_t& listener,
        std::uint16_t port,
        std::size_t max_connections);
    connection_limiter(connection_limiter const&) = delete;
    connection_limiter& operator=(connection_limiter const&) = delete;
    ~connection_limiter();

    /// \brief Records the connection of a message received from the listener.
    void on_message(zmq::message_t const& message);

    /// \brief Returns the number of connections that were ended to make room.
    [[nodiscard]] std::uint64_t ended() const noexcept { return ended_; }

private:
    void on_event(zmq_endpoint::frames const& parts);
    void end(int descriptor);

    zmq::socket_t& listener_;
    std::uint16_t port_;
    connection_table connections_;
    std::uint64_t ended_ = 0;
    std::shared_ptr<zmq_endpoint> events_;
};

} // namespace hornbeamweir
