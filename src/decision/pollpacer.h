#pragma once

#include "core/clock.h"

namespace kelptally::decision {

// Limits how often a host polls the table service during a burst of changes. A poll is answered by
// the first change, so without a pause each change of a burst would cost a call per host. With 24
// servers that registered one after another, such polls were 4,000 of the 7,200 calls that 77 hosts
// made on a calm day.
class PollPacer
{
public:
    // Returns the pause before the next poll after an answer with changes; zero for the first two
    // changes of a burst.
    Duration pauseAfterChanges(Instant now);

private:
    Instant lastChangesAt_ {};
    // Preceding answers in the current burst, up to a limit.
    int burstLength_ = 0;
};

// Returns how long a poll may stay open so that changes are known within the bound: leaves time to
// detect a lost answer or a dead connection and to poll again on a new connection.
Duration pollWaitWithin(Duration bound);
// The same for servers that are leaving: leaves a leaving primary the time to be replaced before
// its leave time ends.
Duration pollWaitForLeaving(Duration leaveTime);

} // namespace kelptally::decision
