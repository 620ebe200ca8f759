#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/core/suspend_clock.hpp>
#include <hornbeamweir/daemon/rank_agent_daemon.hpp>
#include <hornbeamweir/expert_map/order_repeats.hpp>
#include <hornbeamweir/peers/datagram_link.hpp>
#include <hornbeamweir/peers/peer_registry.hpp>
#include <hornbeamweir/telemetry/console_log.hpp>

#include "admin_endpoint.hpp"
#include "coordinator_contact.hpp"
#include "daemon_loop.hpp"
#include "group_coordination.hpp"
#include "order_log.hpp"
#include "order_sender.hpp"
#include "rank_monitor.hpp"
#include "store_era_monitor.hpp"

#include <boost/json/serialize.hpp>

#include <cmath>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

constexpr std::string_view agent_role = "agent";
constexpr std::string_view entry_role = "entry";
constexpr duration heartbeat_interval = milliseconds{200};
constexpr duration traffic_interval = std::chrono::seconds{1};
/// Long enough for a map change and a call to the store; the platform kills the
/// process after several seconds.
constexpr duration max_leave_time = std::chrono::seconds{3};

using udp_address = boost::asio::ip::udp::endpoint;

udp_address udp_endpoint(std::string const& address)
{
    std::optional<boost::asio::ip::tcp::endpoint> const parsed =
        tcp_endpoint(address);
    return parsed ? udp_address{parsed->address(), parsed->port()}
                  : udp_address{};
}

} // namespace

class rank_agent_daemon::impl
{
public:
    impl(
        rank_agent_settings settings,
        std::function<settings_result<rank_agent_settings>()> reader,
        relay_codec const& records,
        rank_codec const& engine,
        platform_factory const& connect)
        : settings_{std::move(settings)}
        , read_settings_{std::move(reader)}
        , log_{settings_.log, settings_.name.str()}
        , random_{system_seed()}
        , rank_{loop_.context(), engine}
        , monitor_{rank_, log_, suspend_aware_now, settings_.rank_address, settings_.service, [this](rank_state const& state) { on_rank_state(state); }}
        , admin_{loop_.context(), settings_.metrics_address, metrics_, admin_pages{[this] { return monitor_.has_state(); }, [this] { return status(); }, {}}}
        , platform_{connect(loop_.context(), settings_.platform_address)}
        , coordination_{*platform_, records, log_, metrics_, suspend_aware_now, random_source{random_.next()}, settings_.name.str(), settings_.fences_checked, settings_.link_megabits_per_second, [this](std::vector<rank_order> const& orders) { orders_.send(orders, suspend_aware_now()); }}
        , registry_{loop_.context(), *platform_, log_, std::string{agent_role}, settings_.name, udp_endpoint(settings_.peers_address)}
        , link_{loop_.context(), udp_endpoint(settings_.peers_address), std::string{agent_role}, settings_.name.str(), random_.next(), metrics_, [this](process_name const& who) { return registry_.is_registered(who); }, [this](udp_address const& from, wire::datagram const& message) { on_datagram(from, message); }}
        , orders_{coordination_, link_, log_, settings_.rank_address, {[this](rank_order const& order) { execute(order); }, [this](std::string const& address, rank_order const& order) { execute_directly(address, order); }}}
    {
    }

    void run()
    {
        event line{"started"};
        line.with("rank", settings_.rank_address)
            .with("platform", settings_.platform_address);
        log_.info(line);
        registry_.start();
        loop_.set_reload_handler([this] { reload(); });
        loop_.run(
            [this] { tick(); }, [this] { drain(); }, [this] { return idle(); });
        log_.info(event{"stopped"});
    }

private:
    void tick()
    {
        time_point const now = suspend_aware_now();
        store_era_.on_tick();
        monitor_.on_tick(must_report(now));
        coordination_.on_tick();
        if (now - traffic_written_at_ >= traffic_interval)
        {
            traffic_written_at_ = now;
            link_.write_traffic(
                coordination_.is_coordinator() ? &log_ : nullptr);
        }
        if (!coordination_.is_coordinator())
        {
            contact_unheard_coordinator(now);
            return;
        }
        if (now - heartbeat_sent_at_ >= heartbeat_interval)
            send_heartbeats(now);
        if (now - stale_ranks_read_at_ >= heartbeat_interval / 2)
            read_stale_ranks(now);
    }

    void drain()
    {
        drain_began_at_ = suspend_aware_now();
        was_coordinator_ = coordination_.is_coordinator();
        coordination_.leave();
        event line{"draining"};
        line.with("leading", was_coordinator_ ? "yes" : "no");
        log_.info(line);
    }

    [[nodiscard]] bool idle()
    {
        time_point const now = suspend_aware_now();
        if (!coordination_.has_left())
            return now - drain_began_at_ >= max_leave_time;
        if (was_coordinator_)
            send_heartbeats(now, true);
        was_coordinator_ = false;
        return true;
    }

