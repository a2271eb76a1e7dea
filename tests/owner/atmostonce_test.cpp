#include "ownercluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <random>
#include <set>
#include <thread>

using namespace kelptally;
using namespace kelptally::owner;
using namespace std::chrono_literals;
using inner::StatementStep;

namespace {

// One operation of a caller, which may need several attempts.
struct Operation
{
    enum class Kind {
        // A write in one batch, a write in two batches, a transaction.
        Insert,
        Update,
        Transaction,
    };

    Kind kind = Kind::Insert;
    std::string key;
    std::string row;
    // Final outcome reported to the caller: done, or abandoned after all answers reported it as not
    // run.
    bool done = false;
    // Transaction of the last commit sent.
    std::string transaction;

    inner::Execute statement() const
    {
        if (kind == Kind::Update)
            return OwnerCluster::write("UPDATE offer SET amount = amount + 1 WHERE id = $1", {row});
        return OwnerCluster::write("INSERT INTO deposit(key, amount) VALUES ($1, 1)", {key});
    }
    inner::Execute request(StatementStep step) const
    {
        const bool hasStatement =
            step == StatementStep::Single || step == StatementStep::InTransaction;
        inner::Execute execute = hasStatement ? statement() : OwnerCluster::write("");
        execute.step = step;
        execute.transaction = transaction;
        execute.timeLeft = 1s;
        if (step == StatementStep::Single || step == StatementStep::Commit) {
            execute.key = key;
            execute.keyDigest = "digest of " + key;
        }
        return execute;
    }
};

// A caller session that sends through one of two entries at random and retries until the outcome is
// known.
class Caller
{
public:
    Caller(OwnerCluster &cluster, unsigned seed) : owners_(cluster.addresses()), random_(seed)
    {
        for (auto &entry : entries_)
            entry = std::make_unique<TestEntry>(owners_);
    }

