#include "world.h"

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
    constexpr Duration frozenFor = 3s;
    World world(1, 2);
    REQUIRE(world.timeToWrite(0, 5s));
    REQUIRE(world.runUntil(10s, [&] { return world.allKnowOwner(); }));
    const auto first = std::size_t(world.owner());
    const std::size_t second = 1 - first;
    const OwnerEpoch epoch = world.epoch();
    REQUIRE(world.timeToWrite(second, 3s));

    // 1. The owner is frozen, so that its links stay open, and the other host claims the group.
    world.freeze(first, frozenFor);
    REQUIRE(world.timeToWrite(second, 3s));
    REQUIRE(world.owner() == int(second));

    // 2. The other host is stopped and hands the group to its only peer.
    world.drain(second);
    REQUIRE(world.runUntil(2s, [&] { return world.owner() == int(first); }));
    REQUIRE(world.ownership(first).record(world.group.name())->epoch == epoch);

    // 3. The first one wakes.
    world.run(frozenFor);
    CHECK(world.timeToWrite(first, bound));
    world.checkRefused();
    CHECK(world.violations.all == std::vector<std::string>());
}

// A host wants an owner for a group as soon as it knows the group's primary. Where the store
// refused the read before the claim, nobody claimed the group until a statement asked for it or a
// server changed.
TEST_CASE("A group gets its owner without a statement once the store takes calls again")
{
    for (const Duration refusedAt : {50ms, 200ms, 320ms, 400ms}) {
        CAPTURE(toMilliseconds(refusedAt));
        World world(1);
        world.run(refusedAt);
        world.store.down = true;
        world.run(3s);
        world.store.down = false;
        CHECK(world.runUntil(3s, [&] { return world.owner() >= 0; }));
    }
}