    /// Whether a coordinator, in this process or reachable, needs reports.
    [[nodiscard]] bool must_report(time_point now) const
    {
        return coordination_.is_coordinator() || coordinator_.is_reachable(now);
    }

    void on_rank_state(rank_state const& state)
    {
        time_point const now = suspend_aware_now();
        coordination_.on_local_rank(state, service_name{settings_.service});
        bool const serves = state.group_formed && !monitor_.is_stalled();
        if (entry_reports_.is_due(serves, now))
        {
            entry_reports_.on_reported(serves, now);
            wire::datagram message;
            *message.mutable_report() = monitor_.report_of(state);
            message.mutable_report()->set_open(serves);
            for (auto const& [name, to] :
                 registry_.peers(std::string{entry_role}))
                link_.send(to, message);
        }
        if (must_report(now) &&
            (coordination_.is_coordinator() || monitor_.is_report_due(state)))
            report_to_coordinator(state, false);
    }

    void report_to_coordinator(rank_state const& state, bool fenced)
    {
        wire::rank_report report = monitor_.detailed_report(state);
        report.set_fenced(fenced);
        if (coordination_.is_coordinator())
            coordination_.on_report(report);
        else
            send_report(std::move(report), coordinator_.address());
    }

    void send_report(wire::rank_report report, udp_address const& to)
    {
        wire::datagram message;
        *message.mutable_report() = std::move(report);
        link_.send(to, message);
    }

    // A coordinator that registered before this agent doesn't know its address
    // until it reads the registry again, and sends it no heartbeats. It learns
    // the address from any datagram.
    void contact_unheard_coordinator(time_point now)
    {
        std::string const& name = coordination_.unheard_coordinator();
        if (name.empty() ||
            now - coordinator_contacted_at_ < heartbeat_interval)
            return;
        coordinator_contacted_at_ = now;
        std::map<process_name, udp_address> const& agents =
            registry_.peers(std::string{agent_role});
        auto const found = agents.find(process_name{name});
        event line{"coordinator_contacted"};
        line.with("coordinator", name)
            .with("registered", found != agents.end() ? "yes" : "no");
        log_.info(line);
        if (found == agents.end())
        {
            registry_.refresh();
            return;
        }
        monitor_.read_now(
            [this, to = found->second](rank_state const& state)
            { send_report(monitor_.detailed_report(state), to); });
    }

    void send_heartbeats(time_point now, bool left = false)
    {
        heartbeat_sent_at_ = now;
        wire::datagram message;
        message.mutable_beat()->set_group(coordination_.group().str());
        message.mutable_beat()->set_fence(coordination_.fence());
        message.mutable_beat()->set_left(left);
        for (auto const& [name, to] : registry_.peers(std::string{agent_role}))
            link_.send(to, message);
    }

    void execute(rank_order const& order)
    {
        send_to_rank(order, repeats_.on_received(), 1);
    }

    void
    send_to_rank(rank_order const& order, std::uint64_t number, int attempt)
    {
        rank_.send_order(
            settings_.rank_address,
            order,
            rank_location::local,
            [this, order, number, attempt](result<unsigned> const& status)
            {
                if (!status && repeats_.is_due(number, attempt))
                {
                    log_rank_order(log_, order, status);
                    send_to_rank(order, number, attempt + 1);
                    return;
                }
                bool const fenced = is_fenced(status);
                if (is_accepted(status) &&
                    order.operation == rank_operation::prepare)
                    monitor_.on_prepare_accepted(order.version);
                log_rank_order(log_, order, status);
                monitor_.read_now([this, fenced](rank_state const& state)
                                  { report_to_coordinator(state, fenced); });
            });
    }

    void execute_directly(std::string const& address, rank_order const& order)
    {
        rank_.send_order(
            address,
            order,
            rank_location::remote,
            [this, address, order](result<unsigned> const& status)
            {
                log_rank_order(log_, order, status);
                if (is_accepted(status))
                    coordination_.on_accepted(order);
                else
                    read_directly(address);
            });
    }

    void read_directly(std::string const& address)
    {
        rank_.read_state(
            address,
            [this, address](result<rank_state> const& state)
            {
                event line{"rank_report_read_directly"};
                line.with("address", address)
                    .with("outcome", state ? "ok" : state.error().message);
                log_.info(line);
                if (!state)
                    return;
                wire::rank_report report = to_wire(*state);
                report.set_address(address);
                report.set_read_directly(true);
                coordination_.on_report(report);
                if (!coordination_.knows_experts(state->rank))
                    read_experts_directly(address, *state);
            });
    }

    // Reading from another VM costs traffic; the experts are needed only to
    // finish a change whose coordinator was lost with its VM.
    void
    read_experts_directly(std::string const& address, rank_state const& state)
    {
        rank_.read_experts(
            address,
            state.rank,
            [this, address, state](result<rank_experts> const& experts)
            {
                if (!experts)
                    return;
                wire::rank_report report = to_wire(state);
                report.set_address(address);
                report.set_read_directly(true);
                add_experts(*experts, report);
                coordination_.on_report(report);
            });
    }

