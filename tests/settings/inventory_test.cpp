#include "settings/inidocument.h"
#include "settings/inventory.h"
#include "settings/sectionreader.h"

#include <catch2/catch.hpp>

#include <map>

using namespace kelptally;
using namespace kelptally::settings;
using namespace std::chrono_literals;

namespace {

// A valid document.
const std::string goodDocument = R"(
[zone a]
region = north
[zone b]
region = north
[host h1]
zone = a
owner = 127.0.0.1:1
entry = 127.0.0.1:2
[team t]
[group g]
team = t
database = d
user = u
[server s1]
group = g
zone = a
address = 127.0.0.1:11
slots = 3
connections = 25
[server s2]
group = g
zone = b
address = 127.0.0.1:12
slots = 3
connections = 25
[server s3]
group = g
zone = b
address = 127.0.0.1:13
slots = 3
connections = 25
state = leaving
[kind look]
access = read
stated-age = 250ms
[kind pay]
access = write
repeatable = no
deadline = 2m
teams = t
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string findingsOf(const std::string &document)
{
    Findings findings;
    parseInventory("f", document, findings);
    return findings.toText();
}

} // namespace

TEST_CASE("the documents of the demonstration are valid")
{
    for (const char *name : {"/agency.ini", "/lagon.ini"}) {
        Findings findings;
        const std::string path = std::string(DEMO_DIRECTORY) + name;
        const Inventory inventory = parseInventory(path, readFile(path, findings), findings);
        CHECK(findings.toText().empty());
        CHECK(inventory.zones.size() == 4);
        CHECK(inventory.hosts.size() == 3);
        REQUIRE(inventory.groups.size() == 3);
        for (const Group &group : inventory.groups)
            CHECK(group.servers.size() == 3);
    }
}

TEST_CASE("the stand-ins of the demonstration listen on the addresses of the documents' servers")
{
    for (const std::string site : {"agency", "lagon"}) {
        Findings findings;
        const std::string directory = std::string(DEMO_DIRECTORY) + "/";
        const std::string document = readFile(directory + site + ".ini", findings);
        const std::string standin = readFile(directory + "standin-" + site + ".ini", findings);
        std::map<std::string, std::string> listens;
        for (const IniSection &section : parseIni("f", standin, findings))
            for (const IniEntry &entry : section.entries)
                if (section.type == "server" && entry.key == "listen")
                    listens[section.name] = entry.value;
        const Inventory inventory = parseInventory("f", document, findings);
        REQUIRE(findings.empty());
        CHECK(listens.size() == 9);
        for (const Group &group : inventory.groups)
            for (const Server &server : group.servers)
                CHECK(listens[server.name] == Endpoint {server.address, server.port}.toText());
    }
}

TEST_CASE("a document is parsed with types and defaults")
{
    Findings findings;
    const Inventory inventory = parseInventory("f", goodDocument, findings);
    REQUIRE(findings.toText().empty());
    const Group *group = inventory.findGroup("g");
    REQUIRE(group);
    CHECK(group->servers[2].administrativeState == AdministrativeState::Leaving);
    CHECK(group->servers[1].address == "127.0.0.1");
    CHECK(group->servers[1].port == 12);
    CHECK(group->statements.promote == GroupStatements().promote);
    const Kind *look = inventory.findKind("look");
    REQUIRE(look);
    CHECK(look->statedAge == Duration(250ms));
    CHECK(look->requestClass == RequestClass::Browse);
    const Kind *pay = inventory.findKind("pay");
    REQUIRE(pay);
    CHECK_FALSE(pay->repeatable);
    CHECK(pay->deadline == 2min);
    CHECK(pay->requestClass == RequestClass::Critical);
    CHECK(inventory.findTeam("nobody") == nullptr);
}

TEST_CASE("each mistake gives a finding with line, key and allowed values")
{
    std::string text = replaced(goodDocument, "slots = 3", "slots = many");
    text = replaced(text, "access = read", "access = look");
    text = replaced(text, "region = north", "reigon = north");
    text = replaced(text, "teams = t", "teams = t, x");
    Findings findings;
    parseInventory("f", text, findings);
    CHECK(findings.toText()
          == "f:2: zone a/region: the key is required\n"
             "f:3: zone a/reigon: unknown key; allowed are region\n"
             "f:19: server s1/slots: not a whole number from 1 to 10000\n"
             "f:35: kind look/access: unknown value; allowed are read, write\n"
             "f:41: kind pay/teams: there is no [team x]\n");
}

