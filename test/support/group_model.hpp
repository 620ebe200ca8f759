#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/expert_map/map_coordinator.hpp>

#include "standins/engine/rank_map_state.hpp"

#include <functional>
#include <map>
#include <memory>

namespace test
{

/// \brief Constants and settings of a group_model.
namespace group_model_setup
{
inline constexpr std::uint32_t ranks = 3;
inline constexpr hornbeamweir::expert_map_shape shape{1, 4, ranks, 2};
inline constexpr hornbeamweir::duration tick_interval =
    std::chrono::milliseconds{100};
inline constexpr hornbeamweir::duration call_timeout = std::chrono::seconds{1};
[[nodiscard]] hornbeamweir::model_group_id group();
/// \brief Settings with short intervals, so that a run has many changes.
[[nodiscard]] hornbeamweir::coordinator_settings fast_settings();
} // namespace group_model_setup

/// \brief Function by which the ranks of a group_model select the map of the
/// next step; see hornbeamweir::next_map().
using step_rule = std::function<std::optional<hornbeamweir::map_identity>(
    std::span<hornbeamweir::rank_maps const>)>;

/// \brief Probabilities of faults in a group_model: of restarts, suspensions,
/// replacements and outages at each tick, of the others at each call or order.
struct fault_rates
{
    double restart_agent = 0;
    double suspend_agent = 0;
    double replace_rank = 0;
    double platform_outage = 0;
    double lose_reply = 0;
    double lose_order = 0;
    double duplicate_order = 0;
    double delay_order = 0;
    double fail_load = 0;
    /// A condition of a transaction that does not hold is ignored.
    double ignore_conditions = 0;
};

/// \brief Simulation in virtual time of one group whose ranks agree on maps:
/// engines in lock-step, agents with a map_participant and a map_coordinator,
/// and the platform's key-value store with compare-and-swap and leases.
class group_model
{
public:
    /// \param checks_fence Whether engines reject orders with a lower fencing
    /// token than an earlier one.
    group_model(
        std::uint64_t seed,
        bool checks_fence,
        step_rule rule,
        hornbeamweir::coordinator_settings settings =
            group_model_setup::fast_settings());
    ~group_model();

    /// \brief Runs the simulation for a time, with random faults.
    void run(hornbeamweir::duration time, fault_rates const& rates);

    /// \brief Makes the placement policies propose no more changes.
    void stop_changes();

    /// \brief Makes every load of one version fail at a rank.
    void fail_loads_of(std::uint32_t rank, std::uint64_t version);

    [[nodiscard]] std::uint64_t steps() const noexcept { return steps_; }
    /// \brief Number of steps in which not all ranks used the same map.
    [[nodiscard]] std::uint64_t mixed_steps() const noexcept { return mixed_; }
    /// \brief Number of steps in which a new map came into force.
    [[nodiscard]] std::uint64_t changes() const noexcept { return changes_; }
    [[nodiscard]] std::uint64_t platform_calls() const noexcept
    {
        return calls_;
    }
    /// \brief Whether the map of the record is in force at all ranks.
    [[nodiscard]] bool settled() const;
    /// \brief Map in force at the first rank.
    [[nodiscard]] hornbeamweir::expert_map const& in_force() const;

private:
    /// Agent of one rank, with its participant and its coordinator.
    struct node
    {
        node(
            hornbeamweir::random_source& random,
            bool const& enabled,
            hornbeamweir::coordinator_settings const& settings,
            std::uint64_t incarnation_id);

        std::unique_ptr<hornbeamweir::placement_policy> policy;
        hornbeamweir::null_event_log log;
        hornbeamweir::map_participant participant;
        hornbeamweir::map_coordinator coordinator;
        std::uint64_t incarnation;
        hornbeamweir::time_point suspended_until{};
    };
    /// Value of a key, and the lease that the key is attached to; 0 for none.
    struct entry
    {
        hornbeamweir::stored_value stored;
        std::int64_t lease = 0;
    };
    using event = std::function<void()>;

    void inject_faults(fault_rates const& rates);
    void restart(std::uint32_t rank);
    void step();
    void schedule(hornbeamweir::duration delay, event run);
    /// Schedules a function at an agent. It is deferred while the agent is
    /// suspended, and dropped if the agent has restarted.
    void schedule_at_agent(
        std::uint32_t rank,
        hornbeamweir::duration delay,
        std::function<void(node&)> run);
    void tick_agent(std::uint32_t rank);
    void perform(std::uint32_t rank, hornbeamweir::participant_actions actions);
    void perform(std::uint32_t rank, hornbeamweir::coordinator_actions actions);
    void order(std::uint32_t rank, hornbeamweir::load_map const& action);
    void deliver(std::uint32_t rank, hornbeamweir::load_map const& action);
    void sample(std::uint32_t rank);
    void read(
        std::uint32_t rank,
        std::string const& key,
        std::function<
            void(node&, hornbeamweir::result<hornbeamweir::range_reply> const&)>
            done);
    void commit(std::uint32_t rank, hornbeamweir::transaction const& request);
    void renew(std::uint32_t rank, std::int64_t lease);
    void grant(std::uint32_t rank, hornbeamweir::duration time_to_live);
    [[nodiscard]] bool apply(hornbeamweir::transaction const& request);
    [[nodiscard]] hornbeamweir::transaction_reply
    reply_to(hornbeamweir::transaction const& request, bool succeeded) const;
    void expire_leases();
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] hornbeamweir::duration random_delay();

    hornbeamweir::random_source random_;
    bool checks_fence_;
    step_rule rule_;
    hornbeamweir::coordinator_settings settings_;
    fault_rates rates_;
    hornbeamweir::time_point now_{std::chrono::seconds{1000}};
    std::multimap<hornbeamweir::time_point, event> events_;
    std::vector<standin::rank_map_state> engines_;
    std::vector<std::uint64_t> engine_incarnations_;
    std::vector<std::unique_ptr<node>> agents_;
    /// Version whose loads fail, by rank.
    std::map<std::uint32_t, std::uint64_t> failing_versions_;
    std::map<std::string, entry> keys_;
    std::map<std::int64_t, hornbeamweir::time_point> leases_;
    std::int64_t revision_ = 1;
    hornbeamweir::time_point platform_down_until_{};
    /// Map used in the last step.
    hornbeamweir::map_identity last_used_;
    std::uint64_t steps_ = 0;
    std::uint64_t mixed_ = 0;
    std::uint64_t changes_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t incarnations_ = 0;
    bool changes_enabled_ = true;
};

} // namespace test
