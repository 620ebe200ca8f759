#pragma once

#include <hornbeamweir/expert_map/map_delta.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>

#include <map>
#include <set>

namespace hornbeamweir
{

/// \brief Switches the expert map of a group whose ranks do not agree on maps
/// among themselves (see map_coordinator for those that do): all ranks copy the
/// new map, one rank holds a forward pass, all ranks are armed to switch at the
/// start of that pass, and it is released.
/// \remarks Sans-I/O. Orders may be lost, or executed seconds later. Each is
/// therefore repeated until a report of the rank shows its effect, and carries
/// a fencing token that increases with each change: once a rank has executed an
/// order of a later change, it rejects delayed duplicates of earlier ones.
/// Ranks are armed for a pass only while it is held. It is released only when
/// all ranks are armed, or when no rank is armed and delayed arm orders can no
/// longer take effect. docs/design/platform.md has the argument.
class hold_coordinator
{
public:
    enum class phase
    {
        /// No change of maps is in progress.
        idle,
        /// Ranks copy the expert weights of the new map.
        preparing,
        /// One rank is ordered to hold the pass at which the map is switched.
        holding,
        /// Ranks are ordered to switch at the start of that pass.
        arming,
        /// The pass is released.
        releasing,
        /// Ranks are disarmed and passes released after an abandoned change.
        clearing
    };

    /// \param link_megabits_per_second Rate of the link over which orders are
    /// sent; maps use half of it, so that reports and renewals get through.
    /// \param replaced_early Whether an earlier coordinator may go on for some
    /// time, so that no rank can be inferred to be unarmed.
    explicit hold_coordinator(
        event_log& log,
        double link_megabits_per_second = 8,
        bool replaced_early = false)
        : log_{log}
        , link_megabits_per_second_{link_megabits_per_second}
        , replaced_early_{replaced_early}
    {
    }

    /// \brief Starts to coordinate, and cleans up after earlier coordinators.
    /// \param fence Fencing token, higher for each coordinator of the group.
    /// \param local_rank Rank on this VM. It is armed last, and passes are held
    /// at another rank. If this VM fails, a successor can thus infer from the
    /// other ranks whether this one may be armed, and whether a pass is held.
    /// \param previous Rank on the VM of the coordinator that was the last to
    /// start a change, if known.
    void become_coordinator(
        std::uint64_t fence,
        std::uint32_t local_rank,
        std::optional<std::uint32_t> previous,
        time_point now);

    /// \brief Records the contents of a map that this or another coordinator
    /// has ordered ranks to prepare.
    void on_map_ordered(std::uint64_t version, shared_experts mapping);

    /// \brief Sets the version of the map in force at the local rank, which is
    /// kept for the time when this process coordinates.
    void on_local_map(std::uint64_t version) noexcept
    {
        local_map_version_ = version;
    }

    /// \returns A map recorded by on_map_ordered(); null if unknown.
    [[nodiscard]] group_experts const* ordered_map(std::uint64_t version) const
    {
        auto const it = ordered_maps_.find(version);
        return it == ordered_maps_.end() ? nullptr : it->second.get();
    }

    /// \brief Stops coordinating; the next coordinator cleans up.
    void step_down(time_point now);

    /// \brief Updates the observed state of a rank.
    /// \param experts Experts of the rank in its map in force, if they were
    /// reported.
    /// \remarks A report that is older than one received before is ignored.
    void on_report(
        rank_state const& state,
        std::optional<rank_experts> experts,
        time_point now);

    /// \brief Records that a rank has accepted an order that was sent to it
    /// without its agent.
    /// \remarks Reports from remote ranks show it only some hundred
    /// milliseconds later.
    void on_accepted(rank_order const& order);

    /// \brief Whether start() may be called for a new map.
    [[nodiscard]] bool ready_for_map(time_point now) const;

    /// \brief The map that ranks are copying; start() may replace it.
    /// \returns Null if no map is being copied.
    [[nodiscard]] group_experts const* preparing_map() const noexcept
    {
        return leading_ && phase_ == phase::preparing ? mapping_.get()
                                                      : nullptr;
    }

    /// \brief The map in force.
    /// \returns Null unless all ranks have last reported the same version and
    /// its experts are known.
    [[nodiscard]] shared_experts in_force() const
    {
        return in_force_except(std::nullopt);
    }

    /// \brief Whether a report of every rank of the group was received.
    [[nodiscard]] bool all_ranks_reported() const;

    /// \brief Whether the experts that a rank holds in its map in force are
    /// known from its reports.
    [[nodiscard]] bool knows_experts(std::uint32_t rank) const;

    /// \brief Starts the change to a map, and abandons one that is being
    /// copied.
    void start(group_experts mapping, time_point now);

