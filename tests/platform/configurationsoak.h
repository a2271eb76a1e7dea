#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kelptally::platform {

// A deployment of kelptallyd processes whose configuration changes in series while connections are
// disturbed.
struct ConfigurationSoakPlan
{
    std::uint64_t seed = 1;
    int hosts = 16;
    int zones = 4;
    // Hosts with half a core; the others have an eighth and a link of linkRate to the store.
    int largeHosts = 4;
    // Bytes per second; 0 for no limit.
    std::size_t linkRate = 0;
    // Routes that all versions have.
    int routes = 100;
    Duration length {std::chrono::seconds(40)};
    // Whether connections to the store go silent, hosts lose the store, and processes stand still,
    // are killed or stopped.
    bool silences = true;
    // Whether the hosts that own a group, and so are relays, lose the store at each silence.
    bool cutsOwners = false;
    // Whether these hosts stand still together again and again.
    bool freezesOwners = false;
    // Whether the store discards its history again and again.
    bool discardsHistory = false;
    bool cuts = false;
    bool freezes = false;
    bool restarts = false;
    // The hosts' settings and logs.
    std::string folder;
    // Path of kelptallyd, to compare versions; empty for that of this build.
    std::string program;
};

// How a host answered a session by an older configuration than it should have had.
struct LateAnswer
{
    std::string host;
    // The database, and whether its session was refused though its route had been added, or begun
    // though it had been dropped.
    std::string database;
    bool wasRefused = false;
    // Since the acknowledgement of the change or the host's last disturbance, whichever is later.
    Duration lateness {0};
};

struct ConfigurationSoakResult
{
    int versions = 0;
    int disturbances = 0;
    // All answers after the bound.
    std::vector<LateAnswer> late;
    // The greatest lateness within the bound or beyond it, of each host.
    std::vector<LateAnswer> maxOfHosts;
};

// Time in which a confirmed configuration must be in force on all hosts.
constexpr Duration configurationBound = std::chrono::seconds(5);

ConfigurationSoakResult runConfigurationSoak(const ConfigurationSoakPlan &plan);

// The result as text, the hosts with the greatest lateness first.
std::string describe(const ConfigurationSoakResult &result);

} // namespace kelptally::platform
