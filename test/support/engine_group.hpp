#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/rank_state.hpp>

#include <map>

namespace test
{

/// \brief Simulated engines of a lock-step group that do not agree on maps
/// among themselves. Each rank executes the orders it receives, as documented
/// by the platform.
class engine_group
{
public:
    /// \param copy_time Time that a rank takes to copy a map.
    /// \param reform_time Time until the group is re-formed after a restart.
    engine_group(
        std::uint32_t ranks,
        hornbeamweir::duration copy_time,
        hornbeamweir::duration reform_time);

    /// \brief Executes an order.
    /// \returns Whether the rank accepted it.
    [[nodiscard]] bool execute(
        hornbeamweir::rank_order const& order, hornbeamweir::time_point now);

    /// \brief Completes copies that are due, and the re-forming of the group.
    void advance(hornbeamweir::time_point now);

    /// \brief Starts the next forward pass, unless it is held or the group is
    /// being re-formed.
    void begin_pass(hornbeamweir::time_point now);

    /// \brief Restarts a rank, upon which the group is re-formed in a new
    /// epoch.
    void restart(std::uint32_t rank, hornbeamweir::time_point now);

    /// \brief Sets whether orders with a lower fence than an earlier one are
    /// rejected; the default is true.
    void check_fences(bool check) noexcept { check_fences_ = check; }

    [[nodiscard]] std::uint32_t size() const noexcept
    {
        return static_cast<std::uint32_t>(ranks_.size());
    }
    [[nodiscard]] hornbeamweir::rank_state const&
    state(std::uint32_t rank) const
    {
        return ranks_[rank].state;
    }

    /// \brief Experts of a rank in the map of a version, by expert set; empty
    /// if the rank has not received that map.
    [[nodiscard]] hornbeamweir::rank_experts
    experts(std::uint32_t rank, std::uint64_t version) const;

    /// \brief Sets the initial map, which has version 0.
    void set_initial_map(hornbeamweir::group_experts const& mapping);

    [[nodiscard]] bool is_held() const;
    [[nodiscard]] bool is_armed() const;
    [[nodiscard]] std::uint64_t passes() const noexcept { return step_; }
    /// \brief Number of passes in which not all ranks used the same map.
    [[nodiscard]] std::uint64_t mixed_passes() const noexcept { return mixed_; }

private:
    struct engine
    {
        hornbeamweir::rank_state state;
        std::uint64_t newest_version = 0;
        std::uint64_t newest_fence = 0;
        std::uint64_t copying_version = 0;
        hornbeamweir::time_point copied_at{};
        std::map<std::uint64_t, hornbeamweir::rank_experts> maps;
    };

    [[nodiscard]] bool prepare(
        hornbeamweir::rank_order const& order, hornbeamweir::time_point now);
    [[nodiscard]] bool arm(hornbeamweir::rank_order const& order);
    [[nodiscard]] bool hold(hornbeamweir::rank_order const& order);
    static void
    store_map(hornbeamweir::rank_order const& order, engine& target);

    hornbeamweir::duration copy_time_;
    hornbeamweir::duration reform_time_;
    std::vector<engine> ranks_;
    std::uint64_t step_ = 0;
    std::uint64_t mixed_ = 0;
    /// Time from which the group is formed and can run passes.
    hornbeamweir::time_point formed_at_{};
    bool check_fences_ = true;
};

} // namespace test
