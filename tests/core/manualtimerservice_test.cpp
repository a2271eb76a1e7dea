#include "core/manualtimerservice.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace kelptally;
using namespace std::chrono_literals;

TEST_CASE("manual timers fire in order of time, then in order of subscription")
{
    ManualTimerService timers;
    std::vector<int> fired;
    timers.subscribeAfter(20ms, [&] { fired.push_back(3); });
    timers.subscribeAfter(10ms, [&] { fired.push_back(1); });
    timers.subscribeAfter(10ms, [&] { fired.push_back(2); });
    timers.advance(15ms);
    CHECK(fired == std::vector<int> {1, 2});
    timers.advance(5ms);
    CHECK(fired == std::vector<int> {1, 2, 3});
}

TEST_CASE("a periodic timer can cancel itself")
{
    ManualTimerService timers;
    int count = 0;
    TimerId id = 0;
    id = timers.subscribeEvery(10ms, [&] {
        if (++count == 3)
            timers.cancel(id);
    });
    timers.advance(1s);
    CHECK(count == 3);
}
