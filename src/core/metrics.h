#pragma once

#include "core/clock.h"
#include "core/reason.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace kelptally {

using MetricLabels = std::map<std::string, std::string>;

// The metrics of one process. Getting a metric is for start-up; keep the reference. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    prometheus::Counter &counter(const std::string &name, const std::string &help,
                                 const MetricLabels &labels = {});
    prometheus::Gauge &gauge(const std::string &name, const std::string &help,
                             const MetricLabels &labels = {});
    // Bucket bounds in seconds.
    prometheus::Histogram &histogram(const std::string &name, const std::string &help,
                                     const std::vector<double> &bounds,
                                     const MetricLabels &labels = {});

    // kelptally_refusals_total{reason=} and kelptally_retries_total{reason=}; a series for each
    // reason exists from the start.
    void countRefusal(Reason reason);
    void countRetry(Reason reason);

    // kelptally_visits_total{part=}: entries that a part has walked over, so that work which grows
    // with the number of hosts, servers or groups shows.
    prometheus::Counter &scannedEntries(const std::string &part);

    // Prometheus' text format.
    std::string toText() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace kelptally
