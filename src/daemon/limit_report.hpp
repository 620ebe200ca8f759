#pragma once

#include <hornbeamweir/http/http_server.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

namespace hornbeamweir
{

/// \brief Tells operators what callers' connections hold, and when a limit was
/// reached.
class limit_report
{
public:
    limit_report(
        http_server const& callers,
        memory_budget const& budget,
        event_log& log,
        metrics_registry& metrics)
        : callers_{callers}
        , budget_{budget}
        , log_{log}
        , metrics_{metrics}
    {
    }

    /// \brief Updates the metrics once a second, and writes a line if any
    /// connection or request was refused since.
    void on_tick(time_point now);

private:
    http_server const& callers_;
    memory_budget const& budget_;
    event_log& log_;
    metrics_registry& metrics_;
    http_server::counters reported_;
    time_point written_at_{};
};

} // namespace hornbeamweir
