#include "backend/connectionpool.h"

#include "core/manualtimerservice.h"
#include "fakeserver.h"

#include <catch2/catch.hpp>

#include <optional>
#include <random>

using namespace kelptally;
using namespace kelptally::backend;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Outcome of one request for a connection.
struct AcquireResult
{
    std::optional<absl::Status> status;
    std::shared_ptr<Connection> connection;
};

struct PoolFixture
{
    explicit PoolFixture(PoolOptions options = defaults())
        : pool(std::make_shared<ConnectionPool>(timers, server, std::move(options)))
    { }

    static PoolOptions defaults()
    {
        PoolOptions options;
        options.limit = 3;
        return options;
    }

    std::shared_ptr<AcquireResult> acquireConnection(Duration timeout = seconds(1))
    {
        auto acquired = std::make_shared<AcquireResult>();
        pool->acquire(
            timers.now() + timeout,
            [acquired](const absl::Status &status, std::shared_ptr<Connection> connection) {
                REQUIRE_FALSE(acquired->status);
                acquired->status = status;
                acquired->connection = std::move(connection);
            });
        return acquired;
    }
    // Opens a new connection.
    std::shared_ptr<Connection> acquireNewConnection()
    {
        const auto acquired = acquireConnection();
        while (!acquired->status)
            server->accept();
        return acquired->connection;
    }
    static void runDone(Connection &connection, FakeConnection &raw, const std::string &sql,
                        bool inTransaction = false)
    {
        connection.run({{sql, {}}}, [](const BatchResult &) {});
        BatchResult result;
        result.inTransaction = inTransaction;
        raw.answer(result);
    }

    ManualTimerService timers;
    std::shared_ptr<FakeServer> server = std::make_shared<FakeServer>();
    std::shared_ptr<ConnectionPool> pool;
};

} // namespace

TEST_CASE("a released connection is reused")
{
    PoolFixture fixture;
    const auto first = fixture.acquireNewConnection();
    FakeConnection &raw = *fixture.server->connections.front();
    PoolFixture::runDone(*first, raw, "SELECT 1");
    const std::size_t opened = fixture.server->connections.size();
    fixture.pool->release(first, true);
    CHECK_FALSE(first->open());
    const auto second = fixture.acquireConnection();
    REQUIRE(second->connection);
    CHECK(fixture.server->connections.size() == opened);
    PoolFixture::runDone(*second->connection, raw, "SELECT 2");
    CHECK(raw.batches.size() == 2);
}

TEST_CASE("a spare connection is opened ahead of demand, within the limit")
{
    PoolFixture fixture;
    const auto first = fixture.acquireNewConnection();
    fixture.server->acceptAll();
    CHECK(fixture.pool->idle() == 1);
    const auto second = fixture.acquireConnection();
    const auto third = fixture.acquireConnection();
    CHECK(second->connection);
    fixture.server->acceptAll();
    CHECK(third->connection);
    const auto fourth = fixture.acquireConnection();
    CHECK(fixture.server->pending.empty());
    CHECK_FALSE(fourth->status);
    fixture.pool->release(first, true);
    CHECK(fourth->connection);
}

TEST_CASE("a warm pool opens connections without demand and replaces closed ones")
{
    PoolOptions options = PoolFixture::defaults();
    options.minOpen = 2;
    PoolFixture fixture(options);
    fixture.timers.advance(ConnectionPool::tickPeriod);
    fixture.server->acceptAll();
    CHECK(fixture.pool->idle() == 2);
    fixture.server->connections.front()->close();
    fixture.timers.advance(ConnectionPool::tickPeriod);
    CHECK(fixture.pool->idle() == 1);
    CHECK(fixture.server->pending.size() == 1);
}

TEST_CASE("a connection in an unknown state is closed, never reused")
{
    PoolFixture fixture;
    const auto connection = fixture.acquireNewConnection();
    const auto raw = fixture.server->connections.front();

    SECTION("its batch was aborted")
    {
        connection->run({{"SELECT 1", {}}}, [](const BatchResult &) {});
        raw->loseConnection();
        fixture.pool->release(connection, true);
    }
    SECTION("its batch still runs")
    {
        int calls = 0;
        connection->run({{"SELECT 1", {}}}, [&calls](const BatchResult &result) {
            CHECK(result.state == BatchState::Unknown);
            ++calls;
        });
        fixture.pool->release(connection, true);
        CHECK(calls == 1);
    }
    SECTION("its user releases it as not reusable")
    {
        fixture.pool->release(connection, false);
    }
    CHECK_FALSE(raw->open());
    CHECK(fixture.pool->closing() == 1);
    CHECK(fixture.pool->idle() == 0);
}

