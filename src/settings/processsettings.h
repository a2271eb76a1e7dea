#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "settings/findings.h"

#include <string>
#include <vector>

namespace kelptally::settings {

// Settings of a process, from the INI file given at start.
struct ProcessSettings
{
    // [process]
    HostName host;
    ZoneName zone;
    // IP address that this process listens on.
    std::string address;
    // Port of the links between processes.
    int peerPort = 0;
    // Port for callers; entries only, 0 otherwise.
    int callerPort = 0;
    // Port of the administration API, /metrics, /healthz and /readyz.
    int adminPort = 0;
    std::string logDirectory;
    int logLevel = 0;

    // [platform] Endpoints of the services, as "ip:port".
    std::string tableService;
    std::string objectStore;
    std::string hostList;
    Duration storeTimeout {std::chrono::seconds(2)};

    // [keys] Shared by all processes: for the links and for session tokens.
    std::string peerKey;
    std::string tokenKey;
    // SHA-256 of the operators' key, in hex.
    std::string operatorKeyHash;

    // [tls] Paths of PEM files; TLS is off when both are empty.
    std::string tlsCertificate;
    std::string tlsKey;

    // [peers] Addresses of processes to contact when the platform is unavailable.
    std::vector<std::string> seeds;

    // [limits]
    int maxCallerConnections = 20000;
    int maxRequestBytes = 1 << 20;
    Duration requestReadTimeout {std::chrono::seconds(10)};

    std::string peerAddress() const { return address + ":" + std::to_string(peerPort); }
};

ProcessSettings parseProcessSettings(const std::string &file, const std::string &text,
                                     Findings &findings);

} // namespace kelptally::settings
