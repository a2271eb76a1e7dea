#include "soak.h"

#include <catch2/catch.hpp>

using namespace kelptally;

// Schedules of `soak_checker -k membership` after which no host served the group again. Each is a
// separate test, so that KNOWN-RED.txt can list it alone.
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

// Guards against slow recovery when a link is closed before it is up and is not dialled again.
TEST_CASE("Schedule 20142 of changes of the servers")
{
    // Longest acceptable recovery after the last fault.
    constexpr Duration bound = std::chrono::seconds(12);
    const model::SoakResult result = model::runSoak(20142, model::SoakKind::Membership);
    CHECK(result.violations.size() == 0);
    CHECK(result.recovered);
    CHECK(result.recovery <= bound);
}
