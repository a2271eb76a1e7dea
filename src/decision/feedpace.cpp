#include "decision/feedpace.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Changes within this time of each other come in a row, and then wait for each other so long. News
// of a configuration have three seconds, and owners are also learnt from other hosts.
constexpr Duration rowTime = std::chrono::seconds(1);
constexpr Duration rowPause = std::chrono::milliseconds(300);
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
    const bool pauses = inRow && busy_;
    busy_ = inRow;
    lastChanges_ = now;
    return pauses ? rowPause : Duration(0);
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
