#include "entryfixtures.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::entry;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    Fixture() { links.setAddresses({ownerA, ownerB}); }

    void resolve()
    {
        directory.resolve("offers", [this](const auto &owner) { found.push_back(owner); });
    }

    ManualTimerService timers;
    FakePeerLinks peers;
    FakeOwnershipRowReader rows;
    OwnerLinks links {peers};
    OwnerDirectory directory {timers, rows, links};
    std::vector<std::optional<std::string>> found;
};

inner::LocateAnswer located(const std::string &owner, OwnerEpoch epoch)
{
    return {1, {owner, 1}, "offers", epoch, owner};
}

} // namespace

TEST_CASE("An owner is read from its row and cached")
{
    Fixture f;
    f.rows.row = rowOf(ownerA);
    f.resolve();
    REQUIRE(f.found.size() == 1);
    CHECK(f.found[0] == ownerA);
    f.resolve();
    CHECK(f.found.size() == 2);
    CHECK(f.rows.reads == 1);
    CHECK(f.directory.owner("offers") == ownerA);
    CHECK_FALSE(f.directory.owner("deposits"));
}

TEST_CASE("The owner is located through other processes when the store is down")
{
    Fixture f;
    f.rows.row = absl::UnavailableError("down");
    f.links.onUp(1, ownerA);
    f.links.onUp(2, ownerB);
    f.resolve();
    CHECK(f.found.empty());
    REQUIRE(f.peers.sent.size() == 2);
    CHECK(f.peers.take<inner::Locate>().group == "offers");
    f.directory.onLocateAnswer(located("", 0));
    CHECK(f.found.empty());
    f.directory.onLocateAnswer(located(ownerB, 4));
    REQUIRE(f.found.size() == 1);
    CHECK(f.found[0] == ownerB);
    // An answer of an older epoch and one that names an unknown process are ignored.
    f.directory.onLocateAnswer(located(ownerA, 3));
    f.directory.onLocateAnswer(located("10.9.9.9:1", 9));
    CHECK(f.directory.owner("offers") == ownerB);
}

TEST_CASE("An unanswered lookup times out and is shared by concurrent callers")
{
    Fixture f;
    f.resolve();
    f.resolve();
    CHECK(f.rows.reads == 1);
    f.timers.advance(OwnerDirectory::lookupTimeout);
    REQUIRE(f.found.size() == 2);
    CHECK_FALSE(f.found[0]);
    CHECK_FALSE(f.found[1]);
}

TEST_CASE("The successors of a lost owner are asked without further reads of the store")
{
    Fixture f;
    f.rows.row = rowOf(ownerA, 1, {ownerB});
    f.resolve();
    f.links.onUp(2, ownerB);
    f.directory.suspect("offers", ownerB);
    CHECK(f.directory.owner("offers") == ownerA);
    f.directory.suspect("offers", ownerA);
    CHECK_FALSE(f.directory.owner("offers"));

    // The row is not read again within rowReadInterval; the successor is asked each locateInterval.
    f.rows.row = absl::UnavailableError("down");
    f.timers.advance(100ms);
    f.resolve();
    CHECK(f.rows.reads == 1);
    REQUIRE(f.peers.sent.size() == 1);
    CHECK(f.peers.sent[0].link == 2);
    f.timers.advance(OwnerDirectory::lookupTimeout - 1ms);
    CHECK(f.rows.reads == 2);
    CHECK(f.peers.sent.size() == 6);
    f.directory.onLocateAnswer(located(ownerB, 2));
    REQUIRE(f.found.size() == 2);
    CHECK(f.found[1] == ownerB);
}

TEST_CASE("Links are opened to configured processes only")
{
    Fixture f;
    CHECK(f.peers.connected == std::vector<std::string> {ownerA, ownerB});
    CHECK_FALSE(f.links.findOrDial("10.9.9.9:1"));
    CHECK(f.peers.connected.size() == 2);
    f.links.onUp(5, ownerA);
    f.links.onUp(6, ownerA);
    f.links.onDown(6);
    CHECK(f.links.findOrDial(ownerA) == inner::LinkId(5));
    f.links.onDown(5);
    CHECK_FALSE(f.links.findOrDial(ownerA));
    f.links.setAddresses({ownerB});
    CHECK(f.peers.dropped == std::vector<std::string> {ownerA});
}
