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

// What the router knows of one server at the moment of a choice.
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
    // Expected wait there for the class and team of the request (see Admission::expectedWait);
    // nothing: worked out from the whole queue.
    std::optional<Duration> queueDelay;
    // Typical time of one statement there as the owner measures it: the way there and back is in
    // it, queue not counted. Zero: not measured yet.
    Duration serviceTime {0};
    // Upper bound of its data's age; nothing: unknown.
    std::optional<Duration> age;
    // Newest position it has applied.
    std::optional<Position> applied;
    // Time until the replica is expected to reach a position just written; from its lag.
    Duration lag {0};
    // Proven to hold every write that was acknowledged before now; such a replica may serve reads
    // of the newest data too.
    bool holdsNewest = false;
};

// What a read asks for.
struct ReadRequirements
{
    // Nothing: the newest data.
    std::optional<Duration> statedAge;
    std::optional<Position> sessionPosition;
    Duration deadlineIn {0};
    // How long it has waited for a replica already.
    Duration waited {0};
};

// Whether this replica may answer the read, as far as data goes. Asked again when the read leaves
// the queue: the age may have grown since the choice.
bool qualifies(const ServerView &replica, const ReadRequirements &requirements);

// Expected time until a statement that joins this server's queue now is answered.
Duration expectedLatency(const ServerView &server);

// Why a read went to the primary or was refused; each has a counter.
enum class PrimaryCause {
    // Served by a replica.
    None,
    // The caller asked for the newest data.
    NewestRequested,
    // No replica has reached the session's position.
    SessionPosition,
    // No replica is within the stated age.
    StatedAge,
    // No replica is reachable or all are draining.
    NoReplica,
    // Replicas qualify but their queues are longer than the primary's by more than it costs.
    ReplicasBusy,
};
constexpr int primaryCauseCount = 6;
const char *primaryCauseName(PrimaryCause cause);

enum class RouteKind {
    Server,
    // Wait for a replica to catch up, then ask again; at the latest after retryIn.
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

// Chooses where a read runs. Stateless but for the budget of reads that the primary takes in place
// of replicas.
class Routing
{
public:
    explicit Routing(int primaryReadPercent);

    // The position has been checked against the history by the caller of this function.
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
    // Slot time that reads may still take from the primary, and when it was last counted up.
    Duration budget_ {0};
    std::optional<Instant> refilledAt_;
    // When each server was chosen last, so that one that looks slow is measured again.
    std::map<ServerName, Instant> lastChosenAt_;
};

} // namespace kelptally::decision
