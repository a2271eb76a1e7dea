#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/positionlog.h"

#include <optional>
#include <vector>

// Chooses the server of a group that runs a read. Servers report the positions of their logs and
// refuse a read whose required position they do not hold, so a wrong estimate of a replica's
// position costs a retry but never a stale answer.
namespace kelptally::decision {

// How fresh the data returned by a read must be.
struct FreshnessRequirement
{
    // Whether the read must see every acknowledged write. If not, it must see those acknowledged
    // longer than maxAge ago.
    bool newest = false;
    Duration maxAge {0};
    // Position of the session's own writes, which the read must see as well.
    std::optional<Position> ownWrites;
};

// State of one server as a candidate for a read.
struct ReadCandidate
{
    bool primary = false;
    // Whether it has a free slot and has not recently refused work.
    bool available = false;
    bool reachable = false;
    bool leaving = false;
    // It has been leaving for so long that no statement may be sent to it.
    bool departed = false;
    bool inOtherZone = false;
    // An earlier attempt of the statement failed on it.
    bool failedBefore = false;
    // Penalty, in percent of its slots, if a connection must be opened for the statement.
    int openingCost = 0;
    int inFlight = 0;
    int slots = 1;
    // Highest position that it has reported, and when it last reported one.
    std::optional<Position> position;
    Instant positionAt {};
    // Replication lag at its last report.
    Duration lag {0};
    // After refusing a read for a position it lacks, it gets no such read before this time.
    Instant laggingUntil {};
};

// Returns the position that a server must hold to serve the read, or nothing if only the primary is
// known to be fresh enough. Ages are measured back from the read's arrival or now, whichever is
// earlier.
std::optional<Position> requiredPosition(const PositionLog &positions,
                                         const FreshnessRequirement &bound, Instant arrived,
                                         Instant now);

// Returns the index of the server that runs the read, or nothing if the read must wait.
// writesPaused means that the primary is about to be replaced; it then gets no reads either.
std::optional<std::size_t> chooseReader(const std::vector<ReadCandidate> &servers,
                                        const PositionLog &positions,
                                        std::optional<Position> needed, bool writesPaused,
                                        Instant now);

// Returns whether a leaving server gets no more statements. True a short time before leaveTime has
// passed, so that statements in transit arrive in time.
bool hasLeft(Instant leavingSince, Duration leaveTime, Instant now);

} // namespace kelptally::decision
