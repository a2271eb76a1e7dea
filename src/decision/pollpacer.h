#pragma once

#include "core/clock.h"

namespace kelptally::decision {

// How often a host asks the table service for changes. Each question is a call, and all hosts
// together have a few thousand of them a second.
//
// The load it answers: an answer comes with the first change, so that 24 servers that register one
// after another made 24 calls of each host: 4,000 of the 7,200 calls of a calm day with 77 hosts.
class PollPacer
{
public:
    // An answer has brought changes; how long to wait before the next question. A change that comes
    // by itself, and the one after it, are told at once.
    Duration pauseAfterChanges(Instant now);

private:
    Instant lastChangesAt_ {};
    // Answers with changes that came within a short time of each other.
    int burstLength_ = 0;
};

// Longest that one question for changes may stay open, where what it tells must be known within the
// bound: a question whose answer is lost, or whose connection has gone silent, is noticed half a
// second after that, and asked again on a new connection.
Duration pollWaitWithin(Duration bound);
// The same for leaving servers: they are given half a second less than they have, and use is made
// of them until as long after their word as a question may have been open.
Duration pollWaitForLeaving(Duration leaveTime);

} // namespace kelptally::decision
