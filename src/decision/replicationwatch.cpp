#include "decision/replicationwatch.h"

#include <algorithm>

namespace kelptally::decision {

void ReplicationWatch::onPrimaryPosition(Instant now, Position received)
{
    if (!pending_)
        pending_ = PendingPosition {received, now};
}

void ReplicationWatch::onReplicaPosition(Instant now, const ServerName &replica, Position received,
                                         std::size_t majority)
{
    const auto previous = replicas_.find(replica);
    const bool advanced = previous != replicas_.end() && previous->second.received < received;
    replicas_[replica] = Replica {received, now};
    if (!pending_)
        return;
    // Replication that still advances is slow, not stalled.
    if (advanced)
        pending_->since = now;
    const auto reached = std::count_if(replicas_.begin(), replicas_.end(), [&](const auto &entry) {
        return pending_->position <= entry.second.received;
    });
    if (std::size_t(reached) + 1 < majority)
        return;
    pending_.reset();
    stallTimeout_ = minStallTimeout;
}

bool ReplicationWatch::isStalled(Instant now, std::size_t majority) const
{
    if (!pending_ || now - pending_->since < stallTimeout_)
        return false;
    const auto recent = std::count_if(replicas_.begin(), replicas_.end(), [&](const auto &entry) {
        return now - entry.second.reportedAt < maxReportAge;
    });
    return std::size_t(recent) >= majority;
}

void ReplicationWatch::onStallFailover()
{
    stallTimeout_ = std::min(stallTimeout_ * 2, maxStallTimeout);
}

void ReplicationWatch::reset()
{
    pending_.reset();
    replicas_.clear();
}

} // namespace kelptally::decision
