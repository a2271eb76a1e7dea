#pragma once

#include "core/types.h"
#include "decision/earlierowners.h"
#include "decision/logholders.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kelptally::group {

// The row of one group in the table service.
struct OwnershipRecord
{
    OwnerEpoch epoch = 0;
    ProcessId owner;
    // Of the owner; empty when it is not known.
    ZoneName zone;
    // The owner has room for more than a few groups.
    bool hasRoom = false;
    // The primary and its term when it was last changed or first seen; a primary of a lower term is
    // a replaced one.
    ServerName primary;
    Term term = 0;
    // What the primary held when its term began; 0 when that is not known.
    LogOffset termBegan = 0;
    // What it held when it was first seen to lead: no less than it took over from the one before.
    LogOffset firstHeld = 0;
    // Named before the platform is told to promote it; it may lead at any moment from then on.
    ServerName candidate;
    // Another one had been named before it in the same change, and may lead or have led, too.
    bool otherCandidates = false;
    // The old primary goes on serving under this owner until the candidate leads.
    bool primaryServes = false;
    // Shortest time from the platform's call to a new primary's lead that was seen in the group; 0
    // before the first change.
    Duration leadTime {0};
    // Until then, by the service's clock, owners before this one may still act.
    Duration guardedUntil {0};
    // Which these are; meaningless when nothing is guarded.
    std::vector<decision::EarlierOwner> earlier;
    // Servers that may hold acknowledged commits, as the owner knew them when it wrote last; empty
    // in rows of earlier versions.
    std::vector<decision::LogHolder> holders;
    // What was known to have been acknowledged then; term 0 when nothing was.
    Position acknowledged;
};

std::string encodeOwnership(const OwnershipRecord &record);
absl::StatusOr<OwnershipRecord> decodeOwnership(const std::string &text);

} // namespace kelptally::group
