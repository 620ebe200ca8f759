#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/core/suspend_clock.hpp>
#include <hornbeamweir/daemon/relay_daemon.hpp>
#include <hornbeamweir/peers/crash_messages.hpp>
#include <hornbeamweir/peers/datagram_link.hpp>
#include <hornbeamweir/peers/peer_registry.hpp>
#include <hornbeamweir/peers/rate_messages.hpp>
#include <hornbeamweir/relay/load_report_schedule.hpp>
#include <hornbeamweir/replicas/replica_watcher.hpp>
#include <hornbeamweir/routes/route_configuration_watcher.hpp>
#include <hornbeamweir/telemetry/console_log.hpp>

#include "admin_endpoint.hpp"
#include "crash_exchange.hpp"
#include "daemon_loop.hpp"
#include "limit_report.hpp"
#include "port_limits.hpp"
#include "relay_exchanges.hpp"
#include "state_exchange.hpp"
#include "store_era_monitor.hpp"
#include "unreadable_request.hpp"

#include <boost/json/serialize.hpp>

namespace hornbeamweir
{

namespace
{

constexpr std::string_view entry_role = "entry";
constexpr duration traffic_interval = std::chrono::seconds{1};
/// Interval at which the settings file is checked for changes made without a
/// signal.
constexpr duration settings_check_interval = std::chrono::seconds{2};
/// The load balancer in front checks readiness once a second and reacts to the
/// second failure, so new connections arrive for about two seconds after a
/// signal.
constexpr duration min_drain_time = std::chrono::milliseconds{2500};
/// The process stops this long before the end of its grace period.
constexpr duration grace_margin = std::chrono::milliseconds{400};
/// Time for the last responses to be sent.
constexpr std::chrono::milliseconds linger{100};

duration seconds_of(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{value});
}

relay::relay_settings
make_core_settings(relay_entry_settings const& settings, time_point started_at)
{
    // Reserves time for the request to reach its replica before the
    // confirmation of the configuration expires.
    constexpr std::chrono::milliseconds margin{500};
    relay::relay_settings out;
    out.name = settings.name;
    out.data_centre = settings.data_centre;
    out.max_staleness = std::chrono::duration_cast<duration>(
                            std::chrono::duration<double, std::milli>{
                                settings.key_withdrawal_ms}) -
                        margin;
    out.retry_budget.ratio = settings.retry_ratio;
    out.retry_budget.allowance = settings.retry_allowance;
    out.retry_budget.window = seconds_of(settings.retry_window_s);
    out.started_at = started_at;
    return out;
}

boost::asio::ip::udp::endpoint udp_endpoint(std::string const& address)
{
    std::optional<boost::asio::ip::tcp::endpoint> const parsed =
        tcp_endpoint(address);
    return parsed ? boost::asio::ip::udp::
                        endpoint{parsed->address(), parsed->port()}
                  : boost::asio::ip::udp::endpoint{};
}

} // namespace

