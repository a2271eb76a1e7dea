#include "decision/earlierowners.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant(100s);
const ProcessId self {"10.0.0.9:1", 1};
const EarlierOwner first {{"10.0.0.1:1", 7}, 3};
const EarlierOwner second {{"10.0.0.2:1", 8}, 4};

EarlierOwners both()
{
    EarlierOwners owners;
    owners.begin(start, {first}, 10s, self);
    owners.add(second, start + 12s);
    return owners;
}

} // namespace

TEST_CASE("No earlier owner may act when the row has no time remaining")
{
    EarlierOwners owners;
    owners.begin(start, {}, Duration(0), self);
    CHECK_FALSE(owners.mayAct(start));
}

TEST_CASE("Each earlier owner may act until it has ended or its lease has expired")
{
    EarlierOwners owners = both();
    CHECK(owners.onEndConfirmed(second.process.address, second.epoch));
    CHECK(owners.mayAct(start));
    CHECK_FALSE(owners.mayAct(second, start));
    CHECK(owners.mayAct(first, start));
    CHECK(owners.onEndConfirmed(first.process.address, first.epoch));
    CHECK_FALSE(owners.mayAct(start));
    CHECK(both().mayAct(start + 11s));
    CHECK_FALSE(both().mayAct(start + 12s));
    CHECK(both().active(start + 11s).size() == 1);
}

TEST_CASE("Only a proof for the same incarnation and epoch drops an earlier owner")
{
    EarlierOwners owners = both();
    CHECK_FALSE(owners.onEndConfirmed(first.process.address, first.epoch - 1));
    CHECK_FALSE(owners.onRestarted(first.process));
    CHECK(owners.onRestarted({first.process.address, first.process.incarnation + 1}));
    CHECK(owners.onEndConfirmed(second.process.address, second.epoch));
    CHECK_FALSE(owners.mayAct(start));
}

TEST_CASE("Unnamed earlier owners are dropped only by time")
{
    EarlierOwners owners;
    owners.begin(start, {}, 10s, self);
    CHECK_FALSE(owners.onEndConfirmed("", 100));
    CHECK(owners.mayAct(start + 9s));
    CHECK_FALSE(owners.mayAct(start + 10s));
}

TEST_CASE("An owner does not wait for itself")
{
    EarlierOwners owners;
    owners.begin(start, {{self, 2}}, 10s, self);
    CHECK_FALSE(owners.mayAct(start));
}

TEST_CASE("The row for the next owner lists all owners that may still act")
{
    CHECK(EarlierOwners::listForNextOwner({first}, false, second).size() == 1);
    CHECK(EarlierOwners::listForNextOwner({first}, true, second).size() == 2);
    // Guarded without a listed owner: an unnamed owner may still act.
    const auto unnamed = EarlierOwners::listForNextOwner({}, true, second);
    REQUIRE(unnamed.size() == 2);
    CHECK_FALSE(unnamed.front().isNamed());
    // Too many owners are replaced by one unnamed owner.
    const auto many = EarlierOwners::listForNextOwner(
        {first, first, first, first, first, first, first, first}, true, second);
    REQUIRE(many.size() == 2);
    CHECK_FALSE(many.front().isNamed());
}
