#include "bench/relaymodel.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::bench;
using namespace std::chrono_literals;

namespace {

RelayPlan planWithin(Duration bound)
{
    RelayPlan plan;
    plan.hosts = 40;
    plan.zones = 4;
    plan.groups = 8;
    plan.configurationTime = bound;
    plan.leaveTime = bound + 5s;
    plan.changePeriod = 330ms;
    plan.length = 60s;
    return plan;
}

// Adds a fault at several moments, with different distances to the polls.
void addSeries(RelayPlan &plan, RelayFault fault)
{
    for (const Duration at : {15100ms, 23470ms, 32010ms, 40330ms}) {
        fault.at = at;
        plan.faults.push_back(fault);
    }
}

void checkBounds(const RelayPlan &plan)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        const RelayResult result = simulateRelays(plan, seed);
        CHECK(result.violations == std::vector<std::string>());
        CHECK(result.maxConfigurationDelay > 0ms);
    }
}

const std::vector<Duration> bounds = {3s, 5s, 6s, 8s};

} // namespace

TEST_CASE("A configuration is in force in time when connections to the store go silent")
{
    for (const Duration bound : bounds)
        for (const bool affectsAll : {true, false}) {
            CAPTURE(bound / 1s, affectsAll);
            RelayPlan plan = planWithin(bound);
            addSeries(plan, {RelayFaultKind::SilentStore, 0s, 0s, affectsAll});
            checkBounds(plan);
        }
}

TEST_CASE("A configuration is in force in time when relays are lost on silent connections")
{
    for (const Duration bound : bounds)
        for (const RelayFaultKind kind :
             {RelayFaultKind::Kill, RelayFaultKind::Freeze, RelayFaultKind::CutFromStore}) {
            CAPTURE(bound / 1s, int(kind));
            RelayPlan plan = planWithin(bound);
            addSeries(plan, {RelayFaultKind::SilentStore, 0s, 0s, true});
            addSeries(plan, {kind, 0s, 6s, true});
            checkBounds(plan);
        }
}

TEST_CASE("A configuration is in force in time when links and connections to the store go silent")
{
    for (const Duration bound : bounds) {
        CAPTURE(bound / 1s);
        RelayPlan plan = planWithin(bound);
        addSeries(plan, {RelayFaultKind::SilentStore, 0s, 0s, true});
        addSeries(plan, {RelayFaultKind::SilentLinks, 0s, 0s, true});
        checkBounds(plan);
    }
}

TEST_CASE("A host that follows the tables itself has a configuration in time on silent connections")
{
    RelayPlan plan = planWithin(5s);
    plan.hosts = 6;
    plan.groups = 0;
    addSeries(plan, {RelayFaultKind::SilentStore, 0s, 0s, true});
    checkBounds(plan);
}
