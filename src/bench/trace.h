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

// Traces: what callers asked, what failed, and which outcomes are right. docs/TRACES.md describes
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

// Which final answers are right for a request, whatever the policy.
enum class ExpectedOutcome {
    Done,
    // Done, or refused as not run.
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
    // Reads: nothing stands for the newest data.
    std::optional<Duration> statedAge;
    Duration deadline {0};
    // Time that the statement holds a slot.
    Duration cost {0};
    // Writes: whether they may run twice. One that may not has an idempotency key.
    bool repeatable = true;
    ExpectedOutcome expect = ExpectedOutcome::Done;
};

enum class FaultKind {
    KillServer,
    StartServer,
    // Statements there stand still until HealServer.
    HangServer,
    HealServer,
    // Statements there take so many times as long; 1 ends it.
    SlowServer,
    // Replication to the server is behind by this time from now on.
    LagServer,
    // Operators mark the server as leaving.
    LeaveServer,
    // No messages between the zone and the others until HealZone.
    CutZone,
    HealZone,
    StopStore,
    StartStore,
    // Planned stop, crash and start of the proxies of one host.
    StopHost,
    CrashHost,
    StartHost,
};

struct TraceFault
{
    FaultKind kind = FaultKind::KillServer;
    std::string target;
    Duration time {0};
    int factor = 1;
};

// One line: a request or a fault.
struct TraceEvent
{
    Duration at {0};
    std::optional<TraceRequest> request;
    std::optional<TraceFault> fault;
};

struct Trace
{
    std::string name;
    // One way between availability zones, and between an entry and its callers.
    Duration zoneDelay {0};
    Duration clientDelay {0};
    // Usual time until a replica has applied a record, the way not counted.
    Duration replicationDelay {0};
    std::vector<TraceHost> hosts;
    std::vector<TraceServer> servers;
    std::vector<TraceEvent> events;

    std::vector<GroupName> groups() const;
};

// InvalidArgument names the line.
absl::StatusOr<Trace> parseTrace(std::string_view text);
std::string formatTrace(const Trace &trace);

// The shipped traces: both sites' days, the same on every machine.
std::vector<Trace> shippedTraces();

} // namespace kelptally::bench
