#include "ownercluster.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace kelptally;
using namespace kelptally::owner;
using namespace std::chrono_literals;
using inner::StatementStep;

namespace {

inner::Execute step(StatementStep step, const std::string &transaction = "",
                    const std::string &sql = "")
{
    inner::Execute execute = OwnerCluster::write(sql);
    execute.step = step;
    execute.transaction = transaction;
    return execute;
}

std::string begin(TestEntry &entry)
{
    const auto begun = entry.execute(step(StatementStep::Begin));
    INFO(reasonInfo(begun.reason).name << ' ' << begun.detail);
    REQUIRE(begun.reason == Reason::None);
    return begun.transaction;
}

// Returns the single value of a statement in a transaction.
std::string valueOf(TestEntry &entry, const std::string &transaction, const std::string &sql)
{
    const auto result = entry.execute(step(StatementStep::InTransaction, transaction, sql));
    INFO(reasonInfo(result.reason).name << ' ' << result.detail);
    REQUIRE(result.reason == Reason::None);
    return result.rows.values.at(0).at(0).value_or("");
}

} // namespace

TEST_CASE("Connections to each server stay within the limit during hand-overs and crashes")
{
    // The servers accept more connections, so that a breach of the limit is detected.
    standin::ServerLimits limits = OwnerCluster::zeroConnectionCost();
    limits.connections = 200;
    OwnerCluster cluster(3, limits);
    const int allowed = cluster.inventory().groups.front().servers.front().connections;
    cluster.waitForServingOwner();

    std::atomic<bool> busy {true};
    std::atomic<int> committed {0};
    std::vector<std::thread> threads;
    // More transactions than connections, so that the pools reach their limits.
    for (int i = 0; i < allowed + 5; ++i) {
        threads.emplace_back([&] {
            TestEntry entry(cluster.addresses());
            while (busy) {
                const auto begun = entry.execute(step(StatementStep::Begin));
                if (begun.reason != Reason::None)
                    continue;
                entry.execute(step(StatementStep::InTransaction, begun.transaction, "SELECT 1"));
                std::this_thread::sleep_for(20ms);
                const auto done = entry.execute(step(StatementStep::Commit, begun.transaction));
                committed += done.reason == Reason::None ? 1 : 0;
            }
        });
    }
    for (int i = 0; i < 4; ++i) {
        const int before = committed;
        const Instant end = BootClock::now() + 20s;
        while (committed < before + allowed && BootClock::now() < end)
            std::this_thread::sleep_for(10ms);
        const std::string owner = cluster.waitForServingOwner();
        if (i % 2 == 0) {
            cluster.owner(owner).drain();
            while (!cluster.owner(owner).drained() && BootClock::now() < end)
                std::this_thread::sleep_for(5ms);
        }
        cluster.crash(owner);
        cluster.restart(owner);
    }
    busy = false;
    for (std::thread &thread : threads)
        thread.join();
    CHECK(committed > allowed);
    CHECK(cluster.peakConnections() <= allowed);
    CHECK(cluster.peakConnections() > allowed / 2);
}

TEST_CASE("A transaction is isolated from others and from the next user of its connection")
{
    OwnerCluster cluster(2);
    TestEntry &one = cluster.entry();
    TestEntry two(cluster.addresses());
    const std::string count = "SELECT count(*) FROM offer";

    const std::string first = begin(one);
    const std::string second = begin(two);
    REQUIRE(one.execute(step(StatementStep::InTransaction, first,
                             "INSERT INTO offer(id, amount) VALUES ('first', 1)"))
                .reason
            == Reason::None);
    REQUIRE(
        one.execute(step(StatementStep::InTransaction, first, "SET search_path = 'first'")).reason
        == Reason::None);
    // Its changes are visible through any entry, but not in other transactions.
    CHECK(valueOf(two, first, count) == "1");
    CHECK(valueOf(one, second, count) == "0");
    CHECK(valueOf(two, second, "SHOW search_path").empty());
    CHECK(two.execute(OwnerCluster::read(count)).rows.values.at(0).at(0) == Value("0"));
    // Another team cannot use the transaction.
    inner::Execute foreign = step(StatementStep::InTransaction, first, count);
    foreign.team = "others";
    CHECK(two.execute(foreign).reason != Reason::None);

    // Later transactions on the same connections see neither its settings nor its changes.
    REQUIRE(one.execute(step(StatementStep::Rollback, first)).reason == Reason::None);
    REQUIRE(two.execute(step(StatementStep::Commit, second)).reason == Reason::None);
    std::vector<std::string> open;
    for (int i = 0; i < 10; ++i)
        open.push_back(begin(i % 2 == 0 ? one : two));
    for (const std::string &transaction : open) {
        CHECK(valueOf(one, transaction, "SHOW search_path").empty());
        CHECK(valueOf(two, transaction, count) == "0");
    }
    for (const std::string &transaction : open)
        CHECK(one.execute(step(StatementStep::Rollback, transaction)).reason == Reason::None);
}
