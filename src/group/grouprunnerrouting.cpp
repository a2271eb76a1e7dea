#include "group/grouprunner.h"

#include "session/statementrules.h"

#include <algorithm>

// Selection of the server for a statement.
namespace kelptally::group {

using session::mayRunOnReplica;
using session::needsPrimary;

GroupServer *GroupRunner::chooseServer(const JobPtr &job, Instant now)
{
    if (!needsPrimary(job->statement))
        return chooseReader(job, now);
    const bool writes = !mayRunOnReplica(job->statement);
    if (writes && (writesHeld_ || !commits_.maySend(now)))
        return nullptr;
    GroupServer *primary = find(failoverController_.primary());
    if (primary == nullptr || !primary->hasSlot() || now < primary->observed.busyUntil
        || hasLeft(*primary, now))
        return nullptr;
    return primary;
}

// Whether a free slot is all that the queued statement lacks.
bool GroupRunner::waitsForSlot(const JobPtr &job, bool anySlotFree, Instant now)
{
    if (job->notBefore > now || job->quota == Job::Quota::Requested
        || !parts_.ownership.hasLease(group_))
        return false;
    if (session::continuesTransaction(job->statement)) {
        const auto open = transactions_.find(job->origin);
        const GroupServer *server =
            open == transactions_.end() ? nullptr : find(open->second.server);
        return server != nullptr && !server->hasSlot();
    }
    // A statement for which a server is free waits for a connection to it.
    if (anySlotFree && chooseServer(job, now) != nullptr)
        return false;
    if (!needsPrimary(job->statement))
        return chooseReader(job, now, true) != nullptr;
    const bool writes = !mayRunOnReplica(job->statement);
    const GroupServer *primary = find(failoverController_.primary());
    return primary != nullptr && !primary->isUnreachable() && !hasLeft(*primary, now)
        && !(writes && (writesHeld_ || !commits_.maySend(now)));
}

bool GroupRunner::hasLeft(const GroupServer &server, Instant now) const
{
    const ListedServer &listed = server.listed();
    return listed.leaving && decision::hasLeft(listed.leavingSince, serverLeaveTime_, now);
}

decision::ReadCandidate GroupRunner::stateOf(const GroupServer &server, const JobPtr &job,
                                             Instant now, bool ignoreSlots) const
{
    decision::ReadCandidate state;
    state.primary = server.id() == failoverController_.primary();
    state.available = ignoreSlots || (server.hasSlot() && now >= server.observed.busyUntil);
    state.reachable = !server.isUnreachable();
    state.leaving = server.listed().leaving;
    state.departed = hasLeft(server, now);
    state.inOtherZone = server.listed().zone != parts_.zone;
    state.failedBefore = job->failedServers.count(server.id()) != 0;
    const OrganisationName &organisation = job->statement.organisation;
    if (!organisation.empty() && !server.hasConnectionFor(organisation))
        state.openingCost = parts_.policies.openingCost;
    state.inFlight = server.inFlight();
    state.slots = server.slots();
    state.position = server.observed.position;
    state.positionAt = server.observed.positionAt;
    state.lag = server.observed.lag;
    state.laggingUntil = server.observed.laggingUntil;
    return state;
}

// With ignoreSlots, chooses as if all slots were free.
GroupServer *GroupRunner::chooseReader(const JobPtr &job, Instant now, bool ignoreSlots)
{
    decision::FreshnessRequirement bound;
    bound.newest = job->statement.rule == inner::ReadRule::Newest;
    bound.maxAge = job->statement.maxAge;
    if (job->statement.rule == inner::ReadRule::OwnWrites)
        bound.ownWrites = job->statement.sessionPosition;
    job->requiredPosition =
        decision::requiredPosition(positions_, bound, job->waiting.arrived, now);
    std::vector<GroupServer *> servers;
    std::vector<decision::ReadCandidate> states;
    for (const auto &[id, server] : servers_) {
        servers.push_back(server.get());
        states.push_back(stateOf(*server, job, now, ignoreSlots));
    }
    const auto chosen =
        decision::chooseReader(states, positions_, job->requiredPosition, writesHeld_, now);
    return chosen ? servers[*chosen] : nullptr;
}

} // namespace kelptally::group
