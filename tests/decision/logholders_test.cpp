#include "decision/logholders.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant(100s);
const LogHolder a {"a", "10.0.0.1:1"};
const LogHolder b {"b", "10.0.0.2:1"};
const LogHolder c {"c", "10.0.0.3:1"};
const LogHolder atC {"c2", c.endpoint};

LogHolders withoutC()
{
    LogHolders holders;
    holders.onListed({a, b, c}, start);
    holders.onListed({a, b}, start + 1s);
    return holders;
}

} // namespace

TEST_CASE("A server that has left the list stays a holder")
{
    const LogHolders holders = withoutC();
    CHECK(holders.unlisted() == std::vector<LogHolder> {c});
    CHECK(holders.all() == std::vector<LogHolder> {a, b, c});
}

TEST_CASE("An unlisted holder is dropped once a replica holds what the primary held after it left")
{
    LogHolders holders = withoutC();
    // Requested before the server left: it may have acknowledged more after that.
    holders.onPrimaryPosition({1, 100}, start + 900ms);
    holders.onReplicaPosition({1, 200});
    CHECK(holders.unlisted().size() == 1);
    holders.onPrimaryPosition({1, 120}, start + 1100ms);
    holders.onReplicaPosition({1, 119});
    CHECK(holders.unlisted().size() == 1);
    holders.onReplicaPosition({1, 120});
    CHECK(holders.unlisted().empty());
    CHECK(holders.all() == std::vector<LogHolder> {a, b});
}

TEST_CASE("The required position is reset when another server leaves or the primary changes")
{
    LogHolders holders = withoutC();
    holders.onPrimaryPosition({1, 120}, start + 1100ms);
    SECTION("another server leaves")
    {
        holders.onListed({a}, start + 2s);
    }
    SECTION("the primary changes")
    {
        holders.onPrimaryChanged();
    }
    holders.onReplicaPosition({1, 120});
    CHECK_FALSE(holders.unlisted().empty());
}

TEST_CASE("A server that is listed again is not an unlisted holder")
{
    LogHolders holders = withoutC();
    holders.onListed({a, b, c}, start + 2s);
    CHECK(holders.unlisted().empty());
}

TEST_CASE("Another server at the same address does not replace an unlisted holder")
{
    LogHolders holders = withoutC();
    holders.onListed({a, b, atC}, start + 2s);
    CHECK(holders.unlisted() == std::vector<LogHolder> {c});
}

TEST_CASE("A server that left the list recently is a holder even if the row does not name it")
{
    LogHolders holders = withoutC();
    SECTION("recently")
    {
        holders.begin({a, b}, start + 10s);
        CHECK(holders.unlisted() == std::vector<LogHolder> {c});
    }
    SECTION("too long ago")
    {
        holders.begin({a, b}, start + 20s);
        CHECK(holders.unlisted().empty());
    }
}

TEST_CASE("A new owner starts with the holders that the row names")
{
    LogHolders holders;
    holders.onListed({b}, start);
    holders.begin({a, b, c}, start + 1s);
    CHECK(holders.unlisted() == std::vector<LogHolder> {a, c});
    holders.onListed({b, c}, start + 2s);
    CHECK(holders.unlisted() == std::vector<LogHolder> {a});
    CHECK(holders.all() == std::vector<LogHolder> {a, b, c});
}
