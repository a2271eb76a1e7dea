#include "decision/linkwatch.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

constexpr Duration period = 200ms;
constexpr Duration timeout = 1800ms;

// Two ends of one link that looks at each other by turns.
struct LinkEnds
{
    LinkWatch local {period, timeout};
    LinkWatch remote {period, timeout};
    int pings = 0;
    bool closed = false;

    void checkEnd(LinkWatch &watch, LinkWatch &other)
    {
        const LinkWatch::Step step = watch.check();
        closed = closed || step == LinkWatch::Step::Close;
        if (step != LinkWatch::Step::Ping)
            return;
        ++pings;
        other.onReceived();
        watch.onReceived();
    }
    void run(Duration time)
    {
        for (Duration elapsed {0}; elapsed < time; elapsed += period) {
            checkEnd(local, remote);
            checkEnd(remote, local);
        }
    }
    void sendMessage()
    {
        local.onMessage();
        remote.onMessage();
        remote.onReceived();
    }
};

Duration timeUntilClosed(LinkWatch &watch)
{
    Duration elapsed {0};
    while (watch.check() != LinkWatch::Step::Close)
        elapsed += period;
    return elapsed + period;
}

} // namespace

// 164 hosts of a zone had 30 links each: 400 pings and answers a second for nothing.
TEST_CASE("An idle link is pinged rarely and stays")
{
    LinkEnds link;
    link.sendMessage();
    link.run(4s);
    link.pings = 0;
    link.run(60s);
    CHECK(!link.closed);
    CHECK(link.pings <= 60);
    CHECK(link.pings >= 10);
}

TEST_CASE("A link in use is found silent in time")
{
    LinkWatch watch(period, timeout);
    watch.onMessage();
    CHECK(timeUntilClosed(watch) == timeout);
    // One that was idle counts from the message that it should have answered.
    LinkWatch idle(period, timeout);
    for (int i = 0; i < 100; ++i) {
        idle.onReceived();
        CHECK(idle.check() != LinkWatch::Step::Close);
    }
    for (int i = 0; i < 12; ++i)
        CHECK(idle.check() != LinkWatch::Step::Close);
    idle.onMessage();
    CHECK(timeUntilClosed(idle) == timeout);
}

TEST_CASE("An idle link that is dead is given up within some seconds")
{
    LinkWatch watch(period, timeout);
    for (int i = 0; i < 100; ++i) {
        watch.onReceived();
        watch.check();
    }
    const Duration took = timeUntilClosed(watch);
    CHECK(took >= 3 * timeout);
    CHECK(took <= 8s);
}

TEST_CASE("A short time-out is met by pings that come before it")
{
    LinkWatch watch(period, 500ms);
    int pings = 0;
    for (int i = 0; i < 2; ++i)
        pings += watch.check() == LinkWatch::Step::Ping;
    CHECK(pings == 2);
}
