#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/core/suspend_clock.hpp>
#include <hornbeamweir/daemon/rank_agent_daemon.hpp>
#include <hornbeamweir/peers/datagram_link.hpp>
#include <hornbeamweir/peers/peer_registry.hpp>
#include <hornbeamweir/telemetry/console_log.hpp>

#include "admin_endpoint.hpp"
#include "daemon_loop.hpp"
#include "group_coordination.hpp"
#include "rank_client.hpp"

#include <boost/json/serialize.hpp>

namespace hornbeamweir
{

namespace
{

using std::chrono::milliseconds;

constexpr std::string_view agent_role = "agent";
constexpr std::string_view entry_role = "entry";
/// A pass takes 40 to 100 ms; more reports tell nothing new.
constexpr duration report_interval = milliseconds{60};
/// A change of map waits for each rank's next report.
constexpr duration change_report_interval = milliseconds{20};
/// Entries need only whether the rank works and how fast.
constexpr duration tell_entries_interval = milliseconds{200};
constexpr duration counts_interval = milliseconds{100};
constexpr duration beat_interval = milliseconds{200};
/// Time for which a coordinator that was heard is reported to.
constexpr duration beat_validity = milliseconds{1500};
/// The longest pass of a working group takes some hundred milliseconds.
constexpr duration stall_limit = milliseconds{900};
constexpr duration load_log_interval = std::chrono::seconds{1};
constexpr unsigned ok = 200;
constexpr unsigned begun = 202;
constexpr unsigned precondition_failed = 412;

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
        std::function<checked<rank_agent_settings>()> reread,
        relay_codec const& records,
        rank_codec const& engine,
        platform_factory const& connect)
        : settings_{std::move(settings)}
        , reread_{std::move(reread)}
        , log_{settings_.log, settings_.name.str()}
        , random_{system_seed()}
        , rank_{loop_.context(), engine}
        , admin_{loop_.context(), settings_.metrics_address, metrics_, admin_pages{[this] { return known_.has_value(); }, [this] { return status(); }, {}}}
        , platform_{connect(loop_.context(), settings_.platform_address)}
        , coordination_{loop_.context(), *platform_, records, log_, metrics_, suspend_aware_now, random_source{random_.next()}, settings_.name.str(), [this](rank_order const& order) { route_order(order); }}
        , registry_{loop_.context(), *platform_, log_, std::string{agent_role}, settings_.name, udp_endpoint(settings_.peers_address)}
        , link_{loop_.context(), udp_endpoint(settings_.peers_address), std::string{agent_role}, settings_.name.str(), random_.next(), [this](udp_address const& from, wire::datagram const& message) { on_datagram(from, message); }}
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
            [this] { tick(); },
            [this] { log_.info(event{"draining"}); },
            [] { return true; });
        log_.info(event{"stopped"});
    }

