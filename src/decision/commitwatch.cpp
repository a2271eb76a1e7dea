#include "decision/commitwatch.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// A commit takes some 5 to 25 ms with its confirmation, five times that at a slow server.
constexpr Duration stallTimeout = std::chrono::milliseconds(150);
// One probe takes a slot for up to 220 ms, until its server is known not to run it: with these, two
// slots keep three quarters of their time for reads.
constexpr Duration maxProbeInterval = std::chrono::milliseconds(400);
// The first ones come sooner: a connection that has gone silent looks the same, and the next
// commit, on another one, shows that nothing else hangs.
constexpr Duration initialProbeInterval = std::chrono::milliseconds(50);
// The replicas are looked at after 250 ms, and those that were stopped receive again 20 ms later.
constexpr Duration replacementTimeout = std::chrono::milliseconds(700);
// The last one has had its time, too.
constexpr Duration unansweredTimeout = std::chrono::milliseconds(150);
// One lost answer, or two, are no stall.
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
    // Those sent later have not had their time yet.
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