TEST_CASE("a batch that exceeds the maximum run time is aborted")
{
    PoolFixture fixture;
    const auto connection = fixture.acquireNewConnection();
    std::optional<BatchState> state;
    connection->run({{"SELECT 1", {}}},
                    [&state](const BatchResult &result) { state = result.state; });
    fixture.timers.advance(seconds(59));
    CHECK_FALSE(state);
    fixture.timers.advance(seconds(2));
    REQUIRE(state);
    CHECK(*state == BatchState::Unknown);
}

// A connection may go silent for good; one that was being reset took its place in the pool with it.
TEST_CASE("a reset that exceeds the maximum run time is aborted")
{
    PoolOptions options = PoolFixture::defaults();
    options.limit = 1;
    options.maxBatchTime = seconds(5);
    PoolFixture fixture(options);
    const auto connection = fixture.acquireNewConnection();
    PoolFixture::runDone(*connection, *fixture.server->connections.at(0), "SET a = 1");
    fixture.pool->release(connection, true);
    fixture.timers.advance(seconds(4));
    CHECK(fixture.pool->counted() == 1);
    CHECK(fixture.server->pending.empty());

    const auto next = fixture.acquireConnection(seconds(60));
    fixture.timers.advance(seconds(2));
    fixture.server->completeCloses();
    fixture.server->acceptAll();
    REQUIRE(next->status);
    CHECK(next->status->ok());
}

TEST_CASE("a connection that its user destroys is closed")
{
    PoolFixture fixture;
    auto connection = fixture.acquireNewConnection();
    const auto raw = fixture.server->connections.front();
    connection.reset();
    CHECK_FALSE(raw->open());
    CHECK(fixture.pool->inUse() == 0);
}

TEST_CASE("an open transaction is rolled back before the next user")
{
    PoolFixture fixture;
    const auto connection = fixture.acquireNewConnection();
    const auto raw = fixture.server->connections.front();
    PoolFixture::runDone(*connection, *raw, "BEGIN", true);
    fixture.pool->release(connection, true);
    CHECK(fixture.pool->idle() == 0);
    CHECK(raw->batches.back().front().sql == "ROLLBACK");

    SECTION("done")
    {
        raw->answer({});
        CHECK(fixture.pool->idle() == 1);
    }
    SECTION("failed")
    {
        raw->loseConnection();
        CHECK(fixture.pool->idle() == 0);
    }
}

TEST_CASE("a changed session is reset before the next user")
{
    PoolOptions options = PoolFixture::defaults();
    options.resetStatement = GENERATE(as<std::string> {}, "DISCARD ALL", "");
    PoolFixture fixture(options);
    const auto connection = fixture.acquireNewConnection();
    const auto raw = fixture.server->connections.front();
    PoolFixture::runDone(*connection, *raw, "SET search_path = x", true);
    fixture.pool->release(connection, true);
    CHECK(fixture.pool->idle() == 0);
    if (options.resetStatement.empty()) {
        CHECK_FALSE(raw->open());
        return;
    }
    CHECK(raw->batches.back().front().sql == "ROLLBACK");
    raw->answer({});
    CHECK(raw->batches.back().front().sql == "DISCARD ALL");
    CHECK(fixture.pool->idle() == 0);
    raw->answer({});
    CHECK(fixture.pool->idle() == 1);
}

TEST_CASE("a waiting request ends at the deadline, or at once when the server is unreachable")
{
    PoolFixture fixture;
    const auto waits = fixture.acquireConnection(milliseconds(50));

    SECTION("deadline")
    {
        fixture.timers.advance(milliseconds(50));
        REQUIRE(waits->status);
        CHECK(absl::IsDeadlineExceeded(*waits->status));
    }
    SECTION("unreachable, also for later requests until the connect delay is over")
    {
        while (!fixture.server->pending.empty())
            fixture.server->refuse(absl::UnavailableError("refused"));
        REQUIRE(waits->status);
        CHECK(absl::IsUnavailable(*waits->status));
        const auto next = fixture.acquireConnection();
        REQUIRE(next->status);
        CHECK(fixture.server->pending.empty());
        fixture.timers.advance(seconds(1));
        const auto later = fixture.acquireConnection();
        CHECK_FALSE(later->status);
        CHECK_FALSE(fixture.server->pending.empty());
    }
    SECTION("a full server is retried while the request waits")
    {
        while (!fixture.server->pending.empty())
            fixture.server->refuse(absl::ResourceExhaustedError("53300"));
        CHECK_FALSE(waits->status);
        fixture.timers.advance(milliseconds(20));
        REQUIRE_FALSE(fixture.server->pending.empty());
        fixture.server->accept();
        CHECK(waits->connection);
    }
    SECTION("no callback after a cancel")
    {
        PoolFixture other;
        int calls = 0;
        const auto id = other.pool->acquire(other.timers.now() + seconds(1),
                                            [&calls](const absl::Status &, auto) { ++calls; });
        CHECK(other.pool->cancel(id));
        CHECK_FALSE(other.pool->cancel(id));
        other.server->acceptAll();
        other.timers.advance(seconds(2));
        CHECK(calls == 0);
    }
}