    /// \brief Advances the change in progress.
    /// \returns Orders to be sent now.
    [[nodiscard]] std::vector<rank_order> on_tick(time_point now);

    [[nodiscard]] phase current_phase() const noexcept { return phase_; }
    [[nodiscard]] bool is_coordinator() const noexcept { return leading_; }
    [[nodiscard]] std::uint64_t fence() const noexcept { return fence_; }
    [[nodiscard]] std::uint64_t maps_switched() const noexcept
    {
        return maps_switched_;
    }

    /// \brief Ranks that should be asked for a report, as the current phase
    /// depends on it and the last one is older than an age.
    /// \remarks While no map is being switched, only if they are few: then maps
    /// can be changed although some agents are stopped.
    [[nodiscard]] std::vector<std::uint32_t>
    ranks_with_stale_report(duration age, time_point now) const;

    /// \brief Age of the oldest last report of a rank; 0 without reports.
    [[nodiscard]] duration oldest_report_age(time_point now) const;

private:
    /// Last observed state of a rank.
    struct rank_view
    {
        rank_state state;
        rank_experts experts;
        /// Map version and epoch at which experts were reported.
        std::uint64_t experts_version = 0;
        std::uint64_t experts_epoch = 0;
        time_point reported_at{};
        /// Time of the last report by the rank's agent.
        time_point agent_reported_at{};
    };

    /// Order last sent to a rank in this phase.
    struct sent_order
    {
        rank_operation operation = rank_operation::prepare;
        std::uint64_t version = 0;
        std::uint64_t step = 0;
        std::uint64_t expected_orders = 0;
        time_point sent_at{};
        /// Number of times that it was sent.
        int times = 0;
    };

    /// How the map of a prepare order is sent to an agent.
    struct prepare_encoding
    {
        /// Difference to the map of a version; null to send the whole map.
        std::shared_ptr<map_delta const> delta;
        std::uint64_t base_version = 0;
        /// Time that the part of the link for maps takes for the order.
        duration transfer_time{};
    };

    /// Map of a change, and the pass at which it comes into force.
    struct change_target
    {
        std::uint64_t version = 0;
        std::uint64_t step = 0;
    };

    using orders = std::vector<rank_order>;

    /// Whether all ranks are in the same formed group, by recent reports.
    [[nodiscard]] bool all_ranks_usable(time_point now) const;
    [[nodiscard]] bool all_ranks_usable_except(
        std::optional<std::uint32_t> excluded, time_point now) const;
    /// Local rank of the previous coordinator, if it has no recent report.
    [[nodiscard]] std::optional<std::uint32_t>
    missing_previous_rank(time_point now) const;
    /// Whether the previous coordinator's rank has to be read now, to clean up
    /// after it.
    [[nodiscard]] bool previous_rank_needed(time_point now) const;
    /// Rank at which passes are held.
    [[nodiscard]] std::uint32_t hold_rank() const;
    [[nodiscard]] std::uint64_t newest_epoch() const;
    [[nodiscard]] std::uint64_t latest_step() const;
    [[nodiscard]] std::uint64_t next_version();
    [[nodiscard]] std::set<std::uint32_t> armed_ranks() const;
    [[nodiscard]] bool is_armed(rank_view const& view) const;

    [[nodiscard]] std::uint64_t order_fence() const noexcept;
    [[nodiscard]] bool admit_prepare_order(duration interval, time_point now);
    /// Time that the part of the link for maps takes for some bytes.
    [[nodiscard]] duration transfer_time(double bytes) const noexcept;
    [[nodiscard]] prepare_encoding whole_map() const;
    /// \param accepted_version Map that the rank's agent has passed on.
    [[nodiscard]] prepare_encoding
    encoding_of_prepare(rank_state const& state, int times_sent);
    [[nodiscard]] prepare_encoding
    difference_to(std::uint64_t base_version, group_experts const& base) const;
    [[nodiscard]] shared_experts assemble_in_force() const;
    /// \param excluded Rank whose last report may be out of date.
    [[nodiscard]] shared_experts
    in_force_except(std::optional<std::uint32_t> excluded) const;
    /// Whether recent reports of all ranks show neither a held pass nor an
    /// armed rank.
    [[nodiscard]] bool has_nothing_to_clear(time_point now) const;

    void enter(phase next, std::string_view reason, time_point now);
    void order(
        std::uint32_t rank,
        rank_operation operation,
        std::uint64_t version,
        std::uint64_t step,
        time_point now,
        orders& out);

