#pragma once

#include "core/clock.h"

namespace kelptally::decision {

// How long statements wait at an entry for an owner of their group that can be reached.
//
// The load it answers: hosts cut in two halves, where one half has neither the owner nor the store.
// A takeover by a host that reaches the store is over within a second, so statements wait for it
// that long. A longer search means that this host will hardly find one, while the caller's repeat
// through another host may: then each waits a moment only, and is refused with enough time left.
class OwnerSearch
{
public:
    // A statement waits: nobody that can be reached acts for the group.
    void onStatementWaiting(Instant now);
    // An owner has answered.
    void onOwnerAnswered() { searching_ = false; }

    // When a statement that arrived then is refused, unless its deadline comes first.
    Instant giveUpAt(Instant arrived) const;

private:
    bool searching_ = false;
    Instant searchStartedAt_ {};
    Instant lastWaitAt_ {};
};

} // namespace kelptally::decision
