#include "decision/positionrouting.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant(100s);

// The primary reported position n at start + n * 20 ms.
PositionLog sampledLog()
{
    PositionLog log;
    for (std::uint64_t n = 1; n <= 100; ++n)
        log.add(start + n * 20ms, {1, n});
    return log;
}

ReadCandidate replica(std::uint64_t position, Instant at)
{
    ReadCandidate state;
    state.available = true;
    state.reachable = true;
    state.slots = 2;
    state.position = Position {1, position};
    state.positionAt = at;
    return state;
}

ReadCandidate primary()
{
    ReadCandidate state = replica(100, start + 2s);
    state.primary = true;
    return state;
}

} // namespace

TEST_CASE("The required position follows from the freshness requirement")
{
    const PositionLog log = sampledLog();
    const Instant now = start + 2s;
    FreshnessRequirement bound;
    bound.newest = true;
    CHECK(requiredPosition(log, bound, now, now) == log.newest());
    bound.newest = false;
    bound.maxAge = 1s;
    const auto aged = requiredPosition(log, bound, now, now);
    REQUIRE(aged);
    CHECK(Position {1, 49} < *aged);
    CHECK(*aged < *log.newest());
    bound.ownWrites = Position {1, 90};
    CHECK(requiredPosition(log, bound, now, now) == bound.ownWrites);
    // Without a newer probe only the primary is known to be fresh enough.
    bound.maxAge = Duration(0);
    CHECK_FALSE(requiredPosition(log, bound, now + 1s, now + 1s));
}

TEST_CASE("Replicas that hold the position are preferred to the primary until they are busier")
{
    const PositionLog log = sampledLog();
    const Instant now = start + 2s;
    std::vector<ReadCandidate> servers {primary(), replica(60, now), replica(60, now)};
    CHECK(chooseReader(servers, log, Position {1, 50}, false, now) == 1u);
    servers[1].inFlight = 1;
    CHECK(chooseReader(servers, log, Position {1, 50}, false, now) == 2u);
    servers[2].inFlight = 1;
    CHECK(chooseReader(servers, log, Position {1, 50}, false, now) == 0u);
}

TEST_CASE("A lagging replica gets only reads whose position it holds")
{
    const PositionLog log = sampledLog();
    const Instant now = start + 2s;
    std::vector<ReadCandidate> servers {primary(), replica(10, now), replica(10, now)};
    for (ReadCandidate &server : servers)
        server.lag = server.primary ? Duration(0) : 3s;
    CHECK(chooseReader(servers, log, Position {1, 90}, false, now) == 0u);
    CHECK(chooseReader(servers, log, Position {1, 9}, false, now) != 0u);
    // The read waits if the primary has no free slot.
    servers[0].available = false;
    CHECK_FALSE(chooseReader(servers, log, Position {1, 90}, false, now));
}

TEST_CASE("A replica without a recent report is tried, but not right after a refusal")
{
    const PositionLog log = sampledLog();
    const Instant now = start + 2s;
    std::vector<ReadCandidate> servers {replica(10, now - 100ms)};
    CHECK(chooseReader(servers, log, Position {1, 90}, false, now) == 0u);
    servers[0].laggingUntil = now + 10ms;
    CHECK_FALSE(chooseReader(servers, log, Position {1, 90}, false, now));
}

TEST_CASE("Leaving, unreachable and failed servers are chosen last or not at all")
{
    const PositionLog log = sampledLog();
    const Instant now = start + 2s;
    const Position needed {1, 50};
    std::vector<ReadCandidate> servers {replica(60, now), replica(60, now)};
    servers[0].leaving = true;
    CHECK(chooseReader(servers, log, needed, false, now) == 1u);
    servers[1].leaving = true;
    CHECK(chooseReader(servers, log, needed, false, now) == 0u);
    servers[0].departed = true;
    CHECK(chooseReader(servers, log, needed, false, now) == 1u);
    servers = {replica(60, now), replica(60, now)};
    servers[0].failedBefore = true;
    CHECK(chooseReader(servers, log, needed, false, now) == 1u);
    servers[1].reachable = false;
    CHECK(chooseReader(servers, log, needed, false, now) == 0u);
}

TEST_CASE("A primary that is about to be replaced gets no reads")
{
    const PositionLog log = sampledLog();
    const std::vector<ReadCandidate> servers {primary()};
    CHECK(chooseReader(servers, log, std::nullopt, false, start + 2s) == 0u);
    CHECK_FALSE(chooseReader(servers, log, std::nullopt, true, start + 2s));
}

TEST_CASE("A leaving server gets no statements shortly before its leave time ends")
{
    CHECK_FALSE(hasLeft(start, 7s, start + 6s));
    CHECK(hasLeft(start, 7s, start + 6600ms));
    CHECK(hasLeft(Instant(), 7s, start));
}