    void order_prepare(std::uint32_t rank, time_point now, orders& out);
    void order_prepare(
        std::vector<std::uint32_t> const& ranks, time_point now, orders& out);
    [[nodiscard]] duration clearing_timeout() const;
    /// Starts to clear if a rank was armed or a pass held for some time without
    /// a change.
    [[nodiscard]] bool clears_unexpected_state(time_point now);
    void on_re_formed(time_point now);
    void run_idle(time_point now, orders& out);
    void run_preparing(time_point now, orders& out);
    void run_holding(time_point now, orders& out);
    /// Ranks that are armed one after the other, once all others are.
    [[nodiscard]] std::vector<std::uint32_t> ranks_armed_in_turn() const;
    void run_arming(time_point now, orders& out);
    void run_releasing(time_point now, orders& out);
    void run_clearing(time_point now, orders& out);
    /// Continues the change of an earlier coordinator, if all ranks have
    /// prepared its map and its pass is held.
    /// \returns Whether there was such a change.
    [[nodiscard]] bool resume_change(time_point now, orders& out);
    [[nodiscard]] std::optional<change_target> find_resumable() const;
    /// Orders ranks to prepare the map in force under a new version.
    void restore_map(
        std::vector<std::uint32_t> const& unrestored,
        time_point now,
        orders& out);
    /// Orders ranks without armed maps to prepare the map in force, then
    /// releases held passes.
    void restore_and_release(
        std::optional<std::uint32_t> missing, time_point now, orders& out);
    void end_clearing(time_point now);
    /// Orders ranks that hold a pass to release it.
    /// \returns Whether any holds one.
    [[nodiscard]] bool release_held(
        std::optional<std::uint32_t> excluded, time_point now, orders& out);
    void clear_armed(
        std::set<std::uint32_t> const& armed,
        bool all_armed,
        std::optional<std::uint32_t> missing,
        time_point now,
        orders& out);
    /// Notes a pass for which orders may be in transit.
    void note_step(std::uint64_t step) noexcept;
    /// Notes the passes that ranks hold or are armed for.
    void note_reported_steps() noexcept;

    event_log& log_;
    double link_megabits_per_second_;
    bool replaced_early_;
    bool leading_ = false;
    std::uint64_t fence_ = 0;
    std::uint32_t local_rank_ = 0;
    /// Rank on the VM of the previous coordinator.
    std::optional<std::uint32_t> previous_local_rank_;
    std::uint64_t local_map_version_ = 0;
    /// Recently ordered maps, by version.
    std::map<std::uint64_t, shared_experts> ordered_maps_;
    std::map<std::uint32_t, rank_view> views_;
    std::map<std::uint32_t, sent_order> sent_;
    /// Encodings of the prepare orders of this phase, by the version that an
    /// agent knows.
    std::map<std::uint64_t, prepare_encoding> prepare_encodings_;
    /// The map in force as reported by the ranks, with its epoch and version.
    mutable shared_experts assembled_;
    mutable std::uint64_t assembled_epoch_ = 0;
    mutable std::uint64_t assembled_version_ = 0;
    phase phase_ = phase::idle;
    time_point phase_entered_{};
    /// Whether a change of an earlier coordinator may be completed.
    bool may_resume_ = false;
    /// Whether the current change was begun by an earlier coordinator.
    bool resumed_ = false;
    /// Whether another coordinator may have chosen passes that are unknown
    /// here.
    bool follows_another_ = false;
    /// Epoch in the first report of the local rank after this process became
    /// coordinator.
    std::optional<std::uint64_t> local_epoch_;
    /// Latest pass for which hold, arm or release orders may be in transit.
    std::uint64_t last_ordered_step_ = 0;
    std::uint64_t epoch_ = 0;
    /// Version that ranks are ordered to prepare or switch to.
    std::uint64_t version_ = 0;
    /// Pass at which the map is switched.
    std::uint64_t step_ = 0;
    /// Version assigned last.
    std::uint64_t last_version_ = 0;
    /// Changes of maps and phases of clearing started by this coordinator.
    std::uint64_t change_count_ = 0;
    shared_experts mapping_;
    /// Ranks that have executed an order of the phase clearing.
    std::set<std::uint32_t> cleared_;
    /// Whether a disarm order was sent in the phase clearing.
    bool disarming_ = false;
    /// Time since which a pass is held or a rank armed in the phase idle.
    std::optional<time_point> unexpected_state_since_;
    /// Rate limit of prepare orders: time at which those sent so far would have
    /// been sent at the permitted rate.
    time_point prepare_orders_until_{};
    std::uint64_t maps_switched_ = 0;
};

template <>
struct enum_table<hold_coordinator::phase>
{
    using phase = hold_coordinator::phase;
    static constexpr std::array<enum_name<phase>, 6> rows{
        {{phase::idle, "idle"},
         {phase::preparing, "preparing"},
         {phase::holding, "holding"},
         {phase::arming, "arming"},
         {phase::releasing, "releasing"},
         {phase::clearing, "clearing"}}};
};

} // namespace hornbeamweir
