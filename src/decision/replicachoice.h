#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <optional>
#include <vector>

namespace kelptally::decision {

// One server that may hold acknowledged commits, the last leader among them, as the owner knows it
// when the primary is lost.
struct ReplicaState
{
    ServerName server;
    // "ip:port"
    std::string endpoint;
    // What it held once it had been stopped from receiving, by this owner and in this change;
    // nothing as long as it has not said so.
    std::optional<Position> heldPosition;
    bool isLastPrimary = false;
    // Leaving, or it has failed as a candidate: taken only if no other holds as much.
    bool deprioritised = false;
};

// What is known when a primary has been lost and the next one is chosen.
struct ReplicaChoiceInput
{
    // All that may hold acknowledged commits.
    std::vector<ReplicaState> replicas;
    // Everything up to the first position has been acknowledged, as far as is known, and nothing
    // above the second one; nothing when the one or the other is not known.
    std::optional<Position> acknowledgedAtLeast;
    std::optional<Position> acknowledgedAtMost;
    // Where the newest known term began: the last leader's position when it was promoted. A
    // server may show that term and not yet have received what it began with.
    Position termBegan;
    // What the last leader had taken over from the one before it, or more than that.
    LogOffset inheritedOffset = 0;
    // Since the replicas were first told to stop.
    Duration waited {0};
};

// Why a server was taken, or none.
enum class ChoiceRule {
    // Everything acknowledged that is not lost for good is in one of the logs that were compared.
    AllReported,
    // Some are unheard, and the one taken holds all that has been acknowledged.
    HoldsAllAcknowledged,
    // Too few have said what they hold.
    TooFewReported,
    // What is known to have been acknowledged is in none of the logs that were compared.
    AcknowledgedMissing,
};

const char *choiceRuleName(ChoiceRule rule);

struct ReplicaChoice
{
    ChoiceRule rule = ChoiceRule::TooFewReported;
    // Empty unless the rule allows one.
    ServerName server;
    // The highest position that was compared.
    std::optional<Position> heldPosition;
};

// The replica to promote for a lost primary, so that no acknowledged commit is lost.
//
// Each acknowledged commit was in the leader's log and in one more, and no more are acknowledged
// once all replicas have stopped and no other owner can let them receive again. So it is in one of
// any logs that leave out one holder at most, and in the last leader's. The highest position of
// such logs has it. With more missing the same follows only from knowing every acknowledgement. In
// no case is a server taken that lacks one that is known.
//
// What the last leader took over from the one before it was in its log alone when its term began.
// So without that log a replica is taken only if it reaches that far.
//
// Once another server is at the address of a missing one nobody waits for that: it has brought the
// log, or the log is lost for good. With none left to wait for the highest is taken.
ReplicaChoice chooseReplica(const ReplicaChoiceInput &state);

} // namespace kelptally::decision
