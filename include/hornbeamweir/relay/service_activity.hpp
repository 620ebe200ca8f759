#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/routes/route.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include <cstdint>
#include <optional>

namespace hornbeamweir::relay
{

/// \brief Streams and queue of a service as one entry sees them.
struct service_occupancy
{
    /// Requests that this entry has open at replicas.
    std::size_t own_requests = 0;
    /// Requests that all entries have open at replicas.
    std::uint32_t all_requests = 0;
    /// Replicas that may be chosen.
    std::size_t replicas = 0;
    /// Maximum number of streams at a replica; empty without a limit.
    std::optional<std::uint32_t> stream_limit;
    /// Measured ratio of the duration of a pass to the sum of its token steps.
    double pass_overhead = 0;
    std::size_t queued = 0;
};

/// \brief Load of one service at an entry, logged once per second: shows
/// whether requests wait, and whether streams advance within their target gap.
class service_activity
{
public:
    /// \brief Records the time between two events of a stream.
    void on_gap(duration gap, duration target) noexcept;
    /// \brief Records how long a request was queued before it was sent.
    void on_dispatched(duration wait) noexcept;

    [[nodiscard]] bool is_due(time_point now) const noexcept;
    /// \brief Logs the last period and starts the next.
    void write(
        service_name const& service,
        service_occupancy const& occupancy,
        event_log& log,
        metrics_registry& metrics,
        time_point now);

private:
    struct period
    {
        std::uint32_t gaps = 0;
        /// Gaps above the target of their route.
        std::uint32_t late_gaps = 0;
        duration gap_sum{};
        duration max_gap{};
        std::uint32_t dispatched = 0;
        duration wait_sum{};
        duration max_wait{};
    };

    period current_;
    time_point written_at_{};
};

} // namespace hornbeamweir::relay
