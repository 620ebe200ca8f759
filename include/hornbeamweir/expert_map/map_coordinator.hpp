#pragma once

#include <hornbeamweir/expert_map/map_participant.hpp>
#include <hornbeamweir/placement/placement_policy.hpp>
#include <hornbeamweir/platform/platform.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

namespace hornbeamweir
{

/// \brief Timing parameters of a map_coordinator.
struct coordinator_settings
{
    duration lease_time = std::chrono::seconds{60};
    duration renewal_interval = std::chrono::seconds{20};
    /// Interval at which a candidate polls the coordinator key.
    duration candidacy_interval = std::chrono::seconds{30};
    /// Interval between decisions of the placement policy.
    duration decision_interval = std::chrono::seconds{30};
    /// A published map that is not in force after this time is abandoned.
    duration change_timeout = std::chrono::seconds{120};
    /// Interval between reads of the record after a failed read or write.
    duration retry_interval = std::chrono::seconds{5};
};

/// \brief Requests a lease; completed by on_lease().
struct request_lease
{
    duration time_to_live{};
};

/// \brief Renews the lease; completed by on_renewed().
struct renew_lease
{
    std::int64_t lease = 0;
};

/// \brief Reads a key; completed by on_read().
struct read_key
{
    std::string key;
};

/// \brief Commits a transaction; completed by on_committed().
struct commit_transaction
{
    transaction request;
};

/// \brief Reads the engine's map in force and the popularity of its experts;
/// completed by on_sample().
struct sample_engine
{
};

/// \brief Passes a record that was read or written to the map_participant of
/// the local rank.
struct announce_record
{
    map_record record;
};

using coordinator_action = std::variant<
    request_lease,
    renew_lease,
    read_key,
    commit_transaction,
    sample_engine,
    announce_record>;
using coordinator_actions = std::vector<coordinator_action>;

/// \brief Result of sample_engine.
struct engine_sample
{
    expert_map in_force;
    popularity_report popularity;
};

/// \brief Publishes the target map of one group while it holds the group's
/// lease.
/// \remarks Sans-I/O: the caller performs the returned actions. Has at most one
/// request to the platform in flight, besides a lease renewal. The engines'
/// steps don't depend on the coordinator: it only writes the target map, each
/// version over the previous one by compare-and-swap.
class map_coordinator
{
public:
    /// \param candidate Name to be written to the coordinator key.
    map_coordinator(
        model_group_id group,
        std::string candidate,
        coordinator_settings settings,
        placement_policy& policy,
        event_log& log);

    /// \brief Returns the actions that are due; called at short intervals.
    [[nodiscard]] coordinator_actions on_tick(time_point now);
    /// \brief Updates the maps that the local engine reports.
    void on_report(engine_map_report const& report, time_point now);

    /// \param lease Identifier of the lease, or the error of the request.
    [[nodiscard]] coordinator_actions
    on_lease(result<std::int64_t> const& lease, time_point now);
    /// \param remaining Time until the lease expires; zero if the platform has
    /// expired it already.
    void on_renewed(result<duration> const& remaining, time_point now);
    /// \brief Handles the reply to the last read_key.
    [[nodiscard]] coordinator_actions
    on_read(result<range_reply> const& reply, time_point now);
    /// \brief Handles the reply to the last commit_transaction.
    [[nodiscard]] coordinator_actions
    on_committed(result<transaction_reply> const& reply, time_point now);
    /// \param sample std::nullopt if the engine could not be read.
    [[nodiscard]] coordinator_actions
    on_sample(std::optional<engine_sample> const& sample, time_point now);

    /// \brief Whether this candidate has been elected coordinator.
    [[nodiscard]] bool is_coordinator() const noexcept;

private:
    /// From record_unknown on, this candidate is the coordinator; see
    /// is_coordinator().
    enum class phase
    {
        /// Waits until the coordinator key is polled again.
        candidate,
        /// Reads the coordinator key.
        polling,
        /// Requests a lease.
        requesting,
        /// Writes the coordinator key with the lease.
        acquiring,
        /// Coordinator; the record has to be read before the next decision.
        record_unknown,
        /// Reads the record.
        reading,
        /// Knows the record, and waits for the next decision.
        leading,
        /// Reads the engine's map and the popularity of its experts.
        sampling,
        /// Writes a record.
        publishing
    };

    [[nodiscard]] coordinator_actions poll(time_point now);
    [[nodiscard]] coordinator_actions
    on_coordinator_key(range_reply const& reply, time_point now);
    [[nodiscard]] coordinator_actions
    on_map_key(range_reply const& reply, time_point now);
    [[nodiscard]] coordinator_actions coordinate(time_point now);
    [[nodiscard]] coordinator_actions publish(expert_map map, time_point now);
    [[nodiscard]] commit_transaction write_record();
    [[nodiscard]] bool still_elected(transaction_reply const& reply) const;
    [[nodiscard]] coordinator_actions
    decide(engine_sample const& sample, time_point now);
    void step_down(std::string_view reason, time_point now);
    /// Whether the target map is not yet in force.
    [[nodiscard]] bool is_pending() const noexcept;
    [[nodiscard]] bool is_overdue(time_point now) const noexcept;
    [[nodiscard]] std::uint64_t newest_version() const noexcept;

    model_group_id group_;
    std::string candidate_;
    coordinator_settings settings_;
    placement_policy& policy_;
    event_log& log_;

    phase phase_ = phase::candidate;
    /// Time of the next read of the coordinator key or the record.
    time_point next_read_{};
    std::int64_t lease_ = 0;
    /// Fencing token: store revision at which the coordinator key was written.
    std::int64_t fence_ = 0;
    /// Expiry of the lease, counted from the time its request was sent and thus
    /// no later than in the platform.
    time_point lease_expiry_{};
    time_point lease_sent_{};
    time_point renewal_sent_{};
    bool renewing_ = false;

    /// Store revision of the record; 0 if there is none.
    std::int64_t map_revision_ = 0;
    std::optional<map_record> target_;
    map_record publishing_;
    /// Whether a write of publishing_ had no reply and may still take effect.
    bool outcome_unknown_ = false;
    engine_map_report report_;
    /// Time at which the target map was published or first read.
    time_point pending_since_{};
    time_point next_decision_{};
};

} // namespace hornbeamweir
