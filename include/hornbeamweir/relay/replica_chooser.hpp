#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/replicas/replica.hpp>

#include <optional>
#include <span>

namespace hornbeamweir::relay
{

/// Relative time of a replica from which it gets no new work and its streams
/// are moved: with less, its group's passes stay within the pause that callers
/// accept.
inline constexpr double slow_rank_threshold = 2.5;

/// \brief A replica that could take a request.
struct candidate
{
    replica const* target = nullptr;
    /// Requests open there, of all entries.
    std::uint32_t in_flight = 0;
    /// Requests that it may have at once.
    std::uint32_t limit = 1;
    /// Relative time that it needs for its work; over 1 is slow.
    double pace = 1;
    /// Recent failures: 0 is none, 1 is only failures.
    double failures = 0;
};

/// \brief Time of a token step, by the number of requests in it.
struct step_cost
{
    duration step = std::chrono::milliseconds{1};
    duration per_sequence = std::chrono::milliseconds{1};
};

/// \brief Places each request on the replica whose steps it lengthens least.
/// \remarks Answers the pattern of replicas that work in lock-step: every
/// stream of a group waits for the rank with the longest step, so requests go
/// where the longest step grows least, and slow ranks get fewer of them.
class replica_chooser
{
public:
    explicit replica_chooser(random_source random) noexcept
        : random_{random}
    {
    }

    /// \param near Data centre that is preferred among equals.
    /// \param beyond Requests that a replica may have beyond its limit.
    /// \returns Nothing if all candidates are full.
    [[nodiscard]] std::optional<std::size_t> choose(
        std::span<candidate const> candidates,
        step_cost const& cost,
        data_centre_id const& near,
        std::uint32_t beyond = 0);

private:
    random_source random_;
};

} // namespace hornbeamweir::relay
