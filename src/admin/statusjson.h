#pragma once

#include "core/json.h"
#include "inner/messages.h"

#include <functional>
#include <string>
#include <vector>

namespace kelptally::admin {

// One of our processes, as it answered or did not.
struct ProcessStatus
{
    HostName host;
    std::string address;
    // "entry", "owner", or "host" for both in one.
    std::string role;
    bool reachable = false;
    bool draining = false;
    ConfigVersion version = 0;
    // Why it could not be asked.
    std::string problem;
};

struct SystemStatus
{
    std::vector<ProcessStatus> processes;
    // As their owners tell; of two owners the one with the higher epoch counts.
    std::vector<inner::GroupStatus> groups;
    // Groups of the configuration that no process says it owns.
    std::vector<GroupName> unowned;
};

// Tells whether an operator may see a group.
using GroupFilter = std::function<bool(const GroupName &)>;

// The body of GET /admin/v1/status (docs/ADMIN.md).
std::string statusToJson(const SystemStatus &status, ConfigVersion inForce,
                         const GroupFilter &visible);

// The same document as a table for people, as `kelptallyctl status` prints it.
std::string statusToTable(const JsonValue &status);

} // namespace kelptally::admin
