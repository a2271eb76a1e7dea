#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/statementretry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// The port to database servers that show positions in their answers, read after a position, and
// take part in a change of primary by commands of their own.
namespace kelptally::group {

enum class CommandKind {
    // Clears values and prepared statements of the connection.
    Reset,
    SetValue,
    Prepare,
    Begin,
    BeginReadOnly,
    // A caller's statement, text and id unchanged.
    Statement,
    ExecutePrepared,
    Rollback,
    // Asks for a report, as the three commands below also do.
    Report,
    // Stops a replica from receiving under a term above every one so far.
    StopReceiving,
    ResumeReceiving,
    // Makes a primary of a lower term a replica.
    StepDown,
};

struct ServerCommand
{
    CommandKind kind = CommandKind::Report;
    // Of a caller's statement; empty for the proxy's own.
    std::string id;
    std::string text;
    // Of a value or a prepared statement.
    std::string name;
    // The value, the shape, or what follows a prepared statement's name.
    std::string argument;
    // Whether the shape to prepare writes.
    bool writes = false;
    // For reads and begins: refuse unless the log holds this position.
    std::optional<Position> after;
    Term term = 0;
};

using decision::ServerError;

// What a server says of itself.
struct ServerReport
{
    bool primary = false;
    Term term = 0;
    Position received;
    // Term under which it stopped receiving; 0: it receives.
    Term stoppedTerm = 0;
    Duration lag {0};
    // Slots in use by anything but this report, whoever uses them.
    int busy = 0;
};

struct CommandResult
{
    ServerError error = ServerError::None;
    // Code and text of the error.
    std::string detail;
    std::vector<std::string> rows;
    std::string signature;
    std::optional<ServerReport> report;
    std::optional<Position> position;
    // In a transaction that has not failed.
    bool inTransaction = false;
    // In no transaction at all.
    bool idle = false;
};

struct BatchResult
{
    // One for each command that was answered in full.
    std::vector<CommandResult> results;
    // The connection ended before the last answer.
    bool lost = false;
};

using BatchCallback = std::function<void(BatchResult)>;

// One connection to one server. One batch at a time; its commands go out in one write.
class ServerConnection
{
public:
    virtual ~ServerConnection() = default;

    // Calls back exactly once, never from within the call.
    virtual void run(std::vector<ServerCommand> batch, BatchCallback callback) = 0;
    // A running batch ends as lost.
    virtual void close() = 0;
    virtual bool isOpen() const = 0;
    // Called once when the connection ends without close().
    virtual void onEnd(std::function<void()> callback) = 0;
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

// When a server's process started, by the server's own clock. Compared for equality only: that
// clock may jump.
using ServerStart = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// One run of a server's process. A server that starts again under its id is another run. It keeps
// its log, as the platform promises of a database that crashed, and nothing else: its connections
// with their values, prepared statements and transactions are gone, it receives again if it had
// been stopped, and what it had received but not kept is unknown. So whatever was seen of one run,
// positions included, counts only as long as that run does.
struct ServerRun
{
    ServerName id;
    // Nothing where the platform does not tell it: then runs can't be told apart, and only the ends
    // of connections show a restart.
    std::optional<ServerStart> start = std::nullopt;
};

inline bool operator==(const ServerRun &a, const ServerRun &b)
{
    return a.id == b.id && a.start == b.start;
}
inline bool operator!=(const ServerRun &a, const ServerRun &b)
{
    return !(a == b);
}

// A start as operators read it: Unix milliseconds, or "-".
std::string startText(const std::optional<ServerStart> &start);

// Which server is meant: an address alone may belong to another server by now.
struct ServerAddress
{
    ServerName id;
    GroupName group;
    // "ip:port"
    std::string endpoint;
};

enum class ConnectOutcome {
    Ok,
    // Nothing listens at the address.
    Refused,
    Silent,
    TooManyConnections,
    // Another server answers at the address.
    WrongServer,
    Failed,
};

using ServerConnectCallback = std::function<void(ConnectOutcome, ServerConnectionPtr)>;

class ServerConnector
{
public:
    virtual ~ServerConnector() = default;

    // Calls back exactly once, never from within the call.
    // The connection belongs to the organisation for good; to the proxy itself when there is none.
    virtual void connect(const ServerAddress &server, const OrganisationName &organisation,
                         Duration timeout, ServerConnectCallback callback) = 0;
};

// One server as the platform's list shows it.
struct ListedServer
{
    ServerRun run;
    // Counts this run's reports.
    std::uint64_t sequence = 0;
    GroupName group;
    std::string endpoint;
    ZoneName zone;
    int slots = 1;
    bool leaving = false;
    // The earliest time at which it may have said so; the beginning of time when that is not known.
    Instant leavingSince {};
    // As the server saw itself when it reported last.
    bool primary = false;
    // Its entry is missing: it may have left, or the list has lost it for a moment.
    bool missing = false;

    const ServerName &id() const { return run.id; }
};

enum class PromotionOutcome {
    // The named server will lead.
    Accepted,
    // It is not running.
    NotRunning,
    // Nothing was done; ask again.
    TryAgain,
    // It may have been done.
    Unknown,
};

// The platform's call that names the next primary of a group.
class PromotionService
{
public:
    virtual ~PromotionService() = default;

    // The token must never be lower than one used before for the group. The call is reset when the
    // timeout passes.
    virtual void promote(const GroupName &group, const ServerName &server, OwnerEpoch fencingToken,
                         Duration timeout, std::function<void(PromotionOutcome)> callback) = 0;
};

} // namespace kelptally::group
