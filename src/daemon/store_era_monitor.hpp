#pragma once

#include <hornbeamweir/platform/platform.hpp>
#include <hornbeamweir/telemetry/event_log.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>

namespace hornbeamweir
{

/// \brief Logs and counts changes of the store's era.
class store_era_monitor
{
public:
    store_era_monitor(
        platform const& store, event_log& log, metrics_registry& metrics)
        : platform_{store}
        , log_{log}
        , metrics_{metrics}
    {
    }

    void on_tick()
    {
        std::uint64_t const current = platform_.era();
        if (current == era_)
            return;
        event line{"store_era_changed"};
        line.with("from", era_).with("to", current);
        log_.warning(line);
        // The first era that is read is no change.
        if (era_ != 0)
            metrics_.count("hornbeamweir_store_era_changes_total", {});
        metrics_.gauge(
            "hornbeamweir_store_era", {}, static_cast<double>(current));
        era_ = current;
    }

private:
    platform const& platform_;
    event_log& log_;
    metrics_registry& metrics_;
    std::uint64_t era_ = 0;
};

} // namespace hornbeamweir
