#include "standin/faultcontrol.h"
#include "testgroup.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace kelptally;
using namespace kelptally::standin;

namespace {

const std::string received = "SELECT received FROM kelptally_status";
const std::string applied = "SELECT applied FROM kelptally_status";
const std::string role = "SELECT role FROM kelptally_status";
const std::string term = "SELECT term FROM kelptally_status";
const std::string receivedTerm = "SELECT received_term FROM kelptally_status";
const std::string idList = "SELECT group_concat(id) FROM (SELECT id FROM offers ORDER BY id)";

std::string insert(const std::string &id)
{
    return "INSERT INTO offers VALUES ('" + id + "', 1)";
}

template <typename Function>
void runOnServer(TestGroup &group, const ServerName &server, Function function)
{
    group.server(server).callAndWait([&](DatabaseServer &s) { function(s); });
}

} // namespace

TEST_CASE("Replicas apply each committed transaction and refuse writes", "[standin]")
{
    TestGroup group;
    CHECK(group.run("a", insert("x")).succeeded());
    CHECK(group.run("a", "BEGIN; " + insert("y") + "; " + insert("z") + "; COMMIT").succeeded());
    for (const char *replica : {"b", "c"}) {
        CHECK(group.eventuallyReads(replica, applied, "2"));
        CHECK(group.read(replica, idList) == "x,y,z");
        CHECK(group.run(replica, insert("w")).sqlState == "25006");
        CHECK(group.run(replica, "SELECT kelptally_raise_fence(9)").sqlState == "25006");
    }
}

TEST_CASE("A lagging replica receives records before it applies them", "[standin]")
{
    ServerLimits limits = TestGroup::zeroConnectionCost();
    limits.replicationLag = std::chrono::hours(1);
    TestGroup group(limits);
    group.run("a", insert("x"));
    CHECK(group.eventuallyReads("b", received, "1"));
    CHECK(group.read("b", applied) == "0");
    CHECK(group.read("b", idList) == "NULL");

    SECTION("and applies it before it is promoted")
    {
        group.promote("b", "c", 5);
        CHECK(group.read("b", idList) == "x");
        // Includes the first record of the term.
        CHECK(group.read("b", applied) == "2");
    }
}

TEST_CASE("A prepared server refuses lower terms", "[standin]")
{
    TestGroup group;
    CHECK(group.run("b", "SELECT kelptally_prepare(5)").succeeded());
    CHECK(group.run("b", "SELECT kelptally_prepare(5)").succeeded());
    CHECK(group.read("b", term) == "5");
    CHECK(group.run("b", "SELECT kelptally_prepare(4)").sqlState == "KT001");
    CHECK(group.run("b", "SELECT kelptally_promote(4)").sqlState == "KT001");
    CHECK(group.run("b", "SELECT kelptally_follow('a', 4)").sqlState == "KT001");
    group.run("a", insert("x"));
    CHECK(group.eventuallyReads("c", received, "1"));
    CHECK(group.read("b", received) == "0");
}

TEST_CASE("A primary stops accepting writes when prepared for a higher term", "[standin]")
{
    TestGroup group;
    TestClient open(group.port("a"));
    open.query("BEGIN");
    CHECK(open.query(insert("x")).succeeded());
    CHECK(group.run("a", "SELECT kelptally_prepare(5)").succeeded());
    CHECK(open.query("COMMIT").sqlState == "25006");
    CHECK(group.run("a", insert("y")).sqlState == "25006");
    CHECK(group.read("a", role) == "replica");
    CHECK(group.read("a", idList) == "NULL");
}

