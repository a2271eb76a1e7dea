#include "modelcluster.h"

#include <catch2/catch.hpp>

// A promotion must not lose acknowledged commits when the list of servers is incomplete. The tests
// remove servers from the list, list them late or keep them from answering, and check that the
// promoted server's log holds every acknowledged commit.
using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

namespace {

// Longer than the 5.5 s after which a server without an entry is removed from the list.
constexpr Duration entryRemovalTime = 6s;

// The servers of a group in which only one replica confirms.
struct Roles
{
    ServerName primary;
    // Replication to it is stalled.
    ServerName lagging;
    // Holds everything that was acknowledged.
    ServerName complete;
};

void waitUntilReady(ModelCluster &cluster)
{
    REQUIRE(cluster.timeToWrite(0, 5s));
    REQUIRE(cluster.runUntil(10s, [&] { return cluster.allHostsKnowOwner(); }));
    cluster.run(500ms);
}

// Runs twenty acknowledged writes while replication to one replica is stalled.
void writeWithStalledReplica(ModelCluster &cluster, const ServerName &lagging)
{
    cluster.group.servers().at(lagging).stalled = true;
    for (int i = 0; i < 20; ++i) {
        cluster.write(std::size_t(i % 3));
        cluster.run(10ms);
    }
    cluster.run(500ms);
    REQUIRE(cluster.violations.all.empty());
}

// Runs writes that only one replica receives. The other replica's name sorts first, and servers are
// queried in that order.
Roles writeToOneReplica(ModelCluster &cluster)
{
    waitUntilReady(cluster);
    Roles roles;
    roles.primary = cluster.group.primary();
    for (const auto &[id, server] : cluster.group.servers())
        if (!server.primary)
            (roles.lagging.empty() ? roles.lagging : roles.complete) = id;
    writeWithStalledReplica(cluster, roles.lagging);
    return roles;
}

std::size_t hostOtherThan(int host)
{
    return host == 0 ? 1 : 0;
}

kelptally::group::OwnershipRecord readOwnershipRecord(ModelCluster &cluster)
{
    const auto &row = cluster.store.tables["kelptally_owners"].at(cluster.group.name());
    return *kelptally::group::decodeOwnership(row.value);
}

// Crashes the primary, and freezes the owner once it has recorded a candidate: no server has been
// promoted, and the row does not name the last primary.
void freezeOwnerDuringPromotion(ModelCluster &cluster, Duration time)
{
    const int owner = cluster.owner();
    cluster.group.crash(cluster.group.primary());
    REQUIRE(cluster.runUntil(2s, [&] { return !readOwnershipRecord(cluster).candidate.empty(); }));
    cluster.freeze(std::size_t(owner), time);
}

std::string addressOf(std::size_t host)
{
    return "10.0.0." + std::to_string(host + 1) + ":1";
}

// Separates the server from all hosts, but not from the primary.
void partitionFromHosts(ModelCluster &cluster, const ServerName &server, bool partitioned)
{
    for (std::size_t host = 0; host < cluster.hosts.size(); ++host) {
        if (partitioned)
            cluster.group.partitions.insert({addressOf(host), server});
        else
            cluster.group.partitions.erase({addressOf(host), server});
    }
}

void writeFor(ModelCluster &cluster, std::size_t host, Duration time)
{
    const Instant end = cluster.timers.now() + time;
    while (cluster.timers.now() < end) {
        cluster.write(host);
        cluster.run(20ms);
    }
}

// Writes at the host until another server leads or the time is over. It stops then, as a primary
// whose only replica is stalled is soon replaced itself.
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

} // namespace

// The owner is lost right after it has recorded a candidate, and the crashed primary is not listed
// any more when the next owner acts. It must not promote the first replica that answers: the
// complete one answers 100 ms later.
TEST_CASE("Owner lost during a change, old primary not listed: both replicas must answer")
{
    ModelCluster cluster(101);
    const Roles roles = writeToOneReplica(cluster);
    const std::size_t next = hostOtherThan(cluster.owner());
    freezeOwnerDuringPromotion(cluster, 25s);
    cluster.unlist(roles.primary);
    cluster.group.answerDelays[{addressOf(next), roles.complete}] = 100ms;
    writeUntilPromoted(cluster, next, 20s);
    CHECK(cluster.group.primary() == roles.complete);
    checkNoViolations(cluster);
}

