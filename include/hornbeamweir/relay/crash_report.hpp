#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/relay/request_trait.hpp>

#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace hornbeamweir::relay
{

/// \brief One run of a replica: an id may be used again after a restart.
struct replica_run
{
    backend_server_id replica;
    std::int64_t registration_revision = 0;

    [[nodiscard]] friend auto
    operator<=>(replica_run const&, replica_run const&) = default;
};

/// \brief The end of a replica, and the traits of requests that may have caused
/// it.
struct crash_record
{
    replica_run run;
    time_point at{};
    /// Whether the replica itself has ended, and not only its connections.
    bool confirmed = false;
    /// Traits of the requests that it may have ended of, and the time for which
    /// the last request with each had been in progress.
    std::map<request_trait, duration> suspects;
    /// Suspects with which a request has been answered since.
    std::set<request_trait> refuted;
    /// Suspects with which requests had been answered shortly before.
    std::set<request_trait> answered_before;
};

/// \brief A trait whose requests are not sent to replicas.
struct trait_blame
{
    request_trait trait;
    /// Number of the blame, counted for each trait.
    std::uint32_t generation = 1;
    bool ended = false;
    /// Number of single requests that have crashed a replica since.
    std::uint32_t level = 0;
    /// Number of single requests that were sent to try the trait.
    std::uint32_t probes = 0;
    /// Time from which the trait may be tried.
    time_point blocked_until{};

    /// \brief Orders the states of a blame; of two entries' states the later
    /// one holds.
    [[nodiscard]] auto stage() const noexcept
    {
        return std::tuple{generation, ended, level, probes};
    }
};

/// \brief What an entry tells the others about crashes of replicas.
/// \remarks Times are of the clock of the process; sent as ages.
struct crash_report
{
    std::vector<crash_record> crashes;
    std::vector<trait_blame> blames;
};

} // namespace hornbeamweir::relay
