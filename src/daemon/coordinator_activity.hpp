#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/map_planner.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

namespace hornbeamweir
{

/// \brief Work of a group's coordinator, logged once per second: shows whether
/// its VM keeps up with the reports and orders of the group.
class coordinator_activity
{
public:
    coordinator_activity(event_log& log, metrics_registry& metrics) noexcept
        : log_{log}
        , metrics_{metrics}
    {
    }

    void on_report() noexcept { ++reports_; }
    void on_order() noexcept { ++orders_; }
    /// \param elapsed Time taken to search for a map, whether one was found or
    /// not.
    void on_planned(duration elapsed);
    /// \param activations Number on which the search was based.
    void on_outcome(plan_outcome outcome, double activations) noexcept
    {
        outcome_ = outcome;
        activations_ = activations;
    }
    /// \param oldest_report Age of the oldest last report of a rank.
    void on_tick(time_point now, duration oldest_report);

private:
    void write(duration oldest_report);

    event_log& log_;
    metrics_registry& metrics_;
    std::uint64_t reports_ = 0;
    std::uint64_t orders_ = 0;
    std::uint64_t searches_ = 0;
    duration planning_{};
    plan_outcome outcome_ = plan_outcome::unsettled;
    double activations_ = 0;
    /// Longest time between two ticks.
    duration max_tick_gap_{};
    time_point last_tick_{};
    time_point written_at_{};
};

} // namespace hornbeamweir
