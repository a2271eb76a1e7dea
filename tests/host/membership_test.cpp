#include "world.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

// Losses of the primary while hosts do not know all servers, or not all of what happened before.

namespace {

void settle(World &world)
{
    REQUIRE(world.timeToWrite(0, 5s));
    REQUIRE(world.runUntil(10s, [&] { return world.allKnowOwner(); }));
    world.run(500ms);
}

// Writes at all hosts that are up, several in 25 ms.
void press(World &world, Duration time)
{
    for (Instant end = world.timers.now() + time; world.timers.now() < end;) {
        for (std::size_t host = 0; host < world.hosts.size(); ++host)
            if (world.isUp(host))
                world.write(host);
        world.run(10ms);
    }
}

// The primary crashes, and another leads.
void loseOnePrimary(World &world)
{
    const ServerName first = world.group.primary();
    world.group.crash(first);
    REQUIRE(world.timeToWrite(std::size_t(world.owner()), 5s));
    world.group.succeed(first);
    press(world, 15s);
    REQUIRE(world.group.promotions == 1);
}

void checkNothingLost(World &world)
{
    const std::vector<std::string> &all = world.violations.all;
    INFO("first: " << (all.empty() ? "none" : all.front()));
    CHECK(all.size() == 0);
}

std::vector<ServerName> replicas(World &world)
{
    std::vector<ServerName> all;
    for (const ServerName &id : world.group.existing())
        if (id != world.group.primary())
            all.push_back(id);
    return all;
}

} // namespace

TEST_CASE("The row names the server that leads after a change of the primary")
{
    World world(201);
    settle(world);
    world.group.crash(world.group.primary());
    REQUIRE(world.timeToWrite(0, 5s));
    world.run(1s);
    const auto &row = world.store.tables["kelptally_owners"].at(world.group.name());
    const auto record = kelptally::group::decodeOwnership(row.value);
    REQUIRE(record.ok());
    CHECK(record->candidate.empty());
    CHECK(record->primary == world.group.primary());
}

// The hosts that are there when the store is back know of no entry that lapsed meanwhile, the
// primary's among them.
TEST_CASE("A replica that lags is not promoted by hosts that started while the store was away")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        World world(seed);
        world.useRegistry(seed);
        settle(world);
        loseOnePrimary(world);
        const ServerName lagging = replicas(world).at(seed % 2);
        const ServerName lost = world.group.primary();
        world.group.servers().at(lagging).deaf = true;
        press(world, 60ms);
        world.group.crash(lost);
        world.store.down = true;
        for (std::size_t host = 0; host < world.hosts.size(); ++host) {
            world.kill(host);
            world.run(1s);
            world.restart(host);
        }
        world.group.servers().at(lagging).deaf = false;
        world.run(2s);
        world.store.down = false;
        press(world, 5s);
        world.group.succeed(lost);
        press(world, 10s);
        CHECK(world.timeToWrite(0, 5s));
        checkNothingLost(world);
    }
}

// What was acknowledged before the change, only the new primary holds until a replica has received
// it.
TEST_CASE("A new primary is not replaced by a server that lacks what was acknowledged before")
{
    World world(204);
    world.useRegistry(204);
    settle(world);
    const ServerName lagging = replicas(world).at(1);
    world.group.servers().at(lagging).deaf = true;
    press(world, 60ms);
    world.group.crash(world.group.primary());
    press(world, 12s);
    world.group.servers().at(lagging).deaf = false;
    press(world, 2s);
    CHECK(world.group.promotions == 1);
    CHECK(world.timeToWrite(0, 5s));
    checkNothingLost(world);
}

// One replica's entry has lapsed, though the replica goes on confirming; the other one lags.
TEST_CASE("An owner promotes no server that lacks what the owner has acknowledged")
{
    World world(203);
    world.useRegistry(203);
    settle(world);
    const std::vector<ServerName> servers = replicas(world);
    world.registry().turnedAway.insert(servers.at(0));
    press(world, 9'700ms);
    world.group.servers().at(servers.at(1)).deaf = true;
    press(world, 60ms);
    const ServerName lost = world.group.primary();
    world.group.crash(lost);
    press(world, 2s);
    world.registry().turnedAway.clear();
    world.group.succeed(lost);
    press(world, 5s);
    CHECK(world.timeToWrite(0, 5s));
    checkNothingLost(world);
}
