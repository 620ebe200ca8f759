#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/core/suspend_clock.hpp>
#include <hornbeamweir/daemon/rank_agent_daemon.hpp>
#include <hornbeamweir/peers/datagram_link.hpp>
#include <hornbeamweir/peers/peer_registry.hpp>
#include <hornbeamweir/telemetry/console_log.hpp>

#include "admin_endpoint.hpp"
#include "daemon_loop.hpp"
#include "group_coordination.hpp"
#include "rank_monitor.hpp"

#include <boost/json/serialize.hpp>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

constexpr std::string_view agent_role = "agent";
constexpr std::string_view entry_role = "entry";
/// Entries need only whether the rank works and how fast.
constexpr duration tell_entries_interval = milliseconds{200};
constexpr duration beat_interval = milliseconds{200};
/// Time for which a coordinator that was heard is reported to.
constexpr duration beat_validity = milliseconds{1500};
/// A change of map and a call to the store take less; the platform kills
/// after several seconds.
constexpr duration leave_limit = std::chrono::seconds{3};
constexpr unsigned ok = 200;
constexpr unsigned begun = 202;
constexpr unsigned precondition_failed = 412;

bool is_accepted(result<unsigned> const& status)
{
    return status && (*status == ok || *status == begun);
}

using udp_address = boost::asio::ip::udp::endpoint;

udp_address udp_endpoint(std::string const& address)
{
    std::optional<boost::asio::ip::tcp::endpoint> const at =
        tcp_endpoint(address);
    return at ? udp_address{at->address(), at->port()} : udp_address{};
}

} // namespace

class rank_agent_daemon::impl
{
public:
    impl(
        rank_agent_settings settings,
        std::function<settings_result<rank_agent_settings>()> reread,
        relay_codec const& records,
        rank_codec const& engine,
        platform_factory const& connect)
        : settings_{std::move(settings)}
        , reread_{std::move(reread)}
        , log_{settings_.log, settings_.name.str()}
        , random_{system_seed()}
        , rank_{loop_.context(), engine}
        , monitor_{rank_, log_, suspend_aware_now, settings_.rank_address, settings_.service, [this](rank_state const& state) { tell(state); }}
        , admin_{loop_.context(), settings_.metrics_address, metrics_, admin_pages{[this] { return monitor_.is_known(); }, [this] { return status(); }, {}}}
        , platform_{connect(loop_.context(), settings_.platform_address)}
        , coordination_{*platform_, records, log_, metrics_, suspend_aware_now, random_source{random_.next()}, settings_.name.str(), [this](rank_order const& order) { route_order(order); }}
        , registry_{loop_.context(), *platform_, log_, std::string{agent_role}, settings_.name, udp_endpoint(settings_.peers_address)}
        , link_{loop_.context(), udp_endpoint(settings_.peers_address), std::string{agent_role}, settings_.name.str(), random_.next(), metrics_, [this](udp_address const& from, wire::datagram const& message) { on_datagram(from, message); }}
    {
    }

    void run()
    {
        event line{"started"};
        line.with("rank", settings_.rank_address)
            .with("platform", settings_.platform_address);
        log_.info(line);
        registry_.start();
        loop_.on_reload([this] { reload(); });
        loop_.run(
            [this] { tick(); }, [this] { drain(); }, [this] { return idle(); });
        log_.info(event{"stopped"});
    }

private:
    void tick()
    {
        time_point const now = suspend_aware_now();
        monitor_.on_tick(reports_to(now));
        coordination_.on_tick();
        if (!coordination_.leading())
            return;
        if (now - beat_at_ >= beat_interval)
            send_beats(now);
        if (now - silent_at_ >= beat_interval / 2)
            read_silent(now);
    }

    void drain()
    {
        drained_at_ = suspend_aware_now();
        had_duty_ = coordination_.leading();
        coordination_.leave();
        event line{"draining"};
        line.with("leading", had_duty_ ? "yes" : "no");
        log_.info(line);
    }

    [[nodiscard]] bool idle()
    {
        time_point const now = suspend_aware_now();
        if (!coordination_.left())
            return now - drained_at_ >= leave_limit;
        if (had_duty_)
            send_beats(now, true);
        had_duty_ = false;
        return true;
    }

    /// Whether a coordinator, here or elsewhere, wants reports.
    [[nodiscard]] bool reports_to(time_point now) const
    {
        return coordination_.leading() || now - beat_heard_ <= beat_validity;
    }

    void tell(rank_state const& state)
    {
        time_point const now = suspend_aware_now();
        coordination_.on_own_rank(state, service_name{settings_.service});
        if (now - told_entries_ >= tell_entries_interval)
        {
            told_entries_ = now;
            wire::datagram message;
            *message.mutable_report() = monitor_.report_of(state);
            message.mutable_report()->set_open(
                state.group_formed && !monitor_.is_stalled());
            for (auto const& [name, at] :
                 registry_.peers(std::string{entry_role}))
                link_.send(at, message);
        }
        if (reports_to(now))
            tell_coordinator(state, false);
    }

    void tell_coordinator(rank_state const& state, bool fenced)
    {
        wire::rank_report report = monitor_.detailed_report(state);
        report.set_fenced(fenced);
        if (coordination_.leading())
        {
            coordination_.on_report(report);
            return;
        }
        wire::datagram message;
        *message.mutable_report() = std::move(report);
        link_.send(coordinator_, message);
    }

    void send_beats(time_point now, bool left = false)
    {
        beat_at_ = now;
        wire::datagram message;
        message.mutable_beat()->set_group(coordination_.group().str());
        message.mutable_beat()->set_fence(coordination_.fence());
        message.mutable_beat()->set_left(left);
        for (auto const& [name, at] : registry_.peers(std::string{agent_role}))
            link_.send(at, message);
    }

