#include "decision/routing.h"

#include <algorithm>

namespace kelptally::decision {

using namespace std::chrono_literals;

namespace {

// Maximum time that a read waits for a replica to catch up before it goes to the primary.
constexpr Duration maxReplicaWait = 30ms;
// A read that a busy replica can answer in time goes to the primary only if it saves more than
// this.
constexpr Duration spillThreshold = 50ms;
// Bounds on the interval after which a waiting read is routed again.
constexpr Duration minRetryDelay = 1ms;
constexpr Duration maxRetryDelay = 10ms;
// A replica that has not been chosen for this long, and for this many times its service time, gets
// one read to refresh its measurements. The factor limits a slow replica to 4% of its time for
// these reads.
constexpr Duration remeasureInterval = 500ms;
constexpr int remeasureFactor = 25;
// Assumed for a server whose service time has not been measured yet.
constexpr Duration defaultServiceTime = 2ms;
// Period over which unused budget accumulates.
constexpr Duration budgetWindow = 100ms;

bool acceptsReads(const ServerView &server)
{
    return server.reachable && !server.draining && server.slots > 0;
}

Duration serviceTimeOf(const ServerView &server)
{
    return server.serviceTime > 0ns ? server.serviceTime : defaultServiceTime;
}

const ServerView *findPrimary(const std::vector<ServerView> &servers)
{
    for (const ServerView &server : servers) {
        if (server.primary && acceptsReads(server))
            return &server;
    }
    return nullptr;
}

const ServerView *lowestLatency(const std::vector<const ServerView *> &servers)
{
    const ServerView *best = nullptr;
    for (const ServerView *server : servers) {
        if (best == nullptr || expectedLatency(*server) < expectedLatency(*best))
            best = server;
    }
    return best;
}

bool reachesPosition(const ServerView &replica, const ReadRequirements &requirements)
{
    return !requirements.sessionPosition
        || (replica.applied && *requirements.sessionPosition <= *replica.applied);
}

// Returns the expected time until the replica qualifies, or nothing if it can't be estimated.
std::optional<Duration> expectedCatchUp(const ServerView &replica,
                                        const ReadRequirements &requirements)
{
    if (!acceptsReads(replica) || replica.primary || !replica.applied)
        return std::nullopt;
    // With this lag the data would exceed the stated age even right after a report.
    if (requirements.statedAge && replica.lag + serviceTimeOf(replica) > *requirements.statedAge)
        return std::nullopt;
    return std::max(minRetryDelay, replica.lag);
}

// Returns why no replica qualifies.
PrimaryCause noReplicaCause(const std::vector<ServerView> &servers,
                            const ReadRequirements &requirements)
{
    bool anyReplica = false;
    bool anyAtPosition = false;
    for (const ServerView &server : servers) {
        if (server.primary || !acceptsReads(server))
            continue;
        anyReplica = true;
        anyAtPosition = anyAtPosition || reachesPosition(server, requirements);
    }
    if (!anyReplica)
        return PrimaryCause::NoReplica;
    return anyAtPosition ? PrimaryCause::StatedAge : PrimaryCause::SessionPosition;
}

Reason refusalReason(PrimaryCause cause)
{
    switch (cause) {
    case PrimaryCause::SessionPosition:
        return Reason::PositionNotReached;
    case PrimaryCause::StatedAge:
        return Reason::ReplicaTooStale;
    default:
        return Reason::NoPrimary;
    }
}

Route serverRoute(const ServerView &server, PrimaryCause cause)
{
    Route route;
    route.kind = RouteKind::Server;
    route.server = server.name;
    route.cause = cause;
    return route;
}

Route waitRoute(Duration time, PrimaryCause cause)
{
    Route route;
    route.kind = RouteKind::Wait;
    route.retryIn = std::clamp(time, minRetryDelay, maxRetryDelay);
    route.cause = cause;
    return route;
}

Route refusalRoute(Reason reason, PrimaryCause cause, Duration retryIn)
{
    Route route;
    route.kind = RouteKind::Refuse;
    route.reason = reason;
    route.cause = cause;
    route.retryIn = retryIn;
    return route;
}

} // namespace

const char *primaryCauseName(PrimaryCause cause)
{
    switch (cause) {
    case PrimaryCause::None:
        return "none";
    case PrimaryCause::NewestRequested:
        return "newest_asked";
    case PrimaryCause::SessionPosition:
        return "session_position";
    case PrimaryCause::StatedAge:
        return "stated_age";
    case PrimaryCause::NoReplica:
        return "no_replica";
    case PrimaryCause::ReplicasBusy:
        return "replicas_busy";
    }
    return "unknown";
}

bool qualifies(const ServerView &replica, const ReadRequirements &requirements)
{
    if (replica.primary || !acceptsReads(replica) || !replica.applied)
        return false;
    if (!reachesPosition(replica, requirements))
        return false;
    if (!requirements.statedAge)
        return replica.holdsNewest;
    // The data ages further while the statement runs and its answer is in transit.
    return replica.age && *replica.age + serviceTimeOf(replica) <= *requirements.statedAge;
}

Duration expectedLatency(const ServerView &server)
{
    const Duration service = serviceTimeOf(server);
    if (server.queueDelay)
        return service + *server.queueDelay;
    const int ahead = server.busy + server.queued + 1 - server.slots;
    if (ahead <= 0 || server.slots <= 0)
        return service;
    return service + service * ahead / server.slots;
}

Routing::Routing(int primaryReadPercent)
    : primaryReadPercent_(std::clamp(primaryReadPercent, 0, 100))
{ }

Route Routing::routeRead(const ReadRequirements &requirements,
                         const std::vector<ServerView> &servers, Instant now)
{
    const ServerView *primary = findPrimary(servers);

    // 1. Use a replica that has the data.
    std::vector<const ServerView *> qualified;
    for (const ServerView &server : servers) {
        if (qualifies(server, requirements))
            qualified.push_back(&server);
    }
    if (const ServerView *due = dueForMeasurement(qualified, now))
        return serverRoute(*due, PrimaryCause::None);
    if (const ServerView *replica = lowestLatency(qualified)) {
        lastChosenAt_[replica->name] = now;
        return routeToReplica(requirements, *replica, primary, now);
    }

    // 2. Only the primary has the newest data.
    if (!requirements.statedAge) {
        if (primary != nullptr)
            return serverRoute(*primary, PrimaryCause::NewestRequested);
        return refusalRoute(Reason::NoPrimary, PrimaryCause::NewestRequested, maxRetryDelay);
    }

    // 3. No replica has the data yet.
    return routeWithoutReplica(requirements, servers, primary,
                               noReplicaCause(servers, requirements), now);
}

// Routes to the replica, or within the primary's budget to the primary if that is much faster or
// only the primary meets the deadline.
Route Routing::routeToReplica(const ReadRequirements &requirements, const ServerView &replica,
                              const ServerView *primary, Instant now)
{
    const Duration finish = expectedLatency(replica);
    const bool inTime = finish <= requirements.timeLeft;
    if (primary != nullptr) {
        const Duration primaryFinish = expectedLatency(*primary);
        const bool worthSpilling = primaryFinish + spillThreshold < finish
            || (!inTime && primaryFinish <= requirements.timeLeft);
        if (worthSpilling && takePrimaryBudget(*primary, now))
            return serverRoute(*primary, PrimaryCause::ReplicasBusy);
    }
    if (inTime)
        return serverRoute(replica, PrimaryCause::None);
    return refusalRoute(Reason::DeadlineTooShort, PrimaryCause::ReplicasBusy,
                        finish - requirements.timeLeft);
}

// Returns a server that has not been chosen for a long time and has a free slot. Without this a
// server that was slow once would never be measured, and so never be chosen, again.
const ServerView *Routing::dueForMeasurement(const std::vector<const ServerView *> &qualified,
                                             Instant now)
{
    for (const ServerView *server : qualified) {
        const Instant chosen = lastChosenAt_.try_emplace(server->name, now).first->second;
        const Duration interval =
            std::max(remeasureInterval, remeasureFactor * serviceTimeOf(*server));
        if (now - chosen >= interval && server->busy < server->slots) {
            lastChosenAt_[server->name] = now;
            return server;
        }
    }
    return nullptr;
}

Route Routing::routeWithoutReplica(const ReadRequirements &requirements,
                                   const std::vector<ServerView> &servers,
                                   const ServerView *primary, PrimaryCause cause, Instant now)
{
    std::optional<Duration> catchUp;
    for (const ServerView &server : servers) {
        const auto time = expectedCatchUp(server, requirements);
        if (time && (!catchUp || *time < *catchUp))
            catchUp = time;
    }
    const Duration service = primary != nullptr ? serviceTimeOf(*primary) : defaultServiceTime;
    const bool mayWait = catchUp && *catchUp + service <= requirements.timeLeft;

    // 1. Wait briefly to save the primary's budget.
    if (mayWait && requirements.waited + *catchUp <= maxReplicaWait)
        return waitRoute(*catchUp, cause);

    // 2. Use the primary within its budget.
    if (primary != nullptr && takePrimaryBudget(*primary, now))
        return serverRoute(*primary, cause);

    // 3. Wait longer if the deadline allows it, otherwise refuse.
    if (mayWait)
        return waitRoute(*catchUp, cause);
    const Reason reason = primary != nullptr ? Reason::PrimaryBudgetSpent : refusalReason(cause);
    return refusalRoute(reason, cause, catchUp.value_or(budgetWindow));
}

bool Routing::takePrimaryBudget(const ServerView &primary, Instant now)
{
    const Duration capacity = budgetWindow * primary.slots * primaryReadPercent_ / 100;
    if (!refilledAt_) {
        refilledAt_ = now;
        budget_ = capacity;
    }
    const Duration elapsed = std::min(now - *refilledAt_, budgetWindow);
    budget_ = std::min(capacity, budget_ + elapsed * primary.slots * primaryReadPercent_ / 100);
    refilledAt_ = now;
    if (budget_ <= 0ns)
        return false;
    budget_ -= serviceTimeOf(primary);
    return true;
}

} // namespace kelptally::decision
