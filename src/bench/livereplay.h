#pragma once

#include "bench/trace.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

namespace kelptally::bench {

// Where and how a trace is replayed against running processes.
struct LiveOptions
{
    // Caller ports ("ip:port"); a trace's hosts are spread over them in order.
    std::vector<std::string> entries;
    std::string callerKey;
    // Control port of the database stand-in, for the faults of servers; empty: none are caused.
    std::string standin;
    // The trace's times are stretched by this factor.
    int timeFactor = 1;
    int connectionsPerEntry = 64;
};

// What came of it. Counts are of requests unless said otherwise.
struct LiveFigures
{
    int requests = 0;
    int done = 0;
    int refused = 0;
    int unknown = 0;
    int missedOutcomes = 0;
    int readYourWrites = 0;
    int statedAge = 0;
    int lostWrites = 0;
    int doubledWrites = 0;
    int falseNotRun = 0;
    int agedReads = 0;
    int byReplica = 0;
    // Faults of the trace that can't be caused this way.
    int faultsNotCaused = 0;
    std::vector<Duration> writeLatency;
    std::vector<Duration> readLatency;
    std::map<std::string, int> reasons;

    int violations() const
    {
        return readYourWrites + statedAge + lostWrites + doubledWrites + falseNotRun;
    }
};

// Sends the trace's requests at their times over the callers' interface, as statements on the table
// load_writes(id, run), and holds the answers against each other and against the table at the end.
// Needs the kinds of demo/agency.ini or demo/lagon.ini, by the trace's name.
absl::StatusOr<LiveFigures> replayLive(const Trace &trace, const LiveOptions &options);

} // namespace kelptally::bench
