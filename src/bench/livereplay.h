#pragma once

#include "bench/trace.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

namespace kelptally::bench {

// Options of a replay against running processes.
struct LiveOptions
{
    // Caller ports ("ip:port"). The trace's hosts are mapped to them in order.
    std::vector<std::string> entries;
    std::string callerKey;
    // Control port of the database stand-in, which injects the server faults; empty for no faults.
    std::string standin;
    // Factor by which the trace's times are stretched.
    int timeFactor = 1;
    int connectionsPerEntry = 64;
};

// Results of a replay. Counts are requests unless stated otherwise.
struct LiveFigures
{
    int requests = 0;
    int done = 0;
    int refused = 0;
    int unknown = 0;
    int unexpectedOutcomes = 0;
    int readYourWrites = 0;
    int statedAge = 0;
    int lostWrites = 0;
    // Non-repeatable writes with more than one row.
    int duplicateWrites = 0;
    int executedDespiteRefusal = 0;
    int statedAgeReads = 0;
    int replicaReads = 0;
    // Faults of the trace that the stand-in doesn't support or failed to inject.
    int faultsNotInjected = 0;
    std::vector<Duration> writeLatency;
    std::vector<Duration> readLatency;
    std::map<std::string, int> reasons;

    int violations() const
    {
        return readYourWrites + statedAge + lostWrites + duplicateWrites + executedDespiteRefusal;
    }
};

// Replays a trace through the caller API, as statements on the table load_writes(id, run). Checks
// the answers against each other and against the table at the end. The inventory must have the
// request kinds of demo/agency.ini or demo/lagon.ini, depending on the trace's name.
absl::StatusOr<LiveFigures> replayLive(const Trace &trace, const LiveOptions &options);

} // namespace kelptally::bench
