#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstddef>

namespace hornbeamweir
{

/// \brief Weights of cost_aware_policy.
struct routing_weights
{
    /// Candidates that are compared at random.
    std::size_t choices = 16;
    /// The same for requests of priority 0.
    std::size_t urgent_choices = 32;
    /// Fixed part of a step, in units of one request's part.
    double fixed_load = 8;
    /// Weight of the rank's own time against its group's step time.
    double own_share = 0.8;
    /// Share by which a remote data centre costs more.
    double remote_penalty = 0.1;
    /// Share by which a backend server costs more after certain failure.
    double failure_penalty = 4;
    /// Share of the cost that a cached prefix saves.
    double cached_discount = 0.26;
    /// Share that the preferred place of an unknown prefix saves.
    double preferred_discount = 0.24;
    /// Trust in a fresh report's differences between backend servers.
    double report_trust = 0.5;
    /// Age of a load report's sample when its agent sent it.
    duration sample_age = std::chrono::milliseconds{250};
};

} // namespace hornbeamweir
