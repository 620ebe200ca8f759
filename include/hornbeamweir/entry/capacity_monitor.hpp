#pragma once

#include <hornbeamweir/configuration/backend_capacity.hpp>
#include <hornbeamweir/entry/inbound_request.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

namespace hornbeamweir
{

/// \brief Tracks which data centres are evacuated and how many backend servers
/// are in use; logs changes and sets the gauges.
class capacity_monitor
{
public:
    capacity_monitor(event_log& log, metrics_registry& metrics) noexcept
        : log_{log}
        , metrics_{metrics}
    {
    }

    /// \brief Applies the objects of a configuration revision.
    void update(configuration_part const& objects, std::uint64_t revision);

    /// \brief Whether a backend server of the request's model or service is in
    /// use.
    [[nodiscard]] bool has_backend_server(inbound_request const& request) const;

    /// \brief Returns the evacuated data centres.
    [[nodiscard]] std::set<data_centre_id> evacuated() const;

private:
    void log_data_centre(
        data_centre_id const& id, bool evacuated, std::uint64_t revision);
    void log_targets_without_servers(
        backend_capacity const& before, std::uint64_t revision);
    void update_gauges(backend_capacity const& before);

    event_log& log_;
    metrics_registry& metrics_;
    backend_capacity current_;
};

} // namespace hornbeamweir
