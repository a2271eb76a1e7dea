#include "modelcluster.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

// An owner that was separated while another host claimed its group and handed it back saw only the
// new epoch, gave the group up and never served it again.
TEST_CASE("An owner that regains its group before it has noticed the loss serves it")
{
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

    // 3. The first host resumes.
    cluster.run(freezeDuration);
    CHECK(cluster.timeToWrite(first, bound));
    cluster.checkStatementResults();
    CHECK(cluster.violations.all == std::vector<std::string>());
}

// The claim must be retried when the store refuses the read before it.
TEST_CASE("A group gets an owner without a statement once the store is available again")
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
