#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus
{
class Registry;
}

namespace hornbeamweir
{

/// \brief Label names and values of a metric.
using metric_labels = std::map<std::string, std::string>;

/// \brief Counters, gauges and histograms of one process.
class metrics_registry
{
public:
    metrics_registry();
    metrics_registry(metrics_registry const&) = delete;
    metrics_registry& operator=(metrics_registry const&) = delete;
    ~metrics_registry();

    /// \brief Adds to a counter, created at its first use.
    void
    count(std::string const& name, metric_labels const& labels, double n = 1);

    /// \brief Sets a gauge, created at its first use.
    void
    gauge(std::string const& name, metric_labels const& labels, double value);

    /// \brief Records a time span in seconds in a latency histogram.
    void observe_seconds(
        std::string const& name, metric_labels const& labels, double seconds);

    /// \brief Returns all metrics in Prometheus' text format.
    [[nodiscard]] std::string text() const;

private:
    std::unique_ptr<prometheus::Registry> registry_;
};

} // namespace hornbeamweir