TEST_CASE("A promotion continues the log in a new term", "[standin]")
{
    TestGroup group;
    group.run("a", insert("x"));
    CHECK(group.eventuallyReads("b", applied, "1"));
    CHECK(group.eventuallyReads("c", applied, "1"));
    group.promote("b", "c", 5);
    CHECK(group.read("b", role) == "primary");
    CHECK(group.read("b", "SELECT term, start FROM kelptally_history WHERE start = 2") == "5");
    CHECK(group.run("b", "SELECT kelptally_promote(5)").succeeded());
    CHECK(group.run("c", "SELECT kelptally_promote(5)").sqlState == "KT001");
    CHECK(group.run("b", insert("y")).succeeded());
    CHECK(group.eventuallyReads("c", idList, "x,y"));
    CHECK(group.read("c", "SELECT applied_term FROM kelptally_status") == "5");
    CHECK(group.read("c", "SELECT received_term FROM kelptally_status") == "5");
}

TEST_CASE("A replaced primary truncates records that the new primary lacks", "[standin]")
{
    TestGroup group;
    group.run("a", insert("x"));
    CHECK(group.eventuallyReads("b", received, "1"));
    CHECK(group.eventuallyReads("c", received, "1"));
    for (const char *replica : {"b", "c"})
        group.group().setPartitioned("a", replica, true);
    // 1. The partitioned old primary keeps writing while the others start a new term.
    CHECK(group.run("a", insert("lost1")).succeeded());
    CHECK(group.run("a", insert("lost2")).succeeded());
    group.promote("b", "c", 5);
    CHECK(group.run("b", insert("y")).succeeded());
    // 2. While still partitioned it accepts the new term, but does not report records of that term
    // before the logs were compared.
    CHECK(group.run("a", "SELECT kelptally_follow('b', 5)").succeeded());
    CHECK(group.read("a", term) == "5");
    CHECK(group.read("a", receivedTerm) == "1");
    CHECK(group.run("a", insert("z")).sqlState == "25006");
    // 3. After the partition heals it has the same log as the new primary.
    for (const char *replica : {"b", "c"})
        group.group().setPartitioned("a", replica, false);
    CHECK(group.eventuallyReads("a", receivedTerm, "5"));
    CHECK(group.eventuallyReads("a", received, "3"));
    CHECK(group.eventuallyReads("a", idList, "x,y"));
}

TEST_CASE("The fence never decreases, is replicated and rejects lower epochs", "[standin]")
{
    TestGroup group;
    CHECK(group.run("a", "SELECT kelptally_raise_fence(3)").succeeded());
    CHECK(group.run("a", "SELECT kelptally_raise_fence(3)").succeeded());
    CHECK(group.run("a", "SELECT kelptally_raise_fence(2)").sqlState == "KF001");
    CHECK(group.run("a", "SELECT kelptally_check_fence(3)").succeeded());
    CHECK(group.eventuallyReads("b", "SELECT fence FROM kelptally_status", "3"));
    TestClient client(group.port("a"));
    const auto results = client.pipeline({"SELECT kelptally_check_fence(2)", insert("x")});
    REQUIRE(results.size() == 3);
    CHECK(results[0].sqlState == "KF001");
    CHECK(client.query(idList).value() == "NULL");
}

TEST_CASE("The fence cannot be raised between its check and the commit", "[standin]")
{
    TestGroup group;
    TestClient writer(group.port("a"));
    TestClient owner(group.port("a"));
    writer.query("BEGIN");
    CHECK(writer.query("SELECT kelptally_check_fence(1)").succeeded());
    owner.send("SELECT kelptally_raise_fence(2)");
    CHECK(writer.query(insert("x")).succeeded());
    CHECK(writer.query("COMMIT").tag == "COMMIT");
    CHECK(owner.receive().succeeded());
    CHECK(owner.query(received).value() == "2");
}

