#pragma once

#include <hornbeamweir/peers/rank_messages.hpp>
#include <hornbeamweir/peers/report_schedule.hpp>

#include "rank_client.hpp"

namespace hornbeamweir
{

/// \brief Polls the state, experts and expert activations of the local rank.
class rank_monitor
{
public:
    using clock_function = time_point (*)() noexcept;

    /// \param state_handler Receives each state that a tick has read.
    rank_monitor(
        rank_client& client,
        event_log& log,
        clock_function clock,
        std::string address,
        std::string service,
        std::function<void(rank_state const&)> state_handler);
    rank_monitor(rank_monitor const&) = delete;
    rank_monitor& operator=(rank_monitor const&) = delete;
    ~rank_monitor() = default;

    /// \brief Starts the reads that are due.
    /// \param with_activations Whether a coordinator needs expert activations.
    void on_tick(bool with_activations);

    /// \brief Reads the state immediately, after an order; `done` is not called
    /// if that fails.
    void read_now(std::function<void(rank_state const&)> done);

    /// \brief Records that the rank has accepted an order to copy a map.
    void on_prepare_accepted(std::uint64_t version) noexcept
    {
        accepted_version_ = version;
    }

    [[nodiscard]] bool has_state() const noexcept { return state_.has_value(); }
    /// \brief Whether the rank has requests but begins no forward pass.
    [[nodiscard]] bool is_stalled() const noexcept { return stalled_; }

    /// \brief Builds the report for entries.
    [[nodiscard]] wire::rank_report report_of(rank_state const& state) const;
    /// \brief Whether a coordinator needs a report of a state.
    [[nodiscard]] bool is_report_due(rank_state const& state) const;
    /// \brief Makes the next report due, with the experts of the rank.
    void on_new_coordinator() noexcept { reports_.reset(); }

    /// \brief Builds the report for a coordinator: adds the experts, if they
    /// are due, and the activations that were not reported yet, and resets
    /// these.
    [[nodiscard]] wire::rank_report detailed_report(rank_state const& state);

private:
    void read_state();
    void on_state(result<rank_state> const& state);
    void track_progress(rank_state const& state);
    void read_experts();
    void read_activations();
    void add_activations(activation_counts const& counts);
    [[nodiscard]] bool is_changing_map() const;
    /// Whether this rank is one of those that report expert activations.
    [[nodiscard]] bool reports_activations() const;
    [[nodiscard]] bool knows_experts(rank_state const& state) const;

    rank_client& client_;
    event_log& log_;
    clock_function clock_;
    std::string address_;
    std::string service_;
    std::function<void(rank_state const&)> state_handler_;
    std::optional<rank_state> state_;
    std::optional<rank_experts> experts_;
    std::uint64_t experts_epoch_ = 0;
    std::uint64_t experts_version_ = 0;
    std::optional<activation_counts> activations_;
    time_point activations_received_at_{};
    /// Activations not reported yet, by set and expert.
    std::vector<std::uint32_t> unreported_activations_;
    report_schedule reports_;
    std::uint64_t accepted_version_ = 0;
    std::uint64_t last_step_ = 0;
    time_point last_progress_at_{};
    time_point load_logged_at_{};
    time_point state_requested_at_{};
    time_point activations_requested_at_{};
    bool stalled_ = false;
    bool reading_state_ = false;
    bool reading_experts_ = false;
};

} // namespace hornbeamweir
