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

// Metrics registry of one process. Thread-safe. Registering a metric is slow: do it at start-up and
// keep the reference.
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

    // Sets kelptally_build_info, which tells the program's version and sources.
    void setBuild(const std::string &version, const std::string &sources);

    // Increment kelptally_refusals_total{reason=} and kelptally_retries_total{reason=}. The series
    // of all reasons are registered by the constructor. Reason::None is ignored.
    void countRefusal(Reason reason);
    void countRetry(Reason reason);

    // Returns kelptally_visits_total{part=}, which counts the table entries that a component scans:
    // reveals work that grows with the number of hosts, servers or groups.
    prometheus::Counter &scannedEntries(const std::string &part);

    // Serialises all metrics in the Prometheus text format.
    std::string toText() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace kelptally
