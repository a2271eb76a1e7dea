#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstddef>
#include <map>
#include <optional>

namespace kelptally::decision {

// Detects a primary whose log no longer reaches its replicas, from the positions that all servers
// report. Such a primary still answers its owner, but its writes can't be confirmed.
class ReplicationWatch
{
public:
    void onPrimaryPosition(Instant now, Position received);
    // The majority is a number of servers, the primary included.
    void onReplicaPosition(Instant now, const ServerName &replica, Position received,
                           std::size_t majority);

    // Whether records have been pending for the stall timeout without any replica advancing, while
    // a majority made of replicas alone has reported recently and so could continue without this
    // primary.
    bool isStalled(Instant now, std::size_t majority) const;

    // A failover begins because of a stall. Doubles the stall timeout until a majority is reached
    // again, so that slow replication does not cause repeated failovers.
    void onStallFailover();
    // Discards all positions when the primary changes.
    void reset();

    // Bounds of the stall timeout.
    static constexpr Duration minStallTimeout = std::chrono::milliseconds(1000);
    static constexpr Duration maxStallTimeout = std::chrono::seconds(32);
    // A replica whose last report is older than this can't take over.
    static constexpr Duration maxReportAge = std::chrono::milliseconds(250);

private:
    struct Replica
    {
        Position received;
        Instant reportedAt;
    };
    // A position of the primary that a majority has not reached yet. The time restarts whenever a
    // replica advances.
    struct PendingPosition
    {
        Position position;
        Instant since;
    };

    std::optional<PendingPosition> pending_;
    std::map<ServerName, Replica> replicas_;
    Duration stallTimeout_ = minStallTimeout;
};

} // namespace kelptally::decision
