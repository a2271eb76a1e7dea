#include "modelcluster.h"

#include <catch2/catch.hpp>

// In one run a promotion lost sixteen acknowledged commits, though another known replica had them.
// An owner counted as "all replicas" whatever its list named at the moment. It let one more be
// missing when it did not know who had led last, and after a change of primary it never knew, as
// the row then named nobody:
//   {"epoch":2,"primary":"","term":2,"candidate":""}
// The entry of a crashed primary lapses, and with it gone the first of two replicas to answer was
// promoted, while the other one, at 1.21, answered 100 ms later:
//   candidate_chosen candidate=cases-2 positions="cases-2=1.1" knows_all=false
// So the cases here lose servers from the list, bring them late to it, or keep them from being
// heard, and look for every acknowledged commit in the log of the server that is promoted.
using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

namespace {

// A missing entry makes its server leave the list 5.5 s later.
constexpr Duration entryRemovalTime = 6s;

// The servers of a group in which only one replica confirms.
struct Roles
{
    ServerName primary;
    // Receives nothing.
    ServerName lagging;
    // Has everything that was acknowledged.
    ServerName complete;
};

void waitUntilReady(ModelCluster &cluster)
{
    REQUIRE(cluster.timeToWrite(0, 5s));
    REQUIRE(cluster.runUntil(10s, [&] { return cluster.allHostsKnowOwner(); }));
    cluster.run(500ms);
}

// Twenty acknowledged writes while one replica receives nothing.
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

// A calm world with writes that only one replica has received. The other one comes first in the
// order of names, in which servers are asked.
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

// The primary crashes, and its owner stands still once it has recorded a candidate: nobody has been
// promoted, and the row does not tell who led last.
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

// No host reaches the server, which goes on receiving.
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

// Writes at the host until another server leads, or for the whole time. No longer: a primary whose
// only replica receives nothing is soon replaced itself.
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

// The primary crashes for good and its owner is lost right after it has recorded a candidate. When
// the next owner may act, the primary has left the list, and of the two replicas that are left the
// first one to answer is taken, though the other one answers 100 ms later and has everything.
TEST_CASE("An owner lost in a change: with the old primary off the list both replicas are heard")
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

// The same with a newcomer in the place of the primary: two of three answers are enough, and the
// newcomer's and the lagging replica's are taken, though the one that has everything is well and
// could be reached a moment later.
TEST_CASE("An owner lost in a change: a newcomer's answer does not stand for the old primary's")
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

// While a change waits for the replica that has everything, a newcomer that has answered leaves the
// list. Its answer is counted on, now in the place of the one that is waited for, and the lagging
// replica is promoted.
TEST_CASE("The answer of a server that has left the list counts for no other one")
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

// The replica that confirmed everything is lost for good while the other one receives nothing. The
// primary is well, but acknowledges no more, and so it is replaced by the only replica listed,
// which lacks what the lost one had confirmed.
TEST_CASE("A primary whose commits hang is not replaced by a replica that lacks what it has")
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

// The primary is lost for good, and the replica promoted in its place crashes before the other one
// has received its log. What it took over is nowhere else; but it counts as a server that need not
// be heard, and so the lagging replica is promoted before it is back.
TEST_CASE("A new primary that crashes before its log was received is waited for")
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

// While the store was away the entry of the replica that has everything lapsed, and all hosts start
// again before it is back. They know one replica and take it for the only one: it is promoted for
// the crashed primary two seconds before the other one is listed.
TEST_CASE("Hosts that start while a replica's entry is missing do not take another for the last")
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

// The replica that has everything is cut off from the store, so that its entry lapses; it receives
// and answers as before. When the primary crashes it is not asked any more, and the lagging replica
// is promoted.
TEST_CASE("A replica whose entry has lapsed still counts for what it has confirmed")
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

// The replica that has everything crashes and is soon back with its log, but under another id that
// the list tells only seconds later. The primary crashes meanwhile. When the old id has left the
// list the lagging replica is promoted, without a word from the one that came back.
TEST_CASE("A replica that comes back under another id still counts for what it has confirmed")
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

// A world in which the first primary was lost for good and replaced, and a newcomer has come; the
// store may refuse the row in which the new primary is named. Twenty writes later, which only the
// newcomer has confirmed, the owner stands still.
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

// Owner and primary are lost together. The next owner hears the lagging replica 100 ms before the
// one that has everything.
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

// A primary was replaced long ago, and the row should name the server that leads since. It names
// none. So when owner and primary are lost together, the next owner does not know who led, and
// takes the first replica that answers once the primary has left the list.
TEST_CASE("After a change of primary the row names the new one, for the next owner")
{
    ModelCluster cluster(109);
    const Roles roles = replacePrimary(cluster, false);
    CHECK(readOwnershipRecord(cluster).primary == roles.primary);
    loseOwnerAndPrimary(cluster, roles);
    CHECK(cluster.group.primary() == roles.complete);
    checkNoViolations(cluster);
}

// The store refuses the row in which the new primary is named, and it is never written again. For
// the next owner the change is still under way, with the primary of long ago and a candidate, and
// once the real primary has left the list the first replica that answers is taken.
TEST_CASE("A row that the store refused when the primary had changed is written later")
{
    ModelCluster cluster(110);
    const Roles roles = replacePrimary(cluster, true);
    CHECK(readOwnershipRecord(cluster).candidate.empty());
    loseOwnerAndPrimary(cluster, roles);
    CHECK(cluster.group.primary() == roles.complete);
    checkNoViolations(cluster);
}

namespace {

// A world in which the term of a position is the one that its server follows. The primary has
// crashed, and the replica with all twenty writes leads the next term; the lagging one follows it,
// and has received nothing more when the new primary crashes, too.
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

// The first primary is back as a replica, with everything, when the second one crashes. It has not
// heard of the second term yet, and the lagging replica has: that one's position, of the later term
// and with less in its log, counts as the higher one.
TEST_CASE("A later term without its log is no higher position than an earlier term's whole log")
{
    ModelCluster cluster(111);
    const Roles roles = crashPrimaryAndSuccessor(cluster);
    cluster.group.restart(roles.primary);
    cluster.relist(roles.primary);
    writeUntilPromoted(cluster, 0, 3s);
    CHECK(cluster.group.primary() == roles.primary);
    checkNoViolations(cluster);
}

// The same while the first primary is still down and listed. The lagging replica's position of the
// later term is above the highest acknowledgement, so that it counts as holding everything, and
// nobody else is waited for.
TEST_CASE("A later term without its log does not reach an earlier term's acknowledgement")
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

// An owner that stops ends a transaction after the group has gone to the next owner. That one takes
// an answer that was long on its way, and older than the commit, for the primary's newest position.
// When the primary crashes, a replica that lacks the commit counts as holding everything.
TEST_CASE("A commit of the owner before is known though the primary's answers come late")
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
    // The write is answered before the commit, and the answer comes long after it.
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

// The same row, while the old primary was only cut off and still takes itself for one. The new
// primary starts again as a replica: by the row it is a candidate that never led, and so the next
// owner goes back to the old primary, which lacks everything acknowledged since.
TEST_CASE("A row that the store refused does not bring the replaced primary back")
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

// The owner is lost once it has called for the new primary, and the next owner finds that one in
// the lead. What it took over is in its log alone, and the next owner has to know that, too, when
// it crashes.
TEST_CASE("A new primary that the next owner has found is waited for when it crashes")
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
    CHECK(readOwnershipRecord(cluster).firstHeld >= 20);
    cluster.group.crash(roles.complete);
    writeFor(cluster, next, 16s);
    cluster.group.restart(roles.complete);
    cluster.group.servers().at(roles.lagging).stalled = false;
    CHECK(cluster.timeToWrite(next, 10s));
    CHECK(cluster.group.promotions == 1);
    checkNoViolations(cluster);
}

// A newcomer that no host has heard of yet has confirmed the last two commits, and no other replica
// has them. All that are known have been heard; but their logs end below what was acknowledged, by
// less than the primary runs at a time.
TEST_CASE("Not even two acknowledged commits are given up for a newcomer that is not known yet")
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
