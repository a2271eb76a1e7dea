#include "checkersimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace kelptally;
using namespace kelptally::decision;

namespace {

// Number of schedules in this test; decision_checker runs any number.
constexpr std::uint64_t scheduleCount = 1500;
// Number of schedules in which a violation must be found while a check is disabled.
constexpr std::uint64_t searchLimit = 3000;

bool isViolated(std::uint64_t seed, const CheckerOptions &options)
{
    return !runSchedule(randomSchedule(seed), options).violation.empty();
}

// Returns a seed whose schedule violates an invariant, if there is one. Tries the known seed first.
std::optional<std::uint64_t> findViolation(std::uint64_t knownSeed, const CheckerOptions &options)
{
    if (isViolated(knownSeed, options))
        return knownSeed;
    for (std::uint64_t seed = 1; seed <= searchLimit; ++seed) {
        if (isViolated(seed, options))
            return seed;
    }
    return std::nullopt;
}

rc::Gen<Schedule> anySchedule()
{
    const auto number = rc::gen::arbitrary<std::uint32_t>();
    const auto fault = rc::gen::apply(makeFault, number, number, number, number);
    const auto build = [](std::uint32_t seed, bool four, std::vector<Fault> faults) {
        return Schedule {seed, four ? 4 : 3, std::move(faults)};
    };
    return rc::gen::apply(build, number, rc::gen::arbitrary<bool>(),
                          rc::gen::container<std::vector<Fault>>(fault));
}

} // namespace

TEST_CASE("No random fault schedule violates an invariant", "[checker]")
{
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        const Schedule schedule = randomSchedule(seed);
        const CheckerResult result = runSchedule(schedule);
        INFO(toText(schedule));
        REQUIRE(result.violation == "");
        REQUIRE(result.acknowledged > 0);
    }
}

// The seed comes from RC_PARAMS, which CMakeLists.txt sets. RapidCheck shrinks and prints a
// failure.
TEST_CASE("No generated fault schedule violates an invariant", "[checker]")
{
    const bool passed = rc::check("invariants hold", [] {
        const Schedule schedule = *anySchedule();
        RC_LOG(toText(schedule));
        RC_ASSERT(runSchedule(schedule).violation == std::string());
    });
    CHECK(passed);
}

TEST_CASE("A schedule and its text form reproduce the same run", "[checker]")
{
    const Schedule schedule = randomSchedule(77);
    const auto again = scheduleFromText(toText(schedule));
    REQUIRE(again);
    CHECK(toText(*again) == toText(schedule));
    const CheckerResult first = runSchedule(schedule);
    const CheckerResult second = runSchedule(*again);
    CHECK(first.acknowledged == second.acknowledged);
    CHECK(first.claims == second.claims);
    CHECK(first.resumedAfter == second.resumedAfter);
    CHECK_FALSE(scheduleFromText("at 5 no-such-fault 1 2 3\n"));
    CHECK_FALSE(scheduleFromText("seed 4\nat 5 store-down\n"));
}

// Mutation tests: with any of these checks disabled, the checker must find a violation.

TEST_CASE("Without the lease check two processes own a group", "[checker]")
{
    CheckerOptions options;
    options.ownership.lease = false;
    CHECK(findViolation(18, options));
}

TEST_CASE("Without the incarnation check a restarted process violates an invariant", "[checker]")
{
    CheckerOptions options;
    options.ownership.incarnation = false;
    CHECK(findViolation(35, options));
}

TEST_CASE("Without the fence a replaced owner's write takes effect", "[checker]")
{
    CheckerOptions options;
    options.failover.fence = false;
    CHECK(findViolation(2038, options));
}

TEST_CASE("Without the majority rule an acknowledged write is lost", "[checker]")
{
    CheckerOptions options;
    options.requireMajority = false;
    CHECK(findViolation(43, options));
}
