#pragma once

#include "core/clock.h"
#include "core/reason.h"
#include "core/types.h"
#include "decision/freshness.h"
#include "settings/inventory.h"

#include <map>
#include <optional>
#include <vector>

namespace kelptally::decision {

// State of one server of a group as seen by the routing of reads.
struct ServerView
{
    ServerName name;
    ZoneName zone;
    bool primary = false;
    bool reachable = false;
    bool draining = false;
    int slots = 0;
    int busy = 0;
    int queued = 0;
    // Expected time in the server's queue for the request's class and team (see
    // Admission::expectedWait); if not set, it is estimated from the length of the queue.
    std::optional<Duration> queueDelay;
    // Typical time of one statement, including the network round trip but not the queue; zero until
    // it has been measured.
    Duration serviceTime {0};
    // Upper bound on the age of the server's data; not set if unknown.
    std::optional<Duration> age;
    // Newest position that the server has applied.
    std::optional<Position> applied;
    // Replication lag: expected time until the replica applies a position that is written now.
    Duration lag {0};
    // Whether the replica is known to hold every write acknowledged so far, so that it can serve
    // reads of the newest data.
    bool holdsNewest = false;
};

// Freshness and deadline that a read requires.
struct ReadRequirements
{
    // Maximum age of the data that the caller accepts; not set if the newest data is required.
    std::optional<Duration> statedAge;
    // Newest position that the session has seen.
    std::optional<Position> sessionPosition;
    // Time left until the caller's deadline.
    Duration timeLeft {0};
    // Time that the read has already waited for a replica.
    Duration waited {0};
};

// Returns whether the replica's data is fresh enough for the read. Must be checked again when the
// read leaves the queue, because the data has aged since the server was chosen.
bool qualifies(const ServerView &replica, const ReadRequirements &requirements);

// Estimates the time until a statement that joins the server's queue now is answered.
Duration expectedLatency(const ServerView &server);

// Why a read went to the primary or was refused. Each value has its own counter.
enum class PrimaryCause {
    // The read is served by a replica.
    None,
    // The caller requires the newest data.
    NewestRequested,
    // No replica has reached the session's position.
    SessionPosition,
    // No replica's data is within the stated age.
    StatedAge,
    // Every replica is unreachable or draining.
    NoReplica,
    // Replicas qualify but are too busy: the primary answers much sooner, or no replica meets the
    // deadline.
    ReplicasBusy,
};
constexpr int primaryCauseCount = 6;
const char *primaryCauseName(PrimaryCause cause);

enum class RouteKind {
    Server,
    // Wait for a replica to catch up and route again after retryIn at the latest.
    Wait,
    Refuse,
};

struct Route
{
    RouteKind kind = RouteKind::Refuse;
    ServerName server;
    PrimaryCause cause = PrimaryCause::None;
    Duration retryIn {0};
    Reason reason = Reason::None;
};

// Chooses the server that runs a read. Keeps a token bucket that limits the reads sent to the
// primary in place of replicas, and the time at which each server was last chosen.
class Routing
{
public:
    // primaryReadPercent: share of the primary's slot time available to reads that no replica can
    // serve in time; clamped to 0..100.
    explicit Routing(int primaryReadPercent);

    // The caller must have checked that the session position is part of the current history.
    Route routeRead(const ReadRequirements &requirements, const std::vector<ServerView> &servers,
                    Instant now);

private:
    const ServerView *dueForMeasurement(const std::vector<const ServerView *> &qualified,
                                        Instant now);
    Route routeToReplica(const ReadRequirements &requirements, const ServerView &replica,
                         const ServerView *primary, Instant now);
    Route routeWithoutReplica(const ReadRequirements &requirements,
                              const std::vector<ServerView> &servers, const ServerView *primary,
                              PrimaryCause cause, Instant now);
    bool takePrimaryBudget(const ServerView &primary, Instant now);

    const int primaryReadPercent_;
    // Slot time of the primary that reads may still use, and when it was last refilled.
    Duration budget_ {0};
    std::optional<Instant> refilledAt_;
    // When each server was last chosen, so that the service time of an unused one is measured
    // again.
    std::map<ServerName, Instant> lastChosenAt_;
};

} // namespace kelptally::decision
