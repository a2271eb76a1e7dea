#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstddef>
#include <map>
#include <optional>

namespace kelptally::decision {

// Whether the primary's log still reaches the replicas, from the positions that all servers report.
// A primary that answers its owner but is cut off from its group would otherwise take writes
// forever that nobody can confirm.
class ReplicationWatch
{
public:
    void onPrimaryPosition(Instant now, Position received);
    // The majority counts the primary too.
    void onReplicaPosition(Instant now, const ServerName &replica, Position received,
                           std::size_t majority);

    // Records have waited for the limit, and a majority of replicas alone, each heard lately, has
    // received nothing meanwhile: so they can go on without this primary.
    bool isStalled(Instant now, std::size_t majority) const;

    // Another primary is chosen because of a stall: the next stall must last twice as long, until a
    // majority was reached again, so that slow replication does not turn the primary over and over.
    void onStallFailover();
    // Another primary begins.
    void reset();

    // Chosen, not measured: far above the round trips of a site, and what a caller can bear.
    static constexpr Duration minStallTimeout = std::chrono::milliseconds(1000);
    static constexpr Duration maxStallTimeout = std::chrono::seconds(32);
    // A replica that was heard this lately counts as one that could take over.
    static constexpr Duration maxReportAge = std::chrono::milliseconds(250);

private:
    struct Replica
    {
        Position received;
        Instant reportedAt;
    };
    // The primary's position that the replicas are awaited at, and since when.
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
