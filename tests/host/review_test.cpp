#include "decision/logholders.h"
#include "modelcluster.h"

#include <catch2/catch.hpp>

// Counter-examples to "the promoted log holds every commit that was or will be acknowledged by the
// primary before it", found by a review.
using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

namespace {

constexpr Duration entryRemovalTime = 6s;

void waitUntilReady(ModelCluster &cluster)
{
    REQUIRE(cluster.timeToWrite(0, 5s));
    REQUIRE(cluster.runUntil(10s, [&] { return cluster.allHostsKnowOwner(); }));
    cluster.run(500ms);
}

void writeTwenty(ModelCluster &cluster, std::size_t host)
{
    for (int i = 0; i < 20; ++i) {
        cluster.write(host);
        cluster.run(10ms);
    }
    cluster.run(500ms);
    REQUIRE(cluster.violations.all.empty());
}

std::size_t hostOtherThan(int host)
{
    return host == 0 ? 1 : 0;
}

void writeUntilPromoted(ModelCluster &cluster, std::size_t host, Duration time)
{
    const int before = cluster.group.promotions;
    const Instant end = cluster.timers.now() + time;
    while (cluster.group.promotions == before && cluster.timers.now() < end) {
        cluster.write(host);
        cluster.run(20ms);
    }
}

void checkNoViolations(ModelCluster &cluster)
{
    cluster.checkStatementResults();
    CHECK(cluster.violations.all == std::vector<std::string>());
}

// The first primary has crashed, and the replica with all writes leads; the lagging one shows its
// term and has received nothing of what it began with. The store refuses every host from the call
// until after the lead.
struct ReplicaRoles
{
    ServerName formerPrimary, complete, lagging;
};

ReplicaRoles promoteWithoutRow(ModelCluster &cluster)
{
    waitUntilReady(cluster);
    ReplicaRoles roles;
    roles.formerPrimary = cluster.group.primary();
    for (const auto &[id, server] : cluster.group.servers())
        if (!server.primary)
            (roles.lagging.empty() ? roles.lagging : roles.complete) = id;
    cluster.group.servers().at(roles.lagging).stalled = true;
    writeTwenty(cluster, 0);
    for (auto &[id, server] : cluster.group.servers())
        server.reportsFollowedTerm = true;
    ModelServer &lagging = cluster.group.servers().at(roles.lagging);
    lagging.stalled = false;
    lagging.awaitsLog = true;
    cluster.group.crash(roles.formerPrimary);
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.group.isPromoting(); }));
    cluster.store.down = true;
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.group.promotions == 1; }));
    cluster.run(100ms);
    REQUIRE(cluster.group.primary() == roles.complete);
    REQUIRE(lagging.term == 2);
    return roles;
}

} // namespace

// A replica whose entry has lapsed goes on receiving. Once the other replica has caught up it is
// dropped from the holders, though it confirms what comes later.
TEST_CASE("Review: a lapsed replica that is dropped from the holders confirms later commits")
{
    ModelCluster cluster(201);
    waitUntilReady(cluster);
    const ServerName primary = cluster.group.primary();
    ServerName other, lapsed;
    for (const auto &[id, server] : cluster.group.servers())
        if (!server.primary)
            (other.empty() ? other : lapsed) = id;
    cluster.unlist(lapsed);
    for (int i = 0; i < 400; ++i) {
        cluster.write(std::size_t(i % 3));
        cluster.run(20ms);
    }
    REQUIRE(cluster.group.promotions == 0);
    cluster.group.servers().at(other).stalled = true;
    writeTwenty(cluster, 0);
    const std::size_t next = hostOtherThan(cluster.owner());
    cluster.freeze(std::size_t(cluster.owner()), 25s);
    cluster.group.crash(primary);
    writeUntilPromoted(cluster, next, 20s);
    cluster.relist(lapsed);
    writeUntilPromoted(cluster, next, 5s);
    checkNoViolations(cluster);
}

// The row of the new primary has not been written when that one crashes: the choice takes the
// beginning of the term from the row, and so that of an earlier term.
TEST_CASE("Review: what a term began with counts before the row tells it")
{
    ModelCluster cluster(202);
    const ReplicaRoles roles = promoteWithoutRow(cluster);
    cluster.group.crash(roles.complete);
    cluster.store.down = false;
    writeUntilPromoted(cluster, 0, 3s);
    CHECK(cluster.group.promotions == 1);
    checkNoViolations(cluster);
}

