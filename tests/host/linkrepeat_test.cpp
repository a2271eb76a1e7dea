#include "world.h"

#include <catch2/catch.hpp>

// A link that was cut delivers what was sent on it once the network is back, and that may be after
// the link that its host has dialled beside it: what comes late has been given up by then, and its
// session has gone on. In one run, at the owner, in the order of arrival:
//   end    of what number 1442 began     new link
//   begin  number 1470, on connection A  new link, and two more statements of its transaction
//   begin  number 1424, on connection B  old link; B took the place of A
//   commit of the session                ran on connection B
using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t sessionNumber = 9001;

void settle(World &world)
{
    REQUIRE(world.timeToWrite(0, 5s));
    REQUIRE(world.runUntil(10s, [&] { return world.allKnowOwner(); }));
    world.run(500ms);
}

std::size_t otherThan(int host)
{
    return host == 0 ? 1 : 0;
}

bool isServed(World &world, const World::OutcomePtr &outcome)
{
    return world.runUntil(700ms, [&] { return outcome->done; })
        && outcome->result.reason == Reason::None;
}

// The entry is cut off for so long that it gives up what it has sent, and is back on other links.
void cutUntilGivenUp(World &world, std::size_t entry, const World::OutcomePtr &sent)
{
    const int owner = world.owner();
    world.cut(entry, true);
    world.run(200ms);
    // As long as a statement waits for the owner, the entry dials it again.
    const auto waiting = world.read(entry, inner::ReadRule::Newest);
    world.run(650ms);
    REQUIRE(sent->done);
    REQUIRE(sent->result.reason != Reason::None);
    world.cut(entry, false);
    REQUIRE(isServed(world, waiting));
    REQUIRE(world.owner() == owner);
}

// The session's transaction, that was begun and is to be committed, is whole and alone.
void checkCommits(World &world, std::size_t entry, const World::OutcomePtr &begun)
{
    const auto committed = world.commit(entry, sessionNumber);
    REQUIRE(isServed(world, committed));
    CHECK(world.group.committedWith[committed->result.signature]
          == std::vector<std::string> {begun->result.signature});
}

void checkRight(World &world)
{
    world.checkRefused();
    CHECK(world.violations.all == std::vector<std::string>());
    CHECK(world.group.openTransactions() == 0);
}

} // namespace

TEST_CASE("A begin that was given up and comes late does not replace the session's transaction")
{
    World world(40);
    settle(world);
    const std::size_t entry = otherThan(world.owner());
    world.delayLinks();
    cutUntilGivenUp(world, entry, world.begin(entry, sessionNumber));
    const auto begun = world.begin(entry, sessionNumber);
    REQUIRE(isServed(world, begun));
    world.deliverDelayed();
    world.run(100ms);
    checkCommits(world, entry, begun);
    world.run(1s);
    checkRight(world);
}

TEST_CASE("A begin that comes after the end of its transaction opens none")
{
    World world(41);
    settle(world);
    const std::size_t entry = otherThan(world.owner());
    world.delayLinks();
    cutUntilGivenUp(world, entry, world.begin(entry, sessionNumber));
    world.deliverDelayed();
    world.run(100ms);
    CHECK(world.group.openTransactions() == 0);
    const auto begun = world.begin(entry, sessionNumber);
    REQUIRE(isServed(world, begun));
    checkCommits(world, entry, begun);
    world.run(1s);
    checkRight(world);
}

TEST_CASE("A commit that was given up and comes late does not commit the session's transaction")
{
    World world(42);
    settle(world);
    const std::size_t entry = otherThan(world.owner());
    REQUIRE(isServed(world, world.begin(entry, sessionNumber)));
    world.delayLinks();
    cutUntilGivenUp(world, entry, world.commit(entry, sessionNumber));
    const auto begun = world.begin(entry, sessionNumber);
    REQUIRE(isServed(world, begun));
    const int commits = world.group.commits;
    world.deliverDelayed();
    world.run(100ms);
    CHECK(world.group.commits == commits);
    checkCommits(world, entry, begun);
    world.run(1s);
    checkRight(world);
}
