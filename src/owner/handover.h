#pragma once

#include "core/clock.h"
#include "inner/messages.h"

#include <functional>

namespace kelptally::owner {

// What a hand-over needs to know of its group, and does to it.
class HandOverGroup
{
public:
    virtual ~HandOverGroup() = default;

    virtual std::size_t openTransactions() const = 0;
    // Requests in progress.
    virtual std::size_t requestsInProgress() const = 0;
    // Ends what is still in progress, closes the connections that the next owner will open, and
    // writes the row.
    virtual void transferOwnership() = 0;
};

// The steps of a planned hand-over of one group. 1. Open transactions end and no new ones begin;
// single statements go on. 2. Requests in progress end; new ones are held. 3. The row is written,
// and those held are sent on to the new owner.
class HandOver
{
public:
    explicit HandOver(HandOverGroup &group) : group_(group) { }

    void begin(Instant now);
    // Goes on when it can; called on each tick and after each answer.
    void step(Instant now);
    // The group is not served any more.
    void end() { phase_ = Phase::None; }

    bool running() const { return phase_ != Phase::None; }
    // The row is being written: nothing of the group is in progress here.
    bool isTransferring() const { return phase_ == Phase::Transfer; }
    bool mustHold(inner::StatementStep step) const;
    // When the first request was held.
    Instant phaseStartedAt() const { return phaseStartedAt_; }

private:
    enum class Phase {
        None,
        DrainTransactions,
        DrainStatements,
        Transfer,
    };

    HandOverGroup &group_;
    Phase phase_ = Phase::None;
    Instant phaseStartedAt_;
};

} // namespace kelptally::owner