// The owner is lost before it has written the row of the new primary. The next one finds that it
// leads, and writes that nothing is known of the term's beginning, which counts as: nothing had to
// be inherited.
TEST_CASE("Review: a term whose beginning is not known does not begin with nothing")
{
    ModelCluster cluster(203);
    const ReplicaRoles roles = promoteWithoutRow(cluster);
    const std::size_t owner = std::size_t(cluster.owner());
    const std::size_t next = hostOtherThan(cluster.owner());
    cluster.kill(owner);
    cluster.store.down = false;
    for (int i = 0; i < 200; ++i) {
        cluster.read(next, inner::ReadRule::Newest);
        cluster.run(20ms);
    }
    REQUIRE(cluster.owner() != int(owner));
    REQUIRE(cluster.group.promotions == 1);
    cluster.group.crash(roles.complete);
    cluster.group.restart(roles.formerPrimary);
    cluster.relist(roles.formerPrimary);
    writeUntilPromoted(cluster, next, 20s);
    CHECK(cluster.group.primary() == roles.formerPrimary);
    checkNoViolations(cluster);
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
    ModelCluster cluster(204);
    waitUntilReady(cluster);
    const ServerName primary = cluster.group.primary();
    ServerName lagging, complete;
    for (const auto &[id, server] : cluster.group.servers())
        if (!server.primary)
            (lagging.empty() ? lagging : complete) = id;
    // 1. A change that is given up, or another server's lapse, makes the owner ask all once.
    cluster.unlist(lagging);
    cluster.run(entryRemovalTime);
    REQUIRE(cluster.timeToWrite(0, 1s));
    cluster.relist(lagging);
    cluster.run(500ms);
    // 2. Only one replica confirms, and is lost for good. An empty server at its address has
    // received part of the log.
    cluster.group.servers().at(lagging).stalled = true;
    writeTwenty(cluster, 0);
    cluster.group.destroy(complete);
    cluster.unlist(complete);
    const ServerName addedServer = cluster.group.replaceEmpty(complete);
    ModelServer &server = cluster.group.servers().at(addedServer);
    server.stalled = true;
    const auto &log = cluster.group.servers().at(primary).log;
    server.log.assign(log.begin(), log.begin() + 12);
    server.applied = 12;
    cluster.relist(addedServer);
    cluster.run(entryRemovalTime + 2s);
    REQUIRE(cluster.group.promotions == 0);
    // 3. The primary crashes, with the owner or without.
    const std::size_t next = hostOtherThan(cluster.owner());
    cluster.freeze(std::size_t(cluster.owner()), 25s);
    cluster.group.crash(primary);
    writeUntilPromoted(cluster, next, 20s);
    CHECK(cluster.group.promotions == 0);
    checkNoViolations(cluster);
}

// A planned change, whose call the platform turns away for the moment. Until it is made again,
// 60 ms later, acknowledgements are not held back, nor is the candidate asked again: a replica that
// has started again confirms what the candidate lacks.
TEST_CASE("Review: acknowledgements between two calls of a planned change wait for the candidate")
{
    ModelCluster cluster(205);
    waitUntilReady(cluster);
    const ServerName primary = cluster.group.primary();
    cluster.group.rejectedPromotions = 1;
    cluster.group.onPromotionRejected = [&](const ServerName &candidate) {
        for (auto &[id, server] : cluster.group.servers()) {
            if (id == candidate)
                server.stalled = true;
            else if (id != primary)
                cluster.group.restartQuickly(id);
        }
    };
    cluster.group.servers().at(primary).leaving = true;
    cluster.relist(primary);
    for (int i = 0; i < 400 && cluster.group.promotions == 0; ++i) {
        cluster.write(std::size_t(cluster.owner()));
        cluster.run(5ms);
    }
    REQUIRE(cluster.group.promotions == 1);
    for (auto &[id, server] : cluster.group.servers())
        server.stalled = false;
    cluster.run(1s);
    checkNoViolations(cluster);
}

