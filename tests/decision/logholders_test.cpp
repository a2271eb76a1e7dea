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

TEST_CASE("A server that leaves the list may hold commits that no other has")
{
    const LogHolders holders = withoutC();
    CHECK(holders.unlisted() == std::vector<LogHolder> {c});
    CHECK(holders.all() == std::vector<LogHolder> {a, b, c});
}

TEST_CASE("It counts until another replica holds what the primary had after it left")
{
    LogHolders holders = withoutC();
    // Asked before it left: more may have been acknowledged with its help.
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

TEST_CASE("What replicas must hold is learnt anew when another one leaves or another primary leads")
{
    LogHolders holders = withoutC();
    holders.onPrimaryPosition({1, 120}, start + 1100ms);
    SECTION("another leaves")
    {
        holders.onListed({a}, start + 2s);
    }
    SECTION("another leads")
    {
        holders.onPrimary();
    }
    holders.onReplicaPosition({1, 120});
    CHECK_FALSE(holders.unlisted().empty());
}

TEST_CASE("A server that is listed again is no vanished one")
{
    LogHolders holders = withoutC();
    holders.onListed({a, b, c}, start + 2s);
    CHECK(holders.unlisted().empty());
}

TEST_CASE("Another server at its address does not end what it may hold")
{
    LogHolders holders = withoutC();
    holders.onListed({a, b, atC}, start + 2s);
    CHECK(holders.unlisted() == std::vector<LogHolder> {c});
}

TEST_CASE("What vanished here a moment ago counts beside the row, and not for ever")
{
    LogHolders holders = withoutC();
    SECTION("a moment ago")
    {
        holders.begin({a, b}, start + 10s);
        CHECK(holders.unlisted() == std::vector<LogHolder> {c});
    }
    SECTION("long ago")
    {
        holders.begin({a, b}, start + 20s);
        CHECK(holders.unlisted().empty());
    }
}

TEST_CASE("A new owner goes by what the row names, whatever it has heard of servers so far")
{
    LogHolders holders;
    holders.onListed({b}, start);
    holders.begin({a, b, c}, start + 1s);
    CHECK(holders.unlisted() == std::vector<LogHolder> {a, c});
    holders.onListed({b, c}, start + 2s);
    CHECK(holders.unlisted() == std::vector<LogHolder> {a});
    CHECK(holders.all() == std::vector<LogHolder> {a, b, c});
}
