#pragma once

#include "core/types.h"
#include "decision/earlierowners.h"
#include "decision/logholders.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kelptally::group {

// Row of one group in the table service: its owner, and what the next owner needs for a failover.
struct OwnershipRecord
{
    OwnerEpoch epoch = 0;
    ProcessId owner;
    // Zone of the owner; empty when unknown.
    ZoneName zone;
    // The owner has the processor capacity for more than a few groups.
    bool hasCapacity = false;
    // The last recorded primary and its term. A primary with a lower term has been replaced.
    ServerName primary;
    Term term = 0;
    // Log offset of the primary at the start of its term; 0 when unknown.
    LogOffset termStart = 0;
    // Log offset of the primary when it was first seen as such; upper bound of the log that it
    // inherited from the previous primary.
    LogOffset firstSeenOffset = 0;
    // Recorded before its promotion is requested; may be the primary at any time after that.
    ServerName candidate;
    // Another candidate was recorded earlier in the same change, and may be or have been the
    // primary, too.
    bool otherCandidates = false;
    // In a planned change: the old primary serves under this owner until the candidate leads.
    bool primaryServes = false;
    // Shortest observed time from the promotion request to the new primary's lead; 0 before the
    // first change.
    Duration leadTime {0};
    // Time on the service's clock until which earlier owners may still act; 0 if none may.
    Duration guardedUntil {0};
    // These earlier owners; meaningless if guardedUntil is 0.
    std::vector<decision::EarlierOwner> earlier;
    // Time on the service's clock at which an owner last started with tokens of quotas without
    // knowing what its predecessors had spent; 0 if none did.
    Duration quotasStartedAt {0};
    // Servers that may hold acknowledged commits, as of the last write; empty in rows of earlier
    // versions.
    std::vector<decision::LogHolder> holders;
    // Highest position known to be acknowledged at the last write; term 0 if none.
    Position acknowledged;
};

// Encode and decode a row as JSON. Decoding returns InvalidArgument if a field is missing or
// malformed.
std::string encodeOwnership(const OwnershipRecord &record);
absl::StatusOr<OwnershipRecord> decodeOwnership(const std::string &text);

} // namespace kelptally::group
