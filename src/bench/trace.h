#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "settings/inventory.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Traces: sequences of requests and faults, with the expected outcomes. docs/TRACES.md describes
// the text format.
namespace kelptally::bench {

using RequestId = std::uint64_t;
using SessionId = std::uint32_t;

struct TraceHost
{
    HostName name;
    ZoneName zone;
};

struct TraceServer
{
    ServerName name;
    GroupName group;
    ZoneName zone;
    int slots = 3;
};

// Final answers that are correct for a request under any policy.
enum class ExpectedOutcome {
    Done,
    // Done, or refused as not executed.
    DoneOrRefused,
    Any,
};

struct TraceRequest
{
    RequestId id = 0;
    bool write = false;
    SessionId session = 0;
    HostName entry;
    GroupName group;
    TeamName team;
    settings::RequestClass requestClass = settings::RequestClass::Browse;
    // Reads: maximum age of the data; the newest data if not set.
    std::optional<Duration> statedAge;
    Duration deadline {0};
    // Time that the statement occupies a slot.
    Duration cost {0};
    // Writes: whether executing twice is harmless. A write that isn't repeatable has an idempotency
    // key.
    bool repeatable = true;
    ExpectedOutcome expect = ExpectedOutcome::Done;
};

enum class FaultKind {
    KillServer,
    StartServer,
    // Statements on the server make no progress until HealServer.
    HangServer,
    HealServer,
    // Multiplies the duration of the server's statements by a factor; 1 restores normal speed.
    SlowServer,
    // Sets the replication lag of the server.
    LagServer,
    // Marks the server as leaving in the configuration.
    LeaveServer,
    // Partitions the zone from the others until HealZone.
    CutZone,
    HealZone,
    StopStore,
    StartStore,
    // Graceful stop, crash and start of the proxies of a host.
    StopHost,
    CrashHost,
    StartHost,
};

struct TraceFault
{
    FaultKind kind = FaultKind::KillServer;
    // Name of the server, zone or host; empty for the store.
    std::string target;
    Duration time {0};
    int factor = 1;
};

// A request or a fault; exactly one of them is set.
struct TraceEvent
{
    Duration at {0};
    std::optional<TraceRequest> request;
    std::optional<TraceFault> fault;
};

struct Trace
{
    std::string name;
    // One-way network delay between availability zones, and between an entry and its callers.
    Duration zoneDelay {0};
    Duration clientDelay {0};
    // Typical time until a replica has applied a record, without the network delay.
    Duration replicationDelay {0};
    std::vector<TraceHost> hosts;
    std::vector<TraceServer> servers;
    std::vector<TraceEvent> events;

    // Returns the names of the servers' groups, sorted and without duplicates.
    std::vector<GroupName> groups() const;
};

// Parses the text format. InvalidArgument, with the line, if the text is invalid.
absl::StatusOr<Trace> parseTrace(std::string_view text);
// Returns the text format of a trace; the inverse of parseTrace().
std::string formatTrace(const Trace &trace);

// Returns the traces of both sites. They are generated and identical on every machine.
std::vector<Trace> shippedTraces();

} // namespace kelptally::bench
