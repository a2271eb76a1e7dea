#include "core/dutythread.h"

#include <catch2/catch.hpp>

#include <future>

using namespace kelptally;
using namespace std::chrono_literals;

TEST_CASE("an inbox delivers its items to the duty thread in order")
{
    DutyThread thread("test");
    std::promise<std::vector<int>> all;
    std::vector<int> seen;
    Inbox<int> inbox(thread, 10, [&](int &&item) {
        seen.push_back(item);
        if (seen.size() == 3)
            all.set_value(seen);
    });
    thread.start();
    CHECK(inbox.tryPush(1));
    CHECK(inbox.tryPush(2));
    CHECK(inbox.tryPush(3));
    CHECK(all.get_future().get() == std::vector<int> {1, 2, 3});
    thread.stop();
}

TEST_CASE("timers of a duty thread fire, and a cancelled one does not")
{
    DutyThread thread("test");
    std::promise<void> fired;
    bool cancelledFired = false;
    const TimerId id = thread.timers().subscribeAfter(1ms, [&] { cancelledFired = true; });
    thread.timers().cancel(id);
    int ticks = 0;
    TimerId periodic = 0;
    periodic = thread.timers().subscribeEvery(2ms, [&] {
        if (++ticks == 3) {
            thread.timers().cancel(periodic);
            fired.set_value();
        }
    });
    thread.start();
    fired.get_future().get();
    thread.stop();
    CHECK(ticks == 3);
    CHECK_FALSE(cancelledFired);
}

TEST_CASE("timers that fire late are reported with their lateness")
{
    DutyThread thread("test");
    std::vector<Duration> reported;
    std::promise<void> fired;
    thread.timers().reportLateness(50ms, [&](Duration lateness) { reported.push_back(lateness); });
    thread.timers().subscribeAfter(1ms, [&] { fired.set_value(); });
    boost::asio::post(thread.context(), [] { std::this_thread::sleep_for(200ms); });
    thread.start();
    fired.get_future().get();
    thread.stop();
    REQUIRE(reported.size() == 1);
    CHECK(reported[0] >= 150ms);
}
