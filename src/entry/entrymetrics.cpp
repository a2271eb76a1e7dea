#include "entry/entrymetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace kelptally::entry {

namespace {

const std::vector<double> latencyBounds = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                           0.1,    0.2,   0.5,   1,     2,    5};

prometheus::Counter &droppedAnswers(Metrics &metrics, const char *cause)
{
    return metrics.counter("kelptally_entry_answers_dropped_total",
                           "Answers of owners that were dropped", {{"cause", cause}});
}

} // namespace

EntryMetrics::EntryMetrics(Metrics &metrics)
    : metrics_(metrics),
      answered_(metrics.histogram("kelptally_entry_request_seconds",
                                  "Time from the arrival of an answered request to its answer",
                                  latencyBounds)),
      callerDisconnects_(metrics.counter("kelptally_entry_callers_gone_total",
                                         "Requests whose caller disconnected before the answer")),
      lateAnswers_(droppedAnswers(metrics, "late")),
      damagedAnswers_(droppedAnswers(metrics, "damaged")),
      staleAnswers_(droppedAnswers(metrics, "stale")),
      inFlight_(metrics.gauge("kelptally_entry_requests_in_progress", "Requests in progress")),
      connections_(metrics.gauge("kelptally_entry_caller_connections", "Callers' connections")),
      ownerLinks_(metrics.gauge("kelptally_entry_peer_links", "Links to other processes"))
{ }

void EntryMetrics::countAnswered(Duration took)
{
    answered_.Observe(std::chrono::duration<double>(took).count());
}

void EntryMetrics::countRefused(Reason reason)
{
    metrics_.countRefusal(reason);
}

void EntryMetrics::countRetry(Reason reason)
{
    metrics_.countRetry(reason);
}

void EntryMetrics::countCallerDisconnected()
{
    callerDisconnects_.Increment();
}

void EntryMetrics::countLateAnswer()
{
    lateAnswers_.Increment();
}

void EntryMetrics::countDamagedAnswer()
{
    damagedAnswers_.Increment();
}

void EntryMetrics::countStaleAnswer()
{
    staleAnswers_.Increment();
}

void EntryMetrics::setInFlight(std::size_t count)
{
    inFlight_.Set(static_cast<double>(count));
}

void EntryMetrics::setConnections(int count)
{
    connections_.Set(count);
}

void EntryMetrics::setOwnerLinks(std::size_t count)
{
    ownerLinks_.Set(static_cast<double>(count));
}

} // namespace kelptally::entry
