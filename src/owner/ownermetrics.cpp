#include "owner/ownermetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace kelptally::owner {

namespace {

const std::vector<double> gapBounds = {0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 3, 5, 10};
const std::vector<double> waitBounds = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02,
                                        0.05,   0.1,   0.2,   0.5,   1,    5};

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

MetricLabels serverLabels(const GroupName &group, const ServerName &server)
{
    return {{"group", group}, {"server", server}};
}

} // namespace

OwnerMetrics::OwnerMetrics(Metrics &metrics)
    : metrics_(metrics),
      unsent_(metrics.counter("kelptally_owner_answers_unsent_total",
                              "Answers dropped because the link to the entry was closed or full")),
      readsRepeated_(metrics.counter("kelptally_owner_reads_repeated_total",
                                     "Reads repeated because the data was too old")),
      writes_(metrics.counter("kelptally_owner_writes_total", "Writes acknowledged")),
      replays_(metrics.counter("kelptally_owner_replays_total",
                               "Answers replayed from the record of an idempotency key")),
      claims_(metrics.counter("kelptally_owner_claims_total",
                              "Groups that this process started to serve")),
      handOvers_(metrics.counter("kelptally_owner_handovers_total", "Groups handed over")),
      promotions_(metrics.counter("kelptally_owner_promotions_total", "Primaries replaced")),
      failoverGap_(metrics.histogram(
          "kelptally_owner_failover_gap_seconds",
          "Time from the first sign of a failed primary to a primary that accepts writes",
          gapBounds)),
      queueWait_(metrics.histogram("kelptally_owner_queue_wait_seconds",
                                   "Time from a request's arrival to a slot of a server",
                                   waitBounds)),
      confirmation_(metrics.histogram("kelptally_owner_confirmation_seconds",
                                      "Time from commit to confirmation by a majority",
                                      waitBounds)),
      handOverTime_(metrics.histogram(
          "kelptally_owner_handover_seconds",
          "Time that requests are held by a hand-over until the ownership row changes",
          waitBounds)),
      groupsServed_(metrics.gauge("kelptally_owner_groups", "Groups that this process serves"))
{
    for (int cause = 0; cause < decision::primaryCauseCount; ++cause) {
        const bool replica = cause == 0;
        const MetricLabels labels = {
            {"server", replica ? "replica" : "primary"},
            {"cause", decision::primaryCauseName(static_cast<decision::PrimaryCause>(cause))}};
        reads_[static_cast<std::size_t>(cause)] = &metrics.counter(
            "kelptally_owner_reads_total", "Reads served, by server role and cause", labels);
    }
}

void OwnerMetrics::countAnswer(Reason reason)
{
    metrics_.countRefusal(reason);
}

void OwnerMetrics::countRetry(Reason reason)
{
    metrics_.countRetry(reason);
}

void OwnerMetrics::countUnsent()
{
    unsent_.Increment();
}

void OwnerMetrics::countRead(decision::PrimaryCause cause)
{
    reads_[static_cast<std::size_t>(cause)]->Increment();
}

void OwnerMetrics::countReadRepeated()
{
    readsRepeated_.Increment();
}

void OwnerMetrics::countWrite()
{
    writes_.Increment();
}

void OwnerMetrics::countReplay()
{
    replays_.Increment();
}

void OwnerMetrics::countClaim()
{
    claims_.Increment();
}

void OwnerMetrics::countHandOver()
{
    handOvers_.Increment();
}

void OwnerMetrics::countPromotion()
{
    promotions_.Increment();
}

void OwnerMetrics::observeFailoverGap(Duration gap)
{
    failoverGap_.Observe(toSeconds(gap));
}

void OwnerMetrics::observeQueueWait(Duration wait)
{
    queueWait_.Observe(toSeconds(wait));
}

void OwnerMetrics::observeConfirmation(Duration wait)
{
    confirmation_.Observe(toSeconds(wait));
}

void OwnerMetrics::observeHandOver(Duration elapsed)
{
    handOverTime_.Observe(toSeconds(elapsed));
}

void OwnerMetrics::setLeaseLeft(const GroupName &group, Duration left)
{
    metrics_
        .gauge("kelptally_owner_lease_left_seconds", "Remaining time of the lease",
               {{"group", group}})
        .Set(toSeconds(left));
}

void OwnerMetrics::setLag(const GroupName &group, const ServerName &server, Duration lag)
{
    metrics_
        .gauge("kelptally_owner_replica_age_seconds", "Upper bound of the age of a replica's data",
               serverLabels(group, server))
        .Set(toSeconds(lag));
}

void OwnerMetrics::setPool(const GroupName &group, const ServerName &server, int open, int busy,
                           int queued)
{
    const MetricLabels labels = serverLabels(group, server);
    metrics_.gauge("kelptally_owner_connections", "Open connections to a server", labels).Set(open);
    metrics_.gauge("kelptally_owner_slots_busy", "Slots of a server in use", labels).Set(busy);
    metrics_.gauge("kelptally_owner_queue_length", "Requests queued for a server", labels)
        .Set(queued);
}

void OwnerMetrics::setGroupsServed(std::size_t count)
{
    groupsServed_.Set(static_cast<double>(count));
}

} // namespace kelptally::owner
