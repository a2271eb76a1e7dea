#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

// Overload of one group: more statements arrive than its slots can serve in time. These parts
// detect it, divide the slots between kinds of statements while it lasts, and compute the delay
// after which refused callers should retry.
namespace kelptally::decision {

// A kind of statement: objective and priority.
using StatementKind = std::pair<Duration, int>;

// Detects overload: statements have waited for free slots for 100 ms without interruption, and one
// of them can no longer be answered within its objective. It lasts until no statement waits. The
// second condition keeps bursts that the slots can serve in time out of it: refusing early in a
// burst of 0.5 s cost 3% of the answers that are otherwise in time.
class OverloadWatch
{
public:
    enum class Change {
        None,
        Entered,
        Left,
    };

    // Reports whether any statement waits for a free slot, and whether one of these can no longer
    // be answered within its objective. Statements that wait for anything else (a primary, a lease,
    // held writes) do not count, since more slots would not help them.
    Change update(bool statementsWait, bool anyLate, Instant now);
    // Returns the start of the present overload.
    std::optional<Instant> overloadedSince() const { return overloadedSince_; }
    // Count statements that were started and refused during the overload.
    void onStarted() { started_ += overloadedSince_ ? 1 : 0; }
    void onRefused() { refused_ += overloadedSince_ ? 1 : 0; }
    // Return the counts and start of the present overload, or of the last one.
    std::uint64_t started() const { return started_; }
    std::uint64_t refused() const { return refused_; }
    Instant lastStart() const { return lastStart_; }

private:
    std::optional<Instant> waitingSince_;
    bool lateSeen_ = false;
    std::optional<Instant> overloadedSince_;
    Instant lastStart_ {};
    std::uint64_t started_ = 0;
    std::uint64_t refused_ = 0;
};

// Compares the slot time that each kind of statement asked for and got, both decaying with a time
// constant of three seconds. Under overload the kind with the smallest service time goes first,
// which would starve the others of the same priority; each is guaranteed half of its proportional
// share. A refused caller tries again twice, so the slot time asked for is divided by the expected
// number of attempts; otherwise the kind with the most refusals would gain a share.
class KindShares
{
public:
    // A statement with this expected service time arrived, or was sent to a server.
    void onArrival(StatementKind kind, Duration service, Instant now);
    void onStart(StatementKind kind, Duration service, Instant now);
    // A statement was refused for want of a slot.
    void onRefused(StatementKind kind, Instant now);
    // Whether the kind got less than half of the share of slot time that it asked for, among the
    // kinds of its priority.
    bool isBehind(StatementKind kind) const;

private:
    struct SlotTime
    {
        // In milliseconds.
        double asked = 0;
        double received = 0;
        // Statements.
        double started = 0;
        double refused = 0;

        // Returns the slot time asked for by first attempts.
        double askedAtFirst() const;
    };

    void decay(Instant now);

    std::map<StatementKind, SlotTime> kinds_;
    Instant decayedAt_ {};
};

// Returns the delay after which a caller that was refused for want of a slot should retry: 100 ms,
// shortened by up to half so that callers refused together do not return together. The random
// number is from 0 to 1. The delay does not grow with the overload: a retry within the objective is
// still worth serving in time, a later one takes a slot from a statement that is not yet late.
Duration overloadRetryDelay(double random);

} // namespace kelptally::decision
