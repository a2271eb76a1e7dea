#include "modelcluster.h"

#include <catch2/catch.hpp>

// In one run a promotion lost sixteen acknowledged commits, though another known replica had them.
// While a network refused connections, an owner took that for a proof that the owner before it had
// ended, and replaced the primary:
//   predecessor_ended nothing_listens alone=true
// The one before it was alive, with its lease and without the store. Its commits hung, as all
// replicas had been stopped; after 250 ms it let the one that it reached receive again, and all
// that hung were acknowledged in one burst, 5 ms before the other replica led without them. The
// same follows where a group was handed over and the next owner does not know by whom.
using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

namespace {

// Longer than a lease with its margin, so that the next owner may act by time alone in the end.
constexpr Duration pastLeaseExpiry = 16s;
// From the promotion call until the candidate leads, and longer.
constexpr Duration promotionDuration = 2s;

enum class Partition { Refusing, Silent };

void waitUntilReady(ModelCluster &cluster)
{
    REQUIRE(cluster.timeToWrite(0, 5s));
    REQUIRE(cluster.runUntil(10s, [&] { return cluster.allHostsKnowOwner(); }));
    cluster.run(500ms);
}

// The host keeps its callers and the servers, and loses all else.
void isolate(ModelCluster &cluster, std::size_t host, Partition partition)
{
    cluster.partitionFromStore(host, true);
    if (partition == Partition::Refusing)
        cluster.refuseLinks(host, true);
    else
        cluster.partitionLinks(host, true);
}

// An owner that is unheard, and the one that the row names after it. Callers of both write.
class TwoOwners
{
public:
    TwoOwners(ModelCluster &cluster, std::size_t earlier, std::size_t next)
        : cluster_(cluster), earlier_(earlier), next_(next)
    { }

    std::size_t earlier() const { return earlier_; }
    std::size_t next() const { return next_; }

    // The next owner's first candidate receives nothing from the call that promotes it, for a
    // while.
    void stallCandidate() { stallsCandidate_ = true; }

    // The next owner can't reach the primary, nor the earlier one the replica that is promoted when
    // all hold the same: what the other replica confirms to it, that one lacks.
    void partitionServersCrosswise()
    {
        const ServerName primary = cluster_.group.primary();
        cluster_.group.partitions.insert({cluster_.address(next_), primary});
        for (const auto &[id, server] : cluster_.group.servers()) {
            if (id == primary)
                continue;
            cluster_.group.partitions.insert({cluster_.address(earlier_), id});
            return;
        }
    }

    void write(Duration time)
    {
        const Instant end = cluster_.timers.now() + time;
        for (int ms = 0; cluster_.timers.now() < end; ++ms) {
            if (ms % 10 == 0) {
                cluster_.write(earlier_);
                cluster_.write(next_);
            }
            cluster_.run(1ms);
            checkActiveOwners();
        }
    }

    void check()
    {
        cluster_.checkStatementResults();
        CHECK_FALSE(bothActive_);
        CHECK(cluster_.group.promotions > 0);
        CHECK(cluster_.violations.all == std::vector<std::string>());
    }

private:
    void checkActiveOwners()
    {
        const auto &next = cluster_.ownership(next_);
        const auto &earlier = cluster_.ownership(earlier_);
        const GroupName group = cluster_.group.name();
        const bool nextIsSoleOwner =
            next.owns(group) && next.hasLease(group) && next.isSoleOwner(group);
        bothActive_ =
            bothActive_ || (nextIsSoleOwner && earlier.owns(group) && earlier.hasLease(group));
        if (!stallsCandidate_ || !cluster_.group.isPromoting())
            return;
        stallsCandidate_ = false;
        ModelServer &candidate = cluster_.group.servers().at(cluster_.group.promotionCandidate());
        candidate.stalled = true;
        cluster_.timers.subscribeAfter(promotionDuration,
                                       [&candidate] { candidate.stalled = false; });
    }

