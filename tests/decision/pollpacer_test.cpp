#include "decision/pollpacer.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant(100s);

} // namespace

TEST_CASE("Changes that come by themselves are told at once")
{
    PollPacer pacer;
    for (int i = 0; i < 10; ++i)
        CHECK(pacer.pauseAfterChanges(start + i * 1500ms) == Duration(0));
}

// 24 servers register within four seconds; each answer comes with the next change.
TEST_CASE("Changes in a row wait for each other")
{
    PollPacer pacer;
    int calls = 0;
    Duration at {0};
    while (at < 4s) {
        ++calls;
        at += 10ms;
        at += pacer.pauseAfterChanges(start + at);
        // The next change.
        at = (at / 160ms + 1) * 160ms;
    }
    // 25 without a pause.
    CHECK(calls <= 8);
    CHECK(pacer.pauseAfterChanges(start + at + 2s) == Duration(0));
}

TEST_CASE("A question stays open for less than what it tells may take")
{
    CHECK(pollWaitWithin(3s) == 2s);
    CHECK(pollWaitWithin(5s) == 4s);
    CHECK(pollWaitWithin(1s) > Duration(0));
    CHECK(pollWaitForLeaving(7s) == 3s);
    CHECK(pollWaitForLeaving(10s) == 6s);
    CHECK(pollWaitForLeaving(1s) > Duration(0));
    CHECK(pollWaitWithin(1h) <= 10s);
}