TEST_CASE("each violated rule of a document gives a finding")
{
    struct Case
    {
        const char *from;
        const char *to;
        const char *finding;
    };
    const Case cases[] = {
        {"[zone b]", "[zone]", "f:4: zone: the name is empty"},
        {"[zone b]", "[zone a]", "f:4: zone a: duplicate section; first defined at line 2"},
        {"[zone b]", "[zonk b]", "f:4: zonk b: unknown section"},
        {"[zone b]", "[zone b", "f:4: not a section"},
        {"[zone b]", "nonsense\n[zone b]", "f:4: neither a section nor key = value"},
        {"[zone b]", "[zone \xC3\xA5]", "f:4: zone ??: not a name"},
        {"\n[zone a]", "x = 1\n[zone a]", "f:1: x: a key before the first section"},
        {"region = north", "region = north\nregion = north",
         "f:4: zone a/region: duplicate key; first defined at line 3"},
        {"region = north", "region =", "f:3: zone a/region: the value is empty"},
        {"region = north", "region = no\x01rth", "f:3: zone a/region: the value holds a byte"},
        {"zone = a", "zone = c", "f:7: host h1/zone: there is no [zone c]"},
        {"team = t", "team = c", "f:12: group g/team: there is no [team c]"},
        {"group = g", "group = c", "f:16: server s1/group: there is no [group c]"},
        {"group = g", "group = c", "f:11: group g: the group has 2 servers; allowed is an odd"},
        {"[team t]", "[team t]\nkey-hash = abc", "f:11: team t/key-hash: not a SHA-256 sum"},
        {"[team t]", "[team t]\nshare = 0", "f:11: team t/share: not a whole number from 1 to"},
        {"owner = 127.0.0.1:1", "owner = 127.0.0.1", "f:8: host h1/owner: not an address"},
        {"owner = 127.0.0.1:1", "owner = host:1", "f:8: host h1/owner: not an address"},
        {"owner = 127.0.0.1:1", "owner = 127.0.0.1:65536", "f:8: host h1/owner: not an address"},
        {"entry = 127.0.0.1:2", "entry = 127.0.0.1:1",
         "f:9: host h1/entry: the address is already that of host h1/owner"},
        {"127.0.0.1:12", "127.0.0.1:11",
         "f:24: server s2/address: the address is already that of server s1/address"},
        {"connections = 25", "connections = 2", "f:20: server s1/connections: fewer"},
        {"slots = 3\nconnections = 25", "slots = 1\nconnections = 2",
         "f:20: server s1/connections: fewer than 3"},
        {"stated-age = 250ms", "stated-age = 250", "f:36: kind look/stated-age: not a duration"},
        {"stated-age = 250ms", "stated-age = 0s", "f:36: kind look/stated-age: not a duration"},
        {"stated-age = 250ms", "repeatable = no", "f:36: kind look/repeatable: a read is always"},
        {"stated-age = 250ms", "class = write", "f:36: kind look/class: allowed with access"},
        {"repeatable = no", "x = y", "f:37: kind pay/repeatable: the key is required"},
        {"repeatable = no", "repeatable = no\nstated-age = 1s", "f:40: kind pay/stated-age: a"},
        {"state = leaving", "state = gone", "f:33: server s3/state: unknown value; allowed"},
        {"[kind look]", "[limits x]", "f:34: limits x: [limits] takes no name"},
    };
    for (const Case &testCase : cases) {
        INFO(testCase.to);
        CHECK_THAT(findingsOf(replaced(goodDocument, testCase.from, testCase.to)),
                   Catch::Contains(testCase.finding));
    }
}

TEST_CASE("invalid bytes, lines and sizes give findings")
{
    CHECK_THAT(findingsOf(""), Catch::Contains("there is no [group NAME]"));
    CHECK_THAT(findingsOf(std::string(20, '\0')), Catch::Contains("f:1: the line holds a NUL"));
    CHECK_THAT(findingsOf(std::string(9000, 'x')), Catch::Contains("f:1: the line is longer"));
    CHECK_THAT(findingsOf("[zone a]\nregion = " + std::string(5000, 'x')),
               Catch::Contains("f:2: zone a/region: the value is longer than 4096 bytes"));
    CHECK_THAT(findingsOf(std::string(maxDocumentBytes + 1, ';')),
               Catch::Contains("larger than 4190208 bytes"));
    for (const char *broken : {"\x80", "\xC3", "\xC0\x80", "\xE0\x80\x80", "\xED\xA0\x80",
                               "\xF4\x90\x80\x80", "\xE2\x82(", "\xFF"})
        CHECK_THAT(findingsOf(std::string("; ") + broken), Catch::Contains("f:1: the line is not"));
    CHECK_THAT(findingsOf("; \xC3\xA5 \xE2\x82\xAC \xF0\x9F\x9A\xA2"),
               !Catch::Contains("f:1: the line is not"));
    CHECK_THAT(findingsOf("\xEF\xBB\xBF[zone a]\r\nregion = 1 2\r\n"),
               Catch::Contains("f:2: zone a/region: not a name"));
}

TEST_CASE("the number of findings is bounded")
{
    std::string text;
    for (int i = 0; i < 5000; ++i)
        text += "nonsense\n";
    Findings findings;
    parseInventory("f", text, findings);
    CHECK(findings.all().size() == Findings::maxFindings + 1);
    CHECK_THAT(findings.toText(), Catch::Contains("further mistakes are left out"));
}

TEST_CASE("a file that cannot be read is a finding")
{
    Findings findings;
    CHECK(readFile("/nonexistent/file.ini", findings).empty());
    CHECK_THAT(findings.toText(), Catch::Contains("cannot be read: No such file"));
    CHECK(readFile("/", findings).empty());
    CHECK(findings.all().size() == 2);
}