    ModelCluster &cluster_;
    const std::size_t earlier_;
    const std::size_t next_;
    bool stallsCandidate_ = false;
    // The next owner held itself for the only one while the earlier one had its lease.
    bool bothActive_ = false;
};

// Both hosts of a world, of which one owns the group.
TwoOwners ownersOf(ModelCluster &cluster)
{
    const std::size_t owner = std::size_t(cluster.owner());
    return TwoOwners(cluster, owner, 1 - owner);
}

// The next owner replaces a primary that it alone can't reach.
void checkUnreachablePrimary(Partition partition)
{
    ModelCluster cluster(1, 2);
    waitUntilReady(cluster);
    TwoOwners owners = ownersOf(cluster);
    owners.partitionServersCrosswise();
    isolate(cluster, owners.earlier(), partition);
    owners.write(pastLeaseExpiry);
    owners.check();
}

// The next owner replaces a leaving primary. The earlier one has not heard that it leaves, finds
// that its writes hang, and lets the stopped replica receive again.
void checkLeavingPrimary(Partition partition)
{
    ModelCluster cluster(1, 2);
    waitUntilReady(cluster);
    TwoOwners owners = ownersOf(cluster);
    owners.stallCandidate();
    isolate(cluster, owners.earlier(), partition);
    cluster.group.servers().at(cluster.group.primary()).leaving = true;
    for (const kelptally::group::ListedServer &server : cluster.group.listed())
        cluster.servers(owners.next()).onListed(server);
    owners.write(pastLeaseExpiry);
    owners.check();
}

// The earlier owner stops and names the next one; it is cut off from the store before it hears that
// the row is written.
void handOverWithoutAnswer(ModelCluster &cluster, const TwoOwners &owners)
{
    cluster.store.lostAnswerRate = 1;
    cluster.drain(owners.earlier());
    REQUIRE(cluster.runUntil(2s, [&] { return cluster.owner() == int(owners.next()); }));
    cluster.partitionFromStore(owners.earlier(), true);
    cluster.store.lostAnswerRate = 0;
    REQUIRE(cluster.ownership(owners.earlier()).owns(cluster.group.name()));
}

} // namespace

TEST_CASE("An owner that a silent network cuts off is not taken for ended")
{
    SECTION("and the next one can't reach the primary")
    {
        checkUnreachablePrimary(Partition::Silent);
    }
    SECTION("and the primary leaves")
    {
        checkLeavingPrimary(Partition::Silent);
    }
}

TEST_CASE("An owner that is alive behind a network that refuses is not taken for ended",
          "[ownerproof]")
{
    SECTION("and the next one can't reach the primary")
    {
        checkUnreachablePrimary(Partition::Refusing);
    }
    SECTION("and the primary leaves")
    {
        checkLeavingPrimary(Partition::Refusing);
    }
}

TEST_CASE("A host that started again is not alone in a group that was handed to its earlier run",
          "[handover]")
{
    ModelCluster cluster(1, 2);
    waitUntilReady(cluster);
    TwoOwners owners = ownersOf(cluster);
    // The owner does not hear of the start.
    cluster.partitionLinks(owners.earlier(), true);
    cluster.partition(owners.next(), true);
    cluster.kill(owners.next());
    cluster.restart(owners.next());
    cluster.partition(owners.next(), false);
    cluster.run(500ms);
    owners.partitionServersCrosswise();
    handOverWithoutAnswer(cluster, owners);
    owners.write(pastLeaseExpiry);
    owners.check();
}

TEST_CASE("A host that has not heard of the owner before is not alone in a group that it is given",
          "[handover]")
{
    ModelCluster cluster(1, 3);
    waitUntilReady(cluster);
    // 1. The host that is given the group in the end has links with both others, as it owned it.
    const std::size_t next = std::size_t(cluster.owner());
    cluster.freeze(next, 3s);
    REQUIRE(cluster.timeToWrite(next == 0 ? 1 : 0, 5s));
    const std::size_t first = std::size_t(cluster.owner());
    REQUIRE(first != next);
    cluster.run(4s);
    REQUIRE(cluster.allHostsKnowOwner());
    // 2. While it hears nothing the owner's process ends, and the third host follows.
    const std::size_t owner = 3 - first - next;
    isolate(cluster, next, Partition::Silent);
    cluster.kill(first);
    REQUIRE(cluster.timeToWrite(owner, 5s));
    REQUIRE(cluster.owner() == int(owner));
    TwoOwners owners(cluster, owner, next);
    owners.write(500ms);
    // 3. It is given the group, and hears all again but the one who gave it. The first owner has
    // truly ended; its next run can't reach the primary either, so that it does not take the group.
    cluster.group.partitions.insert({cluster.address(first), cluster.group.primary()});
    owners.partitionServersCrosswise();
    handOverWithoutAnswer(cluster, owners);
    isolate(cluster, owner, Partition::Silent);
    cluster.partitionFromStore(next, false);
    cluster.partitionLinks(next, false);
    cluster.restart(first);
    owners.write(pastLeaseExpiry);
    owners.check();
}
