#include "soak.h"

#include <catch2/catch.hpp>

using namespace kelptally;

// Schedules of soak_checker -k membership after whose faults no host served the group for 20 s.
// Each is a test of its own, so that KNOWN-RED.txt can name it and no other.
namespace {

void checkRecovers(std::uint64_t seed)
{
    const model::SoakResult result = model::runSoak(seed, model::SoakKind::Membership);
    INFO("first: " << (result.violations.empty() ? "none" : result.violations.front()));
    CHECK(result.violations.size() == 0);
    CHECK(result.recovered);
}

} // namespace

TEST_CASE("Schedule 1620 of changes of the servers")
{
    checkRecovers(1620);
}

TEST_CASE("Schedule 2048 of changes of the servers")
{
    checkRecovers(2048);
}

TEST_CASE("Schedule 3065 of changes of the servers")
{
    checkRecovers(3065);
}

TEST_CASE("Schedule 10009 of changes of the servers")
{
    checkRecovers(10009);
}

TEST_CASE("Schedule 10249 of changes of the servers")
{
    checkRecovers(10249);
}

TEST_CASE("Schedule 10272 of changes of the servers")
{
    checkRecovers(10272);
}

// It took 15.2 s: the owner that claimed last asked the one before it for its end each 200 ms and
// had no link with it, until that one's lease had run out. The hosts' links were at fault here, not
// the hosts: in the model a link that ended before it was up was not dialled again, as it is in
// service.
TEST_CASE("Schedule 20142 of changes of the servers")
{
    // The users' outer bound for service after the last fault.
    constexpr Duration bound = std::chrono::seconds(12);
    const model::SoakResult result = model::runSoak(20142, model::SoakKind::Membership);
    CHECK(result.violations.size() == 0);
    CHECK(result.recovered);
    CHECK(result.recovery <= bound);
}
