#include "modelcluster.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

// A host owned a group and was cut off from the store and the others for a moment. Another host
// claimed the group, and a planned stop of that one handed it back. When the first host reached the
// store again it read the row of the hand-over, and nothing of the claim before. It took the row's
// new epoch for the end of what it owned, and did not look whether the row named itself: it
// stopped, and never began again. The row named it, so nobody else claimed the group, and all
// statements waited until their callers gave up.
//
// From schedule 2048 of soak_checker -k membership, all the lines that host-2 has on the matter:
//   host-2 ownership_won epoch=2
//   host-0 ownership_won epoch=3
//   host-0 hand_over to=10.0.0.3:1
//   host-2 owner_changed epoch=4 owner=10.0.0.3:1
//   host-2 ownership_lost epoch=2
//   host-2 primary_step reason=stopped
// No ownership_won follows. Schedules 3065 and 10009 show the same.
TEST_CASE("An owner that gets its group back before it knows that it had lost it serves it")
{
    // Service is to be back a second or two after those who can serve are.
    constexpr Duration bound = 2s;
    constexpr Duration freezeDuration = 3s;
    ModelCluster cluster(1, 2);
    REQUIRE(cluster.timeToWrite(0, 5s));
    REQUIRE(cluster.runUntil(10s, [&] { return cluster.allHostsKnowOwner(); }));
    const auto first = std::size_t(cluster.owner());
    const std::size_t second = 1 - first;
    const OwnerEpoch epoch = cluster.epoch();
    REQUIRE(cluster.timeToWrite(second, 3s));

    // 1. The owner is frozen, so that its links stay open, and the other host claims the group.
    cluster.freeze(first, freezeDuration);
    REQUIRE(cluster.timeToWrite(second, 3s));
    REQUIRE(cluster.owner() == int(second));

    // 2. The other host is stopped and hands the group to its only peer.
    cluster.drain(second);
    REQUIRE(cluster.runUntil(2s, [&] { return cluster.owner() == int(first); }));
    REQUIRE(cluster.ownership(first).record(cluster.group.name())->epoch == epoch);

    // 3. The first one wakes.
    cluster.run(freezeDuration);
    CHECK(cluster.timeToWrite(first, bound));
    cluster.checkStatementResults();
    CHECK(cluster.violations.all == std::vector<std::string>());
}

// A host wants an owner for a group as soon as it knows the group's primary. Where the store
// refused the read before the claim, nobody claimed the group until a statement asked for it or a
// server changed.
TEST_CASE("A group gets its owner without a statement once the store takes calls again")
{
    for (const Duration outageStart : {50ms, 200ms, 320ms, 400ms}) {
        CAPTURE(toMilliseconds(outageStart));
        ModelCluster cluster(1);
        cluster.run(outageStart);
        cluster.store.down = true;
        cluster.run(3s);
        cluster.store.down = false;
        CHECK(cluster.runUntil(3s, [&] { return cluster.owner() >= 0; }));
    }
}
