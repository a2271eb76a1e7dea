#pragma once

#include "core/types.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kelptally::bench {

// State of a server as reported by the stand-in's GET /state (docs/STANDIN.md).
struct StandinServer
{
    ServerName name;
    int port = 0;
    bool running = false;
    bool paused = false;
    Term term = 0;
    bool isPrimary = false;
    LogOffset received = 0;
    LogOffset applied = 0;
    int connections = 0;
    int peakConnections = 0;
};

// Blocking client of the stand-in's control port. Each call opens a connection of its own.
class StandinControl
{
public:
    // `address` is "ip:port".
    explicit StandinControl(std::string address);

    // Returns the servers of a group; NotFound if the stand-in doesn't have it.
    absl::StatusOr<std::vector<StandinServer>> group(const GroupName &name);
    // Posts a fault, such as {"fault":"kill","server":"a"}.
    absl::Status fault(const std::string &body);

private:
    absl::StatusOr<std::string> exchange(const std::string &method, const std::string &target,
                                         const std::string &body);

    const std::string address_;
};

} // namespace kelptally::bench
