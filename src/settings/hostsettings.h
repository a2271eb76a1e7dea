#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/policyoptions.h"
#include "settings/findings.h"
#include "settings/sectionreader.h"

#include <string>

namespace kelptally::settings {

// Settings of a process that is entry and owner in one: the INI file that is given at start and
// read again when it changes.
struct HostSettings
{
    // [process]
    HostName host;
    ZoneName zone;
    // IP of this host, for the links between our processes.
    std::string address;
    int peerPort = 0;
    // Where callers connect, where the balancer asks for readiness, and the port for operators on
    // the same address.
    Endpoint callers;
    Endpoint readiness;
    int adminPort = 0;
    int maxSessions = 3500;
    // Processor cores that this host may use, as a fraction; groups go to hosts with room.
    double processors = 1;
    // From the request to stop until the process is killed.
    Duration gracePeriod {std::chrono::seconds(6)};

    // [limits] From a server's report that it leaves until nothing may reach it any more.
    Duration serverLeaveTime {std::chrono::seconds(7)};

    // Within this an accepted configuration has to be in force on every host.
    Duration configurationTime {std::chrono::seconds(3)};

    // How far organisations may go beyond their quotas: by this part and so many operations in any
    // span as long as the window.
    Duration quotaWindow {std::chrono::seconds(5)};
    double quotaOvershoot = 0;
    double quotaSlack = 0;

    // [platform]
    std::string store;
    std::string promotions;
    Duration storeTimeout {std::chrono::seconds(2)};

    // [keys] shared by our processes
    std::string peerKey;
    // SHA-256 of the operators' key, in hex; without it operators' calls are refused.
    std::string operatorKeyHash;

    // [experiments], never set where callers are served
    decision::PolicyOptions policies;

    // [log]
    std::string logLevel = "info";
    int logLinesPerSecond = 5;

    std::string peerAddress() const { return address + ":" + std::to_string(peerPort); }
};

// Keys whose change takes effect at the next start only, joined by commas. The log, the grace of a
// stop and the time that leaving servers have take effect at once.
std::string keysNeedingRestart(const HostSettings &running, const HostSettings &wanted);

HostSettings parseHostSettings(const std::string &file, const std::string &text,
                               Findings &findings);

} // namespace kelptally::settings
