#include "decision/logholders.h"
#include "world.h"

#include <catch2/catch.hpp>

// Counter-examples to "the promoted log holds every commit that was or will be acknowledged by the
// primary before it", found by a review.
using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

namespace {

constexpr Duration untilGone = 6s;

void settle(World &world)
{
    REQUIRE(world.timeToWrite(0, 5s));
    REQUIRE(world.runUntil(10s, [&] { return world.allKnowOwner(); }));
    world.run(500ms);
}

void writeTwenty(World &world, std::size_t host)
{
    for (int i = 0; i < 20; ++i) {
        world.write(host);
        world.run(10ms);
    }
    world.run(500ms);
    REQUIRE(world.violations.all.empty());
}

std::size_t otherThan(int host)
{
    return host == 0 ? 1 : 0;
}

void writeUntilPromoted(World &world, std::size_t host, Duration time)
{
    const int before = world.group.promotions;
    const Instant end = world.timers.now() + time;
    while (world.group.promotions == before && world.timers.now() < end) {
        world.write(host);
        world.run(20ms);
    }
}

void checkRight(World &world)
{
    world.checkRefused();
    CHECK(world.violations.all == std::vector<std::string>());
}

// The first primary has crashed, and the replica with all writes leads; the lagging one shows its
// term and has received nothing of what it began with. The store refuses every host from the call
// until after the lead.
struct Three
{
    ServerName first, whole, lagging;
};

Three promoteWithoutRow(World &world)
{
    settle(world);
    Three three;
    three.first = world.group.primary();
    for (const auto &[id, server] : world.group.servers())
        if (!server.primary)
            (three.lagging.empty() ? three.lagging : three.whole) = id;
    world.group.servers().at(three.lagging).deaf = true;
    writeTwenty(world, 0);
    for (auto &[id, server] : world.group.servers())
        server.showsFollowedTerm = true;
    ModelServer &lagging = world.group.servers().at(three.lagging);
    lagging.deaf = false;
    lagging.behind = true;
    world.group.crash(three.first);
    REQUIRE(world.runUntil(3s, [&] { return world.group.isPromoting(); }));
    world.store.down = true;
    REQUIRE(world.runUntil(3s, [&] { return world.group.promotions == 1; }));
    world.run(100ms);
    REQUIRE(world.group.primary() == three.whole);
    REQUIRE(lagging.term == 2);
    return three;
}

} // namespace

// A replica whose entry has lapsed goes on receiving. Once the other replica has caught up it is
// dropped from the holders, though it confirms what comes later.
TEST_CASE("Review: a lapsed replica that is dropped from the holders confirms later commits")
{
    World world(201);
    settle(world);
    const ServerName primary = world.group.primary();
    ServerName other, lapsed;
    for (const auto &[id, server] : world.group.servers())
        if (!server.primary)
            (other.empty() ? other : lapsed) = id;
    world.unlist(lapsed);
    for (int i = 0; i < 400; ++i) {
        world.write(std::size_t(i % 3));
        world.run(20ms);
    }
    REQUIRE(world.group.promotions == 0);
    world.group.servers().at(other).deaf = true;
    writeTwenty(world, 0);
    const std::size_t next = otherThan(world.owner());
    world.freeze(std::size_t(world.owner()), 25s);
    world.group.crash(primary);
    writeUntilPromoted(world, next, 20s);
    world.relist(lapsed);
    writeUntilPromoted(world, next, 5s);
    checkRight(world);
}

// The row of the new primary has not been written when that one crashes: the choice takes the
// beginning of the term from the row, and so that of an earlier term.
TEST_CASE("Review: what a term began with counts before the row tells it")
{
    World world(202);
    const Three three = promoteWithoutRow(world);
    world.group.crash(three.whole);
    world.store.down = false;
    writeUntilPromoted(world, 0, 3s);
    CHECK(world.group.promotions == 1);
    checkRight(world);
}

// The owner is lost before it has written the row of the new primary. The next one finds that it
// leads, and writes that nothing is known of the term's beginning, which counts as: nothing had to
// be inherited.
TEST_CASE("Review: a term whose beginning is not known does not begin with nothing")
{
    World world(203);
    const Three three = promoteWithoutRow(world);
    const std::size_t owner = std::size_t(world.owner());
    const std::size_t next = otherThan(world.owner());
    world.kill(owner);
    world.store.down = false;
    for (int i = 0; i < 200; ++i) {
        world.read(next, inner::ReadRule::Newest);
        world.run(20ms);
    }
    REQUIRE(world.owner() != int(owner));
    REQUIRE(world.group.promotions == 1);
    world.group.crash(three.whole);
    world.group.restart(three.first);
    world.relist(three.first);
    writeUntilPromoted(world, next, 20s);
    CHECK(world.group.primary() == three.first);
    checkRight(world);
}

