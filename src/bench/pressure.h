#pragma once

#include "bench/pressureplan.h"

#include <cstdint>
#include <map>

namespace kelptally::bench {

// In which order what waits is served.
enum class PressureOrder {
    // As the product does.
    Ranked,
    // By arrival, to compare with.
    Arrival,
};

struct PressureCount
{
    int offered = 0;
    int inTime = 0;
    int late = 0;
    // Refused for good, after all repeats.
    int refused = 0;
    // Of these, such as had waited for over a quarter of their objective in an attempt.
    int held = 0;
    // Sent, and given up without an answer.
    int unanswered = 0;
    int repeats = 0;
    double worth = 0;
    double offeredWorth = 0;
    std::vector<Duration> waits;
};

struct PressureResult
{
    std::map<std::string, PressureCount> kinds;
    // All kinds, by the second in which they were asked.
    std::map<int, PressureCount> seconds;
    PressureCount all;

    double worthShare() const { return all.offeredWorth > 0 ? all.worth / all.offeredWorth : 0; }
};

// Plays the plan in virtual time with the decisions of a group's owner: slotadmission,
// positionrouting and commitwatch. The same seed and plan give the same result.
PressureResult simulatePressure(const PressurePlan &plan, std::uint64_t seed, PressureOrder order);

} // namespace kelptally::bench
