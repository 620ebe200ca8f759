#pragma once

#include <hornbeamweir/platform/change_poller.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/replicas/evacuation_register.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hornbeamweir
{

/// \brief Reads what operators have written, the configuration and the
/// evacuations, and long-polls the platform for changes.
/// \remarks Both have a common key prefix, so that one call serves both.
/// Recovers from outages of the platform, and reads again if the
/// history since the last revision is no longer available.
class route_configuration_watcher
{
public:
    using clock_function = time_point (*)() noexcept;

    /// \param updated Receives a configuration, and a time at which it was the
    /// newest.
    /// \param confirmed Receives a time at which no newer configuration
    /// existed.
    /// \param evacuated Receives the complete set of evacuated data centres
    /// after each call, changed or not.
    route_configuration_watcher(
        boost::asio::io_context& context,
        platform& store,
        change_poller& poller,
        relay_codec const& codec,
        event_log& log,
        clock_function clock,
        std::function<void(route_configuration, time_point)> updated,
        std::function<void(time_point)> confirmed,
        std::function<void(evacuations)> evacuated);
    route_configuration_watcher(route_configuration_watcher const&) = delete;
    route_configuration_watcher&
    operator=(route_configuration_watcher const&) = delete;
    ~route_configuration_watcher() = default;

    void start() { read(); }

    /// \brief Sets whether to wait for changes, or to read only on request.
    void set_continuous(bool continuous);
    /// \brief Sets the time that one call waits for changes; std::nullopt for
    /// the usual one.
    void set_poll_wait(std::optional<duration> wait);
    /// \brief Reads now, unless a call is in progress.
    void read_once();

private:
    void read();
    void on_read(result<range_reply> const& reply, time_point requested_at);
    void poll();
    void on_changes(
        result<change_batch> const& batch,
        time_point requested_at,
        duration wait);
    void on_configuration(std::string const& bytes, time_point as_of);
    /// Applies one changed key.
    /// \returns Whether it is the configuration.
    bool on_change(watch_event const& change, time_point as_of);
    void report_evacuations();
    void schedule_read(duration delay);
    void log_outage(error const& reason);
    void log_recovery();

    platform& platform_;
    change_poller& poller_;
    relay_codec const& codec_;
    event_log& log_;
    clock_function clock_;
    std::function<void(route_configuration, time_point)> updated_;
    std::function<void(time_point)> confirmed_;
    std::function<void(evacuations)> evacuated_;
    boost::asio::steady_timer timer_;
    store_position position_;
    std::set<data_centre_id> evacuated_data_centres_;
    duration poll_wait_;
    bool continuous_ = true;
    /// Whether a call or a timer for the next one is pending.
    bool busy_ = false;
    bool unavailable_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
