#include "testgroup.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <ctime>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace kelptally;
using namespace kelptally::standin;

namespace {

const std::string countOffers = "SELECT count(*) FROM offers";

} // namespace

TEST_CASE("Simple queries return rows and command tags", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    REQUIRE(client.connected());
    CHECK(client.query("INSERT INTO offers VALUES ('x', 5), ('y', 6)").tag == "INSERT 0 2");
    CHECK(client.query("UPDATE offers SET amount = 7 WHERE id = 'x'").tag == "UPDATE 1");
    const QueryResult read = client.query("SELECT id, amount, NULL FROM offers ORDER BY id");
    CHECK(read.tag == "SELECT 2");
    CHECK(read.row == std::vector<std::string> {"x", "7", "NULL"});
    CHECK(client.query("DELETE FROM offers").tag == "DELETE 2");
    CHECK(client.query("").succeeded());
    CHECK(client.query("SELECT 1; SELECT 'a;b' -- c;").value() == "a;b");
}

TEST_CASE("Errors carry the same SQLSTATE as in PostgreSQL", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    CHECK(client.query("SELEC 1").sqlState == "42601");
    CHECK(client.query("SELECT 1 FROM boats").sqlState == "42P01");
    CHECK(client.query("SELECT boat FROM offers").sqlState == "42703");
    CHECK(client.query("INSERT INTO offers VALUES ('x', NULL)").sqlState == "23502");
    CHECK(client.query("INSERT INTO offers VALUES ('x', 1), ('x', 1)").sqlState == "23505");
    CHECK(client.query("SAVEPOINT s").sqlState == "0A000");
    CHECK(client.query("CREATE TEMP TABLE t(a)").sqlState == "0A000");
    CHECK(client.query(countOffers).value() == "0");
}

TEST_CASE("Parameters are bound by number", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    CHECK(client.query("INSERT INTO offers VALUES ($2, $1)", {"12", "x'\";"}).tag == "INSERT 0 1");
    const QueryResult read =
        client.query("SELECT id FROM offers WHERE amount = $1 LIMIT $2", {"12", "1"});
    CHECK(read.value() == "x'\";");
}

TEST_CASE("Statements before one Sync form one transaction", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    const auto failed =
        client.pipeline({"INSERT INTO offers VALUES ('x', 1)", "INSERT INTO offers VALUES ('x', 2)",
                         "INSERT INTO offers VALUES ('y', 3)"});
    REQUIRE(failed.size() == 4);
    CHECK(failed[0].succeeded());
    CHECK(failed[1].sqlState == "23505");
    CHECK(failed[2].sqlState == "aborted");
    CHECK(client.query(countOffers).value() == "0");

    const auto succeeded = client.pipeline(
        {"INSERT INTO offers VALUES ('x', 1)", countOffers, "SELECT kelptally_write_offset()"});
    REQUIRE(succeeded.size() == 4);
    CHECK(succeeded[1].value() == "1");
    CHECK(succeeded[2].value() == "1");
    CHECK(group.read("a", "SELECT received FROM kelptally_status") == "1");
}

TEST_CASE("A pipeline can hold a thousand statements", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    const std::vector<std::string> statements(1000, "SELECT 1");
    const auto results = client.pipeline(statements);
    REQUIRE(results.size() == 1001);
    for (std::size_t i = 0; i < statements.size(); ++i)
        REQUIRE(results[i].value() == "1");
}

TEST_CASE("Uncommitted changes are visible only to their own transaction", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    TestClient other(group.port("a"));
    CHECK(client.query("BEGIN").tag == "BEGIN");
    CHECK(other.query("BEGIN").tag == "BEGIN");
    CHECK(client.query("INSERT INTO offers VALUES ('x', 1)").succeeded());
    CHECK(client.transactionStatus() == 'T');
    CHECK(client.query(countOffers).value() == "1");
    CHECK(other.query(countOffers).value() == "0");
    CHECK(client.query("COMMIT").tag == "COMMIT");
    CHECK(client.transactionStatus() == 'I');
    CHECK(other.query(countOffers).value() == "1");
    CHECK(other.query("COMMIT").tag == "COMMIT");
}

TEST_CASE("COMMIT of a failed transaction rolls back", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    client.query("BEGIN");
    client.query("INSERT INTO offers VALUES ('x', 1)");
    CHECK(client.query("SELEC 1").sqlState == "42601");
    CHECK(client.transactionStatus() == 'E');
    CHECK(client.query(countOffers).sqlState == "25P02");
    CHECK(client.query("COMMIT").tag == "ROLLBACK");
    CHECK(client.query(countOffers).value() == "0");
}

