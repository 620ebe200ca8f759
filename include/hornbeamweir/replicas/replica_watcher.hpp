#pragma once

#include <hornbeamweir/platform/platform.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>

namespace hornbeamweir
{

/// \brief Reads the registry of replicas at regular intervals.
/// \remarks Every replica renews its entry all the time, so that a watch would
/// bring nearly as much and cost a call for each renewal.
class replica_watcher
{
public:
    using snapshot = std::map<backend_server_id, replica>;

    replica_watcher(
        boost::asio::io_context& context,
        platform& service,
        relay_codec const& codec,
        event_log& log,
        std::function<void(snapshot)> taken);
    replica_watcher(replica_watcher const&) = delete;
    replica_watcher& operator=(replica_watcher const&) = delete;
    ~replica_watcher() = default;

    void start() { read(); }

private:
    void read();
    void on_read(result<range_reply> const& reply);
    [[nodiscard]] snapshot decode(range_reply const& reply);
    void later(duration delay);

    platform& platform_;
    relay_codec const& codec_;
    event_log& log_;
    std::function<void(snapshot)> taken_;
    boost::asio::steady_timer timer_;
    /// Keys that were reported as undecodable.
    std::set<std::string> reported_;
    bool lost_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
