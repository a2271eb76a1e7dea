#include "backend/connectionpool.h"

#include "databasefixture.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::backend;
using std::chrono::seconds;

namespace {

struct StandinPoolFixture : DatabaseFixture
{
    explicit StandinPoolFixture(standin::ServerLimits limits = noCostLimits())
        : DatabaseFixture(1, limits)
    { }
    ~StandinPoolFixture()
    {
        client.call([&] { pools_.clear(); });
    }

    std::shared_ptr<ConnectionPool> makePool(int limit)
    {
        PoolOptions options;
        options.limit = limit;
        options.connectTimeout = seconds(30);
        auto pool = client.call([&] {
            return std::make_shared<ConnectionPool>(client.thread().timers(), makeServer(),
                                                    options);
        });
        pools_.push_back(pool);
        return pool;
    }

    std::future<BlockingClient::Connected> startAcquire(ConnectionPool &pool)
    {
        auto promise = std::make_shared<std::promise<BlockingClient::Connected>>();
        auto future = promise->get_future();
        client.call([&] {
            pool.acquire(client.thread().timers().now() + seconds(60),
                         [promise](absl::Status status, std::shared_ptr<Connection> connection) {
                             promise->set_value({std::move(status), std::move(connection)});
                         });
        });
        return future;
    }
    std::shared_ptr<Connection> acquireConnection(ConnectionPool &pool)
    {
        auto future = startAcquire(pool);
        auto [status, connection] = BlockingClient::wait(future);
        REQUIRE(status.ok());
        return connection;
    }
    void returnConnection(ConnectionPool &pool, const std::shared_ptr<Connection> &connection)
    {
        client.call([&] { pool.release(connection, true); });
    }
    // Closes the pool and waits until the server has closed all its connections.
    void closeAndWait(ConnectionPool &pool)
    {
        std::promise<void> closed;
        auto future = closed.get_future();
        client.call([&] {
            pool.closeAll(true);
            pool.setLimit(0, [&closed] { closed.set_value(); });
        });
        BlockingClient::wait(future);
    }
    int peakConnections()
    {
        int peak = 0;
        server().callAndWait(
            [&peak](standin::DatabaseServer &server) { peak = server.state().peakConnections; });
        return peak;
    }

private:
    std::vector<std::shared_ptr<ConnectionPool>> pools_;
};

} // namespace

TEST_CASE(
    "connections stay within the limit when the pools of successive owners replace each other")
{
    // The server's own limit is higher.
    StandinPoolFixture fixture;
    constexpr int limit = 4;
    for (int owner = 0; owner < 25; ++owner) {
        const auto pool = fixture.makePool(limit);
        std::vector<std::future<BlockingClient::Connected>> acquisitions;
        for (int i = 0; i < limit + 2; ++i)
            acquisitions.push_back(fixture.startAcquire(*pool));
        std::vector<std::shared_ptr<Connection>> used;
        for (int i = 0; i < limit; ++i)
            used.push_back(BlockingClient::wait(acquisitions[static_cast<std::size_t>(i)]).second);
        // Some connections are released, some are aborted within a batch.
        fixture.returnConnection(*pool, used.back());
        used.push_back(BlockingClient::wait(acquisitions[limit]).second);
        auto running = fixture.client.start(*used.front(), {{"SELECT 1", {}}});
        fixture.closeAndWait(*pool);
        BlockingClient::wait(running);
        fixture.client.call([&] { used.clear(); });
    }
    CHECK(fixture.peakConnections() == limit);
}

TEST_CASE("a request to a full server waits for its next connection")
{
    standin::ServerLimits limits = DatabaseFixture::noCostLimits();
    limits.connections = 1;
    StandinPoolFixture fixture(limits);
    const auto other = fixture.connect();
    const auto pool = fixture.makePool(3);
    auto acquisitions = fixture.startAcquire(*pool);
    CHECK(acquisitions.wait_for(std::chrono::milliseconds(100)) == std::future_status::timeout);
    fixture.client.call([&] { other->close(); });
    const auto connection = BlockingClient::wait(acquisitions).second;
    REQUIRE(connection);
    CHECK(fixture.client.run(*connection, {{"SELECT 1", {}}}).state == BatchState::Done);
    fixture.returnConnection(*pool, connection);
}

TEST_CASE("session state and open transactions do not leak to the next user")
{
    StandinPoolFixture fixture;
    const auto pool = fixture.makePool(1);
    const auto first = fixture.acquireConnection(*pool);
    fixture.client.run(*first, {{"SET search_path = 'north'", {}}});
    fixture.client.run(*first, {{"BEGIN", {}}, {"INSERT INTO decision (amount) VALUES (1)", {}}});
    fixture.returnConnection(*pool, first);
    const auto second = fixture.acquireConnection(*pool);
    const BatchResult result = fixture.client.run(
        *second, {{"SHOW search_path", {}}, {"SELECT count(*) FROM decision", {}}});
    REQUIRE(result.state == BatchState::Done);
    CHECK(result.rows[0].values[0][0] == Value(""));
    CHECK(result.rows[1].values[0][0] == Value("0"));
    // The same connection was reset and reused.
    CHECK(fixture.client.call([&] { return pool->connects(); }) == 1);
    fixture.returnConnection(*pool, second);
}

TEST_CASE("a batch on a hung server ends when its connection is closed, which still counts")
{
    StandinPoolFixture fixture;
    const auto pool = fixture.makePool(1);
    const auto connection = fixture.acquireConnection(*pool);
    const auto setPaused = [&](bool paused) {
        fixture.server().callAndWait(
            [paused](standin::DatabaseServer &server) { server.setPaused(paused); });
    };
    setPaused(true);
    auto running = fixture.client.start(*connection, {{"SELECT 1", {}}});
    CHECK(running.wait_for(std::chrono::milliseconds(50)) == std::future_status::timeout);
    fixture.client.call([&] { pool->release(connection, false); });
    CHECK(BlockingClient::wait(running).state == BatchState::Unknown);
    CHECK(fixture.client.call([&] { return pool->counted(); }) == 1);
    auto next = fixture.startAcquire(*pool);
    setPaused(false);
    CHECK(BlockingClient::wait(next).first.ok());
    CHECK(fixture.peakConnections() == 1);
}
