#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstddef>

namespace hornbeamweir
{

/// \brief Parameters of cost_aware_policy.
struct routing_weights
{
    /// Number of randomly sampled candidates.
    std::size_t sample_size = 16;
    /// Number of randomly sampled candidates for requests of priority 0.
    std::size_t urgent_sample_size = 32;
    /// Duration of a step without requests, expressed as a number of requests.
    double fixed_load = 8;
    /// Weight of the rank's step time. The step time of its group has weight
    /// 1 - rank_time_weight.
    double rank_time_weight = 0.8;
    /// Relative extra cost of a backend server in another data centre.
    double remote_penalty = 0.1;
    /// Relative extra cost of a backend server with a failure score of 1.
    double failure_penalty = 4;
    /// Fraction of the cost that a cached prefix saves.
    double cached_discount = 0.26;
    /// Fraction of the cost that is deducted for the preferred candidate of a
    /// prefix that is not known to be cached there.
    double preferred_discount = 0.24;
    /// Weight of a fresh load report against the average over all candidates.
    double report_weight = 0.5;
    /// Age of a load report's sample when its agent sends it.
    duration sample_age = std::chrono::milliseconds{250};
};

} // namespace hornbeamweir
