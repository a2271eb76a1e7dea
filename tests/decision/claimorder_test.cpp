#include "decision/claimorder.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

Claimant host(double processors, bool near, std::size_t owned, double jitter = 0.5)
{
    Claimant claimant;
    claimant.jitter = jitter;
    claimant.inPrimaryZone = near;
    claimant.owned = owned;
    claimant.processors = processors;
    return claimant;
}

} // namespace

TEST_CASE("Equal hosts differ by their draw, and the one near the primary comes first")
{
    CHECK(claimDelay(host(0.25, true, 0, 0.0)) == Duration(0));
    CHECK(claimDelay(host(0.25, true, 0, 0.1)) < claimDelay(host(0.25, true, 0, 0.9)));
    CHECK(claimDelay(host(0.25, true, 0, 1.0)) < claimDelay(host(0.25, false, 0, 0.0)));
}

TEST_CASE("A host with groups claims after one without")
{
    CHECK(claimDelay(host(0.25, true, 2, 0.0)) > claimDelay(host(0.25, true, 0, 1.0)));
    // Also one of another zone, after three.
    CHECK(claimDelay(host(0.25, true, 3, 0.5)) > claimDelay(host(0.25, false, 0, 0.5)));
    CHECK(claimDelay(host(0.25, true, 1000)) == claimDelay(host(0.25, true, 4)));
}

// 77 hosts, eight with half a core, two of them in each zone; eight groups.
TEST_CASE("Hosts with room come before small ones, and share the groups")
{
    CHECK(claimDelay(host(0.5, true, 0, 1.0)) < claimDelay(host(0.12, true, 0, 0.0)));
    CHECK(claimDelay(host(0.5, false, 0, 0.1)) < claimDelay(host(0.12, true, 0, 0.0)));
    CHECK(claimDelay(host(0.5, true, 1, 0.5)) < claimDelay(host(0.12, true, 0, 0.5)));
    CHECK(claimDelay(host(0.5, true, 2, 0.5)) < claimDelay(host(0.25, true, 2, 0.5)));
}

TEST_CASE("No claim waits for long")
{
    CHECK(claimDelay(host(0.01, false, 1000, 1.0)) < 500ms);
}

TEST_CASE("Room follows processor time and the groups that a host has")
{
    CHECK(!hasRoom(0.12, 0));
    CHECK(hasRoom(0.25, 0));
    CHECK(!hasRoom(0.25, 1));
    CHECK(hasRoom(0.5, 1));
    CHECK(!hasRoom(0.5, 2));
}

TEST_CASE("Claims ahead of need are spread by the number of groups, hosts with room first")
{
    Claimant first;
    first.jitter = 0;
    Claimant last;
    last.jitter = 1;
    Claimant small;
    small.processors = 0.12;
    // Where there are few groups hardly anything changes.
    CHECK(proactiveClaimDelay(first, 3) == 0ms);
    CHECK(proactiveClaimDelay(last, 3) <= 20ms);
    CHECK(proactiveClaimDelay(small, 3) <= 20ms);
    // 155 hosts near 333 of 1,000 groups: the spread is longer than the news of a claim take.
    CHECK(proactiveClaimDelay(last, 1000) >= 1s);
    CHECK(proactiveClaimDelay(small, 1000) >= proactiveClaimDelay(last, 1000));
    CHECK(proactiveClaimDelay(small, 2000) == proactiveClaimDelay(small, 1000));
}
