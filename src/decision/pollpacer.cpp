#include "decision/pollpacer.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Changes within this time of each other come in a row, and then wait for each other: first so
// long, and longer the longer the row. News of a configuration have three seconds, and owners are
// also learnt from other hosts.
constexpr Duration burstWindow = std::chrono::milliseconds(1200);
constexpr Duration burstPause = std::chrono::milliseconds(300);
constexpr int maxBurstLength = 3;
// To notice a lost question and to ask again.
constexpr Duration retryAllowance = std::chrono::seconds(1);
// What is left to a leaving primary for its replacement.
constexpr Duration replacementTime = std::chrono::seconds(4);
constexpr Duration minPollWait = std::chrono::milliseconds(500);
// Silence of a connection is noticed no later than this after it began.
constexpr Duration maxPollWait = std::chrono::seconds(10);

} // namespace

Duration PollPacer::pauseAfterChanges(Instant now)
{
    const bool inBurst = now - lastChangesAt_ < burstWindow;
    lastChangesAt_ = now;
    // The first two come by themselves.
    burstLength_ = inBurst ? std::min(burstLength_ + 1, maxBurstLength + 1) : 0;
    return burstLength_ < 2 ? Duration(0) : (burstLength_ - 1) * burstPause;
}

Duration pollWaitWithin(Duration bound)
{
    return std::clamp(bound - retryAllowance, minPollWait, maxPollWait);
}

Duration pollWaitForLeaving(Duration leaveTime)
{
    return std::clamp(leaveTime - replacementTime, minPollWait, maxPollWait);
}

} // namespace kelptally::decision
