#include "core/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace kelptally {

struct Metrics::Private
{
    prometheus::Registry registry;
    std::vector<prometheus::Counter *> refusals;
    std::vector<prometheus::Counter *> retries;
};

Metrics::Metrics() : d_(std::make_unique<Private>())
{
    const std::size_t count = allReasons().size() + 1;
    d_->refusals.resize(count);
    d_->retries.resize(count);
    for (const ReasonInfo &info : allReasons()) {
        const MetricLabels labels = {{"reason", std::string(info.name)}};
        const auto index = static_cast<std::size_t>(info.reason);
        d_->refusals[index] = &counter("kelptally_refusals_total", "Refused requests", labels);
        d_->retries[index] = &counter("kelptally_retries_total", "Retried attempts", labels);
    }
}

Metrics::~Metrics() = default;

// The registry returns the existing family and series when they are registered already.
prometheus::Counter &Metrics::counter(const std::string &name, const std::string &help,
                                      const MetricLabels &labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(d_->registry).Add(labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &name, const std::string &help,
                                  const MetricLabels &labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(d_->registry).Add(labels);
}

prometheus::Histogram &Metrics::histogram(const std::string &name, const std::string &help,
                                          const std::vector<double> &bounds,
                                          const MetricLabels &labels)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(d_->registry)
        .Add(labels, bounds);
}

prometheus::Counter &Metrics::scannedEntries(const std::string &part)
{
    return counter("kelptally_visits_total", "Table entries scanned", {{"part", part}});
}

void Metrics::setBuild(const std::string &version, const std::string &sources)
{
    gauge("kelptally_build_info", "The version and the sources of the program",
          {{"version", version}, {"sources", sources}})
        .Set(1);
}

void Metrics::countRefusal(Reason reason)
{
    if (reason != Reason::None)
        d_->refusals[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countRetry(Reason reason)
{
    if (reason != Reason::None)
        d_->retries[static_cast<std::size_t>(reason)]->Increment();
}

std::string Metrics::toText() const
{
    return prometheus::TextSerializer().Serialize(d_->registry.Collect());
}

} // namespace kelptally
