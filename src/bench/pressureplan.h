#pragma once

#include "core/clock.h"
#include "settings/findings.h"

#include <string>
#include <vector>

namespace kelptally::bench {

// One kind of request of a plan.
struct PressureKind
{
    std::string name;
    // Requests per second at 100 % load.
    int rate = 0;
    int writePercent = 0;
    // Mean service time; the times are distributed uniformly from 50 % to 150 % of it.
    Duration work {0};
    Duration objective {0};
    Duration deadline {0};
    int priority = 1;
    // Maximum age of the data for reads; zero requires the newest data.
    Duration maxAge {0};
    // Worth of a request answered in time and of a late one, in hundredths.
    int worth = 100;
    int lateWorth = 30;
};

// A half-open interval of time in which a fault or a burst lasts; empty for none.
struct PressureSpan
{
    Duration from {0};
    Duration to {0};

    bool contains(Duration at) const { return from <= at && at < to; }
};

// The load of one group and the faults during it.
struct PressurePlan
{
    Duration length {std::chrono::seconds(20)};
    int slots = 2;
    int replicas = 2;
    // Time from a commit until replicas can read it.
    Duration replicaLag {std::chrono::milliseconds(10)};
    // Load during the burst, in percent of the usual load.
    PressureSpan burst;
    int burstPercent = 100;
    // Interval in which some replicas receive no updates, and the number of these replicas.
    PressureSpan replicationStopped;
    int stoppedReplicas = 0;
    // Interval in which the primary's commits are not acknowledged.
    PressureSpan unconfirmedCommits;
    // Interval without a primary.
    PressureSpan noPrimary;
    // How often a caller repeats a refused request, and the delay before each repeat.
    int repeats = 2;
    Duration repeatPause {std::chrono::milliseconds(100)};
    std::vector<PressureKind> kinds;
};

// Parses a plan with the sections [load], [burst], [deaf], [unconfirmed], [leaderless] and any
// number of [kind NAME]. Errors are added to the findings.
PressurePlan parsePressurePlan(const std::string &file, const std::string &text,
                               settings::Findings &findings);

} // namespace kelptally::bench
