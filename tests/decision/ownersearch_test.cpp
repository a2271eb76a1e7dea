#include "decision/ownersearch.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant(100s);

} // namespace

TEST_CASE("At first statements wait for as long as a takeover takes")
{
    OwnerSearch search;
    search.onStatementWaiting(start);
    CHECK(search.giveUpAt(start) >= start + 800ms);
    search.onStatementWaiting(start + 300ms);
    CHECK(search.giveUpAt(start + 300ms) >= start + 800ms);
    CHECK(search.giveUpAt(start + 300ms) <= start + 1s);
}

// A partitioned host must refuse early enough for the caller to retry through other hosts.
TEST_CASE("In a long search statements wait only briefly")
{
    OwnerSearch search;
    for (Duration at {0}; at < 6s; at += 20ms) {
        const Instant now = start + at;
        search.onStatementWaiting(now);
        if (at < 1s)
            continue;
        CHECK(search.giveUpAt(now) > now);
        // Three attempts fit in a deadline of 1,500 ms.
        CHECK(3 * (search.giveUpAt(now) - now) < 1500ms);
    }
}

TEST_CASE("An answer ends the search, and the next search has the whole takeover wait")
{
    OwnerSearch search;
    search.onStatementWaiting(start);
    search.onStatementWaiting(start + 1500ms);
    search.onOwnerAnswered();
    search.onStatementWaiting(start + 1600ms);
    CHECK(search.giveUpAt(start + 1600ms) >= start + 2400ms);
}

TEST_CASE("A search without statements for a long time starts again")
{
    OwnerSearch search;
    search.onStatementWaiting(start);
    search.onStatementWaiting(start + 1h);
    CHECK(search.giveUpAt(start + 1h) >= start + 1h + 800ms);
}
