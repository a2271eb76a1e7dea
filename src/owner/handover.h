#pragma once

#include "core/clock.h"
#include "inner/messages.h"

#include <functional>

namespace kelptally::owner {

// Interface to the group that is handed over.
class HandOverGroup
{
public:
    virtual ~HandOverGroup() = default;

    virtual std::size_t openTransactions() const = 0;
    virtual std::size_t requestsInProgress() const = 0;
    // Aborts requests still in progress, reduces the connections to a successor's share and writes
    // the row.
    virtual void transferOwnership() = 0;
};

// State machine of a planned hand-over of one group:
// 1. New transactions are held until the open ones have ended; single statements are still run.
// 2. All new requests are held until those in progress have ended.
// 3. The row is written, and the held requests are referred to the new owner.
class HandOver
{
public:
    explicit HandOver(HandOverGroup &group) : group_(group) { }

    void begin(Instant now);
    // Advances the phase if possible. Called on each tick and after each answer.
    void step(Instant now);
    // Must be called when the group is no longer served.
    void end() { phase_ = Phase::None; }

    bool running() const { return phase_ != Phase::None; }
    // Whether no request is in progress any more and the row is being written.
    bool isTransferring() const { return phase_ == Phase::Transfer; }
    bool mustHold(inner::StatementStep step) const;
    // Start of the current wait; in phase Transfer, the time from which all requests are held.
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