TEST_CASE("A client that disconnects in a transaction releases the writer lock", "[standin]")
{
    TestGroup group;
    {
        TestClient client(group.port("a"));
        client.query("BEGIN");
        CHECK(client.query("INSERT INTO offers VALUES ('x', 1)").succeeded());
    }
    TestClient next(group.port("a"));
    CHECK(next.query("INSERT INTO offers VALUES ('y', 1)").succeeded());
    CHECK(next.query("SELECT id FROM offers").value() == "y");
}

TEST_CASE("A second writer waits for the lock until the lock timeout", "[standin]")
{
    ServerLimits limits = TestGroup::zeroConnectionCost();
    limits.lockTimeout = std::chrono::milliseconds(50);
    TestGroup group(limits);
    TestClient first(group.port("a"));
    TestClient second(group.port("a"));
    first.query("BEGIN");
    first.query("INSERT INTO offers VALUES ('x', 1)");
    CHECK(second.query("INSERT INTO offers VALUES ('y', 1)").sqlState == "55P03");

    limits.lockTimeout = std::chrono::minutes(1);
    group.server("a").callAndWait([&](DatabaseServer &server) { server.setLimits(limits); });
    TestClient third(group.port("a"));
    third.send("INSERT INTO offers VALUES ('z', 1)");
    CHECK(first.query("COMMIT").tag == "COMMIT");
    CHECK(third.receive().tag == "INSERT 0 1");
    CHECK(third.query(countOffers).value() == "2");
}

TEST_CASE("A waiting statement can be cancelled", "[standin]")
{
    TestGroup group;
    TestClient first(group.port("a"));
    TestClient second(group.port("a"));
    first.query("BEGIN");
    first.query("INSERT INTO offers VALUES ('x', 1)");
    second.send("INSERT INTO offers VALUES ('y', 1)");
    PGcancel *cancel = PQgetCancel(second.raw());
    char error[256];
    // Repeated, as a cancel request that arrives before the statement has no effect.
    const bool cancelled = eventually([&] {
        PQcancel(cancel, error, sizeof error);
        PQconsumeInput(second.raw());
        return PQisBusy(second.raw()) == 0;
    });
    PQfreeCancel(cancel);
    REQUIRE(cancelled);
    CHECK(second.receive().sqlState == "57014");
    CHECK(first.query("COMMIT").tag == "COMMIT");
    CHECK(second.query(countOffers).value() == "1");
}

TEST_CASE("Prepared statements can be described and reused", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    PGresult *prepared =
        PQprepare(client.raw(), "find", "SELECT amount FROM offers WHERE id = $1", 0, nullptr);
    CHECK(PQresultStatus(prepared) == PGRES_COMMAND_OK);
    PQclear(prepared);
    PGresult *described = PQdescribePrepared(client.raw(), "find");
    CHECK(PQnfields(described) == 1);
    CHECK(std::string(PQfname(described, 0)) == "amount");
    CHECK(PQftype(described, 0) == 20);
    PQclear(described);
    client.query("INSERT INTO offers VALUES ('x', 41)");
    for (const char *id : {"x", "none"}) {
        PGresult *found = PQexecPrepared(client.raw(), "find", 1, &id, nullptr, nullptr, 0);
        CHECK(PQntuples(found) == (std::string(id) == "x" ? 1 : 0));
        PQclear(found);
    }
}

TEST_CASE("Settings are local to their connection", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    client.query("SET search_path = 'boats'");
    CHECK(client.query("SHOW search_path").value() == "boats");
    CHECK(group.read("a", "SHOW search_path").empty());
    CHECK(client.query("DISCARD ALL").tag == "DISCARD ALL");
    CHECK(client.query("SHOW search_path").value().empty());
}

TEST_CASE("Connections beyond the limit are refused", "[standin]")
{
    ServerLimits limits = TestGroup::zeroConnectionCost();
    limits.connections = 2;
    TestGroup group(limits);
    auto first = std::make_unique<TestClient>(group.port("a"));
    TestClient second(group.port("a"));
    TestClient third(group.port("a"));
    REQUIRE(second.connected());
    CHECK_FALSE(third.connected());
    CHECK(third.error().find("too many clients") != std::string::npos);
    first.reset();
    CHECK(eventually([&] { return TestClient(group.port("a")).connected(); }));
}

// The accept loop repeated a failing accept at once, so that a stand-in without free descriptors
// took a whole processor from the processes under test.
TEST_CASE("A stand-in without free descriptors waits before it accepts again", "[standin]")
{
    TestGroup group;
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
    rlimit before {};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
    const int firstFree = ::dup(socket.native_handle());
    REQUIRE(::close(firstFree) == 0);
    rlimit none = before;
    none.rlim_cur = static_cast<rlim_t>(firstFree);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
    socket.connect(
        {boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(group.port("a"))});
    const std::clock_t cpuBefore = std::clock();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const double cpuSeconds = double(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
    CHECK(cpuSeconds < 0.1);
    CHECK(TestClient(group.port("a")).connected());
}
