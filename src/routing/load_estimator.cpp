#include <hornbeamweir/routing/load_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamweir
{

namespace
{

/// Time for which changes are kept. For samples older than this, the correction
/// is incomplete.
constexpr duration history_window = std::chrono::seconds{5};
constexpr std::size_t max_changes = 1024;
constexpr double attempt_time_smoothing = 0.02;

} // namespace

load_estimator::load_estimator(
    duration sample_age, double report_weight) noexcept
    : sample_age_{sample_age}
    , report_weight_{report_weight}
{
}

void load_estimator::on_started(backend_server_id const& id, time_point now)
{
    record(id, {now, 1});
}

void load_estimator::on_ended(finished_attempt const& attempt, time_point now)
{
    record(attempt.server, {now, -1});
    if (attempt.outcome == attempt_outcome::succeeded)
        attempt_time_ +=
            attempt_time_smoothing * (attempt.elapsed - attempt_time_);
}

void load_estimator::record(backend_server_id const& id, change latest)
{
    std::deque<change>& changes = changes_[id];
    changes.push_back(latest);
    while (changes.size() > max_changes ||
           latest.at - changes.front().at > history_window)
        changes.pop_front();
    if (latest.at - last_cleanup_ > history_window)
        remove_idle(latest.at);
}

void load_estimator::remove_idle(time_point now)
{
    last_cleanup_ = now;
    std::erase_if(
        changes_,
        [now](std::pair<backend_server_id const, std::deque<change>> const& it)
        { return now - it.second.back().at > history_window; });
}

// Subtracts the local attempts that were in flight when the load was sampled.
// Their number is reconstructed by undoing the changes since the sample.
double load_estimator::load_from_others(
    routing_candidate const& candidate, time_point now) const
{
    double local_at_sample = candidate.local_in_flight;
    time_point const sampled = now - candidate.report_age - sample_age_;
    auto const it = changes_.find(candidate.id);
    if (it != changes_.end())
    {
        std::deque<change> const& changes = it->second;
        for (auto recent = changes.rbegin();
             recent != changes.rend() && recent->at > sampled;
             ++recent)
            local_at_sample -= recent->delta;
    }
    double const reported = static_cast<double>(candidate.reported_in_flight) +
                            static_cast<double>(candidate.reported_queued);
    return std::max(0.0, reported - std::max(0.0, local_at_sample));
}

// The probability that a sampled request is still in flight decays
// exponentially with the sample's age.
double
load_estimator::weight_of(routing_candidate const& candidate) const noexcept
{
    std::chrono::duration<double> const age =
        candidate.report_age + sample_age_;
    return report_weight_ * std::exp(-age / attempt_time_);
}

// All entries prefer the servers that report a low load. By the time that a
// report is old, the differences in it no longer exist, so its weight decreases
// with its age.
std::vector<double> load_estimator::loads_of(
    std::span<routing_candidate const> candidates, time_point now) const
{
    std::vector<double> loads;
    double total = 0;
    for (routing_candidate const& candidate : candidates)
    {
        loads.push_back(load_from_others(candidate, now));
        total += loads.back();
    }
    double const average = total / static_cast<double>(candidates.size());
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        double const weight = weight_of(candidates[n]);
        loads[n] = candidates[n].local_in_flight + weight * loads[n] +
                   (1 - weight) * average;
    }
    return loads;
}

} // namespace hornbeamweir
