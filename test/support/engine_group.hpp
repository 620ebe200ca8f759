#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/rank_state.hpp>

#include <map>

namespace test
{

/// \brief Engines of a lock-step group, as the users' platform describes them:
/// they compare no maps, and carry out what is ordered of each.
class engine_group
{
public:
    engine_group(
        std::uint32_t ranks,
        hornbeamweir::duration copy_time,
        hornbeamweir::duration form_time);

    /// \brief Carries out an order.
    /// \returns Whether it was accepted.
    [[nodiscard]] bool carry_out(
        hornbeamweir::rank_order const& order, hornbeamweir::time_point now);

    /// \brief Ends copies, and forms the group again after a restart.
    void advance(hornbeamweir::time_point now);

    /// \brief Begins a pass unless one is held back or the group is broken.
    void begin_pass(hornbeamweir::time_point now);

    /// \brief Restarts a rank, upon which the group forms anew.
    void restart(std::uint32_t number, hornbeamweir::time_point now);

    void check_fences(bool check) noexcept { check_fences_ = check; }

    [[nodiscard]] std::uint32_t size() const noexcept
    {
        return static_cast<std::uint32_t>(ranks_.size());
    }
    [[nodiscard]] hornbeamweir::rank_state const&
    state(std::uint32_t number) const
    {
        return ranks_[number].state;
    }

    /// \brief Experts that a rank holds of a map, by set; empty if it has none
    /// by that version.
    [[nodiscard]] hornbeamweir::rank_experts
    experts(std::uint32_t number, std::uint64_t version) const;

    /// \brief Gives the experts of map 0.
    void set_first_map(hornbeamweir::group_experts const& mapping);

    [[nodiscard]] bool is_held() const;
    [[nodiscard]] bool is_armed() const;
    [[nodiscard]] std::uint64_t passes() const noexcept { return step_; }
    /// Passes that began while ranks had different maps.
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
    static void keep(hornbeamweir::rank_order const& order, engine& at);

    hornbeamweir::duration copy_time_;
    hornbeamweir::duration form_time_;
    std::vector<engine> ranks_;
    std::uint64_t step_ = 0;
    std::uint64_t mixed_ = 0;
    hornbeamweir::time_point forms_at_{};
    bool check_fences_ = true;
};

} // namespace test
