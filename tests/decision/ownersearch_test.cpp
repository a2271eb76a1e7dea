#include "decision/ownersearch.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant(100s);

} // namespace

TEST_CASE("Statements wait for as long as a takeover takes")
{
    OwnerSearch search;
    search.onStatementWaiting(start);
    CHECK(search.giveUpAt(start) >= start + 800ms);
    search.onStatementWaiting(start + 300ms);
    CHECK(search.giveUpAt(start + 300ms) >= start + 800ms);
    CHECK(search.giveUpAt(start + 300ms) <= start + 1s);
}

// A host without owner and store for six seconds, a statement every 20 ms.
TEST_CASE("In a long search each waits a moment only, so that its repeat meets other hosts in time")
{
    OwnerSearch search;
    for (Duration at {0}; at < 6s; at += 20ms) {
        const Instant now = start + at;
        search.onStatementWaiting(now);
        if (at < 1s)
            continue;
        CHECK(search.giveUpAt(now) > now);
        // Three such attempts fit the shortest deadline.
        CHECK(3 * (search.giveUpAt(now) - now) < 1500ms);
    }
}

TEST_CASE("An answer ends the search, and the next one has its whole time")
{
    OwnerSearch search;
    search.onStatementWaiting(start);
    search.onStatementWaiting(start + 1500ms);
    search.onOwnerAnswered();
    search.onStatementWaiting(start + 1600ms);
    CHECK(search.giveUpAt(start + 1600ms) >= start + 2400ms);
}

TEST_CASE("What was searched for long ago is searched for anew")
{
    OwnerSearch search;
    search.onStatementWaiting(start);
    search.onStatementWaiting(start + 1h);
    CHECK(search.giveUpAt(start + 1h) >= start + 1h + 800ms);
}
