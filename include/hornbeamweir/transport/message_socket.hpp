#pragma once

#include <hornbeamweir/settings/process_settings.hpp>
#include <hornbeamweir/transport/connection_limiter.hpp>
#include <hornbeamweir/transport/curve_authenticator.hpp>
#include <hornbeamweir/transport/peer.hpp>
#include <hornbeamweir/transport/zmq_endpoint.hpp>

#include <envelope.pb.h>
#include <map>

namespace hornbeamweir
{

/// \brief Exchanges envelopes with other processes, encrypted by CURVE.
/// \remarks Messages may be lost without notice; those for which it matters
/// carry sequence numbers.
class message_socket
{
public:
    using handler =
        std::function<void(peer const& from, wire::envelope const& message)>;

    struct counters
    {
        std::uint64_t sent = 0;
        std::uint64_t sent_bytes = 0;
        std::uint64_t received = 0;
        std::uint64_t received_bytes = 0;
        std::uint64_t undecodable = 0;
        std::uint64_t unsendable = 0;
        std::uint64_t refused = 0;
        /// Connections without a message that were ended to make room.
        std::uint64_t evicted = 0;
    };

    /// \param incarnation Random number that identifies this run of the
    /// process.
    message_socket(
        boost::asio::io_context& context,
        message_settings const& settings,
        process_name name,
        std::uint64_t incarnation,
        handler received,
        message_limits const& limits = {});
    message_socket(message_socket const&) = delete;
    message_socket& operator=(message_socket const&) = delete;
    ~message_socket();

    /// \brief Binds to the configured address and starts to receive.
    void listen();

    /// \brief Opens a connection that reconnects automatically; replaces an
    /// earlier one with the same id.
    /// \param id Routing id by which the peer is addressed from now on.
    void dial(
        std::string const& id,
        std::string const& address,
        std::string const& public_key);

    /// \brief Closes a connection opened by dial(); ignores unknown ids.
    void disconnect(std::string const& id);

    /// \brief Sends without waiting.
    /// \returns False if the peer is unknown or its queue is full.
    [[nodiscard]] bool send(peer const& to, wire::envelope message);

    [[nodiscard]] counters totals() const noexcept;

private:
    void on_frames(peer_side side, zmq_endpoint::frames parts);
    [[nodiscard]] zmq::socket_t make_router();

    boost::asio::io_context& context_;
    message_settings settings_;
    message_limits limits_;
    process_name name_;
    std::uint64_t incarnation_;
    handler received_;
    counters counters_;
    zmq::context_t zmq_context_;
    curve_authenticator authenticator_;
    std::shared_ptr<zmq_endpoint> listener_;
    std::shared_ptr<zmq_endpoint> dialler_;
    std::unique_ptr<connection_limiter> limiter_;
    std::map<std::string, std::string> dialled_;
};

/// \brief A pair of CURVE keys in Z85.
struct curve_keys
{
    std::string public_key;
    std::string secret_key;
};

/// \brief Generates a new key pair.
[[nodiscard]] curve_keys make_curve_keys();

} // namespace hornbeamweir