// The same with an added server in place of the primary. Its answer and that of the lagging replica
// are two of three, but must not be enough while the complete replica is separated for a moment.
TEST_CASE("Owner lost during a change: an added server's answer does not replace the old primary's")
{
    ModelCluster cluster(102);
    const Roles roles = writeToOneReplica(cluster);
    const std::size_t next = hostOtherThan(cluster.owner());
    freezeOwnerDuringPromotion(cluster, 25s);
    cluster.unlist(roles.primary);
    cluster.group.add("cases-4");
    cluster.relist("cases-4");
    partitionFromHosts(cluster, roles.complete, true);
    writeUntilPromoted(cluster, next, 20s);
    partitionFromHosts(cluster, roles.complete, false);
    writeUntilPromoted(cluster, next, 5s);
    CHECK(cluster.group.primary() == roles.complete);
    checkNoViolations(cluster);
}

// The answer of an added server that has left the list must not be counted in place of the complete
// replica that the change waits for.
TEST_CASE("The answer of a server that has left the list is not counted for another server")
{
    ModelCluster cluster(103);
    const Roles roles = writeToOneReplica(cluster);
    const ServerName addedServer = "cases-4";
    cluster.group.add(addedServer);
    cluster.relist(addedServer);
    cluster.run(1s);
    partitionFromHosts(cluster, roles.complete, true);
    cluster.group.crash(roles.primary);
    cluster.run(2s);
    REQUIRE(cluster.group.promotions == 0);
    cluster.group.crash(addedServer);
    cluster.unlist(addedServer);
    writeUntilPromoted(cluster, 0, entryRemovalTime + 2s);
    partitionFromHosts(cluster, roles.complete, false);
    writeUntilPromoted(cluster, 0, 5s);
    CHECK(cluster.group.primary() == roles.complete);
    checkNoViolations(cluster);
}

// The complete replica is lost for good while the other one is stalled. The primary is well but
// cannot acknowledge commits; it must not be replaced by the lagging replica.
TEST_CASE("A primary whose commits hang is not replaced by a replica that lacks its commits")
{
    ModelCluster cluster(104);
    const Roles roles = writeToOneReplica(cluster);
    cluster.group.crash(roles.complete);
    cluster.unlist(roles.complete);
    cluster.run(entryRemovalTime);
    writeFor(cluster, 0, 5s);
    CHECK(cluster.group.primary() == roles.primary);
    cluster.group.servers().at(roles.lagging).stalled = false;
    CHECK(cluster.timeToWrite(0, 5s));
    checkNoViolations(cluster);
}

// The primary is lost for good, and its successor crashes before the lagging replica has received
// its log. Only the successor holds the commits, so it must be waited for.
TEST_CASE("A change waits for a new primary that crashed before a replica had received its log")
{
    ModelCluster cluster(105);
    const Roles roles = writeToOneReplica(cluster);
    cluster.group.crash(roles.primary);
    cluster.unlist(roles.primary);
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.group.promotions == 1; }));
    cluster.run(500ms);
    REQUIRE(cluster.group.primary() == roles.complete);
    cluster.group.crash(roles.complete);
    writeFor(cluster, 0, entryRemovalTime + 1s);
    cluster.group.restart(roles.complete);
    cluster.group.servers().at(roles.lagging).stalled = false;
    CHECK(cluster.timeToWrite(0, 10s));
    CHECK(cluster.group.promotions == 1);
    checkNoViolations(cluster);
}

// The complete replica's entry expires while the store is unavailable, and all hosts restart before
// it returns. They must not take the lagging replica for the only one and promote it.
TEST_CASE("Hosts that start while a replica is not listed do not promote the only listed one")
{
    ModelCluster cluster(106);
    const Roles roles = writeToOneReplica(cluster);
    cluster.unlist(roles.complete);
    cluster.group.crash(roles.primary);
    for (std::size_t host = 0; host < cluster.hosts.size(); ++host)
        cluster.kill(host);
    for (std::size_t host = 0; host < cluster.hosts.size(); ++host)
        cluster.restart(host);
    writeUntilPromoted(cluster, 0, 2s);
    cluster.relist(roles.complete);
    writeUntilPromoted(cluster, 0, 3s);
    CHECK(cluster.group.primary() == roles.complete);
    checkNoViolations(cluster);
}

