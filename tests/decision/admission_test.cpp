#include "decision/admission.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

#include <algorithm>
#include <set>

using settings::RequestClass;

namespace {

const Instant start {1h};

Work workOf(WorkId id, RequestClass requestClass = RequestClass::Write,
            const TeamName &team = "web", Duration timeLeft = 10s)
{
    Work work;
    work.id = id;
    work.team = team;
    work.requestClass = requestClass;
    work.deadline = start + timeLeft;
    return work;
}

settings::Team teamOf(const TeamName &name, int share)
{
    settings::Team team;
    team.name = name;
    team.sharePercent = share;
    return team;
}

// Feeds the estimates of all classes with this service time.
void recordServiceTimes(Admission &admission, Duration service)
{
    for (int i = 0; i < 40; ++i) {
        for (int c = 0; c < settings::requestClassCount; ++c) {
            const Work work = workOf(1, static_cast<RequestClass>(c));
            REQUIRE(admission.offer(start, work).reason == Reason::None);
            REQUIRE(admission.next(start));
            admission.finished(work, service);
        }
    }
}

} // namespace

TEST_CASE("concurrent work is limited to the number of slots")
{
    Admission admission(3, 10);
    for (WorkId id = 1; id <= 5; ++id)
        CHECK(admission.offer(start, workOf(id)).reason == Reason::None);
    std::vector<Work> running;
    while (const auto work = admission.next(start))
        running.push_back(*work);
    CHECK(running.size() == 3);
    CHECK(admission.busy() == 3);
    CHECK(admission.queued() == 2);
    admission.finished(running[0], 2ms);
    CHECK(admission.next(start)->id == 4);
    admission.setSlots(1);
    admission.finished(running[1], 2ms);
    CHECK_FALSE(admission.next(start));
}

TEST_CASE("a full class queue refuses only work of that class")
{
    Admission admission(1, 4);
    for (WorkId id = 1; id <= 4; ++id)
        CHECK(admission.offer(start, workOf(id, RequestClass::Browse)).reason == Reason::None);
    const AdmissionAnswer answer = admission.offer(start, workOf(5, RequestClass::Browse));
    CHECK(answer.reason == Reason::QueueFull);
    CHECK(answer.retryAfter > 0ms);
    CHECK(admission.offer(start, workOf(6, RequestClass::Critical)).reason == Reason::None);
    CHECK(admission.next(start)->requestClass == RequestClass::Critical);
}

TEST_CASE("work that can't meet its deadline is refused at once, with a retry delay")
{
    Admission admission(1, 1000);
    recordServiceTimes(admission, 10ms);
    WorkId id = 0;
    AdmissionAnswer answer;
    do
        answer = admission.offer(start, workOf(++id, RequestClass::Write, "web", 100ms));
    while (answer.reason == Reason::None);
    CHECK(answer.reason == Reason::DeadlineTooShort);
    CHECK(answer.retryAfter > 0ms);
    CHECK(answer.retryAfter < 100ms);
    CHECK(id >= 8);
    CHECK(id <= 12);
}

TEST_CASE("queued work that can't meet its deadline any more is dropped once")
{
    Admission admission(1, 100);
    recordServiceTimes(admission, 10ms);
    CHECK(admission.offer(start, workOf(1, RequestClass::Write, "web", 5s)).reason == Reason::None);
    CHECK(admission.next(start));
    CHECK(admission.offer(start, workOf(2, RequestClass::Write, "web", 50ms)).reason
          == Reason::None);
    CHECK(admission.offer(start, workOf(3, RequestClass::Write, "web", 5s)).reason == Reason::None);
    CHECK(admission.expire(start + 20ms).empty());
    const auto dropped = admission.expire(start + 45ms);
    REQUIRE(dropped.size() == 1);
    CHECK(dropped[0].id == 2);
    CHECK(dropped[0].reason == Reason::DeadlineTooShort);
    CHECK(admission.expire(start + 45ms).empty());
    CHECK(admission.queued() == 1);
}

TEST_CASE("the service time estimate recovers from an outlier")
{
    Admission admission(3, 100);
    recordServiceTimes(admission, 2ms);
    const Work slow = workOf(1);
    CHECK(admission.offer(start, slow).reason == Reason::None);
    CHECK(admission.next(start));
    admission.finished(slow, 60s);
    for (WorkId id = 2; id < 200; ++id) {
        const Work work = workOf(id, RequestClass::Write, "web", 100ms);
        REQUIRE(admission.offer(start, work).reason == Reason::None);
        REQUIRE(admission.next(start));
        admission.finished(work, 2ms);
    }
    CHECK(admission.serviceTime() < 3ms);
}

TEST_CASE("abandoned work frees its slot without a service time sample")
{
    Admission admission(1, 100);
    recordServiceTimes(admission, 2ms);
    const Work work = workOf(1);
    CHECK(admission.offer(start, work).reason == Reason::None);
    CHECK(admission.next(start));
    CHECK(admission.busy() == 1);
    admission.abandoned(work);
    CHECK(admission.busy() == 0);
    CHECK(admission.serviceTime() == 2ms);
}