TEST_CASE("connect delays grow after failures, up to half a second")
{
    PoolOptions options = PoolFixture::defaults();
    options.limit = 1;
    options.minOpen = 1;
    PoolFixture fixture(options);
    fixture.pool->setMinConnections(1);
    std::vector<Duration> pauses;
    for (int i = 0; i < 12; ++i) {
        REQUIRE(fixture.server->pending.size() == 1);
        fixture.server->refuse(absl::UnavailableError("refused"));
        const Instant failed = fixture.timers.now();
        while (fixture.server->pending.empty())
            fixture.timers.advance(milliseconds(1));
        pauses.push_back(fixture.timers.now() - failed);
    }
    CHECK(pauses.front() <= milliseconds(11));
    CHECK(pauses.back() >= milliseconds(250));
    CHECK(*std::max_element(pauses.begin(), pauses.end()) <= milliseconds(501));
}

TEST_CASE("closeAll cancels waiting requests, aborts running batches and opens no connection")
{
    PoolFixture fixture;
    const auto used = fixture.acquireNewConnection();
    fixture.server->acceptAll();
    int unknown = 0;
    used->run({{"SELECT 1", {}}}, [&unknown](const BatchResult &result) {
        unknown += result.state == BatchState::Unknown ? 1 : 0;
    });
    fixture.pool->closeAll(true);
    CHECK(unknown == 1);
    fixture.pool->release(used, true);
    bool within = false;
    fixture.pool->setLimit(0, [&within] { within = true; });
    CHECK(fixture.pool->counted() == 2);
    CHECK_FALSE(within);
    fixture.server->completeCloses();
    CHECK(within);
    CHECK(fixture.pool->counted() == 0);
    fixture.timers.advance(seconds(1));
    CHECK(fixture.server->pending.empty());
}

TEST_CASE("a connection acquired before closeAll is not reused when released after it")
{
    PoolFixture fixture;
    const auto used = fixture.acquireNewConnection();
    fixture.pool->closeAll(false);
    CHECK(used->open());
    fixture.pool->release(used, true);
    CHECK(fixture.pool->idle() == 0);
    CHECK(fixture.pool->closing() >= 1);
}

TEST_CASE("the number of connections never exceeds the limit")
{
    std::mt19937 random(GENERATE(1, 2, 3, 4, 5, 6, 7, 8));
    PoolOptions options = PoolFixture::defaults();
    options.limit = 5;
    PoolFixture fixture(options);
    std::vector<std::shared_ptr<Connection>> used;
    const auto randomBelow = [&random](std::size_t size) { return random() % size; };
    for (int step = 0; step < 4000; ++step) {
        switch (randomBelow(8)) {
        case 0:
        case 1:
            fixture.pool->acquire(fixture.timers.now() + milliseconds(randomBelow(100)),
                                  [&used](const absl::Status &status, auto connection) {
                                      if (status.ok())
                                          used.push_back(std::move(connection));
                                  });
            break;
        case 2:
        case 3:
            if (!used.empty()) {
                const auto at =
                    used.begin() + static_cast<std::ptrdiff_t>(randomBelow(used.size()));
                const auto connection = *at;
                used.erase(at);
                fixture.pool->release(connection, randomBelow(4) != 0);
            }
            break;
        case 4:
            if (!fixture.server->pending.empty())
                fixture.server->accept();
            break;
        case 5:
            if (!fixture.server->pending.empty() && randomBelow(3) == 0)
                fixture.server->refuse(absl::UnavailableError("refused"));
            break;
        case 6:
            fixture.server->completeCloses();
            break;
        default:
            fixture.timers.advance(milliseconds(randomBelow(50)));
        }
        REQUIRE(fixture.server->counted() <= 5);
        REQUIRE(fixture.pool->counted() <= 5);
    }
    CHECK(fixture.server->connections.size() > 20);
}

// A batch and its connection hold each other, so that a connection that the pool does not close
// stays open, and counts at the server, until the process ends.
TEST_CASE("destroying the pool closes connections in use and connections being reset")
{
    PoolFixture fixture;
    const auto inUse = fixture.acquireNewConnection();
    inUse->run({{"SELECT 1", {}}}, [inUse](const BatchResult &) {});
    const auto changed = fixture.acquireNewConnection();
    const auto raw = fixture.server->connections.at(1);
    PoolFixture::runDone(*changed, *raw, "SET a = 1");
    fixture.pool->release(changed, true);
    REQUIRE(raw->busy());
    fixture.server->acceptAll();

    fixture.pool.reset();
    CHECK(fixture.server->counted() == 0);
}
