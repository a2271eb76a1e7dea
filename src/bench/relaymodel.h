#pragma once

#include "core/clock.h"
#include "settings/findings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kelptally::bench {

enum class RelayFaultKind {
    Kill,
    Freeze,
    // The relay can't reach the store but still reaches other hosts.
    CutFromStore,
    // Hosts, relays or not, that reach neither the store nor other hosts.
    CutOff,
    // Open connections to the store carry nothing any more, while new ones work: those of all hosts
    // or of half of them. Counts as a fault of all hosts.
    SilentStore,
    // The same for all links between hosts.
    SilentLinks,
};

struct RelayFault
{
    RelayFaultKind kind = RelayFaultKind::Kill;
    Duration at {0};
    Duration length {0};
    // Affects all relays at once instead of one; for silent connections, all hosts instead of half.
    bool affectsAll = false;
    // Number of hosts that are cut off.
    int cutHosts = 1;
};

// A deployment of hosts that follow the tables of one store, and the faults to inject.
struct RelayPlan
{
    int hosts = 30;
    int zones = 6;
    int groups = 20;
    Duration length {std::chrono::seconds(48)};
    // All hosts start within this time.
    Duration startSpread {std::chrono::milliseconds(300)};
    // Bounds within which all hosts must know a new configuration and a leaving server.
    Duration configurationTime {std::chrono::seconds(6)};
    Duration leaveTime {std::chrono::seconds(10)};
    // Interval between changes, each of the configuration and of a server. The first change comes
    // after twelve seconds.
    Duration changePeriod {std::chrono::seconds(5)};
    int configurationBytes = 12'000;
    // Size from the second version on; 0 for no change.
    int grownConfigurationBytes = 0;
    // Whether a new version of the configuration changes all of it instead of a few bytes.
    bool changesAll = false;
    // Hosts with capacity for groups and a fast link; 0 for all.
    int largeHosts = 0;
    // Bytes per second that the link of any other host receives; 0 for no limit.
    int linkRate = 0;
    std::vector<RelayFault> faults;
};

// Results of a simulation. Calls are those that reach the store.
struct RelayResult
{
    int callsAtStart = 0;
    int callsAfterStart = 0;
    int maxCallsPerSecond = 0;
    double callsPerSecond = 0;
    // Longest time until all hosts knew a change; hosts with a fault at that time are excluded.
    Duration maxConfigurationDelay {0};
    Duration maxServerDelay {0};
    std::uint64_t bytesWithinZones = 0;
    std::uint64_t bytesAcrossZones = 0;
    // Hosts that called the store in the last ten seconds.
    int pollingHosts = 0;
    // Violated invariants, as text.
    std::vector<std::string> violations;
};

RelayResult simulateRelays(const RelayPlan &plan, std::uint64_t seed);

RelayPlan parseRelayPlan(const std::string &file, const std::string &text,
                         settings::Findings &findings);

} // namespace kelptally::bench