TEST_CASE("A killed server restarts with or without its state", "[standin]")
{
    TestGroup group;
    group.run("a", insert("x"));
    CHECK(group.eventuallyReads("b", applied, "1"));
    TestClient client(group.port("b"));
    const bool keepState = GENERATE(true, false);
    runOnServer(group, "b", [&](DatabaseServer &s) { s.kill(keepState); });
    CHECK(client.query("SELECT 1").sqlState == "lost");
    CHECK_FALSE(TestClient(group.port("b")).connected());
    group.run("a", insert("y"));
    runOnServer(group, "b", [](DatabaseServer &s) { s.restart(); });
    if (keepState) {
        CHECK(group.eventuallyReads("b", idList, "x,y"));
    } else {
        CHECK(group.read("b", idList) == "NULL");
        CHECK(group.read("b", term) == "0");
        CHECK(group.run("b", "SELECT kelptally_follow('a', 1)").succeeded());
        CHECK(group.eventuallyReads("b", idList, "x,y"));
    }
}

TEST_CASE("A paused server responds after it is resumed", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    runOnServer(group, "a", [](DatabaseServer &s) { s.setPaused(true); });
    client.send(insert("x"));
    runOnServer(group, "a", [](DatabaseServer &s) { CHECK(s.node().endOffset() == 0); });
    runOnServer(group, "a", [](DatabaseServer &s) { s.setPaused(false); });
    CHECK(client.receive().tag == "INSERT 0 1");
}

TEST_CASE("Partitioned clients get no response until the partition heals", "[standin]")
{
    TestGroup group;
    TestClient client(group.port("a"));
    runOnServer(group, "a", [](DatabaseServer &s) { s.setClientPartitioned("127.0.0.1", true); });
    client.send(insert("x"));
    group.run("b", "SELECT 1");
    PQconsumeInput(client.raw());
    CHECK(PQisBusy(client.raw()) == 1);
    runOnServer(group, "a", [](DatabaseServer &s) { s.setClientPartitioned("127.0.0.1", false); });
    CHECK(client.receive().tag == "INSERT 0 1");
}

TEST_CASE("Statements with a service time queue for the slots", "[standin]")
{
    ServerLimits limits = TestGroup::zeroConnectionCost();
    limits.slots = 1;
    limits.serviceTime = std::chrono::milliseconds(20);
    TestGroup group(limits);
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::unique_ptr<TestClient>> clients;
    for (int i = 0; i < 4; ++i) {
        clients.push_back(std::make_unique<TestClient>(group.port("a")));
        clients.back()->send("SELECT 1");
    }
    for (const auto &client : clients)
        CHECK(client->receive().value() == "1");
    CHECK(std::chrono::steady_clock::now() - start >= 4 * limits.serviceTime);
}

TEST_CASE("Faults are set by JSON and reported in the state document", "[standin]")
{
    DatabaseGroups groups;
    DatabaseGroupSettings settings {"offers", "", {}};
    for (const char *name : {"a", "b"})
        settings.servers.push_back({name, {}, TestGroup::zeroConnectionCost()});
    groups.push_back(std::make_unique<DatabaseGroup>(settings));
    groups[0]->start();
    DatabaseServer &server = *groups[0]->find("a");

    CHECK(applyFault(groups, "{") != "");
    CHECK(applyFault(groups, R"({"fault":"kill","server":"z"})") == "unknown server z");
    CHECK(applyFault(groups, R"({"fault":"burn","server":"a"})").find("allowed:")
          != std::string::npos);
    CHECK(applyFault(groups, R"({"fault":"set","server":"a","replication-lag-ms":1.5})").empty());
    CHECK(server.limits().replicationLag == std::chrono::microseconds(1500));
    CHECK(applyFault(groups, R"({"fault":"partition","server":"a","clients":"all"})").empty());
    server.callAndWait([](DatabaseServer &s) { CHECK(s.isPartitionedFrom("127.0.0.1")); });
    CHECK(applyFault(groups, R"({"fault":"heal","server":"a","clients":"all"})").empty());
    CHECK(applyFault(groups, R"({"fault":"kill","server":"a"})").empty());
    CHECK(stateDocument(groups).find("\"running\": false") != std::string::npos);
    CHECK(applyFault(groups, R"({"fault":"restart","server":"a"})").empty());
    CHECK(TestClient(server.port()).connected());
}
