#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

// Admission control for the slots of a group's servers: the order and the time limits of queued
// statements. It guards against overload, for example when the replicas lag and only the primary's
// few slots remain.
namespace kelptally::decision {

// A queued statement.
struct WaitingStatement
{
    // Belongs to an open transaction, which occupies a connection.
    bool continuesTransaction = false;
    // 0 is the most urgent.
    int priority = 0;
    Instant arrived;
    // Arrival plus the route's latency objective.
    Instant due;
    // Expected service time.
    Duration service {0};
    // End of the caller's or the route's time limit.
    Instant deadline;
    // The statement is refused if it has not been sent by then.
    Instant queueDeadline;
    // Start tag of fair queuing, and whether the organisation is over its fair share.
    Duration startTag {0};
    bool overShare = false;
    // The statement's kind got too few slots; see KindShares.
    bool behindShare = false;
    // The statement has waited for something else than a slot, or was sent before.
    bool wasBlocked = false;
};

// Start-time fair queuing between organisations. A statement's start tag is the finish tag of its
// organisation's previous statement, or the virtual time if that is later.
class StartTimeFairQueuing
{
public:
    // Returns the start tag of a statement with this expected service time.
    Duration onArrival(const OrganisationName &organisation, Duration service);
    // A statement ended without having been sent: its organisation is not charged for it.
    void onWithdrawn(const OrganisationName &organisation, Duration service);
    // A statement was sent: advances the virtual time to its start tag.
    void onStart(Duration startTag);
    // Whether the tag is so far ahead of the virtual time that the organisation is over its share.
    bool isOverShare(Duration startTag) const;

private:
    Duration virtualTime_ {0};
    std::map<OrganisationName, Duration> finishTags_;
};

// Estimates the service time of each kind of statement, as given by objective and priority, by
// smoothed mean and mean deviation (RFC 6298).
class ServiceTimes
{
public:
    void add(Duration objective, int priority, Duration sample);
    // Returns mean plus deviation; zero before the first sample.
    Duration typical(Duration objective, int priority) const;

private:
    struct Estimate
    {
        Duration mean {0};
        Duration deviation {0};
    };

    std::map<std::pair<Duration, int>, Estimate> kinds_;
};

// What determines how long a statement may wait.
struct WaitState
{
    // The statement was sent, or its acknowledgement is being verified.
    bool executing = false;
    bool needsPrimary = false;
    // This process owns the group.
    bool ownsGroup = false;
    bool hasPrimary = false;
    // Start of the current primary's term.
    Instant primarySince {};
    // The statement waits only for a free slot.
    bool waitsForSlot = false;
    // Start of the group's overload; see OverloadWatch.
    std::optional<Instant> overloadedSince;
};

// Computes the due time, deadline and queue deadline of a statement.
WaitingStatement makeWaitingStatement(Instant arrived, Duration objective, Duration timeLeft,
                                      int priority, bool continuesTransaction);

// Whether a is to be sent before b. Open transactions come first, as they occupy connections. Then,
// within a priority, statements that can still meet their objective come before late ones: order of
// arrival would make most answers late. Those are ordered by due time. For statements that arrived
// in an overload, order by due time would make all wait for nearly their whole objective: of these,
// kinds below their guaranteed share come first, then kinds with a small service time, and within a
// kind the latest arrival. Statements from before the overload come before them, since they have
// used up most of their objective and a retry would be late.
bool precedes(const WaitingStatement &a, const WaitingStatement &b, Instant now,
              std::optional<Instant> overloadedSince = std::nullopt);

// Returns when the statement is to be given up, given the present state. A statement that arrived
// in an overload and waits for a slot is refused after a tenth of its objective, since newer
// statements go first and a retry can still be in time. All others keep the queue deadline: a late
// answer is worth more than none.
Instant giveUpAt(const WaitingStatement &statement, const WaitState &state, Instant now);

bool isQueueFull(std::size_t queued);

// Whether the statement waits for a slot and can no longer be answered within its objective.
bool isTooLate(const WaitingStatement &statement, const WaitState &state, Instant now);

// Returns the delay after which a refused caller should retry. The random number is from 0 to 1.
Duration retryHint(bool hasPrimary, double random);

} // namespace kelptally::decision
