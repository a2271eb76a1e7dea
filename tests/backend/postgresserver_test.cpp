#include "backend/postgresserver.h"

#include "blockingclient.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::backend;

using Socket = ScriptedServer::Socket;

namespace {

// Logs in, reads one whole batch, sends the answer and then closes or waits for the client to
// close.
ScriptedServer::Script answerBatch(std::string answer, bool thenClose)
{
    return [answer = std::move(answer), thenClose](Socket &socket) {
        ScriptedServer::send(socket, ScriptedServer::loginAnswer());
        ScriptedServer::readUntil(socket, 'S');
        ScriptedServer::send(socket, answer);
        if (!thenClose)
            ScriptedServer::drain(socket);
    };
}

const std::string ready = ScriptedServer::message('Z', "I");

} // namespace

TEST_CASE("a connect is refused where nothing listens")
{
    BlockingClient client;
    int port = 0;
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor unused(context,
                                              {boost::asio::ip::address_v4::loopback(), 0});
        port = unused.local_endpoint().port();
    }
    const auto server = makePostgresServer(client.thread(), {"127.0.0.1", port, "db", "user", ""});
    const auto [status, connection] = client.connect(*server);
    CHECK(absl::IsUnavailable(status));
    CHECK(connection == nullptr);
}

TEST_CASE("a connect to a hung server ends at the timeout")
{
    ScriptedServer peer([](Socket &socket) { ScriptedServer::drain(socket); });
    BlockingClient client;
    const auto server = makePostgresServer(client.thread(), peer.endpoint());
    const auto [status, connection] = client.connect(*server, std::chrono::milliseconds(50));
    CHECK(absl::IsDeadlineExceeded(status));
    CHECK(connection == nullptr);
}

TEST_CASE("a connect distinguishes a full server from other refusals")
{
    BlockingClient client;
    const auto refusedWith = [&](const std::string &state) {
        ScriptedServer peer([&](Socket &socket) {
            ScriptedServer::send(socket, ScriptedServer::error("FATAL", state));
        });
        const auto server = makePostgresServer(client.thread(), peer.endpoint());
        return client.connect(*server).first;
    };
    CHECK(absl::IsResourceExhausted(refusedWith("53300")));
    CHECK(absl::IsFailedPrecondition(refusedWith("57P03")));
}

TEST_CASE("a batch is done once the sync is answered")
{
    ScriptedServer peer(
        answerBatch(ScriptedServer::emptyAnswer() + ScriptedServer::emptyAnswer() + ready, false));
    BlockingClient client;
    const auto server = makePostgresServer(client.thread(), peer.endpoint());
    const auto [status, connection] = client.connect(*server);
    REQUIRE(status.ok());
    const BatchResult result = client.run(*connection, {{"SET a", {}}, {"SET b", {}}});
    CHECK(result.state == BatchState::Done);
    CHECK(result.rows.size() == 2);
    CHECK(client.call([&, connection = connection] { return connection->open(); }));
    client.call([&, connection = connection] { connection->close(); });
}

TEST_CASE("a server error fails the batch with its SQLSTATE and statement index")
{
    ScriptedServer peer(answerBatch(
        ScriptedServer::emptyAnswer() + ScriptedServer::error("ERROR", "KF001") + ready, false));
    BlockingClient client;
    const auto server = makePostgresServer(client.thread(), peer.endpoint());
    const auto connection = client.connect(*server).second;
    const BatchResult result =
        client.run(*connection, {{"SET a", {}}, {"SET b", {}}, {"SET c", {}}});
    CHECK(result.state == BatchState::Failed);
    CHECK(result.failedStatement == 1);
    CHECK(result.sqlState == "KF001");
    CHECK(result.rows.size() == 1);
    CHECK_FALSE(result.connectionLost);
    client.call([&] { connection->close(); });
}

TEST_CASE("a batch whose answer is incomplete is unknown")
{
    const std::string answer = GENERATE(std::string(), ScriptedServer::emptyAnswer(),
                                        ScriptedServer::error("FATAL", "57P01"));
    ScriptedServer peer(answerBatch(answer, true));
    BlockingClient client;
    const auto server = makePostgresServer(client.thread(), peer.endpoint());
    const auto connection = client.connect(*server).second;
    const BatchResult result = client.run(*connection, {{"SET a", {}}});
    CHECK(result.state == BatchState::Unknown);
    CHECK(result.connectionLost);
    CHECK_FALSE(client.call([&] { return connection->open(); }));
    // Later batches are not sent.
    const BatchResult later = client.run(*connection, {{"SET b", {}}});
    CHECK(later.state == BatchState::NotSent);
    CHECK(later.connectionLost);
}

TEST_CASE("closing a connection ends its running batch as unknown")
{
    ScriptedServer peer(answerBatch("", false));
    BlockingClient client;
    const auto server = makePostgresServer(client.thread(), peer.endpoint());
    auto connection = client.connect(*server).second;
    auto running = client.start(*connection, {{"SET a", {}}});

    SECTION("a second concurrent batch is not sent")
    {
        const BatchResult second = client.run(*connection, {{"SET b", {}}});
        CHECK(second.state == BatchState::NotSent);
        CHECK_FALSE(second.connectionLost);
        client.call([&] { connection->close(); });
    }
    SECTION("dropping the last reference")
    {
        client.call([&] { connection.reset(); });
    }
    CHECK(BlockingClient::wait(running).state == BatchState::Unknown);
}

TEST_CASE("an idle connection notices that its server closed it")
{
    std::promise<void> closed;
    ScriptedServer peer([&](Socket &socket) {
        ScriptedServer::send(socket, ScriptedServer::loginAnswer());
        socket.close();
        closed.set_value();
    });
    BlockingClient client;
    const auto server = makePostgresServer(client.thread(), peer.endpoint());
    const auto [status, connection] = client.connect(*server);
    REQUIRE(status.ok());
    closed.get_future().wait();
    const BatchResult result = client.run(*connection, {{"SET a", {}}});
    CHECK(result.state == BatchState::NotSent);
    CHECK(result.connectionLost);
}

TEST_CASE("text with a NUL byte is refused and the connection stays open")
{
    ScriptedServer peer(answerBatch("", false));
    BlockingClient client;
    const auto server = makePostgresServer(client.thread(), peer.endpoint());
    const auto connection = client.connect(*server).second;
    const BatchResult result =
        client.run(*connection, {{"SELECT 1", {}}, {"SELECT $1", {std::string("a\0b", 3)}}});
    CHECK(result.state == BatchState::Failed);
    CHECK(result.failedStatement == 1);
    CHECK(result.sqlState == "22021");
    CHECK(client.call([&] { return connection->open() && !connection->busy(); }));
    client.call([&] { connection->close(); });
}
