#pragma once

#include "core/json.h"
#include "inner/messages.h"

#include <functional>
#include <string>
#include <vector>

namespace kelptally::admin {

// The status of one process, reachable or not.
struct ProcessStatus
{
    HostName host;
    std::string address;
    // "entry", "owner", or "host" for a process that is both.
    std::string role;
    bool reachable = false;
    bool draining = false;
    ConfigVersion version = 0;
    // Why the process did not answer; empty if it did.
    std::string problem;
};

struct SystemStatus
{
    std::vector<ProcessStatus> processes;
    // As reported by their owners; if two processes report a group, the higher epoch wins.
    std::vector<inner::GroupStatus> groups;
    // Groups of the configuration that no process reports as its own.
    std::vector<GroupName> unowned;
};

// Returns whether an operator may see a group.
using GroupFilter = std::function<bool(const GroupName &)>;

// Returns the body of GET /admin/v1/status (docs/ADMIN.md).
std::string statusToJson(const SystemStatus &status, ConfigVersion inForce,
                         const GroupFilter &visible);

// Formats that document as text tables, as printed by `kelptallyctl status`.
std::string statusToTable(const JsonValue &status);

} // namespace kelptally::admin
