#include "decision/commitwatch.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// A commit takes some 5 to 25 ms with its confirmation, five times that at a slow server.
constexpr Duration stalledAfter = std::chrono::milliseconds(150);
// One probe takes a slot for up to 220 ms, until its server is known not to run it: with these, two
// slots keep three quarters of their time for reads.
constexpr Duration longestProbePause = std::chrono::milliseconds(400);
// The first ones come sooner: a connection that has gone silent looks the same, and the next
// commit, on another one, shows that nothing else hangs.
constexpr Duration firstProbePause = std::chrono::milliseconds(50);
// The replicas are looked at after 250 ms, and those that were stopped receive again 20 ms later.
constexpr Duration replaceAfter = std::chrono::milliseconds(700);
// The last one has had its time, too.
constexpr Duration lastAnswerTime = std::chrono::milliseconds(150);
// One lost answer, or two, are no stall.
constexpr int leastOpen = 3;

} // namespace

void CommitWatch::sent(Instant now)
{
    if (isStalled(now))
        probePause_ = std::min(2 * probePause_, longestProbePause);
    else
        probePause_ = firstProbePause;
    if (!first_)
        first_ = now;
    last_ = now;
    ++open_;
}

void CommitWatch::answered(Instant sentAt)
{
    if (sentAt < answeredSentAt_)
        return;
    answeredSentAt_ = sentAt;
    // Those sent later have not had their time yet.
    if (!first_ || sentAt < *first_)
        return;
    if (last_ <= sentAt) {
        first_.reset();
        open_ = 0;
        return;
    }
    first_ = last_;
    open_ = 1;
}

void CommitWatch::reset()
{
    *this = CommitWatch();
}

bool CommitWatch::isStalled(Instant now) const
{
    return first_ && now - *first_ >= stalledAfter;
}

bool CommitWatch::maySend(Instant now) const
{
    return !isStalled(now) || now - last_ >= probePause_;
}

bool CommitWatch::replacementDue(Instant now) const
{
    return first_ && open_ >= leastOpen && now - *first_ >= replaceAfter
        && now - last_ >= lastAnswerTime;
}

} // namespace kelptally::decision