// The complete replica is separated from the store only, so that its entry expires while it still
// receives and answers. It must still be queried when the primary crashes.
TEST_CASE("A replica whose entry has expired is still required if it has confirmed commits")
{
    ModelCluster cluster(107);
    const Roles roles = writeToOneReplica(cluster);
    cluster.unlist(roles.complete);
    cluster.run(entryRemovalTime);
    for (int i = 0; i < 5; ++i) {
        CHECK(cluster.timeToWrite(0, 1s));
        cluster.run(100ms);
    }
    cluster.group.crash(roles.primary);
    writeUntilPromoted(cluster, 0, 3s);
    cluster.relist(roles.complete);
    writeUntilPromoted(cluster, 0, 3s);
    CHECK(cluster.group.primary() == roles.complete);
    checkNoViolations(cluster);
}

// The complete replica crashes and returns with its log under another id, which is listed seconds
// later. The lagging replica must not be promoted when the old id leaves the list.
TEST_CASE("A replica that returns under another id is still required if it has confirmed commits")
{
    ModelCluster cluster(108);
    const Roles roles = writeToOneReplica(cluster);
    const ServerName newId = "cases-4";
    cluster.group.crash(roles.complete);
    cluster.unlist(roles.complete);
    cluster.run(500ms);
    cluster.group.restartAs(roles.complete, newId);
    cluster.group.crash(roles.primary);
    writeUntilPromoted(cluster, 0, entryRemovalTime + 1s);
    cluster.relist(newId);
    writeUntilPromoted(cluster, 0, 3s);
    CHECK(cluster.group.primary() == newId);
    checkNoViolations(cluster);
}

namespace {

// Replaces the first primary, which is lost for good, and adds a server. The store may refuse the
// row that names the new primary. Then runs twenty writes that only the added server confirms.
Roles replacePrimary(ModelCluster &cluster, bool rowWriteRefused)
{
    waitUntilReady(cluster);
    const ServerName first = cluster.group.primary();
    cluster.group.crash(first);
    cluster.unlist(first);
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.group.isPromoting(); }));
    cluster.store.down = rowWriteRefused;
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.group.promotions == 1; }));
    cluster.run(500ms);
    cluster.store.down = false;
    Roles roles;
    roles.primary = cluster.group.primary();
    roles.lagging = roles.primary == "cases-3" ? "cases-2" : "cases-3";
    roles.complete = "cases-4";
    cluster.group.add(roles.complete);
    cluster.relist(roles.complete);
    REQUIRE(cluster.timeToWrite(0, 5s));
    cluster.run(entryRemovalTime);
    writeWithStalledReplica(cluster, roles.lagging);
    return roles;
}

// Freezes the owner and crashes the primary. The next owner receives the lagging replica's answer
// 100 ms before that of the complete one.
void loseOwnerAndPrimary(ModelCluster &cluster, const Roles &roles)
{
    const std::size_t owner = std::size_t(cluster.owner());
    const std::size_t next = hostOtherThan(cluster.owner());
    cluster.group.answerDelays[{addressOf(next), roles.complete}] = 100ms;
    cluster.freeze(owner, 25s);
    cluster.group.crash(roles.primary);
    cluster.unlist(roles.primary);
    writeUntilPromoted(cluster, next, 20s);
}

} // namespace

// If the row names no primary after a change, the next owner does not know the last primary and
// promotes the first replica that answers.
TEST_CASE("After a change of primary the ownership row names the new primary")
{
    ModelCluster cluster(109);
    const Roles roles = replacePrimary(cluster, false);
    CHECK(readOwnershipRecord(cluster).primary == roles.primary);
    loseOwnerAndPrimary(cluster, roles);
    CHECK(cluster.group.primary() == roles.complete);
    checkNoViolations(cluster);
}

