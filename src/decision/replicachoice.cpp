#include "decision/replicachoice.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Minimum time to wait for reports before a replica is chosen while some are missing, so that
// replicas that answer promptly are compared. Replicas answer in 1 to 4 ms, and in 25 ms on a slow
// host.
constexpr Duration reportWindow = std::chrono::milliseconds(60);

// Returns the replica's position for comparison. If the replica reports the newest term without
// having received the log up to the term's start, the position sorts below all valid ones.
Position comparablePosition(const ReplicaState &replica, const ReplicaChoiceInput &state)
{
    const Position heldPosition = *replica.heldPosition;
    const bool lacksTermStart =
        heldPosition.term == state.termStart.term && heldPosition.offset < state.termStart.offset;
    return lacksTermStart ? Position {0, heldPosition.offset} : heldPosition;
}

// Counts of the servers whose logs are not among the compared ones.
struct UncomparedLogs
{
    // All such servers, and those that may still report.
    int all = 0;
    int awaited = 0;
    bool hasLastPrimary = true;
};

UncomparedLogs countUncompared(const std::vector<ReplicaState> &replicas)
{
    UncomparedLogs uncompared;
    for (const ReplicaState &replica : replicas) {
        if (replica.heldPosition) {
            uncompared.hasLastPrimary = uncompared.hasLastPrimary && !replica.isLastPrimary;
            continue;
        }
        const bool isReplaced =
            std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaState &other) {
                return other.heldPosition && other.endpoint == replica.endpoint;
            });
        ++uncompared.all;
        uncompared.awaited += isReplaced ? 0 : 1;
    }
    return uncompared;
}

} // namespace

const char *choiceRuleName(ChoiceRule rule)
{
    switch (rule) {
    case ChoiceRule::AllReported:
        return "all_heard";
    case ChoiceRule::HoldsAllAcknowledged:
        return "holds_all";
    case ChoiceRule::TooFewReported:
        return "too_few_heard";
    case ChoiceRule::AcknowledgedMissing:
        break;
    }
    return "acknowledged_missing";
}

ReplicaChoice chooseReplica(const ReplicaChoiceInput &state)
{
    // 1. Find the highest position; among equals prefer one that is not deprioritised.
    const ReplicaState *best = nullptr;
    Position highest;
    for (const ReplicaState &replica : state.replicas) {
        if (!replica.heldPosition)
            continue;
        const Position heldPosition = comparablePosition(replica, state);
        const bool isBetter = best == nullptr || highest < heldPosition
            || (highest == heldPosition && best->deprioritised && !replica.deprioritised);
        if (!isBetter)
            continue;
        best = &replica;
        highest = heldPosition;
    }
    ReplicaChoice choice;
    if (best == nullptr)
        return choice;
    choice.heldPosition = best->heldPosition;
    // 2. Decide whether it is certain to hold every acknowledged commit.
    const UncomparedLogs uncompared = countUncompared(state.replicas);
    const bool hasInherited = state.inheritedOffset <= best->heldPosition->offset;
    const bool allReported = !uncompared.hasLastPrimary || uncompared.awaited == 0
        || (uncompared.all <= 1 && hasInherited);
    const bool lacksAcknowledged =
        state.acknowledgedAtLeast && highest < *state.acknowledgedAtLeast;
    const bool holdsAllAcknowledged =
        state.acknowledgedAtMost && *state.acknowledgedAtMost <= highest;
    if (allReported)
        choice.rule = lacksAcknowledged ? ChoiceRule::AcknowledgedMissing : ChoiceRule::AllReported;
    else if (holdsAllAcknowledged && !lacksAcknowledged && state.waited >= reportWindow)
        choice.rule = ChoiceRule::HoldsAllAcknowledged;
    if (choice.rule == ChoiceRule::AllReported || choice.rule == ChoiceRule::HoldsAllAcknowledged)
        choice.server = best->server;
    return choice;
}

} // namespace kelptally::decision
