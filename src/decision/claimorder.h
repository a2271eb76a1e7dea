#pragma once

#include "core/clock.h"

#include <cstddef>

namespace kelptally::decision {

// What decides how soon a host claims a group whose owner is gone: of several that want to, the one
// that claims first has it.
struct Claimant
{
    // Between 0 and 1, another for each pair of host and group: mostly one of the hosts writes.
    double jitter = 0;
    // In the zone of the group's primary, so that statements cross zones less.
    bool inPrimaryZone = false;
    // Groups that it owns already.
    std::size_t owned = 0;
    // Processor cores that the host may use, as a fraction.
    double processors = 1;
};

Duration claimDelay(const Claimant &claimant);

// How much longer a host waits that claims one of so many groups before anybody has asked for its
// owner. With one claim for each group in the same tenth of a second nearly each of 155 hosts read
// the row of each of 333 groups; spread out, a host mostly hears of an owner first.
Duration proactiveClaimDelay(const Claimant &claimant, std::size_t groups);

// Whether a host with so many processor cores, as a fraction, and so many groups has room for one
// more.
bool hasRoom(double processors, std::size_t owned);

} // namespace kelptally::decision