class relay_daemon::impl
{
public:
    impl(
        relay_entry_settings settings,
        std::function<settings_result<relay_entry_settings>()> reader,
        relay_codec const& codec,
        platform_factory const& connect)
        : settings_{std::move(settings)}
        , read_settings_{std::move(reader)}
        , codec_{codec}
        , log_{settings_.log, settings_.name.str()}
        , random_{system_seed()}
        , core_{make_core_settings(settings_, started_at_), log_, metrics_, random_source{random_.next()}}
        , exchanges_{loop_.context(), budget_, max_relayed_connections(settings_.limits), core_, codec_, suspend_aware_now, [this] { report_loads(); }}
        , callers_{loop_.context(), settings_.callers_address, relayed_caller_limits({}, settings_.limits), [this](std::shared_ptr<http_exchange> exchange, http_request_message request) { exchanges_.accept(std::move(exchange), std::move(request)); }, reject_unreadable_request, budget_}
        , readiness_{loop_.context(), settings_.readiness_address, internal_port_limits(), [this](std::shared_ptr<http_exchange> exchange, http_request_message const& request) { handle_readiness_request(*exchange, request); }, reject_unreadable_request}
        , admin_{loop_.context(), settings_.metrics_address, metrics_, admin_pages{[this] { return ready(); }, [this] { return status(); }, {}}}
        , platform_{connect(loop_.context(), settings_.platform_address)}
        , routes_{loop_.context(), *platform_, *platform_, codec_, log_, suspend_aware_now, [this](route_configuration next, time_point as_of) { apply_configuration(std::move(next), as_of); }, [this](time_point as_of) { core_.routes().confirm(as_of); }, [this](evacuations const& next) { exchanges_.apply(core_.on_evacuations(next, "store", suspend_aware_now())); }}
        , replicas_{loop_.context(), *platform_, codec_, log_, suspend_aware_now, [this](replica_watcher::snapshot snapshot) { apply_replicas(std::move(snapshot)); }}
        , registry_{loop_.context(), *platform_, log_, std::string{entry_role}, settings_.name, udp_endpoint(settings_.peers_address)}
        , link_{loop_.context(), udp_endpoint(settings_.peers_address), std::string{entry_role}, settings_.name.str(), random_.next(), metrics_, [this](process_name const& who) { return registry_.is_registered(who); }, [this](boost::asio::ip::udp::endpoint const& from, wire::datagram const& message) { on_datagram(from, message); }}
        , state_{settings_.name, std::string{entry_role}, core_.routes(), routes_, replicas_, core_.evacuated(), [this](evacuations const& next, evacuation_register::retained_map const& retained) { adopt_evacuations(next, retained); }, registry_, link_, log_, metrics_}
        , crashes_{settings_.name, std::string{entry_role}, core_.quarantine(), registry_, link_, random_source{random_.next()}}
    {
        core_.loads().set_registered_entries(
            [this] { return registry_.names(std::string{entry_role}); });
    }

    void run()
    {
        event line{"started"};
        line.with("data_centre", settings_.data_centre)
            .with("callers", settings_.callers_address)
            .with("platform", settings_.platform_address);
        log_.info(line);
        routes_.start();
        replicas_.start();
        registry_.start();
        loop_.set_reload_handler([this] { reload("signal"); });
        loop_.run(
            [this] { tick(); }, [this] { drain(); }, [this] { return idle(); });
        event stopped{"stopped"};
        stopped.with("connections", callers_.totals().open)
            .with("accepted", callers_.totals().accepted);
        log_.info(stopped);
    }

private:
    void tick()
    {
        time_point const now = suspend_aware_now();
        store_era_.on_tick();
        exchanges_.apply(core_.on_tick(now));
        report_loads();
        state_.on_tick(now);
        crashes_.on_tick(now);
        if (now - traffic_written_at_ >= traffic_interval)
        {
            traffic_written_at_ = now;
            link_.write_traffic(&log_);
        }
        limits_.on_tick(now);
        if (now - settings_checked_at_ >= settings_check_interval)
        {
            settings_checked_at_ = now;
            reload("interval");
        }
        if (draining_ && !callers_closed_ &&
            now - drain_began_at_ >= min_drain_time)
            close_callers();
        bool const is_ready = ready();
        if (is_ready != was_ready_)
        {
            event line{"readiness_changed"};
            line.with("ready", is_ready ? "yes" : "no")
                .with("replicas", core_.replicas().size())
                .with(
                    "staleness_ms",
                    core_.routes().staleness(now).count() / 1000);
            log_.info(line);
            was_ready_ = is_ready;
        }
    }

    void apply_configuration(route_configuration next, time_point as_of)
    {
        std::uint64_t const version = next.version;
        http_limits const limits =
            relayed_caller_limits(next.limits, settings_.limits);
        if (!core_.routes().update(std::move(next), as_of))
            return;
        callers_.set_limits(limits);
        event line{"configuration_in_force"};
        line.with("version", version);
        log_.info(line);
    }

