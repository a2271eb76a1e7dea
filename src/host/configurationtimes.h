#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"

#include <cstddef>
#include <optional>

namespace kelptally::host {

// How a configuration came to this host.
struct ConfigurationArrival
{
    // Size of the document; 0 when it is not known.
    std::size_t bytes = 0;
    // Earliest time at which it may have been accepted.
    std::optional<Instant> changedAfter;
    std::optional<Instant> receivedAt;
    std::optional<Instant> parsedAt;
};

// Histograms of the time until a configuration is in force, by the stage from which it counts.
class ConfigurationTimes
{
public:
    explicit ConfigurationTimes(Metrics &metrics);

    // Records a configuration that came into force now, and adds the times to the line.
    void add(const ConfigurationArrival &arrival, Instant now, LogLine &line);

private:
    prometheus::Histogram &sinceChange_;
    prometheus::Histogram &sinceReceived_;
    prometheus::Histogram &sinceParsed_;
};

} // namespace kelptally::host
