#include "decision/claimorder.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Claims of several hosts are spread over this time.
constexpr Duration spread = std::chrono::milliseconds(60);
constexpr Duration otherZoneDelay = std::chrono::milliseconds(80);
// Owners of a group with 240 statements a second used 0.07 of a core on average, and twice that in
// a burst; with 0.12 they held statements until their callers gave up (0.18 to 0.32 of all that was
// asked for on one day with 77 hosts, eight of which had half a core).
constexpr double roomForGroup = 0.25;
// Long enough for those with room, that are few: with 100 ms the first of 277 hosts without room
// was mostly before the first of 18 with it.
constexpr Duration noRoomDelay = std::chrono::milliseconds(150);
// For each group that a host owns already, so that the loss of one host stalls few groups: three of
// three stood still for 3 s where one host had them all. Less where there is more room.
constexpr Duration ownedDelay = std::chrono::milliseconds(50);
constexpr double mostOwnedDelays = 4;
// Claims ahead of need are this far apart, in all no longer than what follows.
constexpr Duration aheadStep = std::chrono::milliseconds(6);
constexpr Duration longestAhead = std::chrono::seconds(2);

} // namespace

bool hasRoom(double processors, std::size_t owned)
{
    return processors >= roomForGroup * static_cast<double>(owned + 1);
}

Duration claimDelay(const Claimant &claimant)
{
    const double room = std::max(claimant.processors, roomForGroup) / roomForGroup;
    const double load = std::min(static_cast<double>(claimant.owned) / room, mostOwnedDelays);
    Duration delay = std::chrono::duration_cast<Duration>(claimant.draw * spread);
    delay += std::chrono::duration_cast<Duration>(load * ownedDelay);
    if (!claimant.nearPrimary)
        delay += otherZoneDelay;
    if (claimant.processors < roomForGroup)
        delay += noRoomDelay;
    return delay;
}

// Hosts without room come after all that have some.
Duration claimAhead(const Claimant &claimant, std::size_t groups)
{
    const Duration spread = std::min(longestAhead, aheadStep * static_cast<Duration::rep>(groups));
    const Duration drawn = std::chrono::duration_cast<Duration>(claimant.draw * spread);
    return claimant.processors < roomForGroup ? spread + drawn : drawn;
}

} // namespace kelptally::decision
