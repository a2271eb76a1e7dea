#include "session/stagetimes.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>

#include <vector>

namespace kelptally::session {

namespace {

// In seconds. The stages take from 0.1 to 200 ms on a calm day, and the longest wait of a route is
// seconds.
const std::vector<double> bucketBounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                          0.1,   0.15,   0.25,  0.5,  1,     2.5};

prometheus::Histogram &stage(Metrics &metrics, const std::string &name)
{
    return metrics.histogram("kelptally_stage_seconds", "Time of a statement in one stage",
                             bucketBounds, {{"stage", name}});
}

prometheus::Histogram &rule(Metrics &metrics, const std::string &name)
{
    return metrics.histogram("kelptally_statement_seconds",
                             "From a statement's arrival to its answer", bucketBounds,
                             {{"rule", name}});
}

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

StageTimes::StageTimes(Metrics &metrics)
    : rules_ {&rule(metrics, "newest"), &rule(metrics, "bounded"), &rule(metrics, "own_writes")},
      queue_(stage(metrics, "queue")), connection_(stage(metrics, "connection")),
      server_(stage(metrics, "server")), owner_(stage(metrics, "owner")),
      overloads_(metrics.counter("kelptally_overloads_total",
                                 "Times that a group owned here entered overload")),
      overloadRefusals_(metrics.counter("kelptally_overload_refusals_total",
                                        "Statements refused for want of a slot in an overload")),
      serverProbes_(metrics.counter("kelptally_server_probes_total",
                                    "Probes of servers that were unreachable"))
{
    for (std::size_t i = 0; i < connectionActions_.size(); ++i)
        connectionActions_[i] = &metrics.counter(
            "kelptally_connection_places_total",
            "Outcomes of requests for a connection to a server",
            {{"place",
              decision::connectionActionName(static_cast<decision::ConnectionAction>(i))}});
}

void StageTimes::countConnectionAction(decision::ConnectionAction action)
{
    connectionActions_[static_cast<std::size_t>(action)]->Increment();
}

void StageTimes::countOverload()
{
    overloads_.Increment();
}

void StageTimes::countOverloadRefusal()
{
    overloadRefusals_.Increment();
}

void StageTimes::countServerProbe()
{
    serverProbes_.Increment();
}

void StageTimes::addStatement(inner::ReadRule rule, Duration time)
{
    rules_[static_cast<int>(rule)]->Observe(seconds(time));
}

void StageTimes::addQueue(Duration time)
{
    queue_.Observe(seconds(time));
}

void StageTimes::addConnection(Duration time)
{
    connection_.Observe(seconds(time));
}

void StageTimes::addServer(Duration time)
{
    server_.Observe(seconds(time));
}

void StageTimes::addOwner(Duration time)
{
    owner_.Observe(seconds(time));
}

} // namespace kelptally::session
