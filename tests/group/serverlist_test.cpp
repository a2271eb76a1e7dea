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
    ServerList list {timers, log, [this](const GroupName &, const std::vector<ListedServer> &all) {
                         servers = all;
                         ++changes;
                     }};

    ListedServer server()
    {
        ListedServer one;
        one.id = "i-1";
        one.group = "cases";
        one.endpoint = "10.0.0.9:80";
        return one;
    }
};

} // namespace

TEST_CASE_METHOD(Fixture, "A server whose entry lapses for a moment goes on")
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

TEST_CASE_METHOD(Fixture, "A server that stays missing leaves first and is gone then")
{
    list.onListed(server());
    list.onMissing("i-1");
    timers.advance(3s);
    REQUIRE(servers.size() == 1);
    CHECK(servers[0].leaving);
    timers.advance(3s);
    CHECK(servers.empty());
}

TEST_CASE_METHOD(Fixture, "The time since when a server leaves is that of the first news")
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

TEST_CASE_METHOD(Fixture, "News of a server that leaves count from when it may have said so")
{
    list.onListed(server());
    timers.advance(20s);
    ListedServer leaving = server();
    leaving.leaving = true;
    const Instant said = timers.now() - 3s;
    leaving.leavingSince = said;
    list.onListed(leaving);
    CHECK(servers[0].leavingSince == said);
    // One that was leaving when this process began may have left long ago.
    leaving.id = "i-2";
    leaving.leavingSince = Instant();
    list.onListed(leaving);
    CHECK(servers[1].leavingSince == Instant());
}

TEST_CASE("A position holds everything acknowledged before its question was sent")
{
    decision::PositionLog log;
    const Instant start {};
    CHECK(!log.holdsAllUntil(start));
    log.add(start + 100ms, {1, 10});
    log.add(start + 200ms, {1, 20});
    log.add(start + 300ms, {1, 30});
    CHECK(log.holdsAllUntil(start + 50ms) == Position {1, 10});
    CHECK(log.holdsAllUntil(start + 100ms) == Position {1, 10});
    CHECK(log.holdsAllUntil(start + 101ms) == Position {1, 20});
    CHECK(log.holdsAllUntil(start + 300ms) == Position {1, 30});
    CHECK(!log.holdsAllUntil(start + 301ms));
    // Late answers with less are no news; an earlier question answered with more is.
    log.add(start + 400ms, {1, 25});
    CHECK(log.newest() == Position {1, 30});
    log.add(start + 250ms, {1, 40});
    CHECK(log.holdsAllUntil(start + 290ms) == Position {1, 40});
    CHECK(log.firstSeen({1, 20}) == start + 200ms);
    CHECK(!log.firstSeen({1, 41}));
    // A later term is more than any offset of an earlier one.
    log.add(start + 500ms, {2, 1});
    CHECK(log.newest() == Position {2, 1});
}
