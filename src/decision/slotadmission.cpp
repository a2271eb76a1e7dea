#include "decision/slotadmission.h"

#include "decision/overload.h"

#include <algorithm>
#include <tuple>

namespace kelptally::decision {

namespace {

// Statements of one group.
constexpr std::size_t maxQueueLength = 512;
// A statement may be queued for 3/2 of its route's objective, within these bounds. Longer queuing
// delays others for answers that come too late anyway.
constexpr int queueTimeNumerator = 3;
constexpr int queueTimeDenominator = 2;
constexpr Duration minQueueTime = std::chrono::milliseconds(250);
constexpr Duration maxQueueTime = std::chrono::milliseconds(2000);
// A statement that arrives in an overload is queued for a tenth of its objective: three attempts,
// 100 ms apart, then fall within an objective of 300 ms. With a quarter the third attempt is late,
// and serving it takes a slot from one that is in time. The minimum is about two service times.
constexpr int overloadQueueTimeDivisor = 10;
constexpr Duration minSlotWait = std::chrono::milliseconds(30);
// Reciprocals of the smoothing factors, and deviations added to the mean.
constexpr int meanDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr int deviationFactor = 1;
// An organisation this far ahead of the virtual time is over its share.
constexpr Duration shareTolerance = std::chrono::milliseconds(50);
// Minimum charge of a statement, for kinds without an estimate.
constexpr Duration minServiceTime = std::chrono::milliseconds(1);
constexpr Duration noPrimaryRetryHint = std::chrono::milliseconds(400);

bool arrivedInOverload(const WaitingStatement &statement, std::optional<Instant> overloadedSince)
{
    return overloadedSince && statement.arrived > *overloadedSince;
}

} // namespace

WaitingStatement makeWaitingStatement(Instant arrived, Duration objective, Duration timeLeft,
                                      int priority, bool continuesTransaction)
{
    const Duration queueTime = std::clamp(objective * queueTimeNumerator / queueTimeDenominator,
                                          minQueueTime, maxQueueTime);
    WaitingStatement statement;
    statement.continuesTransaction = continuesTransaction;
    statement.priority = priority;
    statement.arrived = arrived;
    statement.due = arrived + objective;
    statement.deadline = arrived + timeLeft;
    statement.queueDeadline = std::min(statement.deadline, arrived + queueTime);
    return statement;
}

void ServiceTimes::add(Duration objective, int priority, Duration sample)
{
    const auto [kind, isNew] = kinds_.try_emplace({objective, priority});
    Estimate &estimate = kind->second;
    if (isNew) {
        estimate = {sample, sample / 2};
        return;
    }
    const Duration error = sample - estimate.mean;
    estimate.deviation += (std::max(error, -error) - estimate.deviation) / deviationDivisor;
    estimate.mean += error / meanDivisor;
}

Duration ServiceTimes::typical(Duration objective, int priority) const
{
    const auto kind = kinds_.find({objective, priority});
    if (kind == kinds_.end())
        return Duration(0);
    return kind->second.mean + deviationFactor * kind->second.deviation;
}

bool precedes(const WaitingStatement &a, const WaitingStatement &b, Instant now,
              std::optional<Instant> overloadedSince)
{
    const auto rank = [now](const WaitingStatement &statement) {
        const bool late = now + statement.service > statement.due;
        return std::make_tuple(statement.continuesTransaction ? 0 : 1, statement.priority, late,
                               statement.overShare);
    };
    const auto rankA = rank(a);
    const auto rankB = rank(b);
    if (rankA != rankB)
        return rankA < rankB;
    if (std::get<2>(rankA))
        return a.deadline < b.deadline;
    const bool newA = arrivedInOverload(a, overloadedSince);
    const bool newB = arrivedInOverload(b, overloadedSince);
    if (newA != newB)
        return newB;
    if (!newA || a.continuesTransaction)
        return a.due < b.due;
    return std::make_tuple(!a.behindShare, a.service, b.arrived)
        < std::make_tuple(!b.behindShare, b.service, a.arrived);
}

// Guards against one organisation without a quota that delays the statements of all others.
Duration StartTimeFairQueuing::onArrival(const OrganisationName &organisation, Duration service)
{
    if (organisation.empty())
        return virtualTime_;
    Duration &end = finishTags_[organisation];
    const Duration startTag = std::max(virtualTime_, end);
    end = startTag + std::max(service, minServiceTime);
    return startTag;
}

// Under overload refused callers return twice. Without this, an organisation would be charged three
// times for work that it did not get, and stay behind the others.
void StartTimeFairQueuing::onWithdrawn(const OrganisationName &organisation, Duration service)
{
    const auto end = finishTags_.find(organisation);
    if (end != finishTags_.end())
        end->second -= std::max(service, minServiceTime);
}

void StartTimeFairQueuing::onStart(Duration startTag)
{
    virtualTime_ = std::max(virtualTime_, startTag);
}

bool StartTimeFairQueuing::isOverShare(Duration startTag) const
{
    return startTag > virtualTime_ + shareTolerance;
}

namespace {

// Whether the statement has waited for nothing but a slot.
bool isSlotWait(const WaitingStatement &statement, const WaitState &state)
{
    return state.waitsForSlot && !state.executing && !statement.wasBlocked
        && !statement.continuesTransaction;
}

// Returns the last time at which the statement can be sent and meet its objective. One that is late
// on arrival waits a little, as a slot may become free at once.
Instant lastTimelyStart(const WaitingStatement &statement)
{
    return std::max(statement.arrived + minSlotWait, statement.due - statement.service);
}

} // namespace

// A statement that was sent may run until its deadline. One that waits for a primary is queued
// until there is one, and then for its usual queue time.
Instant giveUpAt(const WaitingStatement &statement, const WaitState &state, Instant now)
{
    if (state.executing)
        return statement.deadline;
    if (isSlotWait(statement, state) && arrivedInOverload(statement, state.overloadedSince)) {
        const Duration objective = statement.due - statement.arrived;
        return std::min(statement.queueDeadline,
                        statement.arrived
                            + std::max(objective / overloadQueueTimeDivisor, minSlotWait));
    }
    if (now < statement.queueDeadline)
        return statement.queueDeadline;
    if (!state.ownsGroup || !state.needsPrimary)
        return statement.queueDeadline;
    if (!state.hasPrimary)
        return statement.deadline;
    const Duration queueTime = statement.queueDeadline - statement.arrived;
    return std::min(statement.deadline,
                    std::max(statement.queueDeadline, state.primarySince + queueTime));
}

bool isTooLate(const WaitingStatement &statement, const WaitState &state, Instant now)
{
    return isSlotWait(statement, state) && lastTimelyStart(statement) <= now;
}

bool isQueueFull(std::size_t queued)
{
    return queued >= maxQueueLength;
}

Duration retryHint(bool hasPrimary, double random)
{
    return hasPrimary ? overloadRetryDelay(random) : noPrimaryRetryHint;
}

} // namespace kelptally::decision
