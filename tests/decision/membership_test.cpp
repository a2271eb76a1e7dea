#include "decision/membership.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace kelptally;
using namespace kelptally::decision;
using std::chrono::seconds;

namespace {

const Instant start {std::chrono::hours(1)};

settings::Host hostOf(int i, int zones)
{
    settings::Host host;
    host.name = "host" + std::to_string(i);
    host.zone = "zone" + std::to_string(i % zones);
    host.ownerAddress = "10.0.0." + std::to_string(i) + ":7000";
    return host;
}

ProcessId processOf(int i, Incarnation incarnation = 1)
{
    return {hostOf(i, 1).ownerAddress, incarnation};
}

Membership makeMembership(int hosts, int zones)
{
    Membership membership;
    std::vector<settings::Host> list;
    for (int i = 0; i < hosts; ++i)
        list.push_back(hostOf(i, zones));
    membership.setHosts(list);
    for (int i = 0; i < hosts; ++i)
        membership.onPeerUp(start, processOf(i));
    return membership;
}

std::vector<HostName> namesOf(std::initializer_list<int> hosts)
{
    std::vector<HostName> names;
    for (int i : hosts)
        names.push_back(hostOf(i, 1).name);
    return names;
}

} // namespace

TEST_CASE("All processes compute the same owner, in whatever order links come up", "[membership]")
{
    Membership forwards = makeMembership(8, 4);
    Membership backwards;
    std::vector<settings::Host> list;
    for (int i = 7; i >= 0; --i)
        list.push_back(hostOf(i, 4));
    backwards.setHosts(list);
    for (int i = 7; i >= 0; --i)
        backwards.onPeerUp(start, processOf(i));
    for (int group = 0; group < 50; ++group) {
        const GroupName name = "group" + std::to_string(group);
        CHECK(forwards.preferredOwner(name, "zone1") == backwards.preferredOwner(name, "zone1"));
        CHECK(forwards.successorCandidates(name, processOf(3))
              == backwards.successorCandidates(name, processOf(3)));
    }
}

TEST_CASE("stableHash returns the start of the SHA-256 digest", "[membership]")
{
    // First eight bytes of SHA-256, as FIPS 180-4 gives it for "abc".
    CHECK(stableHash("abc") == 0xba7816bf8f01cfeaULL);
}

TEST_CASE("The preferred owner is in another zone than the primary if possible", "[membership]")
{
    Membership membership = makeMembership(6, 3);
    for (int group = 0; group < 30; ++group) {
        const auto wanted = membership.preferredOwner("g" + std::to_string(group), "zone1");
        REQUIRE(wanted);
        CHECK(*wanted != processOf(1));
        CHECK(*wanted != processOf(4));
    }
    Membership one = makeMembership(2, 1);
    CHECK(one.preferredOwner("g", "zone0"));
    CHECK_FALSE(Membership().preferredOwner("g", "zone0"));
}

TEST_CASE("The first successors are one process from each zone other than the owner's",
          "[membership]")
{
    Membership membership = makeMembership(9, 3);
    for (int group = 0; group < 30; ++group) {
        const auto choice =
            membership.successorCandidates("g" + std::to_string(group), processOf(0));
        REQUIRE(choice.size() == 8);
        const auto zoneOf = [](const ProcessId &process) { return (process.address[7] - '0') % 3; };
        CHECK(zoneOf(choice[0]) != 0);
        CHECK(zoneOf(choice[1]) != 0);
        CHECK(zoneOf(choice[0]) != zoneOf(choice[1]));
    }
}

TEST_CASE("Groups are spread evenly, and only those of an unreachable process move", "[membership]")
{
    constexpr int hosts = 8;
    constexpr int groups = 4000;
    Membership membership = makeMembership(hosts, 4);
    std::map<std::string, int> owned;
    std::vector<ProcessId> before;
    for (int group = 0; group < groups; ++group) {
        before.push_back(*membership.preferredOwner("g" + std::to_string(group), ""));
        ++owned[before.back().address];
    }
    for (const auto &[address, count] : owned) {
        CHECK(count > groups / hosts * 85 / 100);
        CHECK(count < groups / hosts * 115 / 100);
    }
    membership.onPeerDown(start, processOf(2));
    for (int group = 0; group < groups; ++group) {
        const auto now = *membership.preferredOwner("g" + std::to_string(group), "");
        const bool moved = now != before[static_cast<std::size_t>(group)];
        CHECK(moved == (before[static_cast<std::size_t>(group)] == processOf(2)));
    }
}

TEST_CASE("Leaving and unreachable processes are not chosen", "[membership]")
{
    Membership membership = makeMembership(3, 3);
    membership.onHostList(start, namesOf({0, 2}), namesOf({1}));
    membership.onPeerDown(start, processOf(2));
    for (int group = 0; group < 20; ++group)
        CHECK(membership.preferredOwner("g" + std::to_string(group), "") == processOf(0));
    CHECK(membership.successorCandidates("g", processOf(0)).empty());
}

TEST_CASE("Candidates do not depend on reachability and are limited by the count", "[membership]")
{
    Membership all = makeMembership(20, 4);
    Membership few = makeMembership(20, 4);
    for (int i = 0; i < 15; ++i)
        few.onPeerDown(start, processOf(i));
    const std::vector<std::string> candidates = all.candidates("offers", 6);
    REQUIRE(candidates.size() == 6);
    CHECK(few.candidates("offers", 6) == candidates);
    CHECK(all.candidates("offers", 50).size() == 20);
    CHECK(all.candidates("offers", 1).front() == candidates.front());
    CHECK(all.preferredOwner("offers", "no zone")->address == candidates.front());
}

TEST_CASE("A newer incarnation proves the older one dead; late events of the older are ignored",
          "[membership]")
{
    Membership membership = makeMembership(2, 2);
    membership.onPeerUp(start, processOf(1, 5));
    CHECK(membership.takeDeadProcesses(start) == std::vector<ProcessId> {processOf(1, 1)});
    CHECK(membership.takeDeadProcesses(start).empty());
    membership.onPeerDown(start, processOf(1, 1));
    membership.onPeerUp(start, processOf(1, 1));
    CHECK(membership.members()[1].reachable);
    CHECK(membership.members()[1].process == processOf(1, 5));
}

TEST_CASE("Absence from the host list proves a process dead only after the timeout", "[membership]")
{
    Membership membership = makeMembership(3, 3);
    membership.onHostList(start, namesOf({0, 1, 2}), {});
    membership.onPeerDown(start, processOf(1));
    membership.onPeerDown(start, processOf(2));
    membership.onHostList(start + seconds(5), namesOf({0}), {});
    membership.onHostList(start + seconds(20), namesOf({0, 2}), {});
    membership.onHostList(start + seconds(34), namesOf({0}), {});
    CHECK(membership.takeDeadProcesses(start + seconds(34)).empty());
    CHECK(membership.takeDeadProcesses(start + seconds(35))
          == std::vector<ProcessId> {processOf(1)});
    // A reachable process is alive even if the list omits its host.
    membership.onPeerUp(start + seconds(60), processOf(2));
    CHECK(membership.takeDeadProcesses(start + seconds(90)).empty());
}
