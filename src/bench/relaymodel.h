#pragma once

#include "core/clock.h"
#include "settings/findings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kelptally::bench {

// What happens to one teller, or to all.
enum class RelayFaultKind {
    Kill,
    Freeze,
    // The store answers it no more, while the other hosts hear it.
    CutFromStore,
};

struct RelayFault
{
    RelayFaultKind kind = RelayFaultKind::Kill;
    Duration at {0};
    Duration length {0};
    // All tellers at once, instead of one.
    bool affectsAll = false;
};

// A deployment of hosts that follow the tables of one store, and what goes wrong.
struct RelayPlan
{
    int hosts = 30;
    int zones = 6;
    int groups = 20;
    Duration length {std::chrono::seconds(48)};
    // Hosts start within this time.
    Duration startSpread {std::chrono::milliseconds(300)};
    // Bounds within which a configuration is in force, and a leaving server is known.
    Duration configurationTime {std::chrono::seconds(6)};
    Duration leaveTime {std::chrono::seconds(10)};
    // The configuration and a server change each time after this, from twelve seconds on.
    Duration changePeriod {std::chrono::seconds(5)};
    int configurationBytes = 12'000;
    std::vector<RelayFault> faults;
};

// What was seen. Calls are those that reach the store.
struct RelayResult
{
    int callsAtStart = 0;
    int callsAfterStart = 0;
    // Of the busiest second.
    int maxCallsPerSecond = 0;
    double callsPerSecond = 0;
    // From a change to the last host that knew it; hosts in trouble at that time left out.
    Duration maxConfigurationDelay {0};
    Duration maxServerDelay {0};
    std::uint64_t bytesWithinZones = 0;
    std::uint64_t bytesAcrossZones = 0;
    // Hosts that asked the store in the last ten seconds.
    int pollingHosts = 0;
    // What must never happen, in words.
    std::vector<std::string> violations;
};

RelayResult simulateRelays(const RelayPlan &plan, std::uint64_t seed);

RelayPlan parseRelayPlan(const std::string &file, const std::string &text,
                         settings::Findings &findings);

} // namespace kelptally::bench
