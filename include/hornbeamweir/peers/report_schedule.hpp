#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/rank_state.hpp>

namespace hornbeamweir
{

/// \returns Interval of the reports of a rank that has no news. In large groups
/// it is longer, so that the coordinator can process the reports of all ranks.
[[nodiscard]] duration report_interval(std::uint32_t ranks) noexcept;

/// \returns Age of a rank's last report above which its agent counts as silent:
/// two reports were lost.
[[nodiscard]] duration max_report_age(std::uint32_t ranks) noexcept;

/// \brief Decides which states of a rank are reported to its coordinator, which
/// in a large group could not process all that are read.
/// \remarks A state that matters to a map change is reported at once; others
/// only as often as the coordinator needs to know that the rank is reachable.
class report_schedule
{
public:
    /// \param has_activations Whether there are activations to be reported.
    [[nodiscard]] bool
    is_due(rank_state const& state, bool has_activations, time_point now) const;

    /// \brief Whether the next report should include the experts of the rank.
    [[nodiscard]] bool
    includes_experts(rank_state const& state, time_point now) const;

    /// \param with_experts Whether the report included the experts.
    void
    on_reported(rank_state const& state, bool with_experts, time_point now);

    /// \brief Makes the next report due, with the experts: a new coordinator
    /// knows nothing of the rank.
    void reset() noexcept { *this = {}; }

private:
    rank_state reported_;
    time_point reported_at_{};
    time_point experts_reported_at_{};
};

/// \brief Decides when entries are told whether a rank can serve requests: at
/// once if that has changed, else at intervals.
class entry_report_schedule
{
public:
    /// \param serves Whether the rank can serve requests.
    [[nodiscard]] bool is_due(bool serves, time_point now) const;
    void on_reported(bool serves, time_point now);

private:
    bool serves_ = false;
    time_point reported_at_{};
};

} // namespace hornbeamweir
