#include "bench/relaymodel.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::bench;
using namespace std::chrono_literals;

namespace {

RelayPlan planOf(int hosts)
{
    RelayPlan plan;
    plan.hosts = hosts;
    return plan;
}

void checkBounds(const RelayPlan &plan)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        CAPTURE(seed);
        const RelayResult result = simulateRelays(plan, seed);
        CHECK(result.violations == std::vector<std::string>());
        CHECK(result.maxConfigurationDelay > 0ms);
        CHECK(result.maxConfigurationDelay < plan.configurationTime);
        CHECK(result.maxServerDelay < plan.leaveTime);
    }
}

} // namespace

TEST_CASE("Calls in steady state do not grow with hosts")
{
    const RelayResult small = simulateRelays(planOf(30), 1);
    const RelayResult large = simulateRelays(planOf(300), 1);
    CHECK(small.violations == std::vector<std::string>());
    CHECK(large.violations == std::vector<std::string>());
    CHECK(large.callsPerSecond < 1.5 * small.callsPerSecond);
    CHECK(large.pollingHosts <= 8);
    // Calls of the whole run.
    CHECK(large.callsAtStart + large.callsAfterStart < 3000);
    CHECK(large.maxCallsPerSecond < 2000);
}

TEST_CASE("Unaffected hosts know a change soon after it is made")
{
    const RelayResult result = simulateRelays(planOf(120), 2);
    CHECK(result.maxConfigurationDelay < 1500ms);
    CHECK(result.maxServerDelay < 200ms);
}

TEST_CASE("Bounds hold on every host when relays die, freeze or lose the store")
{
    for (const bool affectsAll : {false, true})
        for (const RelayFaultKind kind :
             {RelayFaultKind::Kill, RelayFaultKind::Freeze, RelayFaultKind::CutFromStore}) {
            CAPTURE(affectsAll);
            CAPTURE(int(kind));
            RelayPlan plan = planOf(40);
            plan.length = 50s;
            for (const Duration at : {14500ms, 16900ms, 26900ms, 31980ms})
                plan.faults.push_back({kind, at, 9s, affectsAll});
            checkBounds(plan);
        }
}

TEST_CASE("Hosts listen to their relay again after it has lost the store for a while")
{
    RelayPlan plan = planOf(40);
    plan.groups = 1;
    plan.length = 60s;
    plan.faults.push_back({RelayFaultKind::CutFromStore, 15s, 9s, true});
    const RelayResult result = simulateRelays(plan, 1);
    CHECK(result.violations == std::vector<std::string>());
    CHECK(result.pollingHosts <= 8);
}

TEST_CASE("Tight bounds hold with few hosts")
{
    for (const int hosts : {1, 2, 3, 8}) {
        CAPTURE(hosts);
        RelayPlan plan = planOf(hosts);
        plan.zones = 4;
        plan.groups = 3;
        plan.configurationTime = 3s;
        plan.leaveTime = 7s;
        plan.changePeriod = 3500ms;
        if (hosts == 8)
            plan.faults.push_back({RelayFaultKind::CutFromStore, 15900ms, 8s, false});
        checkBounds(plan);
    }
}

TEST_CASE("Hosts that lose all relays at once stay under the store's rate")
{
    RelayPlan plan = planOf(600);
    plan.groups = 100;
    plan.length = 36s;
    plan.faults.push_back({RelayFaultKind::Kill, 20s, 0s, true});
    const RelayResult result = simulateRelays(plan, 3);
    CHECK(result.violations == std::vector<std::string>());
    // The maximum is at the start, when each host reads three tables within 0.3 s.
    CHECK(result.maxCallsPerSecond < 2400);
}
