#pragma once

#include <hornbeamweir/routing/routing_policy.hpp>

#include <deque>
#include <map>

namespace hornbeamweir
{

/// \brief Estimates the load of backend servers from delayed reports and the
/// attempts of this entry.
/// \remarks The attempts of this entry are counted exactly. The load from other
/// entries is taken from reports, and moves towards the average over all
/// candidates as a report ages.
class load_estimator
{
public:
    /// \param sample_age Age of a report's sample when the report is sent.
    /// \param report_weight Weight of a fresh report against the average, from
    /// 0 to 1.
    load_estimator(duration sample_age, double report_weight) noexcept;

    void on_started(backend_server_id const& id, time_point now);
    void on_ended(finished_attempt const& attempt, time_point now);

    /// \brief Returns the estimated number of requests at each candidate.
    [[nodiscard]] std::vector<double> loads_of(
        std::span<routing_candidate const> candidates, time_point now) const;

private:
    /// A change in the number of attempts that this entry has in flight.
    struct change
    {
        time_point at;
        int delta = 0;
    };

    /// Returns the reported load without the attempts of this entry.
    [[nodiscard]] double
    load_from_others(routing_candidate const& candidate, time_point now) const;
    [[nodiscard]] double
    weight_of(routing_candidate const& candidate) const noexcept;
    void record(backend_server_id const& id, change latest);
    void remove_idle(time_point now);

    duration sample_age_;
    double report_weight_;
    std::map<backend_server_id, std::deque<change>> changes_;
    time_point last_cleanup_{};
    /// Exponential moving average of the time that an attempt takes.
    std::chrono::duration<double> attempt_time_ = std::chrono::seconds{1};
};

} // namespace hornbeamweir
