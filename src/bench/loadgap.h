#pragma once

#include "bench/loadcontrol.h"
#include "bench/loadplan.h"
#include "bench/loadverify.h"
#include "core/clock.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace kelptally::bench {

// Fault that is injected into a group's primary.
enum class PrimaryFault {
    // The process ends and its connections close.
    Kill,
    // The process hangs: connections stay open but are not served.
    Pause,
    // Network partition from the other servers and from all clients.
    Isolate,
    // Network partition from the other servers only.
    CutPeers,
    // Network partition from the clients only.
    CutClients,
};

struct GapPlan
{
    // The mix must be one keyed write of {id} and {run}.
    LoadPlan load;
    GroupName group;
    std::string standinControl;
    PrimaryFault fault = PrimaryFault::Kill;
    int rounds = 10;
    // Request kind of the reads that verify the table at the end.
    std::string readKind;
};

struct GapRound
{
    ServerName server;
    // Time from the fault to the first acknowledgement of a write that was due after it; nothing if
    // there was none within the timeout.
    std::optional<Duration> gap;
};

struct GapResult
{
    std::vector<GapRound> rounds;
    Verification verification;
    // Why the measurement ended early; empty if it didn't.
    std::string problem;
};

// Injects faults into the group's primary, one after another, under a continuous write load. A new
// round begins once the old primary is back and the group is healthy.
GapResult measureGaps(const GapPlan &plan);

std::optional<PrimaryFault> primaryFaultFromName(const std::string &name);

// Returns the number of rounds, the quantiles of the gaps and the result of the verification as
// text.
std::string gapSummary(const GapResult &result);
// Returns the result as a JSON document.
std::string gapReport(const GapPlan &plan, const GapResult &result);

} // namespace kelptally::bench
