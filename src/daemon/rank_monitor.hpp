#pragma once

#include <hornbeamweir/peers/rank_messages.hpp>

#include "rank_client.hpp"

namespace hornbeamweir
{

/// \brief Follows the state, experts and choices of the rank beside an agent.
class rank_monitor
{
public:
    using clock_function = time_point (*)() noexcept;

    /// \param changed Receives each state that is read.
    rank_monitor(
        rank_client& client,
        event_log& log,
        clock_function clock,
        std::string address,
        std::string service,
        std::function<void(rank_state const&)> changed);
    rank_monitor(rank_monitor const&) = delete;
    rank_monitor& operator=(rank_monitor const&) = delete;
    ~rank_monitor() = default;

    /// \brief Reads what is due.
    /// \param choices Whether a coordinator wants the choices of experts.
    void on_tick(bool choices);

    /// \brief Reads the state at once, after an order.
    void read_now(std::function<void(rank_state const&)> done);

    /// \brief Notes that the rank has accepted to copy a map.
    void on_prepare_accepted(std::uint64_t version) noexcept
    {
        accepted_version_ = version;
    }

    [[nodiscard]] bool is_known() const noexcept { return known_.has_value(); }
    /// \brief Whether the rank has work and begins no pass.
    [[nodiscard]] bool is_stalled() const noexcept { return stalled_; }

    /// \brief Builds the report of a state for entries.
    [[nodiscard]] wire::rank_report report_of(rank_state const& state) const;
    /// \brief Builds the report for a coordinator, which has the experts and
    /// the choices since the last one.
    [[nodiscard]] wire::rank_report detailed_report(rank_state const& state);

private:
    void read_state();
    void on_state(result<rank_state> const& state);
    void note_passes(rank_state const& state);
    void read_experts();
    void read_choices();
    void add_choices(activation_counts const& counts);
    [[nodiscard]] bool changes_map() const;
    /// Whether this rank is among those that tell their choices.
    [[nodiscard]] bool tells_choices() const;
    [[nodiscard]] bool knows_experts(rank_state const& state) const;

    rank_client& client_;
    event_log& log_;
    clock_function clock_;
    std::string address_;
    std::string service_;
    std::function<void(rank_state const&)> changed_;
    std::optional<rank_state> known_;
    std::optional<rank_experts> experts_;
    std::uint64_t experts_epoch_ = 0;
    std::uint64_t experts_version_ = 0;
    std::optional<activation_counts> choices_;
    time_point choices_taken_{};
    /// Choices that were not reported yet, by set and expert.
    std::vector<std::uint32_t> new_choices_;
    std::uint64_t accepted_version_ = 0;
    std::uint64_t last_step_ = 0;
    time_point stepped_at_{};
    time_point load_logged_{};
    time_point state_at_{};
    time_point choices_at_{};
    bool stalled_ = false;
    bool reading_state_ = false;
    bool reading_experts_ = false;
};

} // namespace hornbeamweir
