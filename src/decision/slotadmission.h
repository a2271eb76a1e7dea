#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstddef>
#include <map>
#include <utility>

// How statements wait for a slot of one of a group's servers: in which order, for how long, and
// what those that are refused are told. Servers have two or three slots; a group whose replicas lag
// has those of its primary alone, for half more work than they can do.
namespace kelptally::decision {

// What the order and the limits need of one statement.
struct WaitingStatement
{
    // Of a transaction that is open: it holds a connection that others need.
    bool continuesTransaction = false;
    // 0 is the most urgent.
    int priority = 0;
    Instant arrived;
    // Its route's objective ends.
    Instant due;
    // How long a server takes for its kind, most of the time.
    Duration service {0};
    // Its caller or route gives it up.
    Instant deadline;
    // Refused if it has not been sent by then.
    Instant queueDeadline;
    // Its place among its organisation's statements; and whether that organisation has had more
    // than others that wait.
    Duration startTag {0};
    bool overShare = false;
};

// Start-time fair queuing of organisations: each statement's turn is the end of its organisation's
// one before it, or the turn that the group has come to.
class StartTimeFairQueuing
{
public:
    // The statement will take about so long at a server.
    Duration onArrival(const OrganisationName &organisation, Duration service);
    void onStart(Duration startTag);
    bool isOverShare(Duration startTag) const;

private:
    Duration virtualTime_ {0};
    std::map<OrganisationName, Duration> finishTags_;
};

// How long servers take for statements of each kind: those of one objective and priority. Mean and
// mean deviation, as TCP estimates round trips (RFC 6298).
class ServiceTimes
{
public:
    void add(Duration objective, int priority, Duration sample);
    // What most of them take; zero before the first one.
    Duration typical(Duration objective, int priority) const;

private:
    struct Estimate
    {
        Duration mean {0};
        Duration deviation {0};
    };

    std::map<std::pair<Duration, int>, Estimate> kinds_;
};

// What a statement waits for.
struct WaitState
{
    // It runs, or its acknowledgement is being verified.
    bool executing = false;
    bool needsPrimary = false;
    // This process owns the group.
    bool ownsGroup = false;
    bool hasPrimary = false;
    // When the present primary began to lead.
    Instant primarySince {};
};

// The statement that arrived with this objective and deadline.
WaitingStatement makeWaitingStatement(Instant arrived, Duration objective, Duration timeLeft,
                                      int priority, bool continuesTransaction);

bool precedes(const WaitingStatement &a, const WaitingStatement &b, Instant now);

// When the statement is given up, as things are now.
Instant giveUpAt(const WaitingStatement &statement, const WaitState &state, Instant now);

bool isQueueFull(std::size_t queued);

// What a refused caller is told to wait.
Duration retryHint(bool hasPrimary);

} // namespace kelptally::decision
