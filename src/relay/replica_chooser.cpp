#include <hornbeamweir/relay/replica_chooser.hpp>

namespace hornbeamweir::relay
{

namespace
{

/// Relative increase of the cost for a replica that fails all requests.
constexpr double failure_weight = 6;
/// Cost of crossing data centres, as a fraction of the cost of a sequence;
/// small, so that it decides only between replicas with equal load.
constexpr double cross_data_centre_weight = 0.2;
/// Random cost, as a fraction of the cost of a sequence; keeps entries that see
/// the same loads from choosing the same replica.
constexpr double jitter_weight = 0.15;
/// Failure rate above which the cost is multiplied by failure_weight again, so
/// that other replicas are preferred.
constexpr double high_failure_rate = 0.75;

} // namespace

std::optional<std::size_t> replica_chooser::choose(
    std::span<candidate const> candidates,
    step_cost const& cost,
    data_centre_id const& local_data_centre,
    std::uint32_t over_limit)
{
    std::optional<std::size_t> best;
    double best_cost = 0;
    double const step = static_cast<double>(cost.step.count());
    double const per_sequence = static_cast<double>(cost.per_sequence.count());
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        candidate const& it = candidates[n];
        if (!it.has_room(over_limit))
            continue;
        double const base = step + per_sequence * (it.in_flight + 1);
        double candidate_cost =
            base * it.slowdown * (1 + failure_weight * it.failure_rate);
        if (it.failure_rate > high_failure_rate)
            candidate_cost *= failure_weight;
        if (it.target->data_centre != local_data_centre)
            candidate_cost += cross_data_centre_weight * per_sequence;
        candidate_cost += jitter_weight * per_sequence * random_.unit();
        if (!best || candidate_cost < best_cost)
        {
            best = n;
            best_cost = candidate_cost;
        }
    }
    return best;
}

} // namespace hornbeamweir::relay
