#include "caller/keyring.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::caller;

TEST_CASE("A key is identified by its configured hash")
{
    // Test vector of FIPS 180-4.
    CHECK(digestToHex(sha256("abc"))
          == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    settings::Inventory inventory;
    settings::Team team;
    team.name = "brokers";
    team.keyHashes = {digestToHex(sha256("key-a")), digestToHex(sha256("key-b"))};
    team.operatorKeyHashes = {digestToHex(sha256("operator"))};
    inventory.teams = {team};

    const KeyRing callers = callerKeys(inventory);
    CHECK(callers.organisationOf("key-b") == std::optional<TeamName>("brokers"));
    CHECK_FALSE(callers.organisationOf("operator"));
    CHECK_FALSE(callers.organisationOf(""));

    const KeyRing operators = operatorKeys(inventory, digestToHex(sha256("root")));
    CHECK(operators.organisationOf("operator") == std::optional<TeamName>("brokers"));
    CHECK(operators.organisationOf("root") == std::optional<TeamName>(""));
    CHECK_FALSE(operators.organisationOf("key-a"));
}

TEST_CASE("A digest has exactly 64 hexadecimal digits")
{
    CHECK_FALSE(digestFromHex(std::string(63, 'a')));
    CHECK_FALSE(digestFromHex(std::string(63, 'a') + "g"));
    CHECK(digestFromHex(std::string(64, 'F')));
}

TEST_CASE("The scheme of an Authorization header is case-insensitive")
{
    CHECK(bearerKey("bEaRer abc") == std::optional<std::string_view>("abc"));
    for (const char *header : {"", "Bearer", "Bearer ", "Basic abc", "abc"})
        CHECK_FALSE(bearerKey(header));
}
