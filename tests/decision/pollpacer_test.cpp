#include "decision/pollpacer.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant(100s);

} // namespace

TEST_CASE("Isolated changes cause no pause")
{
    PollPacer pacer;
    for (int i = 0; i < 10; ++i)
        CHECK(pacer.pauseAfterChanges(start + i * 1500ms) == Duration(0));
}

// Each of many changes in quick succession must not cost a poll.
TEST_CASE("Polls during a burst of changes are paused")
{
    PollPacer pacer;
    int calls = 0;
    Duration at {0};
    while (at < 4s) {
        ++calls;
        at += 10ms;
        at += pacer.pauseAfterChanges(start + at);
        // Time of the next change.
        at = (at / 160ms + 1) * 160ms;
    }
    // Without pauses there would be 25.
    CHECK(calls <= 8);
    CHECK(pacer.pauseAfterChanges(start + at + 2s) == Duration(0));
}

TEST_CASE("The wait of a poll is shorter than the bound for its changes")
{
    CHECK(pollWaitWithin(3s) == 2s);
    CHECK(pollWaitWithin(5s) == 4s);
    CHECK(pollWaitWithin(1s) > Duration(0));
    CHECK(pollWaitForLeaving(7s) == 3s);
    CHECK(pollWaitForLeaving(10s) == 6s);
    CHECK(pollWaitForLeaving(1s) > Duration(0));
    CHECK(pollWaitWithin(1h) <= 10s);
}
