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
    using clock_function = time_point (*)() noexcept;

    /// \param updated Receives the replicas after each successful read, changed
    /// or not.
    replica_watcher(
        boost::asio::io_context& context,
        platform& store,
        relay_codec const& codec,
        event_log& log,
        clock_function clock,
        std::function<void(snapshot)> updated);
    replica_watcher(replica_watcher const&) = delete;
    replica_watcher& operator=(replica_watcher const&) = delete;
    ~replica_watcher() = default;

    void start() { read(); }

    /// \brief Sets whether to read at regular intervals, or only on request.
    void set_continuous(bool continuous);
    /// \brief Reads now, unless a read is in progress.
    void read_once();
    /// \brief Records that the replicas last read were the newest at a time.
    void confirm(time_point as_of);

    /// \returns Hash of the replicas last read; 0 before the first read.
    [[nodiscard]] std::uint64_t hash() const noexcept { return hash_; }
    /// \returns A time at which they were the newest.
    [[nodiscard]] time_point as_of() const noexcept { return as_of_; }

private:
    void read();
    void on_read(result<range_reply> const& reply, time_point requested_at);
    [[nodiscard]] snapshot decode(range_reply const& reply);
    /// \returns Era in which a registration was first read.
    [[nodiscard]] std::uint64_t era_of(
        backend_server_id const& id, std::int64_t registration_revision) const;
    void schedule_read(duration delay);

    platform& platform_;
    relay_codec const& codec_;
    event_log& log_;
    std::function<void(snapshot)> updated_;
    boost::asio::steady_timer timer_;
    /// Undecodable keys that were logged; each is logged once.
    std::set<std::string> reported_keys_;
    clock_function clock_;
    snapshot last_;
    /// Era of the store at the last read.
    std::uint64_t era_ = 0;
    std::uint64_t hash_ = 0;
    time_point as_of_{};
    bool continuous_ = true;
    bool reading_ = false;
    bool unavailable_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
