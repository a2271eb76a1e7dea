#include "decision/slotadmission.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant(100s);

WaitingStatement arrivedAfter(Duration after, Duration objective = 200ms, int priority = 2)
{
    return makeWaitingStatement(start + after, objective, 800ms, priority, false);
}

WaitState ownedWithPrimary()
{
    WaitState state;
    state.ownsGroup = true;
    state.hasPrimary = true;
    state.primarySince = start - 1h;
    return state;
}

} // namespace

TEST_CASE("A statement waits for a slot one and a half objectives, within bounds and its deadline")
{
    CHECK(arrivedAfter(0ms).queueDeadline == start + 300ms);
    CHECK(arrivedAfter(0ms, 50ms).queueDeadline == start + 250ms);
    CHECK(makeWaitingStatement(start, 5s, 10s, 1, false).queueDeadline == start + 2s);
    CHECK(makeWaitingStatement(start, 500ms, 100ms, 1, false).queueDeadline == start + 100ms);
    CHECK(giveUpAt(arrivedAfter(0ms), ownedWithPrimary(), start) == start + 300ms);
    CHECK(giveUpAt(arrivedAfter(0ms), ownedWithPrimary(), start + 300ms) <= start + 300ms);
}

TEST_CASE("A statement that runs keeps its whole time")
{
    WaitState state = ownedWithPrimary();
    state.executing = true;
    CHECK(giveUpAt(arrivedAfter(0ms), state, start + 300ms) == start + 800ms);
}

TEST_CASE("What needs a primary waits for one, and then gets its turn")
{
    WaitState state = ownedWithPrimary();
    state.needsPrimary = true;
    state.hasPrimary = false;
    CHECK(giveUpAt(arrivedAfter(0ms), state, start + 300ms) == start + 800ms);
    state.hasPrimary = true;
    state.primarySince = start + 250ms;
    CHECK(giveUpAt(arrivedAfter(0ms), state, start + 300ms) == start + 550ms);
    // Not beyond its deadline.
    state.primarySince = start + 700ms;
    CHECK(giveUpAt(arrivedAfter(0ms), state, start + 750ms) == start + 800ms);
    // Another owner's group: nothing to wait for.
    state.ownsGroup = false;
    CHECK(giveUpAt(arrivedAfter(0ms), state, start + 300ms) <= start + 300ms);
}

TEST_CASE("Open transactions go first, then priority, then what can still be in time")
{
    const Instant now = start + 250ms;
    const WaitingStatement old = arrivedAfter(0ms);
    const WaitingStatement fresh = arrivedAfter(100ms);
    WaitingStatement urgent = arrivedAfter(200ms, 100ms, 1);
    WaitingStatement open = arrivedAfter(240ms);
    open.continuesTransaction = true;
    CHECK(precedes(open, urgent, now));
    CHECK(precedes(urgent, fresh, now));
    CHECK(precedes(fresh, old, now));
    CHECK_FALSE(precedes(old, fresh, now));
    // In time both: who is given up first.
    CHECK(precedes(old, fresh, start + 110ms));
}

// Two slots of 9 ms each, 260 statements a second: a sixth more than can be done, for three
// seconds.
TEST_CASE("At overload the order keeps most of what is served in time")
{
    constexpr int asked = 780;
    const auto servedInTime = [](const auto &before) {
        std::vector<WaitingStatement> queue;
        std::vector<Instant> slots(2, start);
        int inTime = 0;
        for (Duration at {0}; at < 3s; at += 1ms) {
            const Instant now = start + at;
            if (at % 3846us < 1ms) {
                queue.push_back(arrivedAfter(at));
                queue.back().service = 9ms;
            }
            queue.erase(std::remove_if(queue.begin(), queue.end(),
                                       [&](const auto &each) {
                                           return giveUpAt(each, ownedWithPrimary(), now) <= now;
                                       }),
                        queue.end());
            for (Instant &slot : slots) {
                if (slot > now || queue.empty())
                    continue;
                const auto next =
                    std::min_element(queue.begin(), queue.end(), [&](const auto &a, const auto &b) {
                        return before(a, b, now);
                    });
                slot = now + 9ms;
                inTime += slot <= next->due ? 1 : 0;
                queue.erase(next);
            }
        }
        return inTime;
    };
    const int ranked = servedInTime(precedes);
    const int byArrival =
        servedInTime([](const auto &a, const auto &b, Instant) { return a.arrived < b.arrived; });
    // All that two slots can do are 667; by arrival 294.
    INFO(ranked << " and " << byArrival << " of " << asked);
    CHECK(10 * ranked > 8 * asked);
    CHECK(10 * byArrival < 5 * asked);
}

TEST_CASE("What a kind of statement usually takes is learnt for each kind")
{
    ServiceTimes times;
    CHECK(times.typical(200ms, 2) == Duration(0));
    for (int i = 0; i < 100; ++i) {
        times.add(200ms, 2, i % 2 == 0 ? 8ms : 10ms);
        times.add(300ms, 2, 30ms);
    }
    CHECK(times.typical(200ms, 2) > 8ms);
    CHECK(times.typical(200ms, 2) < 12ms);
    CHECK(times.typical(300ms, 2) >= 29ms);
    CHECK(times.typical(200ms, 1) == Duration(0));
}

TEST_CASE("A full queue takes nothing more, and refused callers are told when to come back")
{
    CHECK_FALSE(isQueueFull(100));
    CHECK(isQueueFull(100'000));
    CHECK(retryHint(true) > Duration(0));
    CHECK(retryHint(false) > retryHint(true));
}
