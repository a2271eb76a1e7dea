#include "decision/commitwatch.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Must exceed the time until a commit is confirmed, also on a slow server. A commit takes 5 to 25
// ms with its confirmation, and five times that on a slow server.
constexpr Duration stallTimeout = std::chrono::milliseconds(150);
// Limits the slot time that hanging probes take from reads. A probe occupies a slot for up to 220
// ms, until its server is known not to run it; at this interval two slots keep three quarters of
// their time for reads.
constexpr Duration maxProbeInterval = std::chrono::milliseconds(400);
// The first probe is sent early: if only one connection hangs, a commit on another connection ends
// the stall.
constexpr Duration initialProbeInterval = std::chrono::milliseconds(50);
// Leaves time to resume replication on stopped replicas before the primary is replaced. The
// replicas are checked after 250 ms, and stopped ones receive again 20 ms later.
constexpr Duration replacementTimeout = std::chrono::milliseconds(700);
// Minimum time since the newest commit before the primary is replaced.
constexpr Duration unansweredTimeout = std::chrono::milliseconds(150);
// Fewer lost answers than this do not justify a replacement.
constexpr int minUnanswered = 3;

} // namespace

void CommitWatch::sent(Instant now)
{
    if (isStalled(now))
        probeInterval_ = std::min(2 * probeInterval_, maxProbeInterval);
    else
        probeInterval_ = initialProbeInterval;
    if (!firstUnanswered_)
        firstUnanswered_ = now;
    lastSent_ = now;
    ++unansweredCount_;
}

void CommitWatch::answered(Instant sentAt)
{
    if (sentAt < newestAnsweredSentAt_)
        return;
    newestAnsweredSentAt_ = sentAt;
    // The answered commit was sent before the unanswered ones, which stay pending.
    if (!firstUnanswered_ || sentAt < *firstUnanswered_)
        return;
    if (lastSent_ <= sentAt) {
        firstUnanswered_.reset();
        unansweredCount_ = 0;
        return;
    }
    firstUnanswered_ = lastSent_;
    unansweredCount_ = 1;
}

void CommitWatch::refused()
{
    if (unansweredCount_ > 0 && --unansweredCount_ == 0)
        firstUnanswered_.reset();
}

void CommitWatch::reset()
{
    *this = CommitWatch();
}

bool CommitWatch::isStalled(Instant now) const
{
    return firstUnanswered_ && now - *firstUnanswered_ >= stallTimeout;
}

bool CommitWatch::maySend(Instant now) const
{
    return !isStalled(now) || now - lastSent_ >= probeInterval_;
}

bool CommitWatch::replacementDue(Instant now) const
{
    return firstUnanswered_ && unansweredCount_ >= minUnanswered
        && now - *firstUnanswered_ >= replacementTimeout && now - lastSent_ >= unansweredTimeout;
}

} // namespace kelptally::decision
