#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/routing/routing_policy.hpp>

#include <vector>

namespace hornbeamweir
{

/// \brief Thresholds of a panic_policy.
struct panic_settings
{
    /// Panic mode applies if the share of members that are up is below this.
    double min_healthy_share = 0.5;
    /// Maximum time by which the last heartbeat reply of an admitted suspect
    /// member may precede the latest one.
    duration max_lag = std::chrono::seconds{1};
};

/// \brief Panic mode: when most members are suspect, requests also go to the
/// suspect members with the latest heartbeat replies.
/// \remarks An entry that loses its network connection suspects all members. If
/// it stopped routing, a local fault would become an outage.
class panic_policy
{
public:
    explicit panic_policy(panic_settings settings = {}) noexcept
        : settings_{settings}
    {
    }

    /// \brief Appends the suspect candidates with the latest heartbeat replies
    /// if the request may use panic mode and panic mode applies.
    /// \param idempotent Whether the request is idempotent. Others go to
    /// suspect members only if no candidate is up, because they can't be
    /// retried if the response is lost.
    /// \returns Whether candidates were appended.
    bool admit(
        std::vector<routing_candidate>& usable,
        std::vector<routing_candidate> const& suspect,
        bool idempotent) const;

    /// \brief Whether so many members are suspect that the fault is more likely
    /// local to this entry.
    [[nodiscard]] bool
    applies(std::size_t healthy, std::size_t suspect) const noexcept;

private:
    panic_settings settings_;
};

} // namespace hornbeamweir
