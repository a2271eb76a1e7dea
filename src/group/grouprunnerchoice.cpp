#include "group/grouprunner.h"

#include "session/statementrules.h"

#include <algorithm>

// Which server a statement goes to.
namespace kelptally::group {

using session::mayReadAnywhere;
using session::needsPrimary;

namespace {

// A replica is guessed to hold a position this long after the primary showed it, on top of twice
// its lag.
constexpr Duration guessMargin = std::chrono::milliseconds(5);
// A replica that has shown nothing for this long is tried all the same: the refusal of one that is
// behind costs no slot, and its lag may be over.
constexpr Duration knowledgeAge = std::chrono::milliseconds(60);
// Before the time at which nothing may reach a leaving server: the way there takes time.
constexpr Duration leaveMargin = std::chrono::milliseconds(500);
// What makes a server the worse choice for a read, in percent of its slots: the primary alone can
// write, another zone costs time and bytes, and one that has just failed the read may do so again.
constexpr int primaryCost = 30;
constexpr int farCost = 40;
constexpr int failedCost = 400;

} // namespace

GroupServer *GroupRunner::chooseServer(const JobPtr &job, Instant now)
{
    if (!needsPrimary(job->statement))
        return chooseReader(job, now);
    const bool writes = !mayReadAnywhere(job->statement);
    if (writes && (writesHeld_ || !commits_.maySend(now)))
        return nullptr;
    GroupServer *primary = find(keeper_.primary());
    if (primary == nullptr || !primary->hasSlot() || now < primary->busyUntil
        || hasLeft(*primary, now))
        return nullptr;
    return primary;
}

bool GroupRunner::hasLeft(const GroupServer &server, Instant now) const
{
    const ListedServer &listed = server.listed();
    return listed.leaving && now - listed.leavingSince >= serverLeaveTime_ - leaveMargin;
}

// Any server whose log surely or probably holds the position; replicas go before the primary, which
// alone can write.
GroupServer *GroupRunner::chooseReader(const JobPtr &job, Instant now)
{
    const std::optional<Position> needed = positionNeeded(job, now);
    job->needs = needed;
    const bool allLeaving = std::all_of(servers_.begin(), servers_.end(), [](const auto &server) {
        return server.second->listed().leaving;
    });
    GroupServer *best = nullptr;
    int bestCost = 0;
    for (const auto &[id, server] : servers_) {
        const bool isPrimary = id == keeper_.primary();
        if (!server->hasSlot() || now < server->busyUntil || server->isUnreachable())
            continue;
        if (hasLeft(*server, now) || (server->listed().leaving && !allLeaving))
            continue;
        if (!isPrimary && (!needed || !mayHold(*server, *needed, now)))
            continue;
        if (isPrimary && writesHeld_)
            continue;
        const bool farAway = server->listed().zone != parts_.zone;
        const int cost = 100 * server->inFlight() / std::max(1, server->slots())
            + (isPrimary ? primaryCost : 0) + (farAway ? farCost : 0)
            + (job->avoid.count(id) != 0 ? failedCost : 0);
        if (best != nullptr && cost >= bestCost)
            continue;
        best = server.get();
        bestCost = cost;
    }
    return best;
}

bool GroupRunner::mayHold(const GroupServer &server, Position needed, Instant now) const
{
    if (server.shown && needed <= *server.shown)
        return true;
    if (now < server.behindUntil)
        return false;
    if (now - server.shownAt >= knowledgeAge)
        return true;
    const auto seen = positions_.firstSeen(needed);
    return seen && now - *seen >= 2 * server.lag + guessMargin;
}

// The position that makes a read right; nothing when only the primary is known to.
std::optional<Position> GroupRunner::positionNeeded(const JobPtr &job, Instant now)
{
    std::optional<Position> needed;
    switch (job->statement.rule) {
    case inner::ReadRule::Newest:
        return positions_.newest();
    case inner::ReadRule::Bounded:
    case inner::ReadRule::OwnWrites:
        needed = positions_.holdsAllUntil(std::min(job->arrived, now) - job->statement.maxAge);
        break;
    }
    const auto &own = job->statement.sessionPosition;
    if (needed && job->statement.rule == inner::ReadRule::OwnWrites && own && *needed < *own)
        needed = own;
    return needed;
}

} // namespace kelptally::group
