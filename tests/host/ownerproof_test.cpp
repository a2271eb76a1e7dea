#include "world.h"

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
constexpr Duration afterLease = 16s;
// From the promotion call until the candidate leads, and longer.
constexpr Duration untilLead = 2s;

enum class Cut { Refusing, Silent };

void settle(World &world)
{
    REQUIRE(world.timeToWrite(0, 5s));
    REQUIRE(world.runUntil(10s, [&] { return world.allKnowOwner(); }));
    world.run(500ms);
}

// The host keeps its callers and the servers, and loses all else.
void isolate(World &world, std::size_t host, Cut cut)
{
    world.cutFromStore(host, true);
    if (cut == Cut::Refusing)
        world.refuseLinks(host, true);
    else
        world.cutLinks(host, true);
}

// An owner that is unheard, and the one that the row names after it. Callers of both write.
class TwoOwners
{
public:
    TwoOwners(World &world, std::size_t earlier, std::size_t next)
        : world_(world), earlier_(earlier), next_(next)
    { }

    std::size_t earlier() const { return earlier_; }
    std::size_t next() const { return next_; }

    // The next owner's first candidate receives nothing from the call that promotes it, for a
    // while.
    void loseCandidate() { losesCandidate_ = true; }

    // The next owner can't reach the primary, nor the earlier one the replica that is promoted when
    // all hold the same: what the other replica confirms to it, that one lacks.
    void crossServers()
    {
        const ServerName primary = world_.group.primary();
        world_.group.cuts.insert({world_.address(next_), primary});
        for (const auto &[id, server] : world_.group.servers()) {
            if (id == primary)
                continue;
            world_.group.cuts.insert({world_.address(earlier_), id});
            return;
        }
    }

    void write(Duration time)
    {
        const Instant end = world_.timers.now() + time;
        for (int ms = 0; world_.timers.now() < end; ++ms) {
            if (ms % 10 == 0) {
                world_.write(earlier_);
                world_.write(next_);
            }
            world_.run(1ms);
            watch();
        }
    }

    void check()
    {
        world_.checkRefused();
        CHECK_FALSE(bothAct_);
        CHECK(world_.group.promotions > 0);
        CHECK(world_.violations.all == std::vector<std::string>());
    }

private:
    void watch()
    {
        const auto &next = world_.ownership(next_);
        const auto &earlier = world_.ownership(earlier_);
        const GroupName group = world_.group.name();
        const bool nextAlone = next.owns(group) && next.hasLease(group) && next.isSoleOwner(group);
        bothAct_ = bothAct_ || (nextAlone && earlier.owns(group) && earlier.hasLease(group));
        if (!losesCandidate_ || !world_.group.isPromoting())
            return;
        losesCandidate_ = false;
        ModelServer &candidate = world_.group.servers().at(world_.group.promoting());
        candidate.deaf = true;
        world_.timers.subscribeAfter(untilLead, [&candidate] { candidate.deaf = false; });
    }

    World &world_;
    const std::size_t earlier_;
    const std::size_t next_;
    bool losesCandidate_ = false;
    // The next owner held itself for the only one while the earlier one had its lease.
    bool bothAct_ = false;
};

// Both hosts of a world, of which one owns the group.
TwoOwners ownersOf(World &world)
{
    const std::size_t owner = std::size_t(world.owner());
    return TwoOwners(world, owner, 1 - owner);
}

// The next owner replaces a primary that it alone can't reach.
void checkUnreachedPrimary(Cut cut)
{
    World world(1, 2);
    settle(world);
    TwoOwners owners = ownersOf(world);
    owners.crossServers();
    isolate(world, owners.earlier(), cut);
    owners.write(afterLease);
    owners.check();
}

// The next owner replaces a leaving primary. The earlier one has not heard that it leaves, finds
// that its writes hang, and lets the stopped replica receive again.
void checkLeavingPrimary(Cut cut)
{
    World world(1, 2);
    settle(world);
    TwoOwners owners = ownersOf(world);
    owners.loseCandidate();
    isolate(world, owners.earlier(), cut);
    world.group.servers().at(world.group.primary()).leaving = true;
    for (const kelptally::group::ListedServer &server : world.group.listed())
        world.servers(owners.next()).onListed(server);
    owners.write(afterLease);
    owners.check();
}

// The earlier owner stops and names the next one; it is cut off from the store before it hears that
// the row is written.
void handOverUnheard(World &world, const TwoOwners &owners)
{
    world.store.lostAnswers = 1;
    world.drain(owners.earlier());
    REQUIRE(world.runUntil(2s, [&] { return world.owner() == int(owners.next()); }));
    world.cutFromStore(owners.earlier(), true);
    world.store.lostAnswers = 0;
    REQUIRE(world.ownership(owners.earlier()).owns(world.group.name()));
}

} // namespace

TEST_CASE("An owner that a silent network cuts off is not taken for ended")
{
    SECTION("and the next one can't reach the primary")
    {
        checkUnreachedPrimary(Cut::Silent);
    }
    SECTION("and the primary leaves")
    {
        checkLeavingPrimary(Cut::Silent);
    }
}

TEST_CASE("An owner that is alive behind a network that refuses is not taken for ended",
          "[ownerproof]")
{
    SECTION("and the next one can't reach the primary")
    {
        checkUnreachedPrimary(Cut::Refusing);
    }
    SECTION("and the primary leaves")
    {
        checkLeavingPrimary(Cut::Refusing);
    }
}

TEST_CASE("A host that started again is not alone in a group that was handed to its earlier run",
          "[handover]")
{
    World world(1, 2);
    settle(world);
    TwoOwners owners = ownersOf(world);
    // The owner does not hear of the start.
    world.cutLinks(owners.earlier(), true);
    world.cut(owners.next(), true);
    world.kill(owners.next());
    world.restart(owners.next());
    world.cut(owners.next(), false);
    world.run(500ms);
    owners.crossServers();
    handOverUnheard(world, owners);
    owners.write(afterLease);
    owners.check();
}

TEST_CASE("A host that has not heard of the owner before is not alone in a group that it is given",
          "[handover]")
{
    World world(1, 3);
    settle(world);
    // 1. The host that is given the group in the end has links with both others, as it owned it.
    const std::size_t next = std::size_t(world.owner());
    world.freeze(next, 3s);
    REQUIRE(world.timeToWrite(next == 0 ? 1 : 0, 5s));
    const std::size_t first = std::size_t(world.owner());
    REQUIRE(first != next);
    world.run(4s);
    REQUIRE(world.allKnowOwner());
    // 2. While it hears nothing the owner's process ends, and the third host follows.
    const std::size_t owner = 3 - first - next;
    isolate(world, next, Cut::Silent);
    world.kill(first);
    REQUIRE(world.timeToWrite(owner, 5s));
    REQUIRE(world.owner() == int(owner));
    TwoOwners owners(world, owner, next);
    owners.write(500ms);
    // 3. It is given the group, and hears all again but the one who gave it. The first owner has
    // truly ended; its next run can't reach the primary either, so that it does not take the group.
    world.group.cuts.insert({world.address(first), world.group.primary()});
    owners.crossServers();
    handOverUnheard(world, owners);
    isolate(world, owner, Cut::Silent);
    world.cutFromStore(next, false);
    world.cutLinks(next, false);
    world.restart(first);
    owners.write(afterLease);
    owners.check();
}
