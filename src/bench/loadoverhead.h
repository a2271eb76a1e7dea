#pragma once

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kelptally::bench {

// A statement that is sent sequentially over two paths: directly to a server and through an entry.
struct OverheadPlan
{
    std::string entry;
    std::string callerKey;
    std::string group;
    std::string kind;
    std::string sql = "SELECT 1";
    // "ip:port" of the server.
    std::string server;
    int rounds = 5000;
};

struct Overhead
{
    Duration directMedian {0};
    Duration directP99 {0};
    Duration entryMedian {0};
    Duration entryP99 {0};
};

// Alternates between the two paths, so that disturbances of the machine affect both alike.
absl::StatusOr<Overhead> measureOverhead(const OverheadPlan &plan);

// Returns the resident memory in bytes that an idle connection costs the entry process. Opens
// connections to the caller port, sends a request on each and leaves them open.
absl::StatusOr<double> measureIdleMemory(const OverheadPlan &plan, int processId, int connections);

} // namespace kelptally::bench
