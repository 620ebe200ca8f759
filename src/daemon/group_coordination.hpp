#pragma once

#include <hornbeamweir/expert_map/hold_coordinator.hpp>
#include <hornbeamweir/expert_map/map_planner.hpp>
#include <hornbeamweir/peers/leadership.hpp>
#include <hornbeamweir/peers/rank_messages.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

namespace hornbeamweir
{

/// \brief Coordinates a group's maps while this process holds the duty:
/// connects leadership, demand, placement and the switch of maps.
class group_coordination
{
public:
    using clock_function = time_point (*)() noexcept;

    /// \param send Sends an order to a rank.
    group_coordination(
        platform& service,
        relay_codec const& records,
        event_log& log,
        metrics_registry& metrics,
        clock_function clock,
        random_source random,
        std::string self,
        std::function<void(rank_order const&)> send);
    group_coordination(group_coordination const&) = delete;
    group_coordination& operator=(group_coordination const&) = delete;
    ~group_coordination() = default;

    /// \brief Notes the group and service of the rank beside this process.
    void on_own_rank(rank_state const& state, service_name const& service);

    /// \brief Takes a report of any rank of the group.
    void on_report(wire::rank_report const& report);

    void on_beat(wire::coordinator_beat const& beat);

    void on_tick();

    /// \brief Ends the change in progress, and gives the duty up.
    void leave();

    /// \brief Whether nothing is left to do after leave().
    [[nodiscard]] bool left() const;

    [[nodiscard]] bool leading() const { return coordinator_.is_coordinator(); }
    /// \brief Notes that a rank has accepted an order that was sent straight.
    void on_accepted(rank_order const& order)
    {
        coordinator_.on_accepted(order);
        send_due(clock_());
    }
    /// \brief Notes a map that another coordinator has ordered.
    void on_map_ordered(std::uint64_t version, group_experts mapping)
    {
        coordinator_.on_map_ordered(version, std::move(mapping));
    }
    [[nodiscard]] std::uint64_t fence() const noexcept
    {
        return leadership_.fence();
    }
    [[nodiscard]] model_group_id const& group() const noexcept
    {
        return group_;
    }
    /// \brief Addresses of ranks whose agents are silent while reports are
    /// needed.
    [[nodiscard]] std::vector<std::string> silent_ranks() const;
    /// \brief Whether the experts that a rank holds are known.
    [[nodiscard]] bool knows_experts(std::uint32_t rank) const
    {
        return coordinator_.knows_experts(rank);
    }
    [[nodiscard]] std::string address_of(std::uint32_t rank) const;

private:
    void follow_duty();
    void read_profile();
    void read_replicas();
    void plan(time_point now);
    [[nodiscard]] bool copies_outdated(time_point now) const;
    void measure(time_point now);
    void add_choices(wire::rank_report const& report, time_point now);
    [[nodiscard]] std::vector<double> slowdowns() const;
    void send_due(time_point now);

    platform& platform_;
    relay_codec const& records_;
    event_log& log_;
    metrics_registry& metrics_;
    clock_function clock_;
    std::function<void(rank_order const&)> send_;
    leadership leadership_;
    hold_coordinator coordinator_;
    map_planner planner_;
    model_group_id group_;
    service_name service_;
    std::uint32_t rank_ = 0;
    std::map<std::uint32_t, std::string> addresses_;
    /// Addresses at which replicas of the service are registered.
    std::vector<std::string> registered_;
    std::map<std::uint32_t, double> slowdowns_;
    std::optional<engine_profile> engine_;
    time_point profile_read_{};
    time_point planned_{};
    bool leaving_ = false;
    /// Choices that were reported, by rank, since its first report.
    std::map<std::uint32_t, activation_counts> choices_;
    /// Phase of the change as it was last measured.
    hold_coordinator::phase phase_ = hold_coordinator::phase::idle;
    time_point phase_began_{};
    std::uint64_t switched_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
