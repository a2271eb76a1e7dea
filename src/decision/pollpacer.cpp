#include "decision/pollpacer.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Changes within this window of each other form a burst. The pause grows by burstPause with each
// change after the second, up to maxBurstLength times. The pause may delay changes: a configuration
// has three seconds to arrive, and owners are also learned from other hosts.
constexpr Duration burstWindow = std::chrono::milliseconds(1200);
constexpr Duration burstPause = std::chrono::milliseconds(300);
constexpr int maxBurstLength = 3;
// Time to detect a lost poll and to repeat it.
constexpr Duration retryAllowance = std::chrono::seconds(1);
// Time for the replacement of a leaving primary.
constexpr Duration replacementTime = std::chrono::seconds(4);
constexpr Duration minPollWait = std::chrono::milliseconds(500);
// Bounds the time until a dead connection is detected.
constexpr Duration maxPollWait = std::chrono::seconds(10);

} // namespace

Duration PollPacer::pauseAfterChanges(Instant now)
{
    const bool inBurst = now - lastChangesAt_ < burstWindow;
    lastChangesAt_ = now;
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