// A commit of the owner before is in the primary's log and never acknowledged. The next owner's
// acknowledgement shows a position above it, which counts as acknowledged: once the primary is lost
// for good, nobody is promoted, though both replicas hold everything.
TEST_CASE("Review: another owner's open commit does not count as acknowledged")
{
    ModelCluster cluster(206);
    waitUntilReady(cluster);
    const ServerName primary = cluster.group.primary();
    REQUIRE(primary == "cases-1");
    const std::size_t drainingHost = std::size_t(cluster.owner());
    constexpr std::uint64_t session = 9001;
    const auto begun = cluster.begin(drainingHost, session);
    REQUIRE(cluster.runUntil(1s, [&] { return begun->done; }));
    cluster.drain(drainingHost);
    REQUIRE(cluster.runUntil(2s, [&] { return cluster.owner() != int(drainingHost); }));
    const std::size_t next = std::size_t(cluster.owner());
    cluster.run(50ms);
    // 1. Both commits are in the primary's log; replicas receive only the first.
    for (const char *replica : {"cases-2", "cases-3"})
        cluster.group.servers().at(replica).stalled = true;
    const auto write = cluster.write(next);
    cluster.run(10ms);
    const auto committed = cluster.commit(drainingHost, session);
    cluster.run(10ms);
    REQUIRE_FALSE(write->done);
    REQUIRE_FALSE(committed->done);
    const auto log = cluster.group.servers().at(primary).log;
    for (const char *replica : {"cases-2", "cases-3"}) {
        ModelServer &server = cluster.group.servers().at(replica);
        REQUIRE(server.log.size() + 2 == log.size());
        server.log.assign(log.begin(), log.end() - 1);
        server.applied = server.log.size();
    }
    cluster.group.restart("cases-2");
    REQUIRE(cluster.runUntil(100ms, [&] { return write->done; }));
    REQUIRE(write->result.reason == Reason::None);
    REQUIRE_FALSE(committed->done);
    // 2. The primary is lost for good.
    cluster.group.destroy(primary);
    cluster.unlist(primary);
    for (const char *replica : {"cases-2", "cases-3"})
        cluster.group.servers().at(replica).stalled = false;
    writeUntilPromoted(cluster, next, 40s);
    CHECK(cluster.group.promotions == 1);
    checkNoViolations(cluster);
}

// Owner and primary are lost for good, and the next owner alone can't reach one of the replicas.
// Another host reaches both, and is not asked.
TEST_CASE("Review: an owner that can't hear a replica lets a host that can take the group")
{
    ModelCluster cluster(207);
    waitUntilReady(cluster);
    const ServerName primary = cluster.group.primary();
    const std::size_t owner = std::size_t(cluster.owner());
    const std::size_t next = hostOtherThan(cluster.owner());
    ServerName unreachable;
    for (const auto &[id, server] : cluster.group.servers())
        if (id != primary)
            unreachable = id;
    cluster.group.partitions.insert({cluster.address(next), unreachable});
    cluster.kill(owner);
    cluster.group.destroy(primary);
    cluster.unlist(primary);
    writeUntilPromoted(cluster, next, 60s);
    CHECK(cluster.group.promotions == 1);
    checkNoViolations(cluster);
}

// A claim takes effect six seconds after it was sent, and its host starts again meanwhile. The
// guard in the row counts from the claim's reading, with three seconds for the claim; the owner
// before read its row just before the late effect, and is cut off from the store after it.
TEST_CASE("Review: a late claim guards the owner before for its whole lease")
{
    ModelCluster cluster(208, 2);
    waitUntilReady(cluster);
    const std::size_t earlier = std::size_t(cluster.owner());
    const std::size_t next = 1 - earlier;
    const GroupName group = cluster.group.name();
    cluster.partitionLinks(earlier, true);
    cluster.store.writeDelay = 6s;
    cluster.write(next);
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.store.delayedWrites == 1; }));
    cluster.store.writeDelay = {};
    cluster.kill(next);
    while (cluster.owner() != int(next))
        cluster.run(1ms);
    cluster.partitionFromStore(earlier, true);
    cluster.restart(next);
    int bothActiveCount = 0;
    for (int ms = 0; ms < 16'000; ++ms) {
        cluster.run(1ms);
        const auto &a = cluster.ownership(earlier);
        const auto &b = cluster.ownership(next);
        const bool earlierActive = a.owns(group) && a.hasLease(group);
        const bool nextActive = b.owns(group) && b.hasLease(group) && b.isSoleOwner(group);
        bothActiveCount += earlierActive && nextActive ? 1 : 0;
    }
    CHECK(cluster.ownership(next).isSoleOwner(group));
    CHECK(bothActiveCount == 0);
}
