#include <hornbeamweir/routing/failure_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamweir
{

namespace
{

/// Fraction of the distance to 1 by which a failure raises the score.
constexpr double gain_per_failure = 0.4;
constexpr double factor_per_success = 0.8;
constexpr double negligible_score = 0.01;
constexpr double min_sampling_probability = 0.02;
constexpr std::chrono::duration<double> half_life = std::chrono::seconds{5};

} // namespace

double
failure_tracker::score_of(backend_server_id const& id, time_point now) const
{
    auto const it = records_.find(id);
    if (it == records_.end())
        return 0;
    std::chrono::duration<double> const age = now - it->second.updated_at;
    return it->second.score * std::exp2(-age / half_life);
}

double failure_tracker::sampling_probability(
    backend_server_id const& id, time_point now) const
{
    return std::max(min_sampling_probability, 1 - score_of(id, now));
}

void failure_tracker::on_failed(backend_server_id const& id, time_point now)
{
    double const score = score_of(id, now);
    records_[id] = {score + (1 - score) * gain_per_failure, now};
}

// Each success lowers the score by a factor only, so that traffic returns
// gradually.
void failure_tracker::on_succeeded(backend_server_id const& id, time_point now)
{
    auto const it = records_.find(id);
    if (it == records_.end())
        return;
    double const score = score_of(id, now) * factor_per_success;
    if (score < negligible_score)
        records_.erase(it);
    else
        it->second = {score, now};
}

} // namespace hornbeamweir