    // Returns false if the outcome was unknown at the timeout.
    bool run(Operation &operation)
    {
        const Instant end = BootClock::now() + 40s;
        notExecuted_ = true;
        while (BootClock::now() < end) {
            const Executed executed = attempt(operation);
            operation.done = executed == Executed::Yes;
            notExecuted_ = notExecuted_ && executed == Executed::No;
            if (operation.done || (notExecuted_ && random_() % 4 == 0))
                return true;
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }
    // Repeats a completed operation; returns whether it was answered from the record.
    bool isReplayed(Operation &operation)
    {
        const bool single = operation.kind != Operation::Kind::Transaction;
        const auto step = single ? StatementStep::Single : StatementStep::Commit;
        for (int i = 0; i < 2000; ++i) {
            const inner::ExecuteResult result = send(operation.request(step));
            if (result.reason == Reason::None)
                return result.replayed;
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

private:
    // Sends through a random entry to the last known owner. A missing answer is an unknown outcome.
    inner::ExecuteResult send(const inner::Execute &execute)
    {
        const auto answer = entries_[random_() % entries_.size()]->tryOnce(owner_, execute);
        inner::ExecuteResult result = answer.value_or(inner::ExecuteResult {});
        if (!answer) {
            result.reason = Reason::OwnerUnreachable;
            result.executed = Executed::Unknown;
        }
        if (result.reason != Reason::None)
            owner_ =
                result.ownerHint.empty() ? owners_[random_() % owners_.size()] : result.ownerHint;
        return result;
    }

    Executed attempt(Operation &operation)
    {
        if (operation.kind != Operation::Kind::Transaction)
            return send(operation.request(StatementStep::Single)).executed;
        operation.transaction.clear();
        const inner::ExecuteResult begun = send(operation.request(StatementStep::Begin));
        if (begun.reason != Reason::None)
            return Executed::No;
        operation.transaction = begun.transaction;
        if (send(operation.request(StatementStep::InTransaction)).reason != Reason::None)
            return Executed::No;
        return commit(operation);
    }

    // Repeats the commit until its outcome is known. TransactionEnded with Executed::No is final.
    Executed commit(const Operation &operation)
    {
        for (int i = 0; i < 2000; ++i) {
            const inner::ExecuteResult result = send(operation.request(StatementStep::Commit));
            if (result.reason == Reason::None)
                return Executed::Yes;
            if (result.reason == Reason::TransactionEnded && result.executed == Executed::No)
                return Executed::No;
            std::this_thread::sleep_for(5ms);
        }
        return Executed::Unknown;
    }

    const std::vector<std::string> owners_;
    std::mt19937 random_;
    std::array<std::unique_ptr<TestEntry>, 2> entries_;
    std::string owner_ = owners_.front();
    bool notExecuted_ = true;
};

// Kills and pauses primaries and crashes owners at random; each fault is repaired before the next.
void injectFaults(OwnerCluster &cluster, std::mt19937 &random, int count)
{
    for (int i = 0; i < count; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 200));
        const std::string primary = cluster.primary();
        const auto time = std::chrono::milliseconds(150 + random() % 400);
        switch (random() % 3) {
        case 0:
            cluster.kill(primary);
            std::this_thread::sleep_for(time);
            cluster.restartServer(primary);
            break;
        case 1:
            cluster.pauseServer(primary, true);
            std::this_thread::sleep_for(time);
            cluster.pauseServer(primary, false);
            break;
        default: {
            const std::string owner = cluster.waitForServingOwner();
            cluster.crash(owner);
            std::this_thread::sleep_for(time);
            cluster.restart(owner);
        }
        }
    }
}

std::map<std::string, int> countByKey(OwnerCluster &cluster, const std::string &sql)
{
    const auto result = cluster.entry().execute(OwnerCluster::read(sql));
    INFO(reasonInfo(result.reason).name << ' ' << result.detail);
    REQUIRE(result.reason == Reason::None);
    std::map<std::string, int> counts;
    for (const auto &row : result.rows.values)
        counts[row.at(0).value()] = std::stoi(row.at(1).value());
    return counts;
}

void executeOrFail(OwnerCluster &cluster, const std::string &sql)
{
    const auto result = cluster.entry().execute(OwnerCluster::write(sql));
    INFO(result.detail);
    REQUIRE(result.reason == Reason::None);
}

constexpr int callerCount = 4;
constexpr int minOperations = 20;

} // namespace

TEST_CASE("A request with a key runs once despite failovers and lost answers")
{
    OwnerCluster cluster(3);
    executeOrFail(cluster, "CREATE TABLE deposit(key TEXT, amount INTEGER)");
    for (int i = 0; i < callerCount; ++i)
        executeOrFail(cluster,
                      "INSERT INTO offer(id, amount) VALUES ('" + std::to_string(i) + "', 0)");

    std::atomic<bool> faulty {true};
    std::atomic<int> unresolved {0};
    std::array<std::vector<Operation>, callerCount> operations;
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<std::thread> threads;
    for (int i = 0; i < callerCount; ++i)
        callers.push_back(std::make_unique<Caller>(cluster, 100u + static_cast<unsigned>(i)));
    for (std::size_t i = 0; i < callerCount; ++i) {
        threads.emplace_back([&, i] {
            for (int n = 0; (faulty || n < minOperations) && n < 400; ++n) {
                Operation operation;
                operation.kind = static_cast<Operation::Kind>(n % 3);
                operation.row = std::to_string(i);
                operation.key = operation.row + "." + std::to_string(n);
                unresolved += callers[i]->run(operation) ? 0 : 1;
                operations[i].push_back(operation);
                std::this_thread::sleep_for(10ms);
            }
        });
    }
    std::mt19937 random(7);
    injectFaults(cluster, random, 8);
    faulty = false;
    for (std::thread &thread : threads)
        thread.join();
    CHECK(unresolved == 0);

    const auto check = [&] {
        const auto deposits = countByKey(cluster, "SELECT key, count(*) FROM deposit GROUP BY key");
        const auto totals = countByKey(cluster, "SELECT id, amount FROM offer");
        for (std::size_t i = 0; i < callerCount; ++i) {
            int updates = 0;
            for (const Operation &operation : operations[i]) {
                INFO("key " << operation.key << " kind " << static_cast<int>(operation.kind));
                updates += operation.done && operation.kind == Operation::Kind::Update ? 1 : 0;
                const auto found = deposits.find(operation.key);
                const int times = found == deposits.end() ? 0 : found->second;
                if (operation.kind != Operation::Kind::Update)
                    CHECK(times == (operation.done ? 1 : 0));
            }
            CHECK(totals.at(std::to_string(i)) == updates);
        }
    };
    check();
    // A repeat of a completed operation is answered from its record, through either entry.
    int repeated = 0;
    for (std::size_t i = 0; i < callerCount; ++i)
        for (Operation &operation : operations[i])
            if (operation.done && ++repeated % 7 == 0)
                CHECK(callers[i]->isReplayed(operation));
    CHECK(repeated > callerCount * minOperations / 2);
    check();
}

TEST_CASE("Statements that could end or escape their transaction are refused")
{
    OwnerCluster cluster(1);
    for (const char *sql : {"COMMIT", "SELECT 1; SELECT 2", "SAVEPOINT a", "SELECT lastval()"}) {
        const auto result = cluster.entry().execute(OwnerCluster::write(sql));
        CHECK(result.reason == Reason::MalformedRequest);
        CHECK(result.executed == Executed::No);
    }
    const auto result =
        cluster.entry().execute(OwnerCluster::read("INSERT INTO offer VALUES ('x', 1)"));
    CHECK(result.reason == Reason::MalformedRequest);
}
