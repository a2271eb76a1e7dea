#include "../inner/samplemessages.h"
#include "caller/callerrequest.h"
#include "caller/httpreader.h"
#include "decision/sessiontoken.h"
#include "decision/transactions.h"
#include "inner/codec.h"
#include "settings/inidocument.h"
#include "settings/inventory.h"
#include "settings/processsettings.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

// Writes the seed corpus of the fuzz targets. Most seeds are valid, so that the fuzzer starts
// beyond the first checks of the parsers.
using namespace kelptally;

namespace {

class SeedWriter
{
public:
    explicit SeedWriter(const std::string &target)
        : directory_(std::filesystem::path(SEED_DIRECTORY) / target)
    {
        std::filesystem::remove_all(directory_);
        std::filesystem::create_directories(directory_);
    }

    void write(const std::string &bytes)
    {
        std::ofstream file(directory_ / std::to_string(++count_), std::ios::binary);
        file << bytes;
        REQUIRE(file.good());
    }

private:
    const std::filesystem::path directory_;
    int count_ = 0;
};

} // namespace

TEST_CASE("Seeds of the decoder are messages of every type")
{
    SeedWriter writer("decoder");
    for (const inner::Message &message : inner::sampleMessages()) {
        const std::string bytes = inner::encode(message).value();
        REQUIRE(inner::decode(bytes).ok());
        writer.write(bytes);
    }
}

TEST_CASE("Seeds of the HTTP reader are requests of callers")
{
    const auto post = [](const std::string &path, const std::string &body) {
        return "POST " + path
            + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key\r\n"
              "Idempotency-Key: \"k1\"\r\nKelptally-Session: token\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    const std::string id = decision::TransactionId {"offers", "127.0.0.1:1", 1, 2, 3}.toText();
    const std::string statement =
        R"json({"group":"offers","kind":"offer","sql":"INSERT INTO offer VALUES ($1,$2)",)json"
        R"json("parameters":["Aliz\u00e9",1.50,true,null],"deadlineMs":500})json";
    const std::vector<std::string> requests = {
        post("/v1/statement", statement),
        post("/v1/statement",
             R"({"group":"g","kind":"browse","sql":"SELECT 1","statedAgeMs":2000})"),
        post("/v1/transactions", R"({"group":"g","kind":"k"})"),
        post("/v1/transactions/" + id + "/statements", R"({"sql":"SELECT 1"})"),
        post("/v1/transactions/" + id + "/commit", ""),
        post("/v1/transactions/" + id + "/rollback", R"({"deadlineMs":1})"),
    };
    SeedWriter writer("httpreader");
    for (const std::string &request : requests) {
        CAPTURE(request);
        caller::HttpReader reader(8192, 8192);
        reader.feed(request);
        REQUIRE(reader.next() == caller::HttpReader::State::Request);
        REQUIRE_FALSE(caller::parseCallerRequest(reader.takeRequest()).problem);
        writer.write("\x7f" + request);
        writer.write(std::string(1, '\0') + request);
    }
    writer.write("\xff" + requests[0] + requests[1] + requests[2]);
}

TEST_CASE("Seeds of the token parser are bodies, tokens and ids")
{
    SeedWriter writer("token");
    decision::SessionToken session;
    for (const char *group : {"deposits", "listings", "offers"}) {
        session.advance(group, {makeTerm(3, 1), 123456});
        const std::string token = session.seal("fuzz key");
        REQUIRE(decision::SessionToken::open(token, "fuzz key").ok());
        writer.write(token);
    }
    // Version 1, one group "g" at term 5, offset 300; the target signs it.
    writer.write(std::string("\x01\x01\x01g\x05\xac\x02", 7));
    writer.write(std::string("\x01\x00", 2));
    const std::string id = decision::TransactionId {"offers", "127.0.0.1:1", 1, 2, 3}.toText();
    REQUIRE(decision::TransactionId::fromText(id));
    writer.write(id);
}

TEST_CASE("Seeds of the settings parser are the demonstration's files")
{
    SeedWriter writer("settings");
    for (const char *name : {"agency.ini", "lagon.ini", "entry-1.ini", "owner-1.ini"}) {
        CAPTURE(name);
        settings::Findings findings;
        const std::string path = std::string(DEMO_DIRECTORY) + "/" + name;
        const std::string text = settings::readFile(path, findings);
        settings::Findings asProcess;
        settings::Findings asInventory;
        settings::parseProcessSettings(path, text, asProcess);
        settings::parseInventory(path, text, asInventory);
        REQUIRE(findings.empty());
        REQUIRE((asProcess.empty() || asInventory.empty()));
        writer.write(text);
    }
}

TEST_CASE("Seeds of the registry parser are valid and foreign entries of servers")
{
    SeedWriter writer("entry");
    const std::string good = R"({"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1",)"
                             R"("slots":3,"state":"ready","warmupLeftMs":0,"dbRole":"replica",)"
                             R"("sequence":4)";
    writer.write(good + "}");
    writer.write(good + R"(,"born":1796255000123})");
    writer.write(good + R"(,"born":"soon"})");
    writer.write(R"({"service":"s","address":"10.0.0.9:80","state":"starting"})");
    writer.write(R"({"service":7,"address":null,"slots":"3","sequence":-1})");
    writer.write("\xff\xfe{}");
}

TEST_CASE("Seeds of the platform's parsers are lines of callers and servers, and documents")
{
    SeedWriter writer("wire");
    writer.write("START main me\r\nQUERY 1 SET mode a b\r\nQUERY 2 PREPARE s1 WRITE q2c\r\n"
                 "QUERY 3 EXECUTE s1 1a4 x\r\nQUERY 4 BEGIN READ\r\nQUERY 5 READ 1a4\r\n"
                 "QUERY 6 COMMIT\r\nQUERY 7 DEALLOC s1\r\nTERMINATE\r\n");
    writer.write("DATAROW qhzk\r\nCOMPLETE 7.1f3\r\nREADY T 3.1209\r\nERROR LAGGING i-7\r\n"
                 "replica 3 3.1209 0 12.5 2 17\r\n");
    writer.write(R"({"version":7,"routes":[{"name":"r","database":"d","type":"read_own",)"
                 R"("service":"s","timeoutMs":800,"maxStalenessMs":2500}],)"
                 R"("services":[{"name":"s","maxConns":23,"syncReplicas":1}],"limits":{}})");
}
