#pragma once

#include "core/clock.h"
#include "settings/findings.h"

#include <string>
#include <vector>

namespace kelptally::bench {

// One kind of request as a plan describes it.
struct PressureKind
{
    std::string name;
    // Requests a second at the usual load.
    int rate = 0;
    int writePercent = 0;
    // Mean time of one at a server; from half of it to one and a half, evenly.
    Duration work {0};
    Duration objective {0};
    Duration deadline {0};
    int priority = 1;
    // Reads may be this old; zero: the newest data.
    Duration maxAge {0};
    // Of a request in time and of a late one, in hundredths.
    int worth = 100;
    int lateWorth = 30;
};

// A span of time in which something is wrong; none when it is empty.
struct PressureSpan
{
    Duration from {0};
    Duration to {0};

    bool holds(Duration at) const { return from <= at && at < to; }
};

// The load of one group and what goes wrong.
struct PressurePlan
{
    Duration length {std::chrono::seconds(20)};
    int slots = 2;
    int replicas = 2;
    // Usual time from a commit to its being readable at a replica.
    Duration replicaLag {std::chrono::milliseconds(10)};
    // Requests that come at once: percent of the usual load.
    PressureSpan burst;
    int burstPercent = 100;
    // So many replicas receive nothing.
    PressureSpan replicationStopped;
    int stoppedReplicas = 0;
    // The primary's commits are not acknowledged.
    PressureSpan unconfirmedCommits;
    // There is no primary.
    PressureSpan noPrimary;
    // How often a caller repeats a refused request, and after which pause.
    int repeats = 2;
    Duration repeatPause {std::chrono::milliseconds(100)};
    std::vector<PressureKind> kinds;
};

// Reads a plan: [load], [burst], [deaf], [unconfirmed], [leaderless], and a [kind NAME] for each.
PressurePlan parsePressurePlan(const std::string &file, const std::string &text,
                               settings::Findings &findings);

} // namespace kelptally::bench
