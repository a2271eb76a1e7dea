#include "decision/linkwatch.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

constexpr Duration period = 200ms;
constexpr Duration timeout = 1800ms;

// Two ends of one link that looks at each other by turns.
struct Ends
{
    LinkWatch here {period, timeout};
    LinkWatch there {period, timeout};
    int pings = 0;
    bool givenUp = false;

    void lookAt(LinkWatch &watch, LinkWatch &other)
    {
        const LinkWatch::Step step = watch.look();
        givenUp = givenUp || step == LinkWatch::Step::GiveUp;
        if (step != LinkWatch::Step::Ping)
            return;
        ++pings;
        other.onHeard();
        watch.onHeard();
    }
    void run(Duration time)
    {
        for (Duration passed {0}; passed < time; passed += period) {
            lookAt(here, there);
            lookAt(there, here);
        }
    }
    void message()
    {
        here.onMessage();
        there.onMessage();
        there.onHeard();
    }
};

Duration timeToGiveUp(LinkWatch &watch)
{
    Duration passed {0};
    while (watch.look() != LinkWatch::Step::GiveUp)
        passed += period;
    return passed + period;
}

} // namespace

// 164 hosts of a zone had 30 links each: 400 pings and answers a second for nothing.
TEST_CASE("An idle link is pinged rarely and stays")
{
    Ends link;
    link.message();
    link.run(4s);
    link.pings = 0;
    link.run(60s);
    CHECK(!link.givenUp);
    CHECK(link.pings <= 60);
    CHECK(link.pings >= 10);
}

TEST_CASE("A link in use is found silent in time")
{
    LinkWatch watch(period, timeout);
    watch.onMessage();
    CHECK(timeToGiveUp(watch) == timeout);
    // One that was idle counts from the message that it should have answered.
    LinkWatch idle(period, timeout);
    for (int i = 0; i < 100; ++i) {
        idle.onHeard();
        CHECK(idle.look() != LinkWatch::Step::GiveUp);
    }
    for (int i = 0; i < 12; ++i)
        CHECK(idle.look() != LinkWatch::Step::GiveUp);
    idle.onMessage();
    CHECK(timeToGiveUp(idle) == timeout);
}

TEST_CASE("An idle link that is dead is given up within some seconds")
{
    LinkWatch watch(period, timeout);
    for (int i = 0; i < 100; ++i) {
        watch.onHeard();
        watch.look();
    }
    const Duration took = timeToGiveUp(watch);
    CHECK(took >= 3 * timeout);
    CHECK(took <= 8s);
}

TEST_CASE("A short time-out is met by pings that come before it")
{
    LinkWatch watch(period, 500ms);
    int pings = 0;
    for (int i = 0; i < 2; ++i)
        pings += watch.look() == LinkWatch::Step::Ping;
    CHECK(pings == 2);
}
