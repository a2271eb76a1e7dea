#include "platform/documents.h"

#include <catch2/catch.hpp>

using namespace kelptally;

TEST_CASE("A configuration becomes routes, groups and limits, and unknown fields are passed over")
{
    const auto catalogue = platform::parseCatalogue(R"({"version":7,"news":[1],"routes":[
        {"name":"r1","database":"lepu","type":"primary","timeoutMs":800,"targetLatencyMs":150,
         "priority":1,"service":"huvo","unknown":{"a":1}},
        {"name":"r2","database":"fiti","type":"read_own","timeoutMs":900,"service":"huvo",
         "maxStalenessMs":2500},
        {"name":"r3","database":"xapu","type":"bounded_stale","service":"kafi",
         "maxStalenessMs":1500}],
        "services":[{"name":"huvo","maxConns":23,"syncReplicas":1},{"name":"kafi"}],
        "limits":{"txIdleMs":4000}})");
    REQUIRE(catalogue.ok());
    const session::Catalogue &c = **catalogue;
    CHECK(c.version == 7);
    CHECK(c.routes.at("lepu").rule == inner::ReadRule::Newest);
    CHECK(c.routes.at("lepu").statementTimeout == std::chrono::milliseconds(800));
    CHECK(c.routes.at("lepu").objective == std::chrono::milliseconds(150));
    CHECK(c.routes.at("lepu").priority == 1);
    CHECK(c.routes.at("fiti").rule == inner::ReadRule::OwnWrites);
    CHECK(c.routes.at("fiti").maxAge == std::chrono::milliseconds(2500));
    CHECK(c.routes.at("xapu").rule == inner::ReadRule::Bounded);
    CHECK(c.groups.at("huvo").maxConnections == 23);
    CHECK(c.groups.at("huvo").synchronous);
    CHECK(!c.groups.at("kafi").synchronous);
    CHECK(c.transactionIdle == std::chrono::seconds(4));
}

TEST_CASE("A configuration that can't be read is refused whole")
{
    CHECK(!platform::parseCatalogue("").ok());
    CHECK(!platform::parseCatalogue("{").ok());
    CHECK(!platform::parseCatalogue(R"({"routes":[],"services":[]})").ok());
    CHECK(!platform::parseCatalogue(R"({"version":0,"routes":[],"services":[]})").ok());
    CHECK(!platform::parseCatalogue(R"({"version":3,"services":[]})").ok());
}

TEST_CASE("A server's entry becomes a listed server")
{
    const auto server = platform::parseServer("i-7", R"({"service":"huvo","address":"10.0.0.9:80",
        "zone":"lulea-a","slots":3,"state":"draining","dbRole":"primary","sequence":4})");
    REQUIRE(server.ok());
    CHECK(server->id == "i-7");
    CHECK(server->leaving);
    CHECK(server->primary);
    CHECK(server->slots == 3);
    CHECK(!platform::parseServer("i-7", R"({"zone":"a"})").ok());
    CHECK(!platform::parseServer("i-7", "x").ok());
}

TEST_CASE("Versions never go back within the life of a process")
{
    session::CurrentCatalogue current;
    const auto version = [](ConfigVersion number) {
        auto catalogue = std::make_shared<session::Catalogue>();
        catalogue->version = number;
        return catalogue;
    };
    CHECK(current.route("x") == nullptr);
    CHECK(current.install(version(5)));
    CHECK(!current.install(version(5)));
    CHECK(!current.install(version(4)));
    CHECK(current.install(version(9)));
    CHECK(current.version() == 9);
}
