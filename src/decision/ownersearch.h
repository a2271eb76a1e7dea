#pragma once

#include "core/clock.h"

namespace kelptally::decision {

// Limits how long statements wait at an entry for a reachable owner of their group. At first they
// wait for as long as a takeover takes. If no owner is found by then, this host may be partitioned
// from all owners, so each statement waits only briefly and leaves the caller time to retry through
// another host.
class OwnerSearch
{
public:
    // A statement waits because no reachable process owns the group.
    void onStatementWaiting(Instant now);
    // An owner answered; ends the search.
    void onOwnerAnswered() { searching_ = false; }

    // Returns when a statement with this arrival time is refused, unless its deadline is earlier.
    Instant giveUpAt(Instant arrived) const;

private:
    bool searching_ = false;
    Instant searchStartedAt_ {};
    Instant lastWaitAt_ {};
};

} // namespace kelptally::decision
