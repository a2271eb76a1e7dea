#include "../inner/linkfixtures.h"
#include "ownercluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace kelptally;
using namespace kelptally::owner;
using namespace std::chrono_literals;

namespace {

constexpr Duration closeTimeout = 1s;

// Runs transactions from several entries until destroyed.
class TransactionLoad
{
public:
    TransactionLoad(const std::vector<std::string> &owners, int entries)
    {
        for (int i = 0; i < entries; ++i) {
            std::vector<std::string> rotated = owners;
            std::rotate(rotated.begin(), rotated.begin() + i % long(owners.size()), rotated.end());
            threads_.emplace_back([this, rotated] { run(rotated); });
        }
    }
    ~TransactionLoad()
    {
        stopping_ = true;
        for (std::thread &thread : threads_)
            thread.join();
    }

    int completed() const { return completed_; }

private:
    void run(const std::vector<std::string> &owners)
    {
        TestEntry entry(owners);
        while (!stopping_) {
            inner::Execute step = OwnerCluster::write("");
            step.step = inner::StatementStep::Begin;
            const auto begun = entry.tryOnce(owners.front(), step);
            if (!begun || begun->reason != Reason::None) {
                std::this_thread::sleep_for(2ms);
                continue;
            }
            step = OwnerCluster::write("SELECT count(*) FROM offer");
            step.step = inner::StatementStep::InTransaction;
            step.transaction = begun->transaction;
            entry.tryOnce(owners.front(), step);
            step = OwnerCluster::write("");
            step.step = inner::StatementStep::Rollback;
            step.transaction = begun->transaction;
            if (const auto done = entry.tryOnce(owners.front(), step))
                completed_ += done->reason == Reason::None;
        }
    }

    std::atomic<bool> stopping_ {false};
    std::atomic<int> completed_ {0};
    std::vector<std::thread> threads_;
};

// Starts a transaction and disconnects while its BEGIN is running.
void beginAndDisconnect(OwnerCluster &cluster, const std::string &owner)
{
    inner::PeerLinkOptions options = inner::linkOptions(takeFreeAddress());
    options.peerKey = testPeerKey;
    inner::Process caller(options);
    caller.links->connect(owner);
    REQUIRE(caller.events.waitForUps(1));
    const std::string primary = cluster.primary();
    cluster.pauseServer(primary, true);
    inner::Execute begin = OwnerCluster::write("");
    begin.step = inner::StatementStep::Begin;
    REQUIRE(caller.links->sendTo(owner, begin).ok());
    std::this_thread::sleep_for(50ms);
    caller.links.reset();
    std::this_thread::sleep_for(50ms);
    cluster.pauseServer(primary, false);
}

bool hasNoConnections(OwnerCluster &cluster)
{
    const Instant end = BootClock::now() + closeTimeout;
    while (cluster.openConnections() > 0) {
        if (BootClock::now() >= end)
            return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

} // namespace

// Connections that a stopped owner left open counted at the servers beside those of its successor.
TEST_CASE("An owner that is stopped under load leaves no connection to the servers")
{
    OwnerCluster cluster(1);
    const std::string owner = cluster.addresses().front();
    const TransactionLoad load(cluster.addresses(), 20);
    for (int round = 0; round < 5; ++round) {
        REQUIRE(cluster.waitForServingOwner() == owner);
        const int before = load.completed();
        const Instant end = BootClock::now() + 10s;
        while (load.completed() < before + 20 && BootClock::now() < end)
            std::this_thread::sleep_for(1ms);
        REQUIRE(load.completed() >= before + 20);
        cluster.crash(owner);
        INFO("round " << round << ", " << cluster.openConnections() << " connections");
        CHECK(hasNoConnections(cluster));
        cluster.restart(owner);
    }
}

// A transaction whose caller disconnected during its BEGIN stayed counted as a request in progress,
// so that the owner never finished draining.
TEST_CASE("An owner drains after a caller disconnected during BEGIN")
{
    OwnerCluster cluster(2);
    const std::string owner = cluster.waitForServingOwner();
    REQUIRE(cluster.waitForSuccessors(1));
    beginAndDisconnect(cluster, owner);
    cluster.owner(owner).drain();
    const Instant end = BootClock::now() + 10s;
    while (!cluster.owner(owner).drained() && BootClock::now() < end)
        std::this_thread::sleep_for(5ms);
    CHECK(cluster.owner(owner).drained());
}

// The owner and the reserves of its successors exceeded the limit of servers with few connections.
TEST_CASE("Connections to servers with few of them stay within the limit during hand-overs")
{
    const int allowed = GENERATE(3, 4, 5, 6);
    standin::ServerLimits limits = OwnerCluster::zeroConnectionCost();
    limits.connections = 200;
    OwnerCluster cluster(3, limits, allowed);
    // Successors open their reserves a while after their first promise.
    constexpr Duration reservesOpen = 3500ms;
    const std::string owner = cluster.waitForServingOwner();
    REQUIRE(cluster.waitForSuccessors(2));
    const TransactionLoad load(cluster.addresses(), 8);
    std::this_thread::sleep_for(reservesOpen);
    CHECK(load.completed() > 0);
    cluster.owner(owner).drain();
    const Instant end = BootClock::now() + 10s;
    while (!cluster.owner(owner).drained() && BootClock::now() < end)
        std::this_thread::sleep_for(5ms);
    CHECK(cluster.owner(owner).drained());
    const std::string next = cluster.waitForServingOwner();
    CHECK_FALSE(next.empty());
    CHECK(next != owner);
    std::this_thread::sleep_for(500ms);
    CHECK(cluster.peakConnections() <= allowed);
}
