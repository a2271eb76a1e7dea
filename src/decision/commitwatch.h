#pragma once

#include "core/clock.h"

#include <optional>

namespace kelptally::decision {

// Detects a primary with synchronous replication whose commits hang because no replica confirms
// them. Hanging commits occupy the slots that reads need, and their outcome is unknown. While
// commits are stalled only a few are sent as probes, and the others wait unsent, where they can
// still be refused safely. If the stall persists, the primary should be replaced.
class CommitWatch
{
public:
    // A commit with writes was sent.
    void sent(Instant now);
    // The commit sent at this time was answered. Earlier commits that are still unanswered are
    // treated as lost, not as stalled.
    void answered(Instant sentAt);
    // A commit was refused without being executed. Unlike an answer, this says nothing of the
    // commits sent before it: a server whose slots are occupied by hanging commits refuses others.
    void refused();
    // Forgets all commits; must be called when the primary changes or is found again.
    void reset();

    bool isStalled(Instant now) const;
    // Returns whether another commit may be sent: always, or only as a probe during a stall.
    bool maySend(Instant now) const;
    // Returns whether enough commits have gone unanswered for so long that the primary should be
    // replaced.
    bool replacementDue(Instant now) const;

private:
    // First, last and number of the commits sent after the newest answered one.
    std::optional<Instant> firstUnanswered_;
    Instant lastSent_ {};
    int unansweredCount_ = 0;
    // Interval between probes during a stall.
    Duration probeInterval_ {0};
    Instant newestAnsweredSentAt_ {};
};

} // namespace kelptally::decision
