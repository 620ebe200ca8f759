#include <hornbeamweir/telemetry/metrics_registry.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hornbeamweir
{

namespace
{

prometheus::Histogram::BucketBoundaries latency_bounds()
{
    return {
        0.001,
        0.002,
        0.005,
        0.01,
        0.02,
        0.045,
        0.1,
        0.2,
        0.5,
        1.2,
        2.5,
        5.0,
        10.0,
        30.0,
        60.0};
}

} // namespace

metrics_registry::metrics_registry()
    : registry_{std::make_unique<prometheus::Registry>()}
{
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::count(
    std::string const& name, metric_labels const& labels, double n)
{
    prometheus::BuildCounter()
        .Name(name)
        .Register(*registry_)
        .Add(labels)
        .Increment(n);
}

void metrics_registry::gauge(
    std::string const& name, metric_labels const& labels, double value)
{
    prometheus::BuildGauge()
        .Name(name)
        .Register(*registry_)
        .Add(labels)
        .Set(value);
}

void metrics_registry::observe_seconds(
    std::string const& name, metric_labels const& labels, double seconds)
{
    prometheus::BuildHistogram()
        .Name(name)
        .Register(*registry_)
        .Add(labels, latency_bounds())
        .Observe(seconds);
}

std::string metrics_registry::text() const
{
    return prometheus::TextSerializer{}.Serialize(registry_->Collect());
}

} // namespace hornbeamweir
