#include "decision/replicachoice.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Replicas answer in 1 to 4 ms, and in 25 on a slow host; those that answer within this time are
// compared even if one that holds everything has been heard already.
constexpr Duration waitForAll = std::chrono::milliseconds(60);

// What the replica surely holds: a position of a term whose beginning it lacks compares below every
// position that is what it seems.
Position surelyHeld(const ReplicaState &replica, const ChoiceState &state)
{
    const Position held = *replica.held;
    const bool lacksBeginning =
        held.term == state.termBegan.term && held.offset < state.termBegan.offset;
    return lacksBeginning ? Position {0, held.offset} : held;
}

// Of the holders whose logs are not among the compared ones.
struct Uncompared
{
    // All of them, and those that may yet come back.
    int all = 0;
    int awaited = 0;
    bool hasLastLeader = true;
};

Uncompared uncomparedOf(const std::vector<ReplicaState> &replicas)
{
    Uncompared uncompared;
    for (const ReplicaState &replica : replicas) {
        if (replica.held) {
            uncompared.hasLastLeader = uncompared.hasLastLeader && !replica.isLastLeader;
            continue;
        }
        const bool isReplaced =
            std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaState &other) {
                return other.held && other.endpoint == replica.endpoint;
            });
        ++uncompared.all;
        uncompared.awaited += isReplaced ? 0 : 1;
    }
    return uncompared;
}

} // namespace

const char *ruleName(ChoiceRule rule)
{
    switch (rule) {
    case ChoiceRule::AllHeard:
        return "all_heard";
    case ChoiceRule::HoldsAll:
        return "holds_all";
    case ChoiceRule::TooFewHeard:
        return "too_few_heard";
    case ChoiceRule::AcknowledgedMissing:
        break;
    }
    return "acknowledged_missing";
}

ReplicaChoice chooseReplica(const ChoiceState &state)
{
    // 1. The highest position; of equals one that stays.
    const ReplicaState *best = nullptr;
    Position most;
    for (const ReplicaState &replica : state.replicas) {
        if (!replica.held)
            continue;
        const Position held = surelyHeld(replica, state);
        const bool isBetter =
            best == nullptr || most < held || (most == held && best->avoided && !replica.avoided);
        if (!isBetter)
            continue;
        best = &replica;
        most = held;
    }
    ReplicaChoice choice;
    if (best == nullptr)
        return choice;
    choice.held = best->held;
    // 2. Whether it must hold everything that was acknowledged.
    const Uncompared uncompared = uncomparedOf(state.replicas);
    const bool hasInherited = state.inherited <= best->held->offset;
    const bool allHeard = !uncompared.hasLastLeader || uncompared.awaited == 0
        || (uncompared.all <= 1 && hasInherited);
    const bool lacksKnown = state.acknowledgedAtLeast && most < *state.acknowledgedAtLeast;
    const bool holdsAll = state.acknowledgedAtMost && *state.acknowledgedAtMost <= most;
    if (allHeard)
        choice.rule = lacksKnown ? ChoiceRule::AcknowledgedMissing : ChoiceRule::AllHeard;
    else if (holdsAll && !lacksKnown && state.waited >= waitForAll)
        choice.rule = ChoiceRule::HoldsAll;
    if (choice.rule == ChoiceRule::AllHeard || choice.rule == ChoiceRule::HoldsAll)
        choice.server = best->server;
    return choice;
}

} // namespace kelptally::decision
