#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/expert_map/hold_coordinator.hpp>

#include "engine_group.hpp"

#include <array>
#include <functional>

namespace test
{

/// \brief What goes wrong in a held_group.
struct held_group_faults
{
    /// Probability that an order is not answered and carried out late.
    double late_orders = 0;
    /// Probability that an order arrives twice, the second time late.
    double doubled_orders = 0;
    /// Probability that a report is lost.
    double lost_reports = 0;
    bool frozen_coordinators = false;
    bool restarted_ranks = false;
    /// Whether the group has work only at times.
    bool idle_times = false;
    bool engines_check_fences = true;
};

/// \brief Ranks of a lock-step group in virtual time, two processes that
/// coordinate it by turns, and a network that loses and delays.
class held_group
{
public:
    static constexpr std::uint32_t ranks = 4;

    held_group(std::uint64_t seed, held_group_faults const& faults);

    /// \brief Runs for a time; a process starts maps whenever it can.
    void run(hornbeamweir::duration time);

    /// \brief Ends all faults and lets the group work on.
    void heal();

    [[nodiscard]] engine_group const& engines() const noexcept
    {
        return engines_;
    }
    std::uint64_t switches = 0;

private:
    struct process
    {
        explicit process(hornbeamweir::event_log& log)
            : coordinator{log}
        {
        }

        hornbeamweir::hold_coordinator coordinator;
        std::uint32_t home = 0;
        hornbeamweir::time_point frozen_until{};
        hornbeamweir::time_point lease_until{};
    };

    void step();
    void run_processes();
    void elect();
    void send(process& from, hornbeamweir::rank_order const& order);
    void deliver(hornbeamweir::rank_order const& order);
    void report(std::uint32_t number);
    void later(hornbeamweir::duration delay, std::function<void()> act);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] bool reachable(std::uint32_t number) const;
    [[nodiscard]] hornbeamweir::group_experts some_map();

    hornbeamweir::null_event_log log_;
    hornbeamweir::random_source random_;
    held_group_faults faults_;
    hornbeamweir::time_point now_{std::chrono::seconds{100}};
    engine_group engines_;
    std::array<process, 2> processes_;
    std::multimap<hornbeamweir::time_point, std::function<void()>> pending_;
    std::uint64_t fence_ = 0;
    std::optional<std::uint32_t> last_home_;
    hornbeamweir::time_point next_pass_{};
    hornbeamweir::time_point next_report_{};
    bool working_ = true;
};

} // namespace test