    void read_stale_ranks(time_point now)
    {
        stale_ranks_read_at_ = now;
        for (std::string const& address : coordination_.stale_rank_addresses())
            read_directly(address);
    }

    void on_datagram(udp_address const& from, wire::datagram const& message)
    {
        process_name const sender{message.sender()};
        registry_.on_peer_alive(sender, message.role(), from);
        time_point const now = suspend_aware_now();
        if (message.has_beat())
        {
            if (message.beat().group() == coordination_.group().str())
                on_heartbeat(from, message.beat(), now);
        }
        else if (message.has_report())
        {
            wire::rank_report const& report = message.report();
            bool const is_of_own_group =
                report.group() == coordination_.group().str();
            // State is kept for each rank of the group.
            if (is_of_own_group && !is_plausible(report))
                return;
            if (is_of_own_group)
                orders_.on_agent_report(report.address(), from, now);
            coordination_.on_report(report);
        }
        else if (message.has_order())
        {
            orders_.pass_on(message.order());
            rank_order order = from_wire(message.order());
            if (order.operation == rank_operation::prepare &&
                !receive_map(message.order(), order))
                return;
            execute(order);
        }
    }

    [[nodiscard]] bool is_plausible(wire::rank_report const& report) const
    {
        return report.ranks() == coordination_.ranks() &&
               report.rank() < report.ranks() && std::isfinite(report.pace()) &&
               report.pace() > 0 && tcp_endpoint(report.address()).has_value();
    }

    // A new coordinator may have to release a pass, for which it needs the
    // states of all ranks.
    void on_heartbeat(
        udp_address const& from,
        wire::coordinator_beat const& beat,
        time_point now)
    {
        if (coordinator_.is_replaced(beat.fence(), now))
            return;
        bool const is_new =
            !beat.left() && coordinator_.on_heartbeat(from, beat.fence(), now);
        coordination_.on_coordinator_heartbeat(beat);
        if (!is_new)
            return;
        monitor_.on_new_coordinator();
        monitor_.read_now([this](rank_state const& state)
                          { report_to_coordinator(state, false); });
    }

    /// Records the map of a prepare order, and restores it if only the
    /// difference to an earlier one was sent.
    /// \returns False if the earlier map is not known here, or another one; the
    /// coordinator repeats the order with the whole map.
    [[nodiscard]] bool
    receive_map(wire::rank_order const& message, rank_order& order)
    {
        if (!order.mapping)
            order.mapping = restore_map(
                message, coordination_.ordered_map(order.base_version));
        if (!order.mapping)
        {
            event line{"map_base_differs"};
            line.with("version", order.version)
                .with("base", order.base_version);
            log_.info(line);
            return false;
        }
        coordination_.on_map_ordered(order.version, order.mapping);
        return true;
    }

    [[nodiscard]] std::string status() const
    {
        boost::json::object out;
        out["leading"] = coordination_.is_coordinator();
        out["group"] = coordination_.group().str();
        return boost::json::serialize(out);
    }

    void reload()
    {
        settings_result<rank_agent_settings> const next = read_settings_();
        event line{next ? "settings_reloaded" : "reload_failed"};
        if (next)
            settings_ = *next;
        else
            line.with("reason", to_string(next.error()));
        log_.info(line);
    }

    rank_agent_settings settings_;
    std::function<settings_result<rank_agent_settings>()> read_settings_;
    console_log log_;
    metrics_registry metrics_;
    random_source random_;
    daemon_loop loop_;
    rank_client rank_;
    order_repeats repeats_;
    rank_monitor monitor_;
    admin_endpoint admin_;
    std::unique_ptr<polled_platform> platform_;
    store_era_monitor store_era_{*platform_, log_, metrics_};
    group_coordination coordination_;
    peer_registry registry_;
    datagram_link link_;
    order_sender orders_;
    coordinator_contact coordinator_;
    entry_report_schedule entry_reports_;
    time_point coordinator_contacted_at_{};
    time_point heartbeat_sent_at_{};
    time_point stale_ranks_read_at_{};
    time_point traffic_written_at_{};
    time_point drain_began_at_{};
    bool was_coordinator_ = false;
};

rank_agent_daemon::rank_agent_daemon(
    rank_agent_settings settings,
    std::function<settings_result<rank_agent_settings>()> reader,
    relay_codec const& records,
    rank_codec const& engine,
    platform_factory const& connect)
    : impl_{std::make_unique<impl>(
          std::move(settings), std::move(reader), records, engine, connect)}
{
}

rank_agent_daemon::~rank_agent_daemon() = default;

void rank_agent_daemon::run()
{
    impl_->run();
}

} // namespace hornbeamweir
