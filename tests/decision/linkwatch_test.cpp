#include "decision/linkwatch.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

constexpr Duration period = 200ms;
constexpr Duration timeout = 1800ms;

// Both ends of one link, checked in turn.
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

TEST_CASE("An idle link is pinged rarely and stays open")
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

TEST_CASE("A silent link in use is closed after the timeout")
{
    LinkWatch watch(period, timeout);
    watch.onMessage();
    CHECK(timeUntilClosed(watch) == timeout);
    // The timeout of an idle link restarts with the next message.
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

TEST_CASE("An idle link to a dead peer is closed within eight seconds")
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

TEST_CASE("Pings are sent before a short timeout ends")
{
    LinkWatch watch(period, 500ms);
    int pings = 0;
    for (int i = 0; i < 2; ++i)
        pings += watch.check() == LinkWatch::Step::Ping;
    CHECK(pings == 2);
}

// Pings of the sender wait behind its large message, so the receiver must show that it arrives.
TEST_CASE("A message that is arriving keeps its link open and is acknowledged by pongs")
{
    LinkWatch watch(period, timeout);
    watch.onMessage();
    for (Duration elapsed {0}; elapsed < 20s; elapsed += period) {
        watch.onPartReceived(100'000);
        CHECK(watch.check() == LinkWatch::Step::Pong);
    }
    // Slower parts count together.
    for (int i = 0; i < 100; ++i) {
        watch.onPartReceived(1100);
        CHECK(watch.check() != LinkWatch::Step::Close);
    }
}

TEST_CASE("A message that hardly arrives does not keep its link open")
{
    LinkWatch watch(period, timeout);
    watch.onMessage();
    int checks = 1;
    for (; checks < 100; ++checks) {
        watch.onPartReceived(100);
        if (watch.check() == LinkWatch::Step::Close)
            break;
    }
    CHECK(checks * period == timeout);
}
