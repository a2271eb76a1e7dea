#include "modelcluster.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

// Losses of the primary while hosts have incomplete knowledge of the servers or of earlier changes.

namespace {

void waitUntilReady(ModelCluster &cluster)
{
    REQUIRE(cluster.timeToWrite(0, 5s));
    REQUIRE(cluster.runUntil(10s, [&] { return cluster.allHostsKnowOwner(); }));
    cluster.run(500ms);
}

// Writes at all running hosts every 10 ms.
void writeContinuously(ModelCluster &cluster, Duration time)
{
    for (Instant end = cluster.timers.now() + time; cluster.timers.now() < end;) {
        for (std::size_t host = 0; host < cluster.hosts.size(); ++host)
            if (cluster.isUp(host))
                cluster.write(host);
        cluster.run(10ms);
    }
}

// Crashes the primary and waits until another server leads.
void replacePrimary(ModelCluster &cluster)
{
    const ServerName first = cluster.group.primary();
    cluster.group.crash(first);
    REQUIRE(cluster.timeToWrite(std::size_t(cluster.owner()), 5s));
    cluster.group.replaceWithLog(first);
    writeContinuously(cluster, 15s);
    REQUIRE(cluster.group.promotions == 1);
}

void checkNoViolations(ModelCluster &cluster)
{
    const std::vector<std::string> &all = cluster.violations.all;
    INFO("first: " << (all.empty() ? "none" : all.front()));
    CHECK(all.size() == 0);
}

std::vector<ServerName> replicas(ModelCluster &cluster)
{
    std::vector<ServerName> all;
    for (const ServerName &id : cluster.group.existingServers())
        if (id != cluster.group.primary())
            all.push_back(id);
    return all;
}

} // namespace

TEST_CASE("The ownership row names the new primary after a change of primary")
{
    ModelCluster cluster(201);
    waitUntilReady(cluster);
    cluster.group.crash(cluster.group.primary());
    REQUIRE(cluster.timeToWrite(0, 5s));
    cluster.run(1s);
    const auto &row = cluster.store.tables["kelptally_owners"].at(cluster.group.name());
    const auto record = kelptally::group::decodeOwnership(row.value);
    REQUIRE(record.ok());
    CHECK(record->candidate.empty());
    CHECK(record->primary == cluster.group.primary());
}

// Hosts that start while the store is unavailable do not know the entries that have expired
// meanwhile, including that of the primary.
TEST_CASE("A lagging replica is not promoted by hosts that started while the store was unavailable")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        ModelCluster cluster(seed);
        cluster.useRegistry(seed);
        waitUntilReady(cluster);
        replacePrimary(cluster);
        const ServerName lagging = replicas(cluster).at(seed % 2);
        const ServerName lost = cluster.group.primary();
        cluster.group.servers().at(lagging).stalled = true;
        writeContinuously(cluster, 60ms);
        cluster.group.crash(lost);
        cluster.store.down = true;
        for (std::size_t host = 0; host < cluster.hosts.size(); ++host) {
            cluster.kill(host);
            cluster.run(1s);
            cluster.restart(host);
        }
        cluster.group.servers().at(lagging).stalled = false;
        cluster.run(2s);
        cluster.store.down = false;
        writeContinuously(cluster, 5s);
        cluster.group.replaceWithLog(lost);
        writeContinuously(cluster, 10s);
        CHECK(cluster.timeToWrite(0, 5s));
        checkNoViolations(cluster);
    }
}

// Until a replica has received its log, only the new primary holds what was acknowledged before the
// change.
TEST_CASE("A new primary is not replaced by a server that lacks earlier acknowledged commits")
{
    ModelCluster cluster(204);
    cluster.useRegistry(204);
    waitUntilReady(cluster);
    const ServerName lagging = replicas(cluster).at(1);
    cluster.group.servers().at(lagging).stalled = true;
    writeContinuously(cluster, 60ms);
    cluster.group.crash(cluster.group.primary());
    writeContinuously(cluster, 12s);
    cluster.group.servers().at(lagging).stalled = false;
    writeContinuously(cluster, 2s);
    CHECK(cluster.group.promotions == 1);
    CHECK(cluster.timeToWrite(0, 5s));
    checkNoViolations(cluster);
}

// The entry of one replica has expired though it still confirms commits; the other replica lags.
TEST_CASE("An owner promotes no server that lacks commits which the owner has acknowledged")
{
    ModelCluster cluster(203);
    cluster.useRegistry(203);
    waitUntilReady(cluster);
    const std::vector<ServerName> servers = replicas(cluster);
    cluster.registry().deniedRenewal.insert(servers.at(0));
    writeContinuously(cluster, 9'700ms);
    cluster.group.servers().at(servers.at(1)).stalled = true;
    writeContinuously(cluster, 60ms);
    const ServerName lost = cluster.group.primary();
    cluster.group.crash(lost);
    writeContinuously(cluster, 2s);
    cluster.registry().deniedRenewal.clear();
    cluster.group.replaceWithLog(lost);
    writeContinuously(cluster, 5s);
    CHECK(cluster.timeToWrite(0, 5s));
    checkNoViolations(cluster);
}
