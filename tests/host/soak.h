#pragma once

#include "modelcluster.h"

namespace kelptally::model {

struct SoakResult
{
    std::vector<std::string> violations;
    // Whether a write was acknowledged in time after the end of all faults.
    bool recovered = false;
    Duration recovery {0};
    int acknowledged = 0;
    int refused = 0;
    int unknown = 0;
    int reads = 0;
    int promotions = 0;
    // Acknowledged commits whose holders were all lost for good.
    int unrecoverableCommits = 0;
};

enum class SoakKind {
    Faults,
    // Also silences or resets open connections, and runs transactions.
    Connections,
    // As Connections, with more writes. Servers also come back under other ids, leave or are lost
    // for good, entries expire, and hosts know different sets of servers.
    Membership,
};

// Runs one random schedule of faults and statements. The same seed and kind give the same schedule.
SoakResult runSoak(std::uint64_t seed, SoakKind kind = SoakKind::Faults);

} // namespace kelptally::model
