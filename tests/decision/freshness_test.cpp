#include "decision/freshness.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};

Instant at(Duration offset)
{
    return start + offset;
}

} // namespace

TEST_CASE("The age of a replica is that of the newest sample it has applied")
{
    Freshness freshness;
    CHECK_FALSE(freshness.age("b", start));
    freshness.onPrimarySample(at(0ms), {1, 10});
    freshness.onPrimarySample(at(50ms), {1, 20});
    freshness.onReplicaReport("b", {1, 9});
    CHECK_FALSE(freshness.age("b", at(60ms)));
    freshness.onReplicaReport("b", {1, 19});
    CHECK(freshness.age("b", at(60ms)) == 60ms);
    freshness.onReplicaReport("b", {1, 20});
    CHECK(freshness.age("b", at(60ms)) == 10ms);
    CHECK(freshness.applied("b") == Position {1, 20});
}

TEST_CASE("Replicas stay fresh while an idle primary is sampled and age without samples")
{
    Freshness freshness;
    freshness.onPrimarySample(at(0ms), {1, 10});
    freshness.onReplicaReport("b", {1, 10});
    for (int i = 1; i <= 20; ++i)
        freshness.onPrimarySample(at(i * 50ms), {1, 10});
    CHECK(freshness.age("b", at(1s)) == 0ms);
    CHECK(freshness.age("b", at(4s)) == 3s);
}

TEST_CASE("A replica that stops applying ages while the primary advances")
{
    Freshness freshness;
    for (int i = 0; i < 10000; ++i) {
        freshness.onPrimarySample(at(i * 10ms), {1, 100u + i});
        if (i <= 10)
            freshness.onReplicaReport("stopped", {1, 100u + i});
        freshness.onReplicaReport("live", {1, 100u + i});
    }
    CHECK(freshness.age("stopped", at(100s)) == 100s - 100ms);
    CHECK(freshness.age("live", at(100s)) == 10ms);
}

TEST_CASE("Lag is the delay of a replica at its last report")
{
    Freshness freshness;
    freshness.onPrimarySample(at(0ms), {1, 10});
    freshness.onReplicaReport("b", {1, 10});
    CHECK(freshness.lag("b") == 0ms);
    freshness.onPrimarySample(at(50ms), {1, 20});
    CHECK(freshness.lag("b") == 0ms);
    freshness.onReplicaReport("b", {1, 15});
    CHECK(freshness.lag("b") == 50ms);
    freshness.onReplicaReport("b", {1, 20});
    CHECK(freshness.lag("b") == 0ms);
}

TEST_CASE("Thinning samples never underestimates the age")
{
    Freshness freshness;
    constexpr int count = 5000;
    for (int i = 0; i < count; ++i)
        freshness.onPrimarySample(at(i * 1ms), {1, static_cast<LogOffset>(i)});
    for (int i = 0; i < count; i += 7) {
        freshness.forget("b");
        freshness.onReplicaReport("b", {1, static_cast<LogOffset>(i)});
        REQUIRE(freshness.age("b", at(10s)));
        CHECK(*freshness.age("b", at(10s)) >= 10s - i * 1ms);
    }
}

TEST_CASE("Samples that arrive out of order give the same bounds")
{
    Freshness freshness;
    freshness.onPrimarySample(at(100ms), {1, 30});
    freshness.onPrimarySample(at(0ms), {1, 10});
    freshness.onPrimarySample(at(50ms), {1, 20});
    freshness.onPrimarySample(at(40ms), {1, 20});
    freshness.onReplicaReport("b", {1, 25});
    CHECK(freshness.age("b", at(100ms)) == 50ms);
}

TEST_CASE("A rebuilt replica that returns with a lower position is older again")
{
    Freshness freshness;
    freshness.onPrimarySample(at(0ms), {1, 10});
    freshness.onPrimarySample(at(50ms), {1, 20});
    freshness.onReplicaReport("b", {1, 20});
    freshness.onReplicaReport("b", {1, 12});
    CHECK(freshness.age("b", at(50ms)) == 50ms);
    CHECK(freshness.applied("b") == Position {1, 12});
    freshness.onReplicaReport("b", {1, 3});
    CHECK_FALSE(freshness.age("b", at(50ms)));
}

TEST_CASE("After a failover a replica ahead of the new history is not usable")
{
    Freshness freshness;
    freshness.onNewTerm(1, {{1, 0}});
    freshness.onPrimarySample(at(0ms), {1, 10});
    freshness.onReplicaReport("ahead", {1, 25});
    freshness.onReplicaReport("level", {1, 19});
    freshness.onPrimarySample(at(50ms), {1, 15});
    freshness.onPrimarySample(at(60ms), {1, 24});

    freshness.onNewTerm(2, {{1, 0}, {2, 20}});
    CHECK_FALSE(freshness.age("ahead", at(100ms)));
    CHECK_FALSE(freshness.applied("ahead"));
    CHECK(freshness.age("level", at(100ms)) == 50ms);
    CHECK(freshness.applied("level") == Position {1, 19});

    // Samples of the old primary past the start of the new term are dropped.
    freshness.onReplicaReport("level", {2, 20});
    CHECK(freshness.age("level", at(100ms)) == 50ms);
    freshness.onPrimarySample(at(90ms), {2, 20});
    CHECK(freshness.age("level", at(100ms)) == 10ms);
    // Late answers of the old primary are ignored.
    freshness.onPrimarySample(at(99ms), {1, 26});
    CHECK(freshness.age("level", at(100ms)) == 10ms);

    // The replica is usable again once it follows the new primary.
    freshness.onReplicaReport("ahead", {2, 21});
    CHECK(freshness.age("ahead", at(100ms)) == 10ms);
}

TEST_CASE("A replica of an unknown newer term is not usable")
{
    Freshness freshness;
    freshness.onNewTerm(2, {{1, 0}, {2, 20}});
    freshness.onPrimarySample(at(0ms), {2, 22});
    freshness.onReplicaReport("b", {3, 30});
    CHECK_FALSE(freshness.age("b", at(1ms)));
    CHECK_FALSE(freshness.applied("b"));
}

TEST_CASE("After two failovers only positions in the common history are usable")
{
    Freshness freshness;
    freshness.onNewTerm(3, {{1, 0}, {2, 20}, {3, 30}});
    freshness.onPrimarySample(at(0ms), {3, 31});
    freshness.onReplicaReport("b", {1, 19});
    CHECK(freshness.applied("b"));
    freshness.onReplicaReport("c", {1, 20});
    CHECK_FALSE(freshness.applied("c"));
    freshness.onReplicaReport("d", {2, 29});
    CHECK(freshness.applied("d"));
    freshness.onReplicaReport("e", {2, 30});
    CHECK_FALSE(freshness.applied("e"));
}

TEST_CASE("The end of the old log labelled with the new term counts as the old term's position")
{
    Freshness freshness;
    freshness.onNewTerm(2, {{1, 0}, {2, 20}});
    freshness.onPrimarySample(at(0ms), {2, 19});
    freshness.onReplicaReport("b", {1, 19});
    CHECK(freshness.age("b", at(5ms)) == 5ms);
}
