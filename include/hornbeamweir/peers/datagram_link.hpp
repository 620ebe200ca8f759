#pragma once

#include <hornbeamweir/peers/datagram_traffic.hpp>
#include <hornbeamweir/peers/sender_admission.hpp>
#include <hornbeamweir/peers/stale_datagram_filter.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <peers.pb.h>
#include <string>

namespace hornbeamweir
{

/// \brief Exchanges datagrams with the system's other processes.
/// \remarks Carries soft state only, which is resent periodically, so that lost
/// datagrams are replaced. UDP is used because a connection could fail
/// without being noticed. Datagrams that arrive after a newer one of the same
/// sender and kind are dropped.
class datagram_link
{
public:
    using endpoint = boost::asio::ip::udp::endpoint;
    using handler =
        std::function<void(endpoint const& from, wire::datagram const&)>;

    /// \brief Binds; throws boost::system::system_error.
    /// \param incarnation Random number that identifies this run of the
    /// process.
    /// \param is_registered Whether a process is registered in the store.
    datagram_link(
        boost::asio::io_context& context,
        endpoint const& local,
        std::string role,
        std::string sender,
        std::uint64_t incarnation,
        metrics_registry& metrics,
        std::function<bool(process_name const&)> is_registered,
        handler received);
    datagram_link(datagram_link const&) = delete;
    datagram_link& operator=(datagram_link const&) = delete;
    ~datagram_link() = default;

    /// \brief Sends a datagram, with this process as its sender.
    void send(endpoint const& to, wire::datagram message);

    /// \brief Adds the traffic since the last call to the metrics.
    /// \param log Receives a line about it; null for none.
    void write_traffic(event_log* log) { traffic_.write(metrics_, log); }

private:
    /// Maximum size of a datagram in bytes.
    static constexpr std::size_t max_size = std::size_t{60} * 1024;

    void receive();
    void on_received(std::size_t size);

    boost::asio::ip::udp::socket socket_;
    std::string role_;
    std::string sender_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    sender_admission admission_;
    stale_datagram_filter filter_;
    datagram_traffic traffic_;
    metrics_registry& metrics_;
    handler received_;
    endpoint from_;
    std::array<char, max_size> buffer_{};
};

} // namespace hornbeamweir
