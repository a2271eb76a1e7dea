#include "core/manualtimerservice.h"
#include "decision/positionlog.h"
#include "group/serverlist.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::group;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    ManualTimerService timers;
    EventLog log {[] {
        EventLogOptions options;
        options.level = LogLevel::Error;
        return options;
    }()};
    std::vector<ListedServer> servers;
    int changes = 0;
    Metrics metrics;
    ServerList list {timers, log, metrics,
                     [this](const GroupName &, const std::vector<ListedServer> &all) {
                         servers = all;
                         ++changes;
                     }};

    ListedServer server()
    {
        ListedServer one;
        one.run = {"i-1", ServerStart(1000ms)};
        one.sequence = 7;
        one.group = "cases";
        one.endpoint = "10.0.0.9:80";
        return one;
    }
};

} // namespace

TEST_CASE_METHOD(Fixture, "A server whose entry is briefly missing stays in service")
{
    list.onListed(server());
    list.onListed(server());
    CHECK(changes == 1);
    list.onMissing("i-1");
    timers.advance(2s);
    CHECK(!servers[0].leaving);
    list.onListed(server());
    timers.advance(10s);
    REQUIRE(servers.size() == 1);
    CHECK(!servers[0].leaving);
}

TEST_CASE_METHOD(Fixture, "A server that stays missing counts as leaving and is then removed")
{
    list.onListed(server());
    list.onMissing("i-1");
    timers.advance(3s);
    REQUIRE(servers.size() == 1);
    CHECK(servers[0].leaving);
    timers.advance(3s);
    CHECK(servers.empty());
}

TEST_CASE_METHOD(Fixture, "A later update does not change when a server began to leave")
{
    ListedServer leaving = server();
    leaving.leaving = true;
    leaving.leavingSince = timers.now();
    list.onListed(leaving);
    const Instant first = timers.now();
    timers.advance(1s);
    leaving.slots = 2;
    leaving.leavingSince = timers.now();
    list.onListed(leaving);
    CHECK(servers[0].leavingSince == first);
}

TEST_CASE_METHOD(Fixture,
                 "A server leaves from the earliest time at which it may have announced it")
{
    list.onListed(server());
    timers.advance(20s);
    ListedServer leaving = server();
    leaving.leaving = true;
    const Instant announcedAt = timers.now() - 3s;
    leaving.leavingSince = announcedAt;
    list.onListed(leaving);
    CHECK(servers[0].leavingSince == announcedAt);
    // The time is unknown for a server that was already leaving when this process started.
    leaving.run.id = "i-2";
    leaving.leavingSince = Instant();
    list.onListed(leaving);
    CHECK(servers[1].leavingSince == Instant());
}

TEST_CASE_METHOD(Fixture, "A server that restarts under its id is reported as another run")
{
    ListedServer first = server();
    first.leaving = true;
    first.leavingSince = timers.now() - 5s;
    list.onListed(first);
    ListedServer second = server();
    second.run.start = ServerStart(9000ms);
    second.sequence = 1;
    list.onListed(second);
    CHECK(changes == 2);
    REQUIRE(servers.size() == 1);
    CHECK(servers[0].run == second.run);
    CHECK(!servers[0].leaving);
    // The new run leaves from its own report on, not from the earlier run's.
    second.leaving = true;
    second.sequence = 2;
    second.leavingSince = timers.now();
    list.onListed(second);
    CHECK(servers[0].leavingSince == timers.now());
}

TEST_CASE_METHOD(Fixture, "Updates of an earlier run or older ones of the same run are ignored")
{
    list.onListed(server());
    ListedServer second = server();
    second.run.start = ServerStart(500ms);
    second.sequence = 3;
    second.leaving = true;
    list.onListed(second);
    CHECK(changes == 2);
    ListedServer late = server();
    late.sequence = 8;
    list.onListed(late);
    late = second;
    late.sequence = 2;
    late.leaving = false;
    list.onListed(late);
    CHECK(changes == 2);
    CHECK(servers[0].leaving);
    CHECK(servers[0].run == second.run);
}

TEST_CASE_METHOD(Fixture,
                 "An entry without a start counts as missing once the server has reported one")
{
    list.onListed(server());
    ListedServer other = server();
    other.run.start.reset();
    other.endpoint = "10.0.0.10:80";
    list.onListed(other);
    CHECK(servers[0].missing);
    CHECK(servers[0].endpoint == "10.0.0.9:80");
    timers.advance(2s);
    ListedServer again = server();
    again.sequence = 9;
    list.onListed(again);
    CHECK(!servers[0].missing);
    timers.advance(10s);
    CHECK(servers.size() == 1);
}

TEST_CASE_METHOD(Fixture, "Without a reported start all updates belong to the same run")
{
    ListedServer one = server();
    one.run.start.reset();
    list.onListed(one);
    one.sequence = 1;
    list.onListed(one);
    CHECK(changes == 1);
    // The first report of a start may mean another run.
    list.onListed(server());
    CHECK(changes == 2);
}

TEST_CASE("A position covers everything acknowledged before its query was sent")
{
    decision::PositionLog log;
    const Instant start {};
    CHECK(!log.positionCovering(start));
    log.add(start + 100ms, {1, 10});
    log.add(start + 200ms, {1, 20});
    log.add(start + 300ms, {1, 30});
    CHECK(log.positionCovering(start + 50ms) == Position {1, 10});
    CHECK(log.positionCovering(start + 100ms) == Position {1, 10});
    CHECK(log.positionCovering(start + 101ms) == Position {1, 20});
    CHECK(log.positionCovering(start + 300ms) == Position {1, 30});
    CHECK(!log.positionCovering(start + 301ms));
    // A late answer with a lower position is ignored; an earlier query with a higher one counts.
    log.add(start + 400ms, {1, 25});
    CHECK(log.newest() == Position {1, 30});
    log.add(start + 250ms, {1, 40});
    CHECK(log.positionCovering(start + 290ms) == Position {1, 40});
    CHECK(log.firstSeen({1, 20}) == start + 200ms);
    CHECK(!log.firstSeen({1, 41}));
    // A later term exceeds any offset of an earlier one.
    log.add(start + 500ms, {2, 1});
    CHECK(log.newest() == Position {2, 1});
}
