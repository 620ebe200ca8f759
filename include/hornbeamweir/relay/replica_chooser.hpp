#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/replicas/replica.hpp>

#include <optional>
#include <span>

namespace hornbeamweir::relay
{

/// Slowdown from which a replica gets new requests only if no faster one is
/// available, and its streams are moved. Below it, the forward passes of its
/// group stay within the gap between events that callers accept.
inline constexpr double slow_rank_threshold = 2.5;

/// \brief A replica that may be chosen for a request.
struct candidate
{
    replica const* target = nullptr;
    /// Open requests of all entries at the replica.
    std::uint32_t in_flight = 0;
    /// Maximum number of open requests.
    std::uint32_t limit = 1;
    /// Ratio of its step time to the usual one; over 1 is slower.
    double slowdown = 1;
    /// Recent failure rate, from 0 to 1.
    double failure_rate = 0;
    /// Whether the rate that the replica has named permits a request now.
    bool has_turn = true;
    /// \returns Whether the replica can take a request.
    [[nodiscard]] bool has_room(std::uint32_t over_limit = 0) const noexcept
    {
        return has_turn && in_flight < limit + over_limit;
    }
};

/// \brief Cost model of a token step: step + n * per_sequence for n requests.
struct step_cost
{
    duration step = std::chrono::milliseconds{1};
    duration per_sequence = std::chrono::milliseconds{1};
};

/// \brief Places each request on the replica with the shortest expected step.
/// \remarks Suits replicas that work in lock-step: every stream of a group
/// waits for the rank with the longest step, so requests go to the ranks with
/// the shortest steps, and slow ranks get fewer of them.
class replica_chooser
{
public:
    explicit replica_chooser(random_source random) noexcept
        : random_{random}
    {
    }

    /// \param local_data_centre Preferred among replicas of equal cost.
    /// \param over_limit Requests that a replica may have in excess of its
    /// limit.
    /// \returns The index of the candidate; empty if all are full.
    [[nodiscard]] std::optional<std::size_t> choose(
        std::span<candidate const> candidates,
        step_cost const& cost,
        data_centre_id const& local_data_centre,
        std::uint32_t over_limit = 0);

private:
    random_source random_;
};

} // namespace hornbeamweir::relay