TEST_CASE("each class gets its guaranteed share of slot time under backlog")
{
    Admission admission(3, 100000);
    recordServiceTimes(admission, 2ms);
    WorkId id = 100;
    std::array<int, settings::requestClassCount> served {};
    std::vector<Work> running;
    for (int step = 0; step < 4000; ++step) {
        for (int c = 0; c < settings::requestClassCount; ++c)
            admission.offer(start, workOf(++id, static_cast<RequestClass>(c), "web", 1h));
        while (const auto work = admission.next(start))
            running.push_back(*work);
        const Work done = running.front();
        running.erase(running.begin());
        ++served[static_cast<std::size_t>(done.requestClass)];
        admission.finished(done, 2ms);
    }
    CHECK(served[0] > 1900);
    CHECK(served[1] > 950);
    CHECK(served[2] > 550);
    CHECK(served[3] > 350);
    CHECK(served[3] < 450);
}

TEST_CASE("the unused share of an idle class goes to the others")
{
    Admission admission(1, 1000);
    recordServiceTimes(admission, 2ms);
    for (WorkId id = 1; id <= 100; ++id)
        CHECK(admission.offer(start, workOf(id, RequestClass::Browse, "web", 1h)).reason
              == Reason::None);
    int served = 0;
    while (const auto work = admission.next(start)) {
        admission.finished(*work, 2ms);
        ++served;
    }
    CHECK(served == 100);
}

TEST_CASE("a team that floods the queue neither delays nor displaces others")
{
    Admission admission(1, 100);
    admission.setTeamShares({teamOf("greedy", 50), teamOf("modest", 50)});
    recordServiceTimes(admission, 2ms);
    WorkId id = 100;
    int accepted = 0;
    AdmissionAnswer answer;
    for (int i = 0; i < 1000; ++i) {
        answer = admission.offer(start, workOf(++id, RequestClass::Browse, "greedy", 1h));
        accepted += answer.reason == Reason::None ? 1 : 0;
    }
    CHECK(accepted == 50);
    CHECK(answer.reason == Reason::TeamLimit);
    CHECK(admission.offer(start, workOf(1, RequestClass::Browse, "modest", 1h)).reason
          == Reason::None);
    CHECK(admission.offer(start, workOf(2, RequestClass::Browse, "modest", 1h)).reason
          == Reason::None);
    std::set<WorkId> firstFour;
    for (int i = 0; i < 4; ++i) {
        const Work work = *admission.next(start);
        firstFour.insert(work.id);
        admission.finished(work, 2ms);
    }
    CHECK(firstFour.count(1) == 1);
    CHECK(firstFour.count(2) == 1);
}

TEST_CASE("queue limits apply to teams without a configured share")
{
    Admission admission(1, 100);
    recordServiceTimes(admission, 2ms);
    WorkId id = 100;
    for (int i = 0; i < 100; ++i)
        admission.offer(start, workOf(++id, RequestClass::Browse, "greedy", 1h));
    // The first request of a second team is refused, but activates the limit of the first team.
    CHECK(admission.offer(start, workOf(1, RequestClass::Browse, "modest", 1h)).reason
          == Reason::QueueFull);
    const Work done = *admission.next(start);
    admission.finished(done, 2ms);
    CHECK(admission.offer(start, workOf(2, RequestClass::Browse, "greedy", 1h)).reason
          == Reason::TeamLimit);
    CHECK(admission.offer(start, workOf(3, RequestClass::Browse, "modest", 1h)).reason
          == Reason::None);
    CHECK(admission.expectedWait(RequestClass::Browse, "modest")
          < admission.expectedWait(RequestClass::Browse, "greedy") / 10);
}

TEST_CASE("the slots of the Browse class can be limited")
{
    Admission admission(3, 100);
    admission.setBrowseSlots(2);
    for (WorkId id = 1; id <= 4; ++id)
        admission.offer(start, workOf(id, RequestClass::Browse));
    CHECK(admission.next(start));
    CHECK(admission.next(start));
    CHECK_FALSE(admission.next(start));
    admission.offer(start, workOf(5, RequestClass::Critical));
    CHECK(admission.next(start)->id == 5);
    admission.setBrowseSlots(0);
    admission.finished(workOf(5, RequestClass::Critical), 2ms);
    CHECK(admission.next(start)->id == 3);
}

TEST_CASE("slot time is shared between teams by weight and measured service time")
{
    Admission admission(1, 1000);
    admission.setTeamShares({teamOf("big", 75), teamOf("small", 25)});
    recordServiceTimes(admission, 2ms);
    WorkId id = 100;
    std::map<TeamName, Duration> used;
    for (int i = 0; i < 2000; ++i) {
        admission.offer(start, workOf(++id, RequestClass::Write, "big", 1h));
        admission.offer(start, workOf(++id, RequestClass::Write, "small", 1h));
        const Work work = *admission.next(start);
        // The small team's statements take three times as long.
        const Duration service = work.team == "small" ? 6ms : 2ms;
        used[work.team] += service;
        admission.finished(work, service);
    }
    const double ratio = toMilliseconds(used["big"]) / toMilliseconds(used["small"]);
    CHECK(ratio > 2.6);
    CHECK(ratio < 3.4);
}

TEST_CASE("cancel() and takeAll() remove queued work")
{
    Admission admission(1, 10);
    for (WorkId id = 1; id <= 3; ++id)
        admission.offer(start, workOf(id));
    CHECK(admission.cancel(2));
    CHECK_FALSE(admission.cancel(2));
    CHECK(admission.queued() == 2);
    const auto all = admission.takeAll();
    CHECK(all.size() == 2);
    CHECK(admission.queued() == 0);
    CHECK_FALSE(admission.next(start));
}
