#include "modelcluster.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

// Promotion requests must reach the platform in the order of their fencing tokens.
using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

namespace {

// Longer than a lease and its margin.
constexpr Duration pastLeaseExpiry = 16s;

void waitUntilReady(ModelCluster &cluster)
{
    REQUIRE(cluster.timeToWrite(0, 5s));
    REQUIRE(cluster.runUntil(10s, [&] { return cluster.allHostsKnowOwner(); }));
    cluster.run(500ms);
}

void crashPrimary(ModelCluster &cluster)
{
    cluster.group.crash(cluster.group.primary());
}

// Runs until another host owns the group, and returns that host.
std::size_t waitForOwnerOtherThan(ModelCluster &cluster, std::size_t former)
{
    const Instant end = cluster.timers.now() + pastLeaseExpiry;
    while (std::size_t(cluster.owner()) == former && cluster.timers.now() < end) {
        cluster.write(former == 0 ? 1 : 0);
        cluster.run(20ms);
    }
    REQUIRE(std::size_t(cluster.owner()) != former);
    return std::size_t(cluster.owner());
}

void checkServedWithoutViolation(ModelCluster &cluster, std::size_t host)
{
    CHECK(cluster.timeToWrite(host, pastLeaseExpiry));
    cluster.run(5s);
    cluster.checkStatementResults();
    CHECK(cluster.group.promotions > 0);
    CHECK(cluster.violations.all == std::vector<std::string>());
}

// A random schedule of lost primaries, ends and pauses of owners, and paths to the promotion call
// that are blocked or slow.
class RandomSchedule
{
public:
    explicit RandomSchedule(std::uint64_t seed) : random_(seed), cluster_(seed) { }

    void run()
    {
        waitUntilReady(cluster_);
        for (int step = 0; step < steps; ++step) {
            addFault();
            const Instant end = cluster_.timers.now() + draw(Duration(3s));
            while (cluster_.timers.now() < end) {
                writeAtAnyHost();
                cluster_.run(20ms);
            }
        }
        recover();
    }

    ModelCluster &cluster() { return cluster_; }

private:
    static constexpr int steps = 25;
    static constexpr Duration maxPathFault = 4s;
    // Shorter than the time in which a sent request counts as under way.
    static constexpr Duration maxDelay = 2900ms;

    std::size_t anyHost() { return random_() % cluster_.hosts.size(); }
    std::size_t ownerOrAny()
    {
        return cluster_.owner() < 0 ? anyHost() : std::size_t(cluster_.owner());
    }
    Duration draw(Duration most)
    {
        std::uniform_real_distribution<double> share(0, 1);
        return std::chrono::duration_cast<Duration>(most * share(random_));
    }
    void later(Duration most, std::function<void()> action)
    {
        cluster_.timers.subscribeAfter(draw(most), std::move(action));
    }

    void writeAtAnyHost()
    {
        const std::size_t host = anyHost();
        if (cluster_.isUp(host))
            cluster_.write(host);
    }

    void addFault()
    {
        const std::size_t host = ownerOrAny();
        switch (random_() % 6) {
        case 0:
        case 1:
            crashPrimary();
            break;
        case 2:
            cluster_.blockPromotions(host, true);
            later(maxPathFault, [this, host] { cluster_.blockPromotions(host, false); });
            break;
        case 3:
            cluster_.delayPromotions(host, draw(maxDelay));
            later(maxPathFault, [this, host] { cluster_.delayPromotions(host, 1ms); });
            break;
        case 4:
            cluster_.freeze(host, draw(pastLeaseExpiry));
            break;
        default:
            stop(host);
        }
    }

    void crashPrimary()
    {
        const ServerName primary = cluster_.group.primary();
        if (primary.empty() || !cluster_.group.servers().at(primary).running)
            return;
        cluster_.group.crash(primary);
        later(Duration(5s), [this, primary] { cluster_.group.restart(primary); });
    }

    // Begins a planned stop and starts the host again some time after it has ended or was killed.
    void stop(std::size_t host)
    {
        if (!cluster_.isUp(host) || stopping_.count(host) != 0)
            return;
        stopping_.insert(host);
        cluster_.drain(host);
        later(Duration(6s), [this, host] {
            cluster_.kill(host);
            later(Duration(1s), [this, host] {
                cluster_.restart(host);
                stopping_.erase(host);
            });
        });
    }

