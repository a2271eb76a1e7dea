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

// A request for a slot of one server.
struct Work
{
    WorkId id = 0;
    TeamName team;
    settings::RequestClass requestClass = settings::RequestClass::Write;
    Instant deadline;
};

struct AdmissionAnswer
{
    // Reason::None: queued, to be returned by next().
    Reason reason = Reason::None;
    Duration retryAfter {0};
};

// Work that was removed from the queue without being run.
struct DroppedWork
{
    WorkId id = 0;
    Reason reason = Reason::None;
    Duration retryAfter {0};
};

// Admission control for one server: a bounded queue for each request class, shared fairly between
// teams. Work that can't meet its deadline is refused at once. Classes are served in order of
// priority, but each has a guaranteed share of slot time; unused shares go to the other classes.
class Admission
{
public:
    Admission(int slots, int queueLength);

    void setSlots(int slots);
    // Limits the slots that the Browse class may occupy at a time, so that other classes don't wait
    // for a long statement. 0: no limit.
    void setBrowseSlots(int slots);
    void setTeamShares(const std::vector<settings::Team> &teams);

    AdmissionAnswer offer(Instant now, const Work &work);

    // Returns the next work to start, if a slot is free. It occupies the slot until finished() or
    // abandoned() is called.
    std::optional<Work> next(Instant now);

    // Frees the slot and adds the service time to the estimates.
    void finished(const Work &work, Duration serviceTime);
    // Frees the slot of work that was given up or never sent; the estimates stay unchanged.
    void abandoned(const Work &work);

    // Removes and returns work that can't meet its deadline any more. To be called after each
    // next() and periodically, so that its callers are answered at once.
    std::vector<DroppedWork> expire(Instant now);
    // Removes queued work; returns false if it isn't queued.
    bool cancel(WorkId id);
    // Removes and returns all queued work, for example when the server is gone.
    std::vector<Work> takeAll();

    int busy() const { return busy_; }
    int queued() const { return queued_; }
    // Returns the expected queuing time of new work of the class, or of the team within the class,
    // without its own service time.
    Duration expectedWait(settings::RequestClass requestClass) const;
    Duration expectedWait(settings::RequestClass requestClass, const TeamName &team) const;
    // Mean service time over all classes; zero before the first sample.
    Duration serviceTime() const;

private:
    // Smoothed mean and mean deviation, as for TCP's round-trip times (RFC 6298).
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
        // Slot time used, divided by weight; at least that of the class when the team becomes
        // active.
        Duration virtualTime {0};
    };
    struct ClassQueue
    {
        std::map<TeamName, TeamQueue> teams;
        int queued = 0;
        int busy = 0;
        // Lower bound of the deadlines in the queue.
        Instant earliestDeadline = Instant::max();
        Estimate service;
        // Slot time that the class has accrued from its guaranteed share.
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
