#pragma once

#include <hornbeamweir/relay/replica_load_tracker.hpp>
#include <hornbeamweir/relay/replica_rate_limits.hpp>
#include <hornbeamweir/replicas/cold_replicas.hpp>
#include <hornbeamweir/routes/versioned_route_table.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include <set>

namespace hornbeamweir::relay
{

/// \brief Limits the requests to cold replicas of services whose configuration
/// names a rate for them.
/// \remarks Sans-I/O. Tells replica_rate_limits which replicas are cold and
/// which entries share their rates; logs replicas that become cold or warm.
class cold_pacing
{
public:
    cold_pacing(
        versioned_route_table const& routes,
        replica_load_tracker const& loads,
        replica_rate_limits& limits,
        event_log& log,
        metrics_registry& metrics);
    cold_pacing(cold_pacing const&) = delete;
    cold_pacing& operator=(cold_pacing const&) = delete;
    ~cold_pacing() = default;

    /// \brief Applies a snapshot of the registry.
    void on_replicas(
        std::map<backend_server_id, replica> const& snapshot, time_point now);
    /// \brief Records that a replica has stated how long it stays cold.
    /// \param source Either response or peer_report.
    void on_reported(
        backend_server_id const& id,
        duration remaining,
        cold_source source,
        time_point now);
    /// \brief Counts all replicas of a data centre that returns from an
    /// evacuation as cold.
    void on_data_centre_restored(data_centre_id const& id, time_point now);
    void on_tick(process_name const& self, time_point now);

    /// \returns What responses to this entry have stated; see
    /// cold_replicas::seen.
    [[nodiscard]] std::map<backend_server_id, duration>
    seen(time_point now) const
    {
        return replicas_.seen(now);
    }

private:
    void read_configuration(time_point now);
    void apply(time_point now);

    versioned_route_table const& routes_;
    replica_load_tracker const& loads_;
    replica_rate_limits& limits_;
    event_log& log_;
    metrics_registry& metrics_;
    cold_replicas replicas_;
    /// Configuration from which rates_ was read.
    std::shared_ptr<route_table const> table_;
    /// Services with a rate for cold replicas.
    std::map<service_name, double> rates_;
    bool is_changed_ = false;
    time_point ticked_at_{};
};

} // namespace hornbeamweir::relay