// If the refused row is never written again, the next owner sees an unfinished change from an
// outdated primary and promotes the first replica that answers.
TEST_CASE("A row that the store refused after a change of primary is written later")
{
    ModelCluster cluster(110);
    const Roles roles = replacePrimary(cluster, true);
    CHECK(readOwnershipRecord(cluster).candidate.empty());
    loseOwnerAndPrimary(cluster, roles);
    CHECK(cluster.group.primary() == roles.complete);
    checkNoViolations(cluster);
}

namespace {

// Servers report the term that they follow. The complete replica leads the next term after the
// primary has crashed. The lagging one follows it, but has received nothing more when the new
// primary crashes as well.
Roles crashPrimaryAndSuccessor(ModelCluster &cluster)
{
    const Roles roles = writeToOneReplica(cluster);
    for (auto &[id, server] : cluster.group.servers())
        server.reportsFollowedTerm = true;
    ModelServer &lagging = cluster.group.servers().at(roles.lagging);
    lagging.stalled = false;
    lagging.awaitsLog = true;
    cluster.group.crash(roles.primary);
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.group.promotions == 1; }));
    cluster.run(500ms);
    REQUIRE(cluster.group.primary() == roles.complete);
    REQUIRE(lagging.term == 2);
    cluster.group.crash(roles.complete);
    return roles;
}

} // namespace

// The first primary returns as a complete replica that does not know the second term. The lagging
// replica has less of the log, but must not rank higher for following the later term.
TEST_CASE(
    "Following a later term without its log does not rank above an earlier term's complete log")
{
    ModelCluster cluster(111);
    const Roles roles = crashPrimaryAndSuccessor(cluster);
    cluster.group.restart(roles.primary);
    cluster.relist(roles.primary);
    writeUntilPromoted(cluster, 0, 3s);
    CHECK(cluster.group.primary() == roles.primary);
    checkNoViolations(cluster);
}

// The same while the first primary is down and listed. The lagging replica's position of the later
// term must not count as holding everything acknowledged in the earlier term.
TEST_CASE("Following a later term without its log does not cover an earlier term's commits")
{
    ModelCluster cluster(112);
    const Roles roles = crashPrimaryAndSuccessor(cluster);
    writeUntilPromoted(cluster, 0, 3s);
    cluster.group.restart(roles.complete);
    cluster.group.servers().at(roles.lagging).awaitsLog = false;
    CHECK(cluster.timeToWrite(0, 5s));
    CHECK(cluster.group.promotions == 1);
    checkNoViolations(cluster);
}

// A draining owner commits a transaction after the hand-over. The next owner must not take a
// delayed answer that is older than the commit for the primary's newest position, or a replica
// without the commit could be promoted.
TEST_CASE("Delayed answers of the primary do not hide a commit of the previous owner")
{
    ModelCluster cluster(113);
    waitUntilReady(cluster);
    const ServerName primary = cluster.group.primary();
    const ServerName lagging = "cases-2";
    const ServerName complete = "cases-3";
    REQUIRE(primary == "cases-1");
    const std::size_t drainingHost = std::size_t(cluster.owner());
    constexpr std::uint64_t session = 9001;
    const auto begun = cluster.begin(drainingHost, session);
    REQUIRE(cluster.runUntil(1s, [&] { return begun->done; }));
    cluster.drain(drainingHost);
    REQUIRE(cluster.runUntil(2s, [&] { return cluster.owner() != int(drainingHost); }));
    const std::size_t next = std::size_t(cluster.owner());
    cluster.run(50ms);
    // The write is answered before the commit, but the answer arrives long after it.
    cluster.group.answerDelays[{addressOf(next), primary}] = 600ms;
    const auto write = cluster.write(next);
    cluster.run(10ms);
    cluster.group.servers().at(lagging).stalled = true;
    const auto committed = cluster.commit(drainingHost, session);
    REQUIRE(cluster.runUntil(100ms, [&] { return committed->done; }));
    REQUIRE(committed->result.reason == Reason::None);
    REQUIRE(cluster.runUntil(1s, [&] { return write->done; }));
    REQUIRE(write->result.reason == Reason::None);
    cluster.run(50ms);
    cluster.group.answerDelays[{addressOf(next), complete}] = 200ms;
    cluster.group.crash(primary);
    writeUntilPromoted(cluster, next, 3s);
    CHECK(cluster.group.primary() == complete);
    checkNoViolations(cluster);
}

