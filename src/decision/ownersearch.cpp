#include "decision/ownersearch.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// A lost owner is noticed after 450 ms and followed 100 to 200 ms later, where the store answers.
constexpr Duration takeoverWait = std::chrono::milliseconds(900);
// Of a statement that arrives later: three attempts of a caller take under a second of the shortest
// deadline in use, 1,500 ms, and meet up to three hosts.
constexpr Duration shortWait = std::chrono::milliseconds(300);
// Without a statement for this long nothing is known of the search any more.
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
