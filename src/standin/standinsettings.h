#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "settings/findings.h"

#include <string>
#include <vector>

namespace kelptally::standin {

struct ListenAddress
{
    std::string address = "127.0.0.1";
    int port = 0;
};

// Capacity limits and simulated delays of a database server. All can be changed at run time.
struct ServerLimits
{
    // Number of statements that can use service time concurrently.
    int slots = 3;
    // Maximum number of connections; further ones are refused with SQLSTATE 53300.
    int connections = 25;
    // Delay of each connection's startup.
    Duration connectionCost {std::chrono::milliseconds(12)};
    // Time for which a statement occupies a slot.
    Duration serviceTime {0};
    // One-way network delay between the server and its clients.
    Duration clientDelay {0};
    // One-way network delay to the other servers of the group.
    Duration replicationDelay {0};
    // Delay between receiving a record and applying it.
    Duration replicationLag {0};
    // Limit of the wait for the writer lock, after which a statement fails with SQLSTATE 55P03.
    Duration lockTimeout {std::chrono::seconds(5)};
};

struct DatabaseServerSettings
{
    ServerName name;
    ListenAddress listen;
    ServerLimits limits;
};

struct DatabaseGroupSettings
{
    GroupName name;
    // SQL script that creates the schema on each server.
    std::string schema;
    // The first server is the primary of the first term.
    std::vector<DatabaseServerSettings> servers;
};

struct StandinSettings
{
    ListenAddress control;
    std::vector<DatabaseGroupSettings> groups;
};

// Parses the INI document described in docs/STANDIN.md. Ignores the sections of the platform
// stand-in. The result is valid only if no findings were added.
StandinSettings parseStandinSettings(const std::string &file, const std::string &text,
                                     settings::Findings &findings);

} // namespace kelptally::standin
