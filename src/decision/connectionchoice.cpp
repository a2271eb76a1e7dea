#include "decision/connectionchoice.h"

#include <algorithm>
#include <optional>

namespace kelptally::decision {

namespace {

// Allowed even if the share of the server's connections is smaller.
constexpr int minOwnerConnections = 3;

// Returns the organisation's connection that has the session's values, else the most recently used.
std::optional<std::size_t> ownConnection(const std::vector<IdleConnection> &idle)
{
    std::optional<std::size_t> own;
    for (std::size_t i = idle.size(); i-- > 0;) {
        if (!idle[i].sameOrganisation)
            continue;
        if (idle[i].hasSessionValues)
            return i;
        if (!own)
            own = i;
    }
    return own;
}

} // namespace

int maxOwnerConnections(int maxConnections, int idleInTransaction, const OwnerShare &share)
{
    const int base = std::max(minOwnerConnections, maxConnections * share.basePercent / 100);
    const int limit = std::max(base, maxConnections * share.maxPercent / 100);
    return std::min(limit, base + idleInTransaction);
}

const char *connectionActionName(ConnectionAction action)
{
    switch (action) {
    case ConnectionAction::Use:
        return "use";
    case ConnectionAction::Open:
        return "open";
    case ConnectionAction::Replace:
        return "replace";
    case ConnectionAction::WaitForOpening:
        return "wait_for_opening";
    case ConnectionAction::WaitForIdle:
        return "wait_for_use";
    case ConnectionAction::WaitForServer:
        return "wait_for_server";
    }
    return "use";
}

ConnectionChoice chooseConnection(const std::vector<IdleConnection> &idle,
                                  const ServerConnections &server, Instant now)
{
    // 1. An idle connection.
    if (const auto own = ownConnection(idle))
        return {ConnectionAction::Use, *own};
    // 2. One that is being opened. One slot is left for statements.
    if (server.openingForOrganisation > 0 || server.opening >= std::max(1, server.slots - 1))
        return {ConnectionAction::WaitForOpening};
    if (!server.mayOpen)
        return {ConnectionAction::WaitForServer};
    // 3. A new one, within the share or in place of another.
    if (server.total < server.share)
        return {ConnectionAction::Open};
    if (idle.empty() || now - idle.front().lastUsedAt < server.minIdleTime)
        return {ConnectionAction::WaitForIdle};
    return {ConnectionAction::Replace, 0};
}

} // namespace kelptally::decision
