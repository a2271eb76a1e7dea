#pragma once

#include "core/clock.h"

#include <optional>

namespace kelptally::decision {

// Whether a primary that confirms synchronously still has its commits acknowledged. One whose
// replicas receive nothing answers reads and lets every commit hang: each takes a slot until it is
// noticed, ends in doubt, and its caller may not repeat it.
//
// The load it answers: two slots, twenty writes a second, and no confirmation for seconds. Sent on
// as usual, hanging commits take both slots from the reads, and all end in doubt. So once they are
// seen to hang, a few go as probes and the rest wait unsent, where a refusal is true; and when they
// go on hanging the primary is due to be replaced.
class CommitWatch
{
public:
    // A commit that leaves something was sent.
    void sent(Instant now);
    // One that was sent then was answered: what was sent before it and is still open is lost, not
    // held up.
    void answered(Instant sentAt);
    // Another primary, or the same one found anew.
    void reset();

    bool isStalled(Instant now) const;
    // Whether another one may be sent: always, or as a probe.
    bool maySend(Instant now) const;
    // Nothing has been acknowledged for so long, and of so many, that another primary should lead.
    bool replacementDue(Instant now) const;

private:
    // Of those sent after the newest answered one: the first, the last, and how many.
    std::optional<Instant> firstUnanswered_;
    Instant lastSent_ {};
    int unansweredCount_ = 0;
    // From the last one to the next probe, while they hang.
    Duration probeInterval_ {0};
    Instant newestAnsweredSentAt_ {};
};

} // namespace kelptally::decision
