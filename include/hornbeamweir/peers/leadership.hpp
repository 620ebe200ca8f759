#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/platform/platform.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

namespace hornbeamweir
{

/// \brief Leader election by a lease in the platform's store: at most one
/// process leads at a time.
/// \remarks Uses a clock that advances while the process or machine is
/// suspended, so that a process detects that its lease expired meanwhile.
/// Where the leader's orders carry fencing tokens that are checked, another
/// process takes over from a silent leader before its lease expires: it
/// replaces the leader's key on the condition that it is unchanged, which gives
/// it a higher token. Two processes may then lead for a short time, and orders
/// of the earlier one are rejected.
class leadership
{
public:
    using clock_function = time_point (*)() noexcept;

    /// \param service Gives access to the store.
    /// \param clock Must advance while the process is suspended.
    /// \param holder Name that is stored as the current leader.
    /// \param fences_checked Whether whoever receives orders rejects those with
    /// a lower fencing token than it has seen.
    leadership(
        platform& service,
        event_log& log,
        clock_function clock,
        random_source random,
        std::string holder,
        bool fences_checked = false);
    leadership(leadership const&) = delete;
    leadership& operator=(leadership const&) = delete;
    ~leadership() = default;

    /// \brief Sets the key prefix of the election in the store; the process
    /// campaigns once it is set.
    /// \param standby_delay Additional time for which this process leaves
    /// campaigns to others.
    void set_key(std::string key, duration standby_delay = {});

    /// \brief Stores a record about this leader, which later leaders read.
    /// \remarks Does nothing if this process does not lead, the record is
    /// written or a call is pending; check record_written() and call again.
    void write_record(std::string record);

    /// \brief Returns whether this leader's record has been stored.
    [[nodiscard]] bool record_written() const noexcept
    {
        return record_written_;
    }

    /// \brief Returns the previous leader's record, as read in the campaign.
    /// Empty if there was none.
    [[nodiscard]] std::string const& previous_record() const noexcept
    {
        return previous_record_;
    }

    /// \brief Postpones campaigns, as another process leads; steps down if it
    /// has a newer fencing token.
    void on_leader_alive(std::uint64_t fence);

    /// \brief Lets this process campaign without waiting for the leader's
    /// timeout, as the leader has left; see leave().
    void on_leader_left();

    /// \brief Gives up leadership to a leader with a newer fencing token.
    /// \remarks Unlike leave(), does not remove the leader's key from the
    /// store; this process may campaign again.
    void step_down();

    /// \brief Removes the leader's key if this process leads, so that another
    /// one can take over at once. This process does not campaign again.
    void leave();

    /// \brief Returns whether a call to the store is in progress.
    [[nodiscard]] bool has_pending_call() const noexcept
    {
        return call_pending_;
    }

    /// \brief Returns whether this process leads and its lease cannot have
    /// expired yet.
    /// \remarks If fencing tokens are checked, also whether it was not
    /// suspended for so long that another one may have taken over.
    [[nodiscard]] bool is_leader() const;

    /// \brief Returns the name of a leader whose heartbeats do not reach this
    /// process, as read in a campaign; empty if there is none.
    [[nodiscard]] std::string const& unheard_leader() const noexcept
    {
        return unheard_leader_;
    }

    /// \brief Returns the fencing token: the store's position at which this
    /// process became leader, see fence_of(). It rises with each leader, also
    /// after the store was replaced by an older copy.
    [[nodiscard]] std::uint64_t fence() const noexcept
    {
        return fence_of(acquired_);
    }

    /// \brief Campaigns or renews the lease when due.
    void on_tick();

private:
    void campaign();
    void on_read(result<range_reply> const& reply);
    void on_granted(result<std::int64_t> const& lease, time_point requested_at);
    void on_committed(
        result<transaction_reply> const& reply, time_point requested_at);
    void renew();
    void schedule_campaign(duration min_delay);
    void log_refused_replacement(std::uint64_t fence, duration unseen);
    /// \brief Ends the leadership, and campaigns again at once.
    void interrupt(std::string_view reason);
    /// \brief Notes who leads; a leader counts as silent from then on.
    void note_holder(std::uint64_t fence);
    /// \returns Whether the leader's key, as read in an era, may be replaced.
    [[nodiscard]] bool
    may_replace(stored_value const& key, std::uint64_t era) const;
    /// \returns Whether this process has written the key.
    [[nodiscard]] bool is_own(stored_value const& key, std::uint64_t era) const;

    platform& platform_;
    event_log& log_;
    clock_function clock_;
    random_source random_;
    std::string holder_;
    std::string key_;
    duration standby_delay_{};
    std::string previous_record_;
    /// Revision of previous_record_; 0 if there was none.
    std::int64_t previous_revision_ = 0;
    bool record_written_ = false;
    bool fences_checked_;
    /// Fencing token of the leader, by its heartbeats or as read; 0 if unknown.
    std::uint64_t holder_fence_ = 0;
    /// Fencing token of the leader whose heartbeats were last heard.
    std::uint64_t heard_fence_ = 0;
    std::string unheard_leader_;
    /// Time of the leader's last sign of life.
    time_point holder_seen_at_{};
    /// Revision of the leader's key that a campaign replaces; 0 if absent.
    std::int64_t replaced_revision_ = 0;
    /// Whether that key is this process's own, of before it stepped down.
    bool replaces_own_ = false;
    /// Time at which this process last replaced another leader.
    time_point replaced_at_{};
    time_point last_tick_at_{};
    std::int64_t lease_ = 0;
    /// Position at which this process last became leader.
    store_position acquired_;
    /// Era of the store in which the pending campaign began.
    std::uint64_t campaign_era_ = 0;
    time_point valid_until_{};
    time_point next_action_{};
    bool call_pending_ = false;
    bool left_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
