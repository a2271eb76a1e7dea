#pragma once

#include "core/clock.h"
#include "core/reason.h"
#include "core/types.h"
#include "settings/inventory.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace kelptally::decision {

using WorkId = std::uint64_t;

// One request that wants a slot of one server.
struct Work
{
    WorkId id = 0;
    TeamName team;
    settings::RequestClass requestClass = settings::RequestClass::Write;
    Instant deadline;
};

// The answer to an offer of work.
struct AdmissionAnswer
{
    // Reason::None: it is queued or may start (see next()).
    Reason reason = Reason::None;
    Duration retryAfter {0};
};

// Work that left the queue unserved.
struct DroppedWork
{
    WorkId id = 0;
    Reason reason = Reason::None;
    Duration retryAfter {0};
};

// The queue of one server: bounded, by class and team, with the callers' deadlines. Work that
// cannot finish in time is refused at once. Critical work goes before browsing, but each class has
// a guaranteed share of slots that others only borrow.
class Admission
{
public:
    Admission(int slots, int queueLength);

    void setSlots(int slots);
    // Browsing holds at most so many slots at a time, so that the others need not wait for the end
    // of a long statement. 0: all.
    void setBrowseSlots(int slots);
    void setTeamShares(const std::vector<settings::Team> &teams);

    AdmissionAnswer offer(Instant now, const Work &work);

    // The next work that may start now; it then holds a slot until finished() is called.
    std::optional<Work> next(Instant now);

    // A slot is free again. The service time feeds the estimate of waits.
    void finished(const Work &work, Duration serviceTime);
    // A slot is free again after work that was given up or never sent; it tells nothing of waits.
    void abandoned(const Work &work);

    // Work whose deadline can no longer be met; asked after each next() and on a tick, so that
    // it gets its answer at once.
    std::vector<DroppedWork> expire(Instant now);
    bool cancel(WorkId id);
    // Everything that waits, as when a server is gone.
    std::vector<Work> takeAll();

    int busy() const { return busy_; }
    int queued() const { return queued_; }
    // Expected wait of new work of this class, its own service not counted; with a team, that of
    // the team's next work.
    Duration expectedWait(settings::RequestClass requestClass) const;
    Duration expectedWait(settings::RequestClass requestClass, const TeamName &team) const;
    // Mean time of one statement over all classes; zero before the first one.
    Duration serviceTime() const;

private:
    // Running mean and mean deviation of service times (as TCP estimates round trips, RFC 6298).
    struct Estimate
    {
        Duration mean {0};
        Duration deviation {0};

        void add(Duration sample);
        Duration upperBound() const { return mean + 2 * deviation; }
    };
    struct TeamQueue
    {
        std::deque<Work> items;
        int weight = 100;
        // Slot time used divided by weight, in step with the other teams that wait.
        Duration virtualTime {0};
    };
    struct ClassQueue
    {
        std::map<TeamName, TeamQueue> teams;
        int queued = 0;
        int busy = 0;
        // No work here has an earlier one.
        Instant earliestDeadline = Instant::max();
        Estimate service;
        // Slot time that the class is owed from its guaranteed share.
        Duration credit {0};
        Duration virtualTime {0};
    };

    ClassQueue &queueOf(settings::RequestClass requestClass);
    const ClassQueue &queueOf(settings::RequestClass requestClass) const;
    Duration meanServiceTime(const ClassQueue &queue) const;
    Duration serviceTimeBound(const ClassQueue &queue) const;
    Duration estimatedWait(std::size_t classIndex, const TeamName *team) const;
    int queueLimit(const ClassQueue &queue, const TeamName &team) const;
    int weightOf(const TeamName &team) const;
    bool mayStart(std::size_t classIndex) const;
    std::optional<std::size_t> chooseClass() const;
    Work dequeue(ClassQueue &queue);
    void updateCredits(std::size_t chosen);
    void drop(const Work &work, Reason reason, Duration retryAfter);
    void dropInfeasible(Instant now, std::size_t classIndex);
    bool isIdle() const { return busy_ == 0 && queued_ == 0; }
    void decrementQueued(ClassQueue &queue);
    void releaseSlot(const Work &work, std::optional<Duration> serviceTime);

    int slots_;
    int maxBrowseSlots_ = 0;
    const int queueLength_;
    int busy_ = 0;
    int queued_ = 0;
    std::map<TeamName, int> teamShares_;
    std::array<ClassQueue, settings::requestClassCount> classes_;
    Estimate service_;
    std::vector<DroppedWork> dropped_;
};

} // namespace kelptally::decision
