#include "host/configurationtimes.h"

#include <prometheus/histogram.h>

#include <vector>

namespace kelptally::host {

namespace {

// In seconds.
const std::vector<double> bucketBounds = {0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 20};

prometheus::Histogram &since(Metrics &metrics, const std::string &stage)
{
    return metrics.histogram("kelptally_configuration_delay_seconds",
                             "Time until a configuration was in force", bucketBounds,
                             {{"since", stage}});
}

void observe(prometheus::Histogram &histogram, LogLine &line, const char *field,
             const std::optional<Instant> &from, Instant now)
{
    if (!from)
        return;
    histogram.Observe(std::chrono::duration<double>(now - *from).count());
    line.with(field, now - *from);
}

} // namespace

ConfigurationTimes::ConfigurationTimes(Metrics &metrics)
    : sinceChange_(since(metrics, "change")), sinceReceived_(since(metrics, "received")),
      sinceParsed_(since(metrics, "parsed"))
{ }

void ConfigurationTimes::add(const ConfigurationArrival &arrival, Instant now, LogLine &line)
{
    line.with("bytes", std::uint64_t(arrival.bytes));
    observe(sinceChange_, line, "since_change_ms", arrival.changedAfter, now);
    observe(sinceReceived_, line, "since_received_ms", arrival.receivedAt, now);
    observe(sinceParsed_, line, "since_parsed_ms", arrival.parsedAt, now);
}

} // namespace kelptally::host
