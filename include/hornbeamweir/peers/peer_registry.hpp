#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/platform/platform.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>

namespace hornbeamweir
{

/// \brief Registers this process in the platform's store, bound to a lease,
/// and finds the others there.
/// \remarks Reads the store rarely: a starting process reads the addresses of
/// all registered processes. They learn its address from the datagrams that it
/// sends to them (on_peer_alive).
class peer_registry
{
public:
    using endpoint = boost::asio::ip::udp::endpoint;

    /// \param role Kind of the process, such as "entry".
    peer_registry(
        boost::asio::io_context& context,
        platform& service,
        event_log& log,
        std::string role,
        process_name self,
        endpoint local);
    peer_registry(peer_registry const&) = delete;
    peer_registry& operator=(peer_registry const&) = delete;
    ~peer_registry() = default;

    /// \brief Registers this process and starts to read the others.
    void start() { request_lease(); }

    /// \brief Reads the others now, unless a read is in progress.
    void refresh();

    /// \brief Records the address of a process that has sent a datagram.
    void on_peer_alive(
        process_name const& who, std::string_view role, endpoint const& from);

    /// \brief Whether a process was registered when the store was last read.
    [[nodiscard]] bool is_registered(process_name const& who) const
    {
        return registered_.contains(who);
    }

    /// \brief Returns the known processes of a role, except this one.
    [[nodiscard]] std::map<process_name, endpoint> const&
    peers(std::string const& role) const;

    /// \returns The names of the known processes of a role, except this one.
    [[nodiscard]] std::set<process_name> names(std::string const& role) const;

    /// \brief Lease to which this process's keys are bound; 0 before it is
    /// granted.
    [[nodiscard]] std::int64_t lease() const noexcept { return lease_; }

private:
    void request_lease();
    void on_granted(result<std::int64_t> const& lease);
    void renew_lease();
    void read();
    void on_read(result<range_reply> const& reply);
    void schedule(
        boost::asio::steady_timer& timer,
        duration delay,
        void (peer_registry::*)());

    platform& platform_;
    event_log& log_;
    std::string role_;
    process_name self_;
    endpoint local_;
    boost::asio::steady_timer lease_timer_;
    boost::asio::steady_timer read_timer_;
    std::int64_t lease_ = 0;
    /// Era of the store in which the lease was granted.
    std::uint64_t lease_era_ = 0;
    bool reading_ = false;
    std::map<std::string, std::map<process_name, endpoint>> peers_;
    std::set<process_name> registered_;
    /// Number of peers that were heard, but not read from the store.
    std::size_t unregistered_peers_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
