#include "decision/connectionplaces.h"

#include <algorithm>
#include <optional>

namespace kelptally::decision {

namespace {

// What a group gives its owner at least, however few connections its servers take.
constexpr int leastShare = 3;

// The best of the organisation's own: with the session's values, else the one used last.
std::optional<std::size_t> ownConnection(const std::vector<IdleConnection> &idle)
{
    std::optional<std::size_t> own;
    for (std::size_t i = idle.size(); i-- > 0;) {
        if (!idle[i].belongs)
            continue;
        if (idle[i].holdsValues)
            return i;
        if (!own)
            own = i;
    }
    return own;
}

} // namespace

int ownerShare(int maxConnections, int resting, const OwnerShare &share)
{
    const int usual = std::max(leastShare, maxConnections * share.usual / 100);
    const int most = std::max(usual, maxConnections * share.withResting / 100);
    return std::min(most, usual + resting);
}

const char *placeName(Place place)
{
    switch (place) {
    case Place::Use:
        return "use";
    case Place::Open:
        return "open";
    case Place::Replace:
        return "replace";
    case Place::WaitForOpening:
        return "wait_for_opening";
    case Place::WaitForUse:
        return "wait_for_use";
    case Place::WaitForServer:
        return "wait_for_server";
    }
    return "use";
}

PlaceChoice choosePlace(const std::vector<IdleConnection> &idle, const ServerConnections &server,
                        Instant now)
{
    // 1. One that is there.
    if (const auto own = ownConnection(idle))
        return {Place::Use, *own};
    // 2. One that is on its way; openings leave no slot for work if they take all of them.
    if (server.openingForIt > 0 || server.opening >= std::max(1, server.slots - 1))
        return {Place::WaitForOpening};
    if (!server.mayOpen)
        return {Place::WaitForServer};
    // 3. A new one, where there is room or can be made.
    if (server.total < server.share)
        return {Place::Open};
    if (idle.empty() || now - idle.front().usedAt < server.leastRest)
        return {Place::WaitForUse};
    return {Place::Replace, 0};
}

} // namespace kelptally::decision
