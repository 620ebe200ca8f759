#pragma once

#include <hornbeamweir/routing/routing_policy.hpp>

#include <algorithm>
#include <deque>
#include <list>

namespace bench
{

using hornbeamweir::attempt_outcome;
using hornbeamweir::duration;
using hornbeamweir::random_source;
using hornbeamweir::routing_candidate;
using hornbeamweir::routing_policy;
using hornbeamweir::routing_query;
using hornbeamweir::time_point;

/// \brief Parameters of one simulation.
struct scenario
{
    std::string name;
    /// Offered load as a fraction of the ranks' throughput with full batches
    /// and no cached prefixes.
    double load = 0.8;
    /// Step time of the first rank relative to the others.
    double straggler_slowdown = 1;
    std::size_t failing_groups = 0;
    /// Number of distinct prompt prefixes; 0 turns prefixes off.
    std::size_t prefixes = 0;
    /// Time between two load reports of a rank.
    duration report_interval = std::chrono::milliseconds{500};
    /// Time from the sample of a load report to its arrival at the entries.
    duration report_delay = std::chrono::milliseconds{250};
    std::uint64_t seed = 20261203;
};

/// \brief Results of a policy in one scenario.
struct measurement
{
    /// Of requests that arrived after the warm-up.
    std::vector<double> latencies_ms;
    /// Mean ratio of the slowest rank's step time to the average of its group.
    double skew = 0;
    std::size_t requests = 0;
    std::size_t attempts = 0;
    std::size_t succeeded = 0;
    /// Of requests that arrived after the warm-up.
    std::size_t prefix_hits = 0;

    /// Reorders the latencies.
    [[nodiscard]] double quantile(double fraction)
    {
        if (latencies_ms.empty())
            return 0;
        std::size_t const n = static_cast<std::size_t>(
            fraction * static_cast<double>(latencies_ms.size() - 1));
        std::nth_element(
            latencies_ms.begin(),
            latencies_ms.begin() + static_cast<std::ptrdiff_t>(n),
            latencies_ms.end());
        return latencies_ms[n];
    }
};

/// \brief A request in flight.
struct simulated_request
{
    std::size_t entry = 0;
    time_point arrived;
    time_point sent;
    std::uint32_t tokens_left = 0;
    std::uint32_t prefill_steps_left = 0;
    std::uint64_t prefix = 0;
    std::size_t rank = 0;
    std::size_t attempts = 0;
    /// Ranks that have failed the request.
    std::vector<std::size_t> excluded;
};

/// \brief A rank's queue, batch and prefix cache.
struct rank_state
{
    std::deque<simulated_request> queue;
    std::vector<simulated_request> active;
    /// Cached prefixes, the most recently used first.
    std::list<std::uint64_t> cached;
    /// Step time relative to the other ranks.
    double slowdown = 1;
    duration last_step{};

    [[nodiscard]] std::size_t load() const noexcept
    {
        return queue.size() + active.size();
    }
    [[nodiscard]] bool holds(std::uint64_t prefix) const
    {
        return std::find(cached.begin(), cached.end(), prefix) != cached.end();
    }
};

} // namespace bench
