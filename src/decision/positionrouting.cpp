#include "decision/positionrouting.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// A replica is assumed to hold a position once twice its lag plus this margin has passed since the
// primary reported the position.
constexpr Duration catchUpMargin = std::chrono::milliseconds(5);
// A replica whose last report is older than this is tried regardless of its position: it may have
// caught up, and a refusal uses no slot.
constexpr Duration maxReportAge = std::chrono::milliseconds(60);
// Allows for statements in transit to a leaving server.
constexpr Duration leaveMargin = std::chrono::milliseconds(500);
// Penalties in percent of a server's slots. They keep the primary free for writes, avoid traffic
// between availability zones, and avoid servers on which the read has already failed.
constexpr int primaryCost = 30;
constexpr int otherZoneCost = 40;
constexpr int priorFailureCost = 400;

bool mayHavePosition(const ReadCandidate &server, const PositionLog &positions, Position needed,
                     Instant now)
{
    if (server.position && needed <= *server.position)
        return true;
    if (now < server.laggingUntil)
        return false;
    if (now - server.positionAt >= maxReportAge)
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

std::optional<Position> requiredPosition(const PositionLog &positions,
                                         const FreshnessRequirement &bound, Instant arrived,
                                         Instant now)
{
    if (bound.newest)
        return positions.newest();
    const auto needed = positions.positionCovering(std::min(arrived, now) - bound.maxAge);
    return needed && bound.ownWrites && *needed < *bound.ownWrites ? bound.ownWrites : needed;
}

// Chooses the server of lowest cost among the primary and the replicas that probably hold the
// position.
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
