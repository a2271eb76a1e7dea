#include "decision/claimorder.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Claims of equal hosts are spread over this time.
constexpr Duration maxJitter = std::chrono::milliseconds(60);
constexpr Duration otherZoneDelay = std::chrono::milliseconds(80);
// Processor cores that the owner of one group needs under bursts. With 240 statements a second an
// owner used 0.07 of a core on average and twice that in a burst; with 0.12 here, owners held
// statements until their callers gave up.
constexpr double coresPerGroup = 0.25;
// Lets hosts with spare capacity claim first, also where they are few.
constexpr Duration noCapacityDelay = std::chrono::milliseconds(150);
// The way of the message, and the claim delay of the hosts that get it.
constexpr Duration capacityPreference = std::chrono::milliseconds(200);
// Added for each owned group, less on hosts with more capacity. Spreads the groups over the hosts,
// so that the loss of one host stalls few groups.
constexpr Duration delayPerOwnedGroup = std::chrono::milliseconds(50);
constexpr double maxOwnedDelays = 4;
// Proactive claims are spread over this time per group, up to the maximum.
constexpr Duration proactiveClaimStep = std::chrono::milliseconds(6);
constexpr Duration maxProactiveClaimDelay = std::chrono::seconds(2);

} // namespace

bool hasCapacity(double processors, std::size_t owned)
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
        delay += noCapacityDelay;
    return delay;
}

Duration capacityPreferenceDelay(double processors)
{
    return processors < coresPerGroup ? capacityPreference : Duration(0);
}

// Hosts without spare capacity claim after all hosts that have some.
Duration proactiveClaimDelay(const Claimant &claimant, std::size_t groups)
{
    const Duration maxJitter =
        std::min(maxProactiveClaimDelay, proactiveClaimStep * static_cast<Duration::rep>(groups));
    const Duration jitterDelay = std::chrono::duration_cast<Duration>(claimant.jitter * maxJitter);
    return claimant.processors < coresPerGroup ? maxJitter + jitterDelay : jitterDelay;
}

} // namespace kelptally::decision
