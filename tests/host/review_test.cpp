#include "decision/logholders.h"
#include "modelcluster.h"

#include <catch2/catch.hpp>

// Counter-examples to the guarantee that the promoted log holds every commit that was or will be
// acknowledged by the previous primary.
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

// Crashes the first primary. The complete replica leads; the lagging one follows its term, but has
// received nothing of its log. The store refuses all hosts from the promotion call until after the
// change.
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

// A replica whose entry has expired still receives. It must not be dropped from the holders when
// the other replica has caught up, as it confirms later commits.
TEST_CASE("An expired replica that was dropped from the holders confirms later commits")
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

// The new primary crashes before its row is written. The start of its term must not be taken from
// the row, which describes an earlier term.
TEST_CASE("The start of a term is respected before it is in the row")
{
    ModelCluster cluster(202);
    const ReplicaRoles roles = promoteWithoutRow(cluster);
    cluster.group.crash(roles.complete);
    cluster.store.down = false;
    writeUntilPromoted(cluster, 0, 3s);
    CHECK(cluster.group.promotions == 1);
    checkNoViolations(cluster);
}

// The owner is lost before it has written the new primary's row. The next owner does not know where
// the term starts, and must not treat that as an empty log.
TEST_CASE("A term with an unknown start is not treated as starting with an empty log")
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

// The host has seen the server in the list, so a row that omits it must not remove it.
TEST_CASE("A row that omits a server does not remove it from the host's holders")
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

// The last known position of a lost server may be outdated. An empty server that replaces it and
// reaches that position may still lack what the lost one has confirmed since.
TEST_CASE("An added server at an outdated position does not replace the lost one")
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

// The same with hosts. The primary is down only for a while, and holds everything.
TEST_CASE("An added server with a part of the log is promoted while the primary is down")
{
    ModelCluster cluster(204);
    waitUntilReady(cluster);
    const ServerName primary = cluster.group.primary();
    ServerName lagging, complete;
    for (const auto &[id, server] : cluster.group.servers())
        if (!server.primary)
            (lagging.empty() ? lagging : complete) = id;
    // 1. The expiry of a server's entry makes the owner query all servers once.
    cluster.unlist(lagging);
    cluster.run(entryRemovalTime);
    REQUIRE(cluster.timeToWrite(0, 1s));
    cluster.relist(lagging);
    cluster.run(500ms);
    // 2. Only one replica confirms, and is lost for good. An empty server at its address has
    // received a part of the log.
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
    // 3. The primary crashes while its owner is frozen.
    const std::size_t next = hostOtherThan(cluster.owner());
    cluster.freeze(std::size_t(cluster.owner()), 25s);
    cluster.group.crash(primary);
    writeUntilPromoted(cluster, next, 20s);
    CHECK(cluster.group.promotions == 0);
    checkNoViolations(cluster);
}

// The platform rejects the call of a planned change for now. Until the call is repeated,
// acknowledgements must still wait for the candidate: a replica that has restarted may confirm what
// the candidate lacks.
TEST_CASE("Acknowledgements between two calls of a planned change wait for the candidate")
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

// A commit of the previous owner is in the primary's log, but never acknowledged. A position above
// it must not count it as acknowledged, or no server could be promoted when the primary is lost for
// good.
TEST_CASE("A pending commit of another owner does not count as acknowledged")
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
    // 1. Both commits are in the primary's log; the replicas receive only the first.
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

// Owner and primary are lost for good, and the next owner cannot reach one of the replicas. Another
// host that reaches both must be offered the group.
TEST_CASE("An owner that cannot reach a replica lets a host that can take over the group")
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

// A claim takes effect six seconds after it was sent, when its host has restarted. The previous
// owner has read its row just before, and must be guarded for its whole lease.
TEST_CASE("A late claim guards the previous owner for its whole lease")
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