namespace {

const decision::LogHolder a {"a", "10.0.0.1:1"};
const decision::LogHolder b {"b", "10.0.0.2:1"};
const decision::LogHolder c {"c", "10.0.0.3:1"};

} // namespace

// The host has heard of it, and so it is not the case that is named as not covered.
TEST_CASE("Review: a row that does not name a server does not end what this host knows of it")
{
    decision::LogHolders holders;
    holders.onListed({a, b, c}, Instant(100s));
    holders.onListed({a, b}, Instant(101s));
    SECTION("the row is of an earlier version")
    {
        holders.begin({}, Instant(102s));
    }
    SECTION("the row was written before it joined")
    {
        holders.begin({a, b}, Instant(102s));
    }
    REQUIRE(holders.unlisted().size() == 1);
    CHECK(holders.unlisted()[0].server == "c");
}

// What c was seen to hold is long past when it is lost; an empty server at its address that has
// received that much has not what c confirmed since.
TEST_CASE("Review: a newcomer that catches up to an old sight of the lost one is no stand-in")
{
    decision::LogHolders holders;
    holders.onListed({a, b, c}, Instant(100s));
    // Up to 1.100 only c confirms.
    holders.onListed({a, b, {"c2", c.endpoint}}, Instant(200s));
    holders.onPrimaryPosition({1, 100}, Instant(201s));
    holders.onReplicaPosition({1, 30});
    REQUIRE(holders.unlisted().size() == 1);
    CHECK(holders.unlisted()[0].server == "c");
}

// The same in a world. The primary is down for a while only, and has everything.
TEST_CASE("Review: a newcomer with part of the log is promoted while the primary is down")
{
    World world(204);
    settle(world);
    const ServerName primary = world.group.primary();
    ServerName lagging, whole;
    for (const auto &[id, server] : world.group.servers())
        if (!server.primary)
            (lagging.empty() ? lagging : whole) = id;
    // 1. A change that is given up, or another server's lapse, makes the owner ask all once.
    world.unlist(lagging);
    world.run(untilGone);
    REQUIRE(world.timeToWrite(0, 1s));
    world.relist(lagging);
    world.run(500ms);
    // 2. Only one replica confirms, and is lost for good. An empty server at its address has
    // received part of the log.
    world.group.servers().at(lagging).deaf = true;
    writeTwenty(world, 0);
    world.group.lose(whole);
    world.unlist(whole);
    const ServerName newcomer = world.group.replace(whole);
    ModelServer &server = world.group.servers().at(newcomer);
    server.deaf = true;
    const auto &log = world.group.servers().at(primary).log;
    server.log.assign(log.begin(), log.begin() + 12);
    server.applied = 12;
    world.relist(newcomer);
    world.run(untilGone + 2s);
    REQUIRE(world.group.promotions == 0);
    // 3. The primary crashes, with the owner or without.
    const std::size_t next = otherThan(world.owner());
    world.freeze(std::size_t(world.owner()), 25s);
    world.group.crash(primary);
    writeUntilPromoted(world, next, 20s);
    CHECK(world.group.promotions == 0);
    checkRight(world);
}

// A planned change, whose call the platform turns away for the moment. Until it is made again,
// 60 ms later, acknowledgements are not held back, nor is the candidate asked again: a replica that
// has started again confirms what the candidate lacks.
TEST_CASE("Review: acknowledgements between two calls of a planned change wait for the candidate")
{
    World world(205);
    settle(world);
    const ServerName primary = world.group.primary();
    world.group.turnedAwayCalls = 1;
    world.group.onTurnedAway = [&](const ServerName &candidate) {
        for (auto &[id, server] : world.group.servers()) {
            if (id == candidate)
                server.deaf = true;
            else if (id != primary)
                world.group.bounce(id);
        }
    };
    world.group.servers().at(primary).leaving = true;
    world.relist(primary);
    for (int i = 0; i < 400 && world.group.promotions == 0; ++i) {
        world.write(std::size_t(world.owner()));
        world.run(5ms);
    }
    REQUIRE(world.group.promotions == 1);
    for (auto &[id, server] : world.group.servers())
        server.deaf = false;
    world.run(1s);
    checkRight(world);
}

