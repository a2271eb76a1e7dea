#pragma once

#include "core/clock.h"
#include "core/reason.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kelptally::bench {

// Final outcome of a request, after its retries.
struct LoadOutcome
{
    // Index in the mix.
    std::size_t statement = 0;
    // Value of {id}.
    std::string id;
    Instant intended;
    Instant answered;
    bool good = false;
    bool fromReplica = false;
    std::string reason;
    Executed executed = Executed::Unknown;
    int retries = 0;
};

// Unsuccessful answers of one reason, by whether the statement was executed.
struct ReasonCount
{
    std::uint64_t executedNo = 0;
    std::uint64_t executedYes = 0;
    std::uint64_t executedUnknown = 0;
};

// Results of a statement of the mix. Latencies of successful requests count from the intended time
// of sending, so that a stalled server can't hide the delay of later requests.
struct StatementResult
{
    std::string name;
    std::vector<std::uint32_t> latencyMicroseconds;
    std::uint64_t fromReplica = 0;
    std::uint64_t retries = 0;
    std::map<std::string, ReasonCount> refusals;
};

// Requests whose intended time lies in one second of the run.
struct LoadSecond
{
    std::vector<std::uint32_t> latencyMicroseconds;
    std::uint64_t refused = 0;
};

// Answers that break a consistency guarantee.
struct LoadViolations
{
    // Reads that missed an acknowledged write of their session.
    std::uint64_t ownWriteMissed = 0;
    // Reads that missed a write acknowledged longer ago than their stated age.
    std::uint64_t tooStale = 0;
};

// Results of one worker, or merged results of several.
struct LoadResult
{
    std::vector<StatementResult> statements;
    std::vector<LoadSecond> seconds;
    LoadViolations violations;
    // Answers that were checked for violations.
    std::uint64_t checked = 0;
    // Requests that were still in flight when the run ended.
    std::uint64_t unfinished = 0;

    void add(const LoadOutcome &outcome, Instant start);
    void merge(const LoadResult &other);
};

// Returns a quantile by the nearest-rank method, 0 for no values. Sorts the values.
std::uint32_t quantile(std::vector<std::uint32_t> &values, double fraction);

} // namespace kelptally::bench
