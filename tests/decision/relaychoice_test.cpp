#include "decision/pollpacer.h"
#include "decision/relaychoice.h"
#include "decision/storehealth.h"

#include <catch2/catch.hpp>

#include <set>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

std::vector<RelayCandidate> owners(int count, int zones)
{
    std::vector<RelayCandidate> all;
    for (int i = 0; i < count; ++i)
        all.push_back({"10.0." + std::to_string(i) + ".1:7000", "z" + std::to_string(i % zones)});
    return all;
}

std::string zoneOf(const std::vector<RelayCandidate> &all, const std::string &address)
{
    for (const RelayCandidate &candidate : all)
        if (candidate.address == address)
            return candidate.zone;
    return {};
}

} // namespace

TEST_CASE("Hosts choose one relay per zone, their own zone's first")
{
    for (const int count : {6, 20, 200}) {
        const auto all = owners(count, 6);
        std::set<std::string> used;
        for (int zone = 0; zone < 6; ++zone) {
            const auto chosen = chooseRelays(all, "z" + std::to_string(zone), 2);
            REQUIRE(chosen.size() == 2);
            CHECK(zoneOf(all, chosen[0]) == "z" + std::to_string(zone));
            CHECK(zoneOf(all, chosen[1]) != zoneOf(all, chosen[0]));
            used.insert(chosen.begin(), chosen.end());
        }
        CHECK(used.size() == 6);
    }
}

TEST_CASE("The choice is independent of input order and works for a zone without candidates")
{
    auto all = owners(12, 3);
    const auto chosen = chooseRelays(all, "elsewhere", 2);
    CHECK(chosen.size() == 2);
    std::reverse(all.begin(), all.end());
    CHECK(chooseRelays(all, "elsewhere", 2) == chosen);
    // Candidates of unknown zone come last.
    all.push_back({"unknown:1", ""});
    CHECK(chooseRelays(all, "elsewhere", 2) == chosen);
    CHECK(chooseRelays({{"unknown:1", ""}}, "z", 2) == std::vector<std::string> {"unknown:1"});
    CHECK(chooseRelays({}, "z", 2).empty());
}

// A relay with a slow link would delay updates to all its subscribers.
TEST_CASE("Candidates with capacity come before others of their zone")
{
    auto all = owners(60, 6);
    for (int zone = 0; zone < 6; ++zone) {
        const std::string name = "z" + std::to_string(zone);
        const std::string before = chooseRelays(all, name, 2).front();
        std::string withCapacity;
        for (RelayCandidate &candidate : all)
            if (candidate.zone == name && candidate.address != before && withCapacity.empty()) {
                candidate.hasCapacity = true;
                withCapacity = candidate.address;
            }
        CHECK(chooseRelays(all, name, 2).front() == withCapacity);
    }
}

// The sum of what can happen to a change that is made right after the last confirmation.
TEST_CASE("The read of an old state leaves time for a lost answer within the bound")
{
    for (const Duration bound : {3s, 5s, 6s, 8s, 18s}) {
        CAPTURE(bound / 1s);
        const Duration wait = pollWaitWithin(bound);
        StoreHealth health;
        const Instant now {1h};
        const Duration lostAnswer = health.callTimeout();
        health.onTimeout(now);
        const Duration newConnection = health.retryDelay(now, 1);
        // The rows on a slow link, and their installation on a small host.
        const Duration transfer = bound / 5;
        CHECK(maxConfirmationAge(wait, 1) + lostAnswer + newConnection + transfer <= bound);
    }
}

TEST_CASE("A subscriber polls after its relay's next answer is due and before the bound")
{
    for (const Duration wait : {2s, 5s, 6s, 10s}) {
        for (const double draw : {0.0, 0.5, 1.0}) {
            CHECK(relayPollWait(wait) < maxConfirmationAge(wait, draw));
            CHECK(maxConfirmationAge(wait, draw) < wait);
        }
        CHECK(maxConfirmationAge(wait, 0) < maxConfirmationAge(wait, 1));
    }
    CHECK(relayPollWait(400ms) == 400ms);
    CHECK(relayDiscoveryDelay(20s, 1, false) <= 6s);
    CHECK(relayDiscoveryDelay(2s, 0, true) == 0s);
    // Hosts with capacity search first.
    CHECK(relayDiscoveryDelay(2s, 0.5, true) < relayDiscoveryDelay(2s, 0, false));
    CHECK(relayDiscoveryDelay(2s, 1, true) < relayDiscoveryDelay(2s, 0.5, false));
    // Spread in time even if all hosts have capacity.
    CHECK(relayDiscoveryDelay(5s, 1, true) >= 3s);
}

TEST_CASE("Changes are refused if they are large and much larger than the table")
{
    constexpr std::size_t table = 240'000;
    constexpr std::size_t encodedTable = 320'000;
    CHECK(!isLargerThanTable(encodedTable, table));
    CHECK(isLargerThanTable(2 * encodedTable, table));
    CHECK(isLargerThanTable(1'600'000, 12'000));
    // A row that has grown, and a table of small rows.
    CHECK(!isLargerThanTable(encodedTable, 12'000));
    CHECK(!isLargerThanTable(50'000, 1'000));
    CHECK(!isLargerThanTable(0, 0));
}
