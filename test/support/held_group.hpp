#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/expert_map/hold_coordinator.hpp>

#include "engine_group.hpp"

#include <array>
#include <functional>

namespace test
{

/// \brief Faults injected into a held_group.
struct held_group_faults
{
    /// Probability that an order is executed seconds late.
    double delayed_orders = 0;
    /// Probability that an order arrives a second time, seconds late.
    double duplicated_orders = 0;
    /// Probability that an order is lost.
    double lost_orders = 0;
    /// Probability that a report is lost.
    double lost_reports = 0;
    /// Whether processes that coordinate are suspended at random.
    bool suspended_coordinators = false;
    /// Probability that a coordinator is suspended when its phase changes.
    double suspended_phases = 0;
    /// Whether the rank of a suspended process can be read and ordered
    /// directly.
    bool reachable_engines = false;
    /// Whether a suspended coordinator is replaced before its lease expires. It
    /// goes on for some time when it resumes.
    bool early_takeovers = false;
    /// Whether ranks are restarted at random.
    bool restarted_ranks = false;
    /// Whether the group has periods without requests, and thus without passes.
    bool idle_periods = false;
    /// Whether engines reject orders with a lower fence than an earlier one.
    bool engines_check_fences = true;
};

/// \brief Simulation in virtual time of a lock-step group, of two processes
/// that compete to coordinate it with a hold_coordinator, and of a network that
/// loses, delays and duplicates messages.
class held_group
{
public:
    static constexpr std::uint32_t ranks = 4;

    held_group(std::uint64_t seed, held_group_faults const& faults);

    /// \brief Runs the simulation for a time. The coordinator starts the next
    /// change of maps as soon as one is complete.
    void run(hornbeamweir::duration time);

    /// \brief Disables all faults. The group keeps running.
    void stop_faults();

    [[nodiscard]] engine_group const& engines() const noexcept
    {
        return engines_;
    }
    /// \brief Runs until a coordinator is in a phase, and suspends it.
    void suspend_in(hornbeamweir::hold_coordinator::phase phase);

    /// Longest time without a pass while the group had work.
    hornbeamweir::duration longest_stall{};
    /// Number of maps switched by the two coordinators in total.
    std::uint64_t maps_switched = 0;

private:
    struct process
    {
        process(hornbeamweir::event_log& log, bool replaced_early)
            : coordinator{log, 8, replaced_early}
        {
        }

        hornbeamweir::hold_coordinator coordinator;
        std::uint32_t local_rank = 0;
        hornbeamweir::time_point suspended_at{};
        hornbeamweir::time_point suspended_until{};
        hornbeamweir::time_point lease_expiry{};
        hornbeamweir::hold_coordinator::phase last_phase{};
        /// Whether another process has taken over before the lease expired.
        bool replaced = false;
    };

    void step();
    void run_processes();
    void run(process& it);
    void suspend(process& it, hornbeamweir::duration time);
    void read_directly(process& reader);
    [[nodiscard]] bool has_silent_agent(std::uint32_t rank) const;
    void count_stall();
    void elect();
    void send(process& from, hornbeamweir::rank_order const& order);
    void deliver(hornbeamweir::rank_order const& order);
    void report(std::uint32_t rank);
    void schedule(hornbeamweir::duration delay, std::function<void()> action);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] bool reachable(std::uint32_t rank) const;
    [[nodiscard]] hornbeamweir::group_experts random_map();

    hornbeamweir::null_event_log log_;
    hornbeamweir::random_source random_;
    held_group_faults faults_;
    hornbeamweir::time_point now_{std::chrono::seconds{100}};
    engine_group engines_;
    std::array<process, 2> processes_;
    std::multimap<hornbeamweir::time_point, std::function<void()>> pending_;
    std::uint64_t fence_ = 0;
    /// Local rank of the coordinator that was the last to start a change.
    std::optional<std::uint32_t> last_local_rank_;
    hornbeamweir::time_point next_pass_{};
    hornbeamweir::time_point next_report_{};
    hornbeamweir::time_point next_direct_read_{};
    hornbeamweir::time_point last_pass_at_{now_};
    std::uint64_t last_pass_ = 0;
    /// Whether the group has requests to execute.
    bool has_work_ = true;
};

} // namespace test