// A commit of the owner before is in the primary's log and never acknowledged. The next owner's
// acknowledgement shows a position above it, which counts as acknowledged: once the primary is lost
// for good, nobody is promoted, though both replicas hold everything.
TEST_CASE("Review: another owner's open commit does not count as acknowledged")
{
    World world(206);
    settle(world);
    const ServerName primary = world.group.primary();
    REQUIRE(primary == "cases-1");
    const std::size_t stopping = std::size_t(world.owner());
    constexpr std::uint64_t session = 9001;
    const auto begun = world.begin(stopping, session);
    REQUIRE(world.runUntil(1s, [&] { return begun->done; }));
    world.drain(stopping);
    REQUIRE(world.runUntil(2s, [&] { return world.owner() != int(stopping); }));
    const std::size_t next = std::size_t(world.owner());
    world.run(50ms);
    // 1. Both commits are in the primary's log; replicas receive only the first.
    for (const char *replica : {"cases-2", "cases-3"})
        world.group.servers().at(replica).deaf = true;
    const auto write = world.write(next);
    world.run(10ms);
    const auto committed = world.commit(stopping, session);
    world.run(10ms);
    REQUIRE_FALSE(write->done);
    REQUIRE_FALSE(committed->done);
    const auto log = world.group.servers().at(primary).log;
    for (const char *replica : {"cases-2", "cases-3"}) {
        ModelServer &server = world.group.servers().at(replica);
        REQUIRE(server.log.size() + 2 == log.size());
        server.log.assign(log.begin(), log.end() - 1);
        server.applied = server.log.size();
    }
    world.group.restart("cases-2");
    REQUIRE(world.runUntil(100ms, [&] { return write->done; }));
    REQUIRE(write->result.reason == Reason::None);
    REQUIRE_FALSE(committed->done);
    // 2. The primary is lost for good.
    world.group.lose(primary);
    world.unlist(primary);
    for (const char *replica : {"cases-2", "cases-3"})
        world.group.servers().at(replica).deaf = false;
    writeUntilPromoted(world, next, 40s);
    CHECK(world.group.promotions == 1);
    checkRight(world);
}

// Owner and primary are lost for good, and the next owner alone can't reach one of the replicas.
// Another host reaches both, and is not asked.
TEST_CASE("Review: an owner that can't hear a replica lets a host that can take the group")
{
    World world(207);
    settle(world);
    const ServerName primary = world.group.primary();
    const std::size_t owner = std::size_t(world.owner());
    const std::size_t next = otherThan(world.owner());
    ServerName unheard;
    for (const auto &[id, server] : world.group.servers())
        if (id != primary)
            unheard = id;
    world.group.cuts.insert({world.address(next), unheard});
    world.kill(owner);
    world.group.lose(primary);
    world.unlist(primary);
    writeUntilPromoted(world, next, 60s);
    CHECK(world.group.promotions == 1);
    checkRight(world);
}

// A claim takes effect six seconds after it was sent, and its host starts again meanwhile. The
// guard in the row counts from the claim's reading, with three seconds for the claim; the owner
// before read its row just before the late effect, and is cut off from the store after it.
TEST_CASE("Review: a late claim guards the owner before for its whole lease")
{
    World world(208, 2);
    settle(world);
    const std::size_t earlier = std::size_t(world.owner());
    const std::size_t next = 1 - earlier;
    const GroupName group = world.group.name();
    world.cutLinks(earlier, true);
    world.store.writeDelay = 6s;
    world.write(next);
    REQUIRE(world.runUntil(3s, [&] { return world.store.delayedWrites == 1; }));
    world.store.writeDelay = {};
    world.kill(next);
    while (world.owner() != int(next))
        world.run(1ms);
    world.cutFromStore(earlier, true);
    world.restart(next);
    int together = 0;
    for (int ms = 0; ms < 16'000; ++ms) {
        world.run(1ms);
        const auto &a = world.ownership(earlier);
        const auto &b = world.ownership(next);
        const bool earlierActs = a.owns(group) && a.hasLease(group);
        const bool nextActs = b.owns(group) && b.hasLease(group) && b.isSoleOwner(group);
        together += earlierActs && nextActs ? 1 : 0;
    }
    CHECK(world.ownership(next).isSoleOwner(group));
    CHECK(together == 0);
}
