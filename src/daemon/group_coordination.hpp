#pragma once

#include <hornbeamweir/expert_map/hold_coordinator.hpp>
#include <hornbeamweir/expert_map/map_planner.hpp>
#include <hornbeamweir/peers/leadership.hpp>
#include <hornbeamweir/peers/rank_messages.hpp>
#include <hornbeamweir/peers/report_schedule.hpp>
#include <hornbeamweir/relay/relay_codec.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include "coordinator_activity.hpp"

namespace hornbeamweir
{

/// \brief Coordinates a group's expert maps while this process is the leader:
/// connects leadership, measured demand, map planning and map switches.
class group_coordination
{
public:
    using clock_function = time_point (*)() noexcept;

    /// \param self Name of this process as a candidate.
    /// \param fences_checked Whether engines reject orders with a lower fencing
    /// token; see leadership.
    /// \param send Sends orders to ranks.
    /// \param link_megabits_per_second Rate of this VM's link.
    group_coordination(
        platform& store,
        relay_codec const& records,
        event_log& log,
        metrics_registry& metrics,
        clock_function clock,
        random_source random,
        std::string self,
        bool fences_checked,
        double link_megabits_per_second,
        std::function<void(std::vector<rank_order> const&)> send);
    group_coordination(group_coordination const&) = delete;
    group_coordination& operator=(group_coordination const&) = delete;
    ~group_coordination() = default;

    /// \brief Sets the group and service from the state of the local rank.
    void on_local_rank(rank_state const& state, service_name const& service);

    /// \brief Processes a report of a rank; reports of other groups are
    /// ignored.
    void on_report(wire::rank_report const& report);

    void on_coordinator_heartbeat(wire::coordinator_beat const& beat);

    void on_tick();

    /// \brief Starts to give up the coordinator role: on_tick() does so once no
    /// map change is in progress.
    void leave();

    /// \brief Whether the coordinator role has been given up after leave().
    [[nodiscard]] bool has_left() const;

    [[nodiscard]] bool is_coordinator() const
    {
        return coordinator_.is_coordinator();
    }
    /// \brief Records that a rank accepted an order sent to it directly.
    void on_accepted(rank_order const& order)
    {
        coordinator_.on_accepted(order);
        send_due_orders(clock_());
    }
    /// \brief Records a map that another coordinator has ordered.
    void on_map_ordered(std::uint64_t version, shared_experts mapping)
    {
        coordinator_.on_map_ordered(version, std::move(mapping));
    }
    /// \returns A map that was ordered before; null if unknown.
    [[nodiscard]] group_experts const* ordered_map(std::uint64_t version) const
    {
        return coordinator_.ordered_map(version);
    }
    /// \returns See leadership::unheard_leader().
    [[nodiscard]] std::string const& unheard_coordinator() const noexcept
    {
        return leadership_.unheard_leader();
    }
    [[nodiscard]] std::uint64_t fence() const noexcept
    {
        return leadership_.fence();
    }
    /// \returns Number of ranks of the group; 0 if unknown.
    [[nodiscard]] std::uint32_t ranks() const noexcept { return ranks_; }
    [[nodiscard]] model_group_id const& group() const noexcept
    {
        return group_;
    }
    /// \brief Addresses of ranks that have not reported recently and whose
    /// reports are needed.
    [[nodiscard]] std::vector<std::string> stale_rank_addresses() const;
    /// \brief Whether it is known which experts a rank holds.
    [[nodiscard]] bool knows_experts(std::uint32_t rank) const
    {
        return coordinator_.knows_experts(rank);
    }
    /// \returns An empty string if the rank has not reported.
    [[nodiscard]] std::string address_of(std::uint32_t rank) const;

private:
    void update_coordinator_role();
    void read_profile();
    void read_replicas();
    void plan_map(time_point now);
    [[nodiscard]] bool preparing_map_outdated(time_point now);
    void update_metrics(time_point now);
    void add_activations(wire::rank_report const& report, time_point now);
    [[nodiscard]] std::vector<double> slowdowns() const;
    /// \returns Share of the group's capacity that is in use, from 0 to 1.
    [[nodiscard]] double load() const;
    void send_due_orders(time_point now);

    platform& platform_;
    relay_codec const& records_;
    event_log& log_;
    metrics_registry& metrics_;
    clock_function clock_;
    std::function<void(std::vector<rank_order> const&)> send_;
    leadership leadership_;
    hold_coordinator coordinator_;
    map_planner planner_;
    coordinator_activity activity_;
    model_group_id group_;
    service_name service_;
    std::uint32_t rank_ = 0;
    std::uint32_t ranks_ = 0;
    std::map<std::uint32_t, std::string> addresses_;
    /// Addresses of the registered replicas of the service.
    std::vector<std::string> registered_addresses_;
    std::map<std::uint32_t, double> slowdowns_;
    /// Requests that each rank executes or queues.
    std::map<std::uint32_t, std::uint32_t> requests_;
    std::optional<engine_profile> engine_profile_;
    time_point profile_read_at_{};
    time_point planned_at_{};
    bool leaving_ = false;
    /// Expert activations by rank, summed up since its first report.
    std::map<std::uint32_t, activation_counts> activations_;
    /// Phase of the map change when the metrics were last updated.
    hold_coordinator::phase phase_ = hold_coordinator::phase::idle;
    time_point phase_began_at_{};
    std::uint64_t counted_switches_ = 0;
    time_point took_over_at_{};
    /// Whether the address of the previous coordinator's rank is known.
    bool knows_previous_address_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hornbeamweir