private:
    void tick()
    {
        time_point const now = suspend_aware_now();
        duration const interval =
            changes_map() ? change_report_interval : report_interval;
        if (now - report_at_ >= interval && !reading_)
            read_report(now);
        if (now - counts_at_ >= counts_interval && reports_to(now))
            read_counts(now);
        coordination_.on_tick();
        if (!coordination_.leading())
            return;
        if (now - beat_at_ >= beat_interval)
            send_beats(now);
        if (now - silent_at_ >= beat_interval / 2)
            read_silent(now);
    }

    /// Whether the rank is in the middle of a change of map.
    [[nodiscard]] bool changes_map() const
    {
        return known_ && (known_->armed_version > known_->map_version ||
                          known_->held_step ||
                          known_->prepared_version < accepted_version_);
    }

    /// Whether a coordinator, here or elsewhere, wants reports.
    [[nodiscard]] bool reports_to(time_point now) const
    {
        return coordination_.leading() || now - beat_heard_ <= beat_validity;
    }

    void read_report(time_point now)
    {
        report_at_ = now;
        reading_ = true;
        rank_.read_report(
            settings_.rank_address,
            [this](result<rank_state> const& state)
            {
                reading_ = false;
                on_state(state);
            });
    }

    void on_state(result<rank_state> const& state)
    {
        if (!state)
        {
            if (known_)
            {
                event line{"dependency_lost"};
                line.with("dependency", "rank")
                    .with("reason", state.error().message);
                log_.warning(line);
            }
            known_.reset();
            return;
        }
        if (!known_)
        {
            event line{"dependency_regained"};
            line.with("dependency", "rank")
                .with("group", state->group)
                .with("epoch", state->epoch)
                .with("rank", state->rank);
            log_.info(line);
        }
        known_ = *state;
        coordination_.on_own_rank(*state, service_name{settings_.service});
        bool const experts_known = experts_ && experts_epoch_ == state->epoch &&
                                   experts_version_ == state->map_version;
        if (!experts_known && !reading_experts_)
            read_experts();
        note_step(*state);
        tell(*state);
    }

    /// A rank with work that begins no pass can serve nobody for the moment.
    void note_step(rank_state const& state)
    {
        time_point const now = suspend_aware_now();
        if (state.step != last_step_ || state.active + state.queued == 0)
            stepped_at_ = now;
        last_step_ = state.step;
        if (now - load_logged_ >= load_log_interval)
        {
            load_logged_ = now;
            event line{"rank_load"};
            line.with("step", state.step)
                .with("active", state.active)
                .with("queued", state.queued)
                .with("pace", state.pace)
                .with("version", state.map_version);
            log_.info(line);
        }
        bool const stalled = now - stepped_at_ > stall_limit;
        if (stalled != stalled_)
        {
            event line{stalled ? "rank_stalled" : "rank_resumed"};
            line.with("step", state.step)
                .with("active", state.active)
                .with("queued", state.queued);
            log_.warning(line);
        }
        stalled_ = stalled;
    }

    void read_experts()
    {
        reading_experts_ = true;
        rank_state const asked = *known_;
        rank_.read_experts(
            settings_.rank_address,
            asked.rank,
            [this, asked](result<rank_experts> const& experts)
            {
                reading_experts_ = false;
                // A switch in between would mix two maps.
                if (!experts || !known_ ||
                    known_->map_version != asked.map_version ||
                    known_->epoch != asked.epoch)
                    return;
                experts_ = *experts;
                experts_epoch_ = asked.epoch;
                experts_version_ = asked.map_version;
            });
    }

    void read_counts(time_point now)
    {
        counts_at_ = now;
        rank_.read_counts(
            settings_.rank_address,
            [this](result<choice_counts> const& counts)
            {
                if (counts && known_)
                    counts_ = *counts;
            });
    }

    [[nodiscard]] wire::rank_report report_of(rank_state const& state) const
    {
        wire::rank_report out = to_wire(state);
        out.set_accepted_version(accepted_version_);
        out.set_address(settings_.rank_address);
        out.set_service(settings_.service);
        return out;
    }

    void tell(rank_state const& state)
    {
        time_point const now = suspend_aware_now();
        if (now - told_entries_ >= tell_entries_interval)
        {
            told_entries_ = now;
            wire::datagram message;
            *message.mutable_report() = report_of(state);
            message.mutable_report()->set_open(state.open && !stalled_);
            for (auto const& [name, at] :
                 registry_.peers(std::string{entry_role}))
                link_.send(at, message);
        }
        if (reports_to(now))
            tell_coordinator(state, false);
    }

    void tell_coordinator(rank_state const& state, bool fenced)
    {
        wire::rank_report report = report_of(state);
        report.set_fenced(fenced);
        bool const experts_fit = experts_ && experts_epoch_ == state.epoch &&
                                 experts_version_ == state.map_version;
        if (experts_fit)
            add_experts(*experts_, report);
        if (counts_ && counts_->epoch == state.epoch)
        {
            report.mutable_counts()->Assign(
                counts_->counts.begin(), counts_->counts.end());
            counts_.reset();
        }
        if (coordination_.leading())
        {
            coordination_.on_report(report);
            return;
        }
        wire::datagram message;
        *message.mutable_report() = std::move(report);
        link_.send(coordinator_, message);
    }

    void send_beats(time_point now)
    {
        beat_at_ = now;
        wire::datagram message;
        message.mutable_beat()->set_group(coordination_.group().str());
        message.mutable_beat()->set_fence(coordination_.fence());
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
            execute(order, std::nullopt);
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

    void execute(rank_order const& order, std::optional<udp_address> from)
    {
        rank_.send_order(
            settings_.rank_address,
            order,
            [this, from, order](result<unsigned> const& status)
            {
                bool const fenced = status && *status == precondition_failed;
                bool const accepted =
                    status && (*status == ok || *status == begun);
                if (accepted && order.operation == rank_operation::prepare)
                    accepted_version_ = order.version;
                log_order(order, status);
                rank_.read_report(
                    settings_.rank_address,
                    [this, fenced](result<rank_state> const& state)
                    {
                        if (!state)
                            return;
                        known_ = *state;
                        tell_coordinator(*state, fenced);
                    });
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
                bool const accepted =
                    status && (*status == ok || *status == begun);
                if (accepted)
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
        registry_.on_heard(sender, message.role(), from);
        time_point const now = suspend_aware_now();
        if (message.has_beat())
        {
            if (message.beat().group() != coordination_.group().str())
                return;
            coordinator_ = from;
            beat_heard_ = now;
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
            execute(order, from);
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
        checked<rank_agent_settings> const next = reread_();
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
    std::function<checked<rank_agent_settings>()> reread_;
    console_log log_;
    metrics_registry metrics_;
    random_source random_;
    daemon_loop loop_;
    rank_client rank_;
    admin_endpoint admin_;
    std::unique_ptr<polled_platform> platform_;
    group_coordination coordination_;
    peer_registry registry_;
    datagram_link link_;
    std::optional<rank_state> known_;
    std::optional<rank_experts> experts_;
    std::uint64_t experts_epoch_ = 0;
    std::uint64_t experts_version_ = 0;
    std::optional<choice_counts> counts_;
    std::uint64_t accepted_version_ = 0;
    std::map<std::string, agent_contact> agents_;
    udp_address coordinator_;
    time_point beat_heard_{};
    time_point report_at_{};
    time_point counts_at_{};
    time_point told_entries_{};
    time_point beat_at_{};
    time_point silent_at_{};
    std::uint64_t last_step_ = 0;
    time_point stepped_at_{};
    time_point load_logged_{};
    bool stalled_ = false;
    bool reading_ = false;
    bool reading_experts_ = false;
};

rank_agent_daemon::rank_agent_daemon(
    rank_agent_settings settings,
    std::function<checked<rank_agent_settings>()> reread,
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
