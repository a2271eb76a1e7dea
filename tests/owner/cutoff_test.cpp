#include "ownercluster.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace kelptally;
using namespace kelptally::owner;
using namespace std::chrono_literals;

// Guards against a group that keeps changing owners while no owner reaches a majority of the
// servers: the cooldown must also start if the hand-over completes at once.
TEST_CASE("Without a majority each process hands the group over at most once per cooldown")
{
    // Shorter than the cooldown.
    constexpr Duration observationTime = 20s;
    constexpr int processes = 2;
    constexpr Duration maxFailoverTime = 5s;
    const auto insert = [](const std::string &id) {
        return OwnerCluster::write("INSERT INTO offer(id, amount) VALUES ($1, 1)", {id});
    };
    OwnerCluster cluster(processes);
    REQUIRE(cluster.entry().execute(insert("one")).reason == Reason::None);
    REQUIRE(cluster.waitForSuccessors(processes - 1));
    std::string currentOwner = cluster.currentOwner();
    cluster.kill("b");
    cluster.kill("c");

    // 1. The group changes owner, but at most once per process.
    int ownerChanges = 0;
    for (const Instant end = BootClock::now() + observationTime; BootClock::now() < end;) {
        const std::string owner = cluster.currentOwner();
        if (!owner.empty() && owner != currentOwner) {
            ++ownerChanges;
            currentOwner = owner;
        }
        std::this_thread::sleep_for(2ms);
    }
    CHECK(ownerChanges >= 1);
    CHECK(ownerChanges <= processes);

    // 2. The current owner serves the group again once a majority is back.
    cluster.restartServer("b");
    cluster.restartServer("c");
    const Instant restartedAt = BootClock::now();
    REQUIRE(cluster.entry().execute(insert("two")).reason == Reason::None);
    CHECK(BootClock::now() - restartedAt <= maxFailoverTime);
}
