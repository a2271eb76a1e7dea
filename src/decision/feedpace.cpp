#include "decision/feedpace.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Changes within this time of each other come in a row, and then wait for each other: first so
// long, and longer the longer the row. News of a configuration have three seconds, and owners are
// also learnt from other hosts.
constexpr Duration rowTime = std::chrono::milliseconds(1200);
constexpr Duration rowPause = std::chrono::milliseconds(300);
constexpr int longestRow = 3;
// To notice a lost question and to ask again.
constexpr Duration repeatTime = std::chrono::seconds(1);
// What is left to a leaving primary for its replacement.
constexpr Duration replaceTime = std::chrono::seconds(4);
constexpr Duration shortestWait = std::chrono::milliseconds(500);
// Silence of a connection is noticed no later than this after it began.
constexpr Duration longestWait = std::chrono::seconds(10);

} // namespace

Duration FeedPace::pauseAfterChanges(Instant now)
{
    const bool inRow = now - lastChanges_ < rowTime;
    lastChanges_ = now;
    // The first two come by themselves.
    row_ = inRow ? std::min(row_ + 1, longestRow + 1) : 0;
    return row_ < 2 ? Duration(0) : (row_ - 1) * rowPause;
}

Duration feedWaitWithin(Duration bound)
{
    return std::clamp(bound - repeatTime, shortestWait, longestWait);
}

Duration feedWaitForLeaving(Duration leaveTime)
{
    return std::clamp(leaveTime - replaceTime, shortestWait, longestWait);
}

} // namespace kelptally::decision