// The row was refused while the old primary was only separated and is still marked as primary. The
// next owner must not return to it when the new primary restarts as a replica, as it lacks
// everything acknowledged since.
TEST_CASE("A replaced primary is not reinstated after the store refused the row")
{
    ModelCluster cluster(114);
    waitUntilReady(cluster);
    const ServerName old = cluster.group.primary();
    const std::size_t owner = std::size_t(cluster.owner());
    const std::size_t next = hostOtherThan(cluster.owner());
    cluster.group.replicationPartitions.insert(old);
    cluster.group.partitions.insert({addressOf(owner), old});
    REQUIRE(cluster.runUntil(5s, [&] { return cluster.group.isPromoting(); }));
    cluster.store.down = true;
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.group.promotions == 1; }));
    cluster.run(500ms);
    cluster.store.down = false;
    for (int i = 0; i < 10; ++i)
        REQUIRE(cluster.timeToWrite(owner, 5s));
    cluster.kill(owner);
    const ServerName promoted = cluster.group.primary();
    cluster.group.restartQuickly(promoted);
    cluster.group.servers().at(promoted).primary = false;
    cluster.relist(promoted);
    for (int i = 0; i < 400; ++i) {
        cluster.read(next, inner::ReadRule::Newest);
        cluster.run(20ms);
    }
    checkNoViolations(cluster);
}

// The owner is lost after the promotion call, and the next owner finds the new primary in the lead.
// It must know that only the new primary holds the earlier commits, and wait for it when it
// crashes.
TEST_CASE("The next owner waits for a crashed new primary that the previous owner promoted")
{
    ModelCluster cluster(115);
    const Roles roles = writeToOneReplica(cluster);
    const std::size_t owner = std::size_t(cluster.owner());
    const std::size_t next = hostOtherThan(cluster.owner());
    cluster.group.crash(roles.primary);
    cluster.unlist(roles.primary);
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.group.isPromoting(); }));
    cluster.freeze(owner, 60s);
    REQUIRE(cluster.runUntil(3s, [&] { return cluster.group.promotions == 1; }));
    REQUIRE(cluster.group.primary() == roles.complete);
    writeFor(cluster, next, 2s);
    REQUIRE(readOwnershipRecord(cluster).owner.address != addressOf(owner));
    REQUIRE(readOwnershipRecord(cluster).primary == roles.complete);
    CHECK(readOwnershipRecord(cluster).firstSeenOffset >= 20);
    cluster.group.crash(roles.complete);
    writeFor(cluster, next, 16s);
    cluster.group.restart(roles.complete);
    cluster.group.servers().at(roles.lagging).stalled = false;
    CHECK(cluster.timeToWrite(next, 10s));
    CHECK(cluster.group.promotions == 1);
    checkNoViolations(cluster);
}

// Only an added server that no host knows yet holds the last two commits. All known servers have
// answered, but their logs end below the last acknowledged position, so none may be promoted.
TEST_CASE("Two commits that only an unknown replica holds prevent a promotion without it")
{
    ModelCluster cluster(116);
    waitUntilReady(cluster);
    for (int i = 0; i < 400; ++i) {
        cluster.write(std::size_t(i % 3));
        cluster.run(10ms);
    }
    cluster.run(500ms);
    const ServerName primary = cluster.group.primary();
    for (auto &[id, server] : cluster.group.servers())
        server.stalled = !server.primary;
    cluster.group.add("cases-4");
    for (int i = 0; i < 2; ++i)
        REQUIRE(cluster.timeToWrite(0, 1s));
    cluster.group.crash(primary);
    writeUntilPromoted(cluster, 0, 3s);
    CHECK(cluster.group.promotions == 0);
    cluster.relist("cases-4");
    writeUntilPromoted(cluster, 0, 3s);
    CHECK(cluster.group.primary() == "cases-4");
    checkNoViolations(cluster);
}
