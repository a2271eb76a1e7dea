#include "decision/claimorder.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

Claimant host(double processors, bool sameZone, std::size_t owned, double jitter = 0.5)
{
    Claimant claimant;
    claimant.jitter = jitter;
    claimant.inPrimaryZone = sameZone;
    claimant.owned = owned;
    claimant.processors = processors;
    return claimant;
}

} // namespace

TEST_CASE("Equal hosts differ by their jitter and hosts in the primary's zone claim first")
{
    CHECK(claimDelay(host(0.25, true, 0, 0.0)) == Duration(0));
    CHECK(claimDelay(host(0.25, true, 0, 0.1)) < claimDelay(host(0.25, true, 0, 0.9)));
    CHECK(claimDelay(host(0.25, true, 0, 1.0)) < claimDelay(host(0.25, false, 0, 0.0)));
}

TEST_CASE("A host that owns groups claims after a host without groups")
{
    CHECK(claimDelay(host(0.25, true, 2, 0.0)) > claimDelay(host(0.25, true, 0, 1.0)));
    // Also after a host of another zone.
    CHECK(claimDelay(host(0.25, true, 3, 0.5)) > claimDelay(host(0.25, false, 0, 0.5)));
    CHECK(claimDelay(host(0.25, true, 1000)) == claimDelay(host(0.25, true, 4)));
}

TEST_CASE("Hosts with spare capacity claim before small hosts and share the groups")
{
    CHECK(claimDelay(host(0.5, true, 0, 1.0)) < claimDelay(host(0.12, true, 0, 0.0)));
    CHECK(claimDelay(host(0.5, false, 0, 0.1)) < claimDelay(host(0.12, true, 0, 0.0)));
    CHECK(claimDelay(host(0.5, true, 1, 0.5)) < claimDelay(host(0.12, true, 0, 0.5)));
    CHECK(claimDelay(host(0.5, true, 2, 0.5)) < claimDelay(host(0.25, true, 2, 0.5)));
}

TEST_CASE("The delay of a claim is bounded")
{
    CHECK(claimDelay(host(0.01, false, 1000, 1.0)) < 500ms);
}

TEST_CASE("Spare capacity depends on processor cores and owned groups")
{
    CHECK(!hasCapacity(0.12, 0));
    CHECK(hasCapacity(0.25, 0));
    CHECK(!hasCapacity(0.25, 1));
    CHECK(hasCapacity(0.5, 1));
    CHECK(!hasCapacity(0.5, 2));
}

TEST_CASE("Proactive claims are spread by the number of groups, hosts with spare capacity first")
{
    Claimant first;
    first.jitter = 0;
    Claimant last;
    last.jitter = 1;
    Claimant small;
    small.processors = 0.12;
    // With few groups the delay is negligible.
    CHECK(proactiveClaimDelay(first, 3) == 0ms);
    CHECK(proactiveClaimDelay(last, 3) <= 20ms);
    CHECK(proactiveClaimDelay(small, 3) <= 20ms);
    // With many groups the claims are spread over longer than it takes to announce an owner.
    CHECK(proactiveClaimDelay(last, 1000) >= 1s);
    CHECK(proactiveClaimDelay(small, 1000) >= proactiveClaimDelay(last, 1000));
    CHECK(proactiveClaimDelay(small, 2000) == proactiveClaimDelay(small, 1000));
}
