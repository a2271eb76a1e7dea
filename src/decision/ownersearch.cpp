#include "decision/ownersearch.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Longer than the detection of a lost owner and the takeover by its successor together. A lost
// owner is detected after 450 ms and replaced 100 to 200 ms later if the store answers.
constexpr Duration takeoverWait = std::chrono::milliseconds(900);
// Wait of a statement once the takeover wait is over. Three attempts of a caller fit in a deadline
// of 1,500 ms.
constexpr Duration shortWait = std::chrono::milliseconds(300);
// A search without waiting statements for this long is over; the next statement starts a new one.
constexpr Duration searchIdleTimeout = std::chrono::seconds(2);

} // namespace

void OwnerSearch::onStatementWaiting(Instant now)
{
    if (!searching_ || now - lastWaitAt_ > searchIdleTimeout) {
        searching_ = true;
        searchStartedAt_ = now;
    }
    lastWaitAt_ = now;
}

Instant OwnerSearch::giveUpAt(Instant arrived) const
{
    const Instant earliest = arrived + shortWait;
    return searching_ ? std::max(earliest, searchStartedAt_ + takeoverWait)
                      : earliest + takeoverWait;
}

} // namespace kelptally::decision