    void recover()
    {
        cluster_.run(pastLeaseExpiry + pastLeaseExpiry);
        CHECK(cluster_.timeToWrite(anyHost(), pastLeaseExpiry));
    }

    std::mt19937_64 random_;
    ModelCluster cluster_;
    std::set<std::size_t> stopping_;
};

} // namespace

TEST_CASE("A former owner's promotion request that waits for a connection is not sent")
{
    ModelCluster cluster(GENERATE(1, 2, 3, 4, 5));
    waitUntilReady(cluster);
    const std::size_t former = std::size_t(cluster.owner());
    cluster.blockPromotions(former, true);
    crashPrimary(cluster);
    REQUIRE(cluster.runUntil(5s, [&] { return cluster.waitingPromotions(former) > 0; }));
    cluster.drain(former);
    const std::size_t next = waitForOwnerOtherThan(cluster, former);
    REQUIRE(cluster.runUntil(5s, [&] { return cluster.sentPromotions(next) > 0; }));
    cluster.run(10ms);
    REQUIRE(cluster.waitingPromotions(former) > 0);
    cluster.blockPromotions(former, false);
    checkServedWithoutViolation(cluster, next);
    CHECK(cluster.sentPromotions(former) == 0);
}

TEST_CASE("An owner's end is not confirmed while its promotion request may still arrive")
{
    // A request that takes over 1.5 s has been given up by its sender before it arrives.
    const Duration delay = GENERATE(Duration(200ms), Duration(1s), Duration(2s), Duration(2800ms));
    CAPTURE(toMilliseconds(delay));
    ModelCluster cluster(GENERATE(1, 2, 3));
    waitUntilReady(cluster);
    const std::size_t former = std::size_t(cluster.owner());
    cluster.delayPromotions(former, delay);
    crashPrimary(cluster);
    REQUIRE(cluster.runUntil(5s, [&] { return cluster.sentPromotions(former) > 0; }));
    cluster.drain(former);
    checkServedWithoutViolation(cluster, waitForOwnerOtherThan(cluster, former));
}

TEST_CASE("A promotion request that waited while its owner's lease expired is not sent")
{
    ModelCluster cluster(GENERATE(1, 2, 3));
    waitUntilReady(cluster);
    const std::size_t former = std::size_t(cluster.owner());
    cluster.blockPromotions(former, true);
    crashPrimary(cluster);
    REQUIRE(cluster.runUntil(5s, [&] { return cluster.waitingPromotions(former) > 0; }));
    cluster.freeze(former, pastLeaseExpiry);
    cluster.blockPromotions(former, false);
    const std::size_t next = waitForOwnerOtherThan(cluster, former);
    checkServedWithoutViolation(cluster, next);
    cluster.run(pastLeaseExpiry);
    CHECK(cluster.violations.all == std::vector<std::string>());
    CHECK(cluster.sentPromotions(former) == 0);
}

TEST_CASE("Another replica is promoted only once an unanswered promotion request can't arrive")
{
    ModelCluster cluster(GENERATE(1, 2, 3));
    waitUntilReady(cluster);
    const std::size_t owner = std::size_t(cluster.owner());
    const ServerName crashed = cluster.group.primary();
    cluster.delayPromotions(owner, 2900ms);
    cluster.group.crash(crashed);
    REQUIRE(cluster.runUntil(5s, [&] { return cluster.sentPromotions(owner) > 0; }));
    const ServerName candidate = cluster.requestedCandidate(owner);
    cluster.delayPromotions(owner, 1ms);
    // The candidate runs on, but neither the owner nor the other servers reach it.
    cluster.run(1400ms);
    cluster.group.partitions.insert({cluster.address(owner), candidate});
    cluster.group.silenceConnections(candidate);
    cluster.group.servers().at(candidate).stalled = true;
    cluster.group.restart(crashed);
    for (int i = 0; i < 300; ++i) {
        cluster.write(owner);
        cluster.run(10ms);
    }
    cluster.group.servers().at(candidate).stalled = false;
    cluster.group.healPartition(cluster.address(owner), candidate);
    checkServedWithoutViolation(cluster, owner);
}

TEST_CASE("Promotion requests arrive in the order of their tokens under random faults")
{
    constexpr std::uint64_t seeds = 20;
    int promotions = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        RandomSchedule schedule(seed);
        schedule.run();
        schedule.cluster().checkStatementResults();
        CHECK(schedule.cluster().violations.all == std::vector<std::string>());
        promotions += schedule.cluster().group.promotions;
    }
    CHECK(promotions > int(seeds));
}
