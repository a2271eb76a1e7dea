#include "decision/positionrouting.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// A replica is guessed to hold a position this long after the primary showed it, on top of twice
// its lag.
constexpr Duration catchUpMargin = std::chrono::milliseconds(5);
// A replica that has shown nothing for this long is tried all the same: the refusal of one that is
// behind costs no slot, and its lag may be over.
constexpr Duration maxReportAge = std::chrono::milliseconds(60);
constexpr Duration leaveMargin = std::chrono::milliseconds(500);
// What makes a server the worse choice for a read, in percent of its slots: the primary alone can
// write, another zone costs time and bytes, and one that has just failed the read may do so again.
constexpr int primaryCost = 30;
constexpr int otherZoneCost = 40;
constexpr int priorFailureCost = 400;

bool mayHavePosition(const ReadCandidate &server, const PositionLog &positions, Position needed,
                     Instant now)
{
    if (server.shown && needed <= *server.shown)
        return true;
    if (now < server.behindUntil)
        return false;
    if (now - server.shownAt >= maxReportAge)
        return true;
    const auto seen = positions.firstSeen(needed);
    return seen && now - *seen >= 2 * server.lag + catchUpMargin;
}

int selectionCost(const ReadCandidate &server)
{
    return 100 * server.inFlight / std::max(1, server.slots) + (server.primary ? primaryCost : 0)
        + (server.inOtherZone ? otherZoneCost : 0) + (server.failedBefore ? priorFailureCost : 0)
        + server.openingCost;
}

} // namespace

std::optional<Position> positionNeeded(const PositionLog &positions,
                                       const FreshnessRequirement &bound, Instant arrived,
                                       Instant now)
{
    if (bound.newest)
        return positions.newest();
    const auto needed = positions.positionCovering(std::min(arrived, now) - bound.maxAge);
    return needed && bound.ownWrites && *needed < *bound.ownWrites ? bound.ownWrites : needed;
}

// Any server whose log surely or probably holds the position; replicas go before the primary, which
// alone can write.
std::optional<std::size_t> chooseReader(const std::vector<ReadCandidate> &servers,
                                        const PositionLog &positions,
                                        std::optional<Position> needed, bool writesPaused,
                                        Instant now)
{
    const bool allLeaving = std::all_of(servers.begin(), servers.end(),
                                        [](const ReadCandidate &server) { return server.leaving; });
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const ReadCandidate &server = servers[i];
        if (!server.available || !server.reachable || server.departed
            || (server.leaving && !allLeaving))
            continue;
        if (!server.primary && (!needed || !mayHavePosition(server, positions, *needed, now)))
            continue;
        if (server.primary && writesPaused)
            continue;
        if (!best || selectionCost(server) < selectionCost(servers[*best]))
            best = i;
    }
    return best;
}

bool hasLeft(Instant leavingSince, Duration leaveTime, Instant now)
{
    return now - leavingSince >= leaveTime - leaveMargin;
}

} // namespace kelptally::decision
