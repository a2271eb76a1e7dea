#include "decision/claimorder.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Claims of several hosts are spread over this time.
constexpr Duration maxJitter = std::chrono::milliseconds(60);
constexpr Duration otherZoneDelay = std::chrono::milliseconds(80);
// Owners of a group with 240 statements a second used 0.07 of a core on average, and twice that in
// a burst; with 0.12 they held statements until their callers gave up (0.18 to 0.32 of all that was
// asked for on one day with 77 hosts, eight of which had half a core).
constexpr double coresPerGroup = 0.25;
// Long enough for those with room, that are few: with 100 ms the first of 277 hosts without room
// was mostly before the first of 18 with it.
constexpr Duration noRoomDelay = std::chrono::milliseconds(150);
// For each group that a host owns already, so that the loss of one host stalls few groups: three of
// three stood still for 3 s where one host had them all. Less where there is more room.
constexpr Duration delayPerOwnedGroup = std::chrono::milliseconds(50);
constexpr double maxOwnedDelays = 4;
// Claims ahead of need are this far apart, in all no longer than what follows.
constexpr Duration proactiveClaimStep = std::chrono::milliseconds(6);
constexpr Duration maxProactiveClaimDelay = std::chrono::seconds(2);

} // namespace

bool hasRoom(double processors, std::size_t owned)
{
    return processors >= coresPerGroup * static_cast<double>(owned + 1);
}

Duration claimDelay(const Claimant &claimant)
{
    const double capacity = std::max(claimant.processors, coresPerGroup) / coresPerGroup;
    const double load = std::min(static_cast<double>(claimant.owned) / capacity, maxOwnedDelays);
    Duration delay = std::chrono::duration_cast<Duration>(claimant.jitter * maxJitter);
    delay += std::chrono::duration_cast<Duration>(load * delayPerOwnedGroup);
    if (!claimant.inPrimaryZone)
        delay += otherZoneDelay;
    if (claimant.processors < coresPerGroup)
        delay += noRoomDelay;
    return delay;
}

// Hosts without room come after all that have some.
Duration proactiveClaimDelay(const Claimant &claimant, std::size_t groups)
{
    const Duration maxJitter =
        std::min(maxProactiveClaimDelay, proactiveClaimStep * static_cast<Duration::rep>(groups));
    const Duration jitterDelay = std::chrono::duration_cast<Duration>(claimant.jitter * maxJitter);
    return claimant.processors < coresPerGroup ? maxJitter + jitterDelay : jitterDelay;
}

} // namespace kelptally::decision
