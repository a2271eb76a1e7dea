#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/policyoptions.h"
#include "settings/findings.h"
#include "settings/sectionreader.h"

#include <string>

namespace kelptally::settings {

// Settings of a host process, from an INI file that is read at start and again when it changes.
struct HostSettings
{
    // [process]
    HostName host;
    ZoneName zone;
    // IP address of this host, for the links between processes.
    std::string address;
    int peerPort = 0;
    // Endpoints for callers and for the load balancer's readiness checks, and the operators' port
    // on the host's address.
    Endpoint callers;
    Endpoint readiness;
    int adminPort = 0;
    int maxSessions = 3500;
    // Processor cores that this host may use; may be fractional. Used for the
    // placement of groups.
    double processors = 1;
    // From the stop request until the process is killed.
    Duration gracePeriod {std::chrono::seconds(6)};

    // [limits] From a server's report that it leaves until no request may reach it.
    Duration serverLeaveTime {std::chrono::seconds(7)};

    // Time limit for an accepted configuration to take effect on every host.
    Duration configurationTime {std::chrono::seconds(3)};

    // Tolerance of quotas in each time window: a fraction of the quota and a number of operations.
    Duration quotaWindow {std::chrono::seconds(5)};
    double quotaOvershoot = 0;
    double quotaSlack = 0;

    // [platform]
    std::string store;
    std::string promotions;
    Duration storeTimeout {std::chrono::seconds(2)};

    // [keys] Shared by all processes.
    std::string peerKey;
    // SHA-256 of the operators' key, in hex; operator requests are refused when it is empty.
    std::string operatorKeyHash;

    // [experiments] Not for production.
    decision::PolicyOptions policies;

    // [log]
    std::string logLevel = "info";
    int logLinesPerSecond = 5;

    std::string peerAddress() const { return address + ":" + std::to_string(peerPort); }
};

// Returns the changed keys that take effect at the next start, joined by commas. Changes to the
// log, the grace period and the server leave time take effect at once.
std::string keysNeedingRestart(const HostSettings &running, const HostSettings &wanted);

HostSettings parseHostSettings(const std::string &file, const std::string &text,
                               Findings &findings);

} // namespace kelptally::settings
