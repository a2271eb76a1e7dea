#pragma once

#include "core/clock.h"

#include <cstddef>

namespace kelptally::decision {

// What determines how soon a host claims a group without an owner. The first host to claim gets it.
struct Claimant
{
    // Between 0 and 1, different for each pair of host and group, so that hosts rarely claim at the
    // same time.
    double jitter = 0;
    // Whether the host is in the availability zone of the group's primary.
    bool inPrimaryZone = false;
    // Number of groups that the host owns.
    std::size_t owned = 0;
    // Processor cores that the host may use, as a fraction.
    double processors = 1;
};

// Returns how long a host waits before it claims a group.
Duration claimDelay(const Claimant &claimant);

// Returns the additional delay for claiming the group of a suspected owner on a host that has told
// hosts with capacity of its suspicion. Only the hosts that use a group notice the loss of its
// owner, and most of them may be small. Several groups that moved to hosts of 0.12 cores at the
// loss of one host were served slowly and changed their owner again.
Duration capacityPreferenceDelay(double processors);

// Returns the additional delay for claiming a group that no request has arrived for yet. Grows with
// the number of groups and spreads the claims, so that most hosts learn of an owner before they
// read the group's row.
Duration proactiveClaimDelay(const Claimant &claimant, std::size_t groups);

// Whether a host with this number of processor cores and owned groups has capacity for one more.
bool hasCapacity(double processors, std::size_t owned);

} // namespace kelptally::decision
