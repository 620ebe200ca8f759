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
/// \remarks Polls with complete reads instead of a watch of the store: each
/// renewal of a registration would be an event of the watch, which would
/// transfer nearly as much and cost a call per renewal.
class replica_watcher
{
public:
    using snapshot = std::map<backend_server_id, replica>;

    /// \param updated Receives the replicas after each successful read, changed
    /// or not.
    replica_watcher(
        boost::asio::io_context& context,
        platform& store,
        relay_codec const& codec,
        event_log& log,
        std::function<void(snapshot)> updated);
    replica_watcher(replica_watcher const&) = delete;
    replica_watcher& operator=(replica_watcher const&) = delete;
    ~replica_watcher() = default;

    void start() { read(); }

private:
    void read();
    void on_read(result<range_reply> const& reply);
    [[nodiscard]] snapshot decode(range_reply const& reply);
    void schedule_read(duration delay);

    platform& platform_;
    relay_codec const& codec_;
    event_log& log_;
    std::function<void(snapshot)> updated_;
    boost::asio::steady_timer timer_;
    /// Undecodable keys that were logged; each is logged once.
    std::set<std::string> reported_keys_;
    bool unavailable_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