    void adopt_evacuations(
        evacuations const& next,
        evacuation_register::retained_map const& retained)
    {
        time_point const now = suspend_aware_now();
        exchanges_.apply(core_.on_evacuations(next, "entry", now));
        exchanges_.apply(
            core_.on_retained_evacuations(retained, next.era, now));
    }

    void apply_replicas(replica_watcher::snapshot snapshot)
    {
        core_.cold().on_replicas(snapshot, suspend_aware_now());
        for (replica_directory::change const& it :
             core_.replicas().update(std::move(snapshot), suspend_aware_now()))
        {
            event line{"replica_changed"};
            line.with("change", it.kind)
                .with("replica", it.registration.id)
                .with("service", it.registration.service)
                .with("address", it.registration.address)
                .with("draining", it.registration.draining ? "yes" : "no");
            log_.info(line);
        }
    }

    void report_loads()
    {
        time_point const now = suspend_aware_now();
        if (!load_reports_.is_due(core_.loads(), now))
            return;
        load_reports_.on_reported(core_.loads(), now);
        wire::datagram message;
        for (auto const& [id, n] : core_.loads().local_in_flight())
        {
            wire::replica_load& load = *message.mutable_load()->add_loads();
            load.set_replica(id.str());
            load.set_in_flight(n);
        }
        encode_rates(core_.rate_limits().seen(), now, *message.mutable_load());
        encode_cold(core_.cold().seen(now), *message.mutable_load());
        for (auto const& [name, to] : registry_.peers(std::string{entry_role}))
            link_.send(to, message);
    }

    void on_datagram(
        boost::asio::ip::udp::endpoint const& from,
        wire::datagram const& message)
    {
        time_point const now = suspend_aware_now();
        process_name const sender{message.sender()};
        registry_.on_peer_alive(sender, message.role(), from);
        if (message.has_load())
        {
            std::map<backend_server_id, std::uint32_t> loads;
            for (wire::replica_load const& it : message.load().loads())
            {
                backend_server_id id{it.replica()};
                if (core_.replicas().find(id))
                    loads[std::move(id)] = it.in_flight();
            }
            core_.loads().on_peer_load(sender, std::move(loads), now);
            relay::replica_rate_limits::observations rates =
                decode_rates(message.load(), now);
            std::erase_if(
                rates,
                [this](auto const& it)
                { return !core_.replicas().find(it.first); });
            core_.rate_limits().on_peer_report(sender, rates);
            for (auto const& [id, remaining] : decode_cold(message.load()))
                core_.cold().on_reported(
                    id, remaining, cold_source::peer_report, now);
        }
        else if (message.has_crashes())
            exchanges_.apply(core_.on_crash_report(
                decode_crash_report(message.crashes(), now), now));
        else if (message.has_question())
            state_.on_question(from, message.question(), now);
        else if (message.has_answer())
            state_.on_answer(message.answer(), now);
        else if (message.has_report())
        {
            wire::rank_report const& report = message.report();
            replica const* const rank =
                core_.replicas().find_by_address(report.address());
            if (rank)
            {
                core_.on_rank_status(
                    rank->id,
                    {report.open(), std::max(1.0, report.pace()), now});
            }
        }
    }

    void handle_readiness_request(
        http_exchange& exchange, http_request_message const& request)
    {
        constexpr unsigned ok = 200;
        constexpr unsigned unavailable = 503;
        constexpr unsigned not_found = 404;
        constexpr char const* type = "text/plain";
        if (request.target != codec_.readiness_path())
            send_response(exchange, not_found, type, "not found\n");
        else if (ready())
            send_response(exchange, ok, type, "ready\n");
        else
            send_response(exchange, unavailable, type, "not ready\n");
    }

    [[nodiscard]] bool ready() const
    {
        return !draining_ && core_.ready(suspend_aware_now());
    }

