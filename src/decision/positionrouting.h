#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/positionlog.h"

#include <optional>
#include <vector>

// Which server of a group a statement goes to, where servers show the positions of their logs and
// refuse a read whose position they do not hold. So an estimate that is wrong costs a repeat, never
// a stale answer.
namespace kelptally::decision {

// How fresh the data has to be that a read finds.
struct FreshnessRequirement
{
    // Everything acknowledged; else what was acknowledged before the stated age.
    bool newest = false;
    Duration maxAge {0};
    // And the caller's own writes.
    std::optional<Position> ownWrites;
};

// What is known of one server.
struct ReadCandidate
{
    bool primary = false;
    // Has a free slot and has not just refused work.
    bool available = false;
    bool reachable = false;
    bool leaving = false;
    // So long that nothing may reach it any more.
    bool departed = false;
    bool inOtherZone = false;
    // It has failed the statement before.
    bool failedBefore = false;
    // What speaks against it in percent of its slots, when a connection has to be opened for the
    // statement.
    int openingCost = 0;
    int inFlight = 0;
    int slots = 1;
    // Highest position that it has shown, and when.
    std::optional<Position> shown;
    Instant shownAt {};
    // How far it was behind when it was last known.
    Duration lag {0};
    // It has refused a read as too new for it; not asked again before.
    Instant behindUntil {};
};

// The position that makes a read right which arrived then; nothing when only the primary is known
// to. Ages count from the arrival or from now, whichever is earlier.
std::optional<Position> positionNeeded(const PositionLog &positions,
                                       const FreshnessRequirement &bound, Instant arrived,
                                       Instant now);

// Index of the server that a read goes to; nothing when it has to wait. While writes are held the
// primary is about to be replaced and takes no reads either.
std::optional<std::size_t> chooseReader(const std::vector<ReadCandidate> &servers,
                                        const PositionLog &positions,
                                        std::optional<Position> needed, bool writesPaused,
                                        Instant now);

// Whether a leaving server has had its time: before the one at which nothing may reach it, as the
// way there takes time.
bool hasLeft(Instant leavingSince, Duration leaveTime, Instant now);

} // namespace kelptally::decision
