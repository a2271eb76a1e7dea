#pragma once

#include "modelcluster.h"

namespace kelptally::model {

struct SoakResult
{
    std::vector<std::string> violations;
    // After the end of all faults a write was acknowledged in time.
    bool recovered = false;
    Duration recovery {0};
    int acknowledged = 0;
    int refused = 0;
    int unknown = 0;
    int reads = 0;
    int promotions = 0;
    // Acknowledged commits that no server held any more.
    int unrecoverableCommits = 0;
};

enum class SoakKind {
    Faults,
    // Besides, open connections go silent or are reset, and entries run transactions.
    Connections,
    // Besides, servers come back under other ids, leave and are lost for good, their entries lapse,
    // and hosts know different ones of them; with more writes.
    Membership,
};

// One random schedule of faults and statements; the same for the same seed and kind.
SoakResult runSoak(std::uint64_t seed, SoakKind kind = SoakKind::Faults);

} // namespace kelptally::model