    /// Orders go by the agent of a rank, for which they are free, unless it is
    /// silent. Holds and releases go straight to the rank: a VM that fails
    /// takes neither the held rank nor the coordinator with the other.
    void route_order(rank_order const& order)
    {
        std::string const address = coordination_.address_of(order.rank);
        bool const straight = order.operation == rank_operation::hold ||
                              order.operation == rank_operation::release;
        if (straight && !address.empty() && address != settings_.rank_address)
        {
            execute_directly(address, order);
            return;
        }
        if (address == settings_.rank_address)
        {
            execute(order);
            return;
        }
        auto const agent = agents_.find(address);
        time_point const now = suspend_aware_now();
        constexpr duration agent_validity = milliseconds{350};
        if (agent != agents_.end() && now - agent->second.at < agent_validity)
        {
            wire::datagram message;
            *message.mutable_order() = to_wire(order);
            link_.send(agent->second.endpoint, message);
        }
        else if (!address.empty())
            execute_directly(address, order);
    }

    void execute(rank_order const& order)
    {
        rank_.send_order(
            settings_.rank_address,
            order,
            [this, order](result<unsigned> const& status)
            {
                bool const fenced = status && *status == precondition_failed;
                if (is_accepted(status) &&
                    order.operation == rank_operation::prepare)
                    monitor_.on_prepare_accepted(order.version);
                log_order(order, status);
                monitor_.read_now([this, fenced](rank_state const& state)
                                  { tell_coordinator(state, fenced); });
            });
    }

    void execute_directly(std::string const& address, rank_order const& order)
    {
        rank_.send_order(
            address,
            order,
            [this, address, order](result<unsigned> const& status)
            {
                log_order(order, status);
                if (is_accepted(status))
                    coordination_.on_accepted(order);
                else
                    read_directly(address);
            });
    }

    void read_directly(std::string const& address)
    {
        rank_.read_report(
            address,
            [this, address](result<rank_state> const& state)
            {
                event line{"rank_read_from_afar"};
                line.with("address", address)
                    .with("outcome", state ? "ok" : state.error().message);
                log_.info(line);
                if (!state)
                    return;
                wire::rank_report report = to_wire(*state);
                report.set_address(address);
                coordination_.on_report(report);
                if (!coordination_.knows_experts(state->rank))
                    read_experts_directly(address, *state);
            });
    }

    // Answers from another VM are paid for, and only needed to clear up after
    // a coordinator whose VM is gone as well.
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
                add_experts(*experts, report);
                coordination_.on_report(report);
            });
    }

    void read_silent(time_point now)
    {
        silent_at_ = now;
        for (std::string const& address : coordination_.silent_ranks())
            read_directly(address);
    }

    void log_order(rank_order const& order, result<unsigned> const& status)
    {
        event line{"rank_order"};
        line.with("rank", order.rank)
            .with("operation", name_of(order.operation))
            .with("version", order.version)
            .with("step", order.step)
            .with("epoch", order.epoch)
            .with("fence", order.fence)
            .with("expected_orders", order.expected_orders);
        if (status)
            line.with("status", *status);
        else
            line.with("failure", status.error().message);
        log_.info(line);
    }

    void on_datagram(udp_address const& from, wire::datagram const& message)
    {
        process_name const sender{message.sender()};
        registry_.on_peer_alive(sender, message.role(), from);
        time_point const now = suspend_aware_now();
        if (message.has_beat())
        {
            if (message.beat().group() != coordination_.group().str())
                return;
            if (!message.beat().left())
            {
                coordinator_ = from;
                beat_heard_ = now;
            }
            coordination_.on_beat(message.beat());
        }
        else if (message.has_report())
        {
            agents_[message.report().address()] = {from, now};
            coordination_.on_report(message.report());
        }
        else if (message.has_order())
        {
            rank_order const order = from_wire(message.order());
            if (order.operation == rank_operation::prepare)
                coordination_.on_map_ordered(order.version, order.mapping);
            execute(order);
        }
    }

    [[nodiscard]] std::string status() const
    {
        boost::json::object out;
        out["leading"] = coordination_.leading();
        out["group"] = coordination_.group().str();
        return boost::json::serialize(out);
    }

    void reload()
    {
        settings_result<rank_agent_settings> const next = reread_();
        event line{next ? "settings_reloaded" : "reload_failed"};
        if (next)
            settings_ = *next;
        else
            line.with("reason", to_string(next.error()));
        log_.info(line);
    }

    struct agent_contact
    {
        udp_address endpoint;
        time_point at{};
    };

    rank_agent_settings settings_;
    std::function<settings_result<rank_agent_settings>()> reread_;
    console_log log_;
    metrics_registry metrics_;
    random_source random_;
    daemon_loop loop_;
    rank_client rank_;
    rank_monitor monitor_;
    admin_endpoint admin_;
    std::unique_ptr<polled_platform> platform_;
    group_coordination coordination_;
    peer_registry registry_;
    datagram_link link_;
    std::map<std::string, agent_contact> agents_;
    udp_address coordinator_;
    time_point beat_heard_{};
    time_point told_entries_{};
    time_point beat_at_{};
    time_point silent_at_{};
    time_point drained_at_{};
    bool had_duty_ = false;
};

rank_agent_daemon::rank_agent_daemon(
    rank_agent_settings settings,
    std::function<settings_result<rank_agent_settings>()> reread,
    relay_codec const& records,
    rank_codec const& engine,
    platform_factory const& connect)
    : impl_{std::make_unique<impl>(
          std::move(settings), std::move(reread), records, engine, connect)}
{
}

rank_agent_daemon::~rank_agent_daemon() = default;

void rank_agent_daemon::run()
{
    impl_->run();
}

} // namespace hornbeamweir
