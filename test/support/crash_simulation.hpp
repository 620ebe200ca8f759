#pragma once

#include <hornbeamweir/relay/crash_report_schedule.hpp>
#include <hornbeamweir/relay/relay_core.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace test
{

/// \brief Entries in virtual time whose replicas may crash as they answer a
/// prompt with a certain part, or a request with a certain body.
/// \remarks A crashed replica refuses connections, and returns under a new id.
/// In a lock-step group all other replicas stall, and then end their attempts.
class crash_simulation
{
public:
    /// \brief How far a replica has answered when it crashes.
    enum class crash_moment
    {
        before_head,
        after_head,
        in_mid_answer
    };

    struct options
    {
        std::size_t entries = 1;
        std::size_t replicas = 6;
        bool lock_step = false;
        std::uint64_t seed = 1;
        /// Part of the messages between entries that is lost.
        double message_loss = 0;
        crash_moment moment = crash_moment::after_head;
        /// Crashes after which few more are allowed.
        std::size_t counted_crashes = 5;
    };

    struct counters
    {
        std::size_t crashes = 0;
        /// Crashes over 500 ms after the first of the incident before.
        std::size_t incidents = 0;
        hornbeamweir::time_point last_crash{};
        /// Time of the last one that is allowed.
        hornbeamweir::time_point last_counted_crash{};
        /// Requests that crash replicas, and reached one.
        std::size_t crashing_sent = 0;
        /// Those later than 3 s after last_counted_crash, by entries that were
        /// neither restarted nor cut off in the last 3 s.
        std::size_t crashing_sent_late = 0;
        /// Sound requests, and those that were answered in full.
        std::size_t sound = 0;
        std::size_t sound_answered = 0;
    };

    explicit crash_simulation(options const& chosen);

    /// Part that crashes replicas; empty for none.
    void set_crashing_part(std::string part) { crashing_part_ = part; }
    /// Body that crashes replicas; empty for none.
    void set_crashing_body(std::string body) { crashing_body_ = body; }
    /// \brief Sends a request for a stream to an entry.
    void request(
        std::size_t entry,
        std::vector<std::string> const& parts,
        std::string const& body = {});
    /// \brief Sends a request without a prompt to an entry. Its caller repeats
    /// it once, at the next entry, if it may and the request has failed.
    /// \param target "/plain/" for idempotent requests, "/once/" for others.
    void plain_request(
        std::size_t entry,
        std::string const& body,
        std::string const& target = "/plain/");
    /// \brief Crashes a replica whatever it works on.
    void crash(std::size_t replica);
    /// \brief Restarts an entry, which forgets everything.
    void restart(std::size_t entry);
    /// \brief Cuts an entry off from the others, or connects it again.
    void set_cut(std::size_t entry, bool cut);
    /// \returns Whether an entry would send a request with a part.
    [[nodiscard]] bool
    is_blocked(std::size_t entry, std::string const& part) const;
    /// \returns Whether an entry would send a plain request with a body.
    [[nodiscard]] bool
    is_body_blocked(std::size_t entry, std::string const& body) const;
    /// \brief Advances the time by 10 ms.
    void step();

    [[nodiscard]] counters const& totals() const noexcept { return totals_; }
    [[nodiscard]] hornbeamweir::time_point now() const noexcept { return now_; }

private:
    struct attempt_state
    {
        std::size_t entry = 0;
        hornbeamweir::exchange_id exchange = 0;
        std::uint32_t attempt = 0;
        hornbeamweir::time_point began{};
        /// 0 waiting, 1 head sent, 2 first data sent.
        int progress = 0;
    };

    struct replica_state
    {
        std::uint32_t incarnation = 0;
        bool up = true;
        hornbeamweir::time_point returns_at{};
        std::vector<attempt_state> attempts;
    };

    struct sent_request
    {
        std::string target;
        std::string body;
        std::size_t entry = 0;
        bool crashing = false;
        bool is_repeat = false;
    };

    struct due_repeat
    {
        hornbeamweir::time_point at{};
        sent_request sent;
    };

    void send(hornbeamweir::relay_request out, sent_request sent);
    void send_plain(sent_request sent);
    void send_due_repeats();
    /// Decides whether the caller of a failed request sends it once more.
    void plan_repeat(
        sent_request const& failed,
        hornbeamweir::relay::send_error const& reason);
    [[nodiscard]] std::string id_of(std::size_t replica) const;
    void register_replicas();
    void apply(std::size_t entry, hornbeamweir::relay::actions const& decided);
    void open(std::size_t entry, hornbeamweir::relay::open_attempt const& it);
    void check(std::size_t entry, hornbeamweir::replica const& target);
    void close(std::size_t entry, hornbeamweir::exchange_id exchange);
    void fail(attempt_state const& it, bool sent, std::string const& reason);
    [[nodiscard]] std::unique_ptr<hornbeamweir::relay::relay_core>
    make_entry(std::size_t number);
    void exchange_reports();
    void advance(std::size_t replica);
    /// Whether the attempt has crashed its replica.
    bool advance(attempt_state& it);
    void end_stall();

    options options_;
    std::string crashing_part_;
    std::string crashing_body_;
    std::vector<due_repeat> repeats_;
    hornbeamweir::null_event_log log_;
    hornbeamweir::metrics_registry metrics_;
    std::vector<std::unique_ptr<hornbeamweir::relay::relay_core>> entries_;
    std::vector<hornbeamweir::relay::crash_report_schedule> schedules_;
    std::vector<bool> cut_;
    std::vector<hornbeamweir::time_point> disturbed_at_;
    hornbeamweir::random_source random_;
    hornbeamweir::route_configuration configuration_;
    std::vector<replica_state> replicas_;
    std::map<hornbeamweir::exchange_id, sent_request> requests_;
    std::set<hornbeamweir::exchange_id> answered_;
    hornbeamweir::time_point now_{std::chrono::seconds{100}};
    hornbeamweir::time_point stalled_until_{};
    hornbeamweir::time_point incident_began_{};
    hornbeamweir::exchange_id last_exchange_ = 0;
    counters totals_;
};

} // namespace test
