#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <optional>
#include <vector>

namespace kelptally::decision {

// A server that may hold acknowledged commits, including the last primary, as known to the owner
// when the primary is lost.
struct ReplicaState
{
    ServerName server;
    // "ip:port"
    std::string endpoint;
    // Position it reported after this owner had stopped its replication for this failover; not set
    // until it reports.
    std::optional<Position> heldPosition;
    bool isLastPrimary = false;
    // The server is leaving or its promotion has failed before; chosen only if no other server
    // holds as much.
    bool deprioritised = false;
};

// Everything known about the group when a replica is chosen for promotion.
struct ReplicaChoiceInput
{
    // All servers that may hold acknowledged commits.
    std::vector<ReplicaState> replicas;
    // Bounds on the newest acknowledged position: everything up to acknowledgedAtLeast and nothing
    // above acknowledgedAtMost has been acknowledged. Not set if unknown.
    std::optional<Position> acknowledgedAtLeast;
    std::optional<Position> acknowledgedAtMost;
    // Start of the newest known term: the last primary's position when it was promoted. A server
    // may report that term without having received the log up to its start.
    Position termStart;
    // Upper bound on the offset up to which the last primary inherited its log from its
    // predecessor.
    LogOffset inheritedOffset = 0;
    // Time since replication was first stopped on the replicas.
    Duration waited {0};
};

// Why a server was chosen, or why none was.
enum class ChoiceRule {
    // The compared logs contain every acknowledged commit that is not lost permanently.
    AllReported,
    // Some servers have not reported, but the chosen one holds every acknowledged commit.
    HoldsAllAcknowledged,
    // Too few servers have reported their positions.
    TooFewReported,
    // None of the compared logs contains every commit that is known to be acknowledged.
    AcknowledgedMissing,
};

const char *choiceRuleName(ChoiceRule rule);

struct ReplicaChoice
{
    ChoiceRule rule = ChoiceRule::TooFewReported;
    // Empty if no server may be promoted.
    ServerName server;
    // Position of the best server that reported, whether or not it was chosen.
    std::optional<Position> heldPosition;
};

// Chooses the replica to promote after the primary is lost, so that no acknowledged commit is lost.
// Requires that replication is stopped on all replicas that report and that no other owner can
// resume it, so that no further commits are acknowledged.
//
// Every acknowledged commit is in the log of the primary and of at least one replica. It is
// therefore in the last primary's log, and in the highest of any set of logs that omits at most one
// holder. If more logs are missing, a server is chosen only if it holds the upper bound of the
// acknowledged position. A server that lacks a commit known to be acknowledged is never chosen.
//
// The log that the last primary had when its term began may be in its log alone. Without that log a
// replica is chosen only if it reaches inheritedOffset.
//
// A missing server is not waited for once another server reports from its address: that server
// either has its log, or the log is lost permanently. If no missing server is left to wait for, the
// highest log is chosen.
ReplicaChoice chooseReplica(const ReplicaChoiceInput &state);

} // namespace kelptally::decision
