#include <hornbeamweir/relay/replica_chooser.hpp>

namespace hornbeamweir::relay
{

namespace
{

/// Cost of a replica that fails all requests, in steps of a healthy one.
constexpr double failure_weight = 6;
/// Part of a request's cost that crossing data centres is worth: enough to
/// decide between equals only.
constexpr double crossing_weight = 0.2;
/// Spreads entries that see the same loads.
constexpr double jitter_weight = 0.15;
/// Score at which a replica is taken only if no other is left.
constexpr double failing = 0.75;

} // namespace

std::optional<std::size_t> replica_chooser::choose(
    std::span<candidate const> candidates,
    step_cost const& cost,
    data_centre_id const& near,
    std::uint32_t beyond)
{
    std::optional<std::size_t> best;
    double best_cost = 0;
    double const step = static_cast<double>(cost.step.count());
    double const each = static_cast<double>(cost.per_sequence.count());
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        candidate const& it = candidates[n];
        if (it.in_flight >= it.limit + beyond)
            continue;
        double const base = step + each * (it.in_flight + 1);
        double value = base * it.pace * (1 + failure_weight * it.failures);
        if (it.failures > failing)
            value *= failure_weight;
        if (it.target->data_centre != near)
            value += crossing_weight * each;
        value += jitter_weight * each * random_.unit();
        if (!best || value < best_cost)
        {
            best = n;
            best_cost = value;
        }
    }
    return best;
}

} // namespace hornbeamweir::relay
