#include "decision/slotadmission.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant start {1000s};
constexpr Duration work = 14ms;
constexpr int slots = 3;

struct Outcome
{
    int statements = 0;
    int inTime = 0;

    double share() const { return statements == 0 ? 1 : double(inTime) / statements; }
};

struct Outcomes
{
    Outcome overloading;
    Outcome others;
};

// Simulates three slots with a service time of 14 ms. Each of twenty organisations sends six
// statements per second, and one of them loadFactor times as many.
Outcomes simulate(bool fair, double loadFactor)
{
    std::mt19937_64 random(3);
    std::uniform_real_distribution<double> chance(0, 1);
    struct Waiting
    {
        WaitingStatement statement;
        bool overloading = false;
    };
    StartTimeFairQueuing fairQueuing;
    std::vector<Waiting> queue;
    std::vector<Instant> freeAt(slots, start);
    Outcomes outcomes;
    for (Instant now = start; now < start + 10s; now += 1ms) {
        for (int organisation = 0; organisation < 20; ++organisation) {
            const bool overloading = organisation == 0;
            if (chance(random) >= 0.006 * (overloading ? loadFactor : 1))
                continue;
            Waiting waiting;
            waiting.statement = makeWaitingStatement(now, 250ms, 800ms, 2, false);
            waiting.statement.service = work;
            waiting.statement.startTag =
                fairQueuing.onArrival("org" + std::to_string(organisation), work);
            waiting.overloading = overloading;
            queue.push_back(waiting);
            ++(overloading ? outcomes.overloading : outcomes.others).statements;
        }
        queue.erase(std::remove_if(queue.begin(), queue.end(),
                                   [&](const Waiting &each) {
                                       return giveUpAt(each.statement, {}, now) <= now;
                                   }),
                    queue.end());
        if (fair)
            for (Waiting &each : queue)
                each.statement.overShare = fairQueuing.isOverShare(each.statement.startTag);
        for (Instant &slot : freeAt) {
            if (slot > now || queue.empty())
                continue;
            const auto next =
                std::min_element(queue.begin(), queue.end(), [&](const auto &a, const auto &b) {
                    return precedes(a.statement, b.statement, now);
                });
            slot = now + work;
            fairQueuing.onStart(next->statement.startTag);
            ++(next->overloading ? outcomes.overloading : outcomes.others).inTime;
            (next->overloading ? outcomes.overloading : outcomes.others).inTime -=
                slot > next->statement.due;
            queue.erase(next);
        }
    }
    return outcomes;
}

} // namespace

// Guards against one organisation without a quota that delays the statements of all others.
TEST_CASE("Fair queuing protects organisations from an overloading one")
{
    const Outcomes byDueDate = simulate(false, 40);
    const Outcomes fair = simulate(true, 40);
    INFO(byDueDate.others.share() << " of the others in time by due date, " << fair.others.share()
                                  << " by fair queuing; of the overloading one "
                                  << byDueDate.overloading.share() << " and "
                                  << fair.overloading.share());
    CHECK(byDueDate.others.share() < 0.75);
    CHECK(fair.others.share() > 0.95);
    // Capacity that the others leave is used.
    CHECK(fair.overloading.inTime + fair.others.inTime
          >= 0.95 * (byDueDate.overloading.inTime + byDueDate.others.inTime));
}

TEST_CASE("Fair queuing costs little throughput at normal load")
{
    const Outcomes byDueDate = simulate(false, 1);
    const Outcomes fair = simulate(true, 1);
    CHECK(fair.others.inTime + fair.overloading.inTime
          >= 0.99 * (byDueDate.others.inTime + byDueDate.overloading.inTime));
}

TEST_CASE("Start tags give no credit for idle time and detect organisations over their share")
{
    StartTimeFairQueuing fairQueuing;
    for (int i = 0; i < 20; ++i)
        fairQueuing.onArrival("a", 10ms);
    const Duration last = fairQueuing.onArrival("a", 10ms);
    CHECK(fairQueuing.isOverShare(last));
    fairQueuing.onStart(last);
    CHECK(!fairQueuing.isOverShare(last));
    // The first statement of b starts at the current virtual time.
    CHECK(fairQueuing.onArrival("b", 10ms) == last);
}