    [[nodiscard]] std::string status() const
    {
        boost::json::object out;
        out["open_requests"] = core_.open_requests();
        out["connections_opened"] = exchanges_.totals().opened;
        out["connections_reused"] = exchanges_.totals().reused;
        out["answers_skipped"] = exchanges_.totals().skipped;
        return boost::json::serialize(out);
    }

    void drain()
    {
        draining_ = true;
        drain_began_at_ = suspend_aware_now();
        callers_.close_after_responses();
        event line{"draining"};
        line.with("open_requests", core_.open_requests());
        log_.info(line);
    }

    // Callers that connect from now on would not be served before the process
    // stops.
    void close_callers()
    {
        callers_closed_ = true;
        std::uint64_t const open = callers_.totals().open;
        exchanges_.apply(core_.close(suspend_aware_now()));
        callers_.stop_accepting();
        callers_.close_idle();
        event line{"callers_closed"};
        line.with("open_requests", core_.open_requests())
            .with("connections", open);
        log_.info(line);
    }

    [[nodiscard]] bool idle()
    {
        duration const elapsed = suspend_aware_now() - drain_began_at_;
        duration const grace = seconds_of(settings_.grace_s) - grace_margin;
        if (elapsed >= grace)
        {
            if (core_.open_requests() > 0)
                finish();
            return true;
        }
        // Open connections may still be receiving a response or sending a
        // request.
        return callers_closed_ && callers_.totals().open == 0;
    }

    // Callers of requests that are still open get their final answers.
    void finish()
    {
        event line{"requests_ended_by_exit"};
        line.with("open_requests", core_.open_requests());
        log_.warning(line);
        exchanges_.apply(core_.finish(suspend_aware_now()));
    }

    void reload(std::string_view cause)
    {
        settings_result<relay_entry_settings> const next = read_settings_();
        if (!next)
        {
            event line{"reload_failed"};
            line.with("cause", cause).with("reason", to_string(next.error()));
            log_.error(line);
            return;
        }
        if (*next == settings_)
            return;
        settings_ = *next;
        core_.update(make_core_settings(settings_, started_at_));
        event line{"settings_reloaded"};
        line.with("cause", cause);
        log_.info(line);
    }

    time_point const started_at_ = suspend_aware_now();
    relay_entry_settings settings_;
    std::function<settings_result<relay_entry_settings>()> read_settings_;
    relay_codec const& codec_;
    console_log log_;
    metrics_registry metrics_;
    random_source random_;
    daemon_loop loop_{linger};
    std::shared_ptr<memory_budget> budget_ =
        std::make_shared<memory_budget>(held_bytes_limit(settings_.limits));
    relay::relay_core core_;
    relay_exchanges exchanges_;
    http_server callers_;
    http_server readiness_;
    admin_endpoint admin_;
    std::unique_ptr<polled_platform> platform_;
    store_era_monitor store_era_{*platform_, log_, metrics_};
    route_configuration_watcher routes_;
    replica_watcher replicas_;
    peer_registry registry_;
    datagram_link link_;
    state_exchange state_;
    crash_exchange crashes_;
    load_report_schedule load_reports_;
    limit_report limits_{callers_, *budget_, log_, metrics_};
    time_point settings_checked_at_{};
    time_point traffic_written_at_{};
    time_point drain_began_at_{};
    bool draining_ = false;
    bool was_ready_ = false;
    bool callers_closed_ = false;
};

relay_daemon::relay_daemon(
    relay_entry_settings settings,
    std::function<settings_result<relay_entry_settings>()> reader,
    relay_codec const& codec,
    platform_factory const& connect)
    : impl_{std::make_unique<impl>(
          std::move(settings), std::move(reader), codec, connect)}
{
}

relay_daemon::~relay_daemon() = default;

void relay_daemon::run()
{
    impl_->run();
}

} // namespace hornbeamweir
