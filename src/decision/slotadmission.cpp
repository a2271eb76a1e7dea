#include "decision/slotadmission.h"

#include <algorithm>
#include <tuple>

namespace kelptally::decision {

namespace {

// Statements that wait in one group. Chosen, not measured: some seconds of a small group's work.
constexpr std::size_t maxQueued = 512;
// How long a statement may wait for a server: one and a half times its route's objective, within
// these bounds. Longer waits end late, are given up by their callers, and keep others from being in
// time. Between one and two and a half times, three sites differ by less than 0.005 in worth.
constexpr int holdNumerator = 3;
constexpr int holdDenominator = 2;
constexpr Duration leastHold = std::chrono::milliseconds(250);
constexpr Duration longestHold = std::chrono::milliseconds(2000);
// By how much a statement that is not late yet goes before its turn.
constexpr Duration inTimeBonus = std::chrono::milliseconds(500);
// What a caller is told to wait when a group has no primary, or is full.
constexpr Duration primaryHint = std::chrono::milliseconds(400);
constexpr Duration fullHint = std::chrono::milliseconds(100);

} // namespace

WaitingStatement waitingStatement(Instant arrived, Duration objective, Duration timeLeft,
                                  int priority, bool continuesTransaction)
{
    const Duration hold =
        std::clamp(objective * holdNumerator / holdDenominator, leastHold, longestHold);
    WaitingStatement statement;
    statement.continuesTransaction = continuesTransaction;
    statement.priority = priority;
    statement.arrived = arrived;
    statement.due = arrived + objective;
    statement.deadline = arrived + timeLeft;
    statement.holdUntil = std::min(statement.deadline, arrived + hold);
    return statement;
}

// Open transactions hold connections that others need, so they go on first. Then by the routes'
// priority, and by the time at which each would be given up; one that can still be answered within
// its objective goes before one that is late already.
bool goesBefore(const WaitingStatement &a, const WaitingStatement &b, Instant now)
{
    const auto rank = [now](const WaitingStatement &statement) {
        const bool late = now > statement.due;
        return std::make_tuple(statement.continuesTransaction ? 0 : 1, statement.priority,
                               late ? statement.deadline : statement.deadline - inTimeBonus);
    };
    return rank(a) < rank(b);
}

// One that has been sent keeps its time, and one that had to wait for a primary gets its turn once
// there is one; any other that still waits is refused.
Instant giveUpAt(const WaitingStatement &statement, const WaitState &state, Instant now)
{
    if (state.underWay)
        return statement.deadline;
    if (now < statement.holdUntil)
        return statement.holdUntil;
    if (!state.owned || !state.needsPrimary)
        return statement.holdUntil;
    if (!state.hasPrimary)
        return statement.deadline;
    const Duration hold = statement.holdUntil - statement.arrived;
    return std::min(statement.deadline, std::max(statement.holdUntil, state.primarySince + hold));
}

bool isQueueFull(std::size_t queued)
{
    return queued >= maxQueued;
}

Duration retryHint(bool hasPrimary)
{
    return hasPrimary ? fullHint : primaryHint;
}

} // namespace kelptally::decision
