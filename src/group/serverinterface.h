#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/statementretry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Interface to database servers that report log positions in their answers, support reads at a
// minimum position, and have commands for a change of primary.
namespace kelptally::group {

enum class CommandKind {
    // Clears the connection's values and prepared statements.
    Reset,
    SetValue,
    Prepare,
    Begin,
    BeginReadOnly,
    // A caller's statement, with its text and id unchanged.
    Statement,
    ExecutePrepared,
    Rollback,
    // Requests a report, as the three commands below also do.
    Report,
    // Stops a replica from receiving, under a term above all earlier ones.
    StopReceiving,
    ResumeReceiving,
    // Demotes a primary of a lower term to a replica.
    StepDown,
};

struct ServerCommand
{
    CommandKind kind = CommandKind::Report;
    // Id of a caller's statement; empty for the proxy's own commands.
    std::string id;
    std::string text;
    // Name of a value or a prepared statement.
    std::string name;
    // The value, the shape to prepare, or the arguments of a prepared statement.
    std::string argument;
    // Whether the shape to prepare writes.
    bool writes = false;
    // Whether the caller's statement commits its transaction.
    bool commits = false;
    // For reads and begins: the server refuses the command if its log lacks this position.
    std::optional<Position> after;
    Term term = 0;
};

using decision::ServerError;

// A server's report of its own state.
struct ServerReport
{
    bool primary = false;
    Term term = 0;
    Position received;
    // Term under which the server stopped receiving; 0 while it receives.
    Term stoppedTerm = 0;
    Duration lag {0};
    // Slots in use by all clients, without this report's own.
    int busy = 0;
};

struct CommandResult
{
    ServerError error = ServerError::None;
    // Code and text of the error.
    std::string detail;
    std::vector<std::string> rows;
    // Empty if the answer has none.
    std::string signature;
    std::optional<ServerReport> report;
    std::optional<Position> position;
    // Whether a transaction is open and has not failed.
    bool inTransaction = false;
    // Whether no transaction is open.
    bool idle = false;
};

struct BatchResult
{
    // One result for each command that was answered completely.
    std::vector<CommandResult> results;
    // Whether the connection ended before the last answer.
    bool lost = false;
};

using BatchCallback = std::function<void(BatchResult)>;

// A connection to a server. It runs one batch at a time, whose commands are sent in one write.
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

// Start time of a server's process by the server's own clock. Compared for equality only, since
// that clock may jump.
using ServerStart = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Identifies one run of a server's process; a restart under the same id is another run. Only the
// persisted log survives a restart: connections, prepared statements and transactions are lost, a
// stopped replica receives again, and received data may be missing. State observed in one run,
// including positions, is therefore invalid for another.
struct ServerRun
{
    ServerName id;
    // Empty if the platform does not report it; then only closed connections reveal a restart.
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

// Formats a start time for logs, as Unix milliseconds or "-".
std::string startText(const std::optional<ServerStart> &start);

// A server's identity and endpoint; the endpoint alone may have been reassigned.
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

    // Opens a connection that belongs permanently to the organisation, or to the proxy itself if
    // that is empty. Calls back exactly once, never from within the call.
    virtual void connect(const ServerAddress &server, const OrganisationName &organisation,
                         Duration timeout, ServerConnectCallback callback) = 0;
};

// A server's entry in the platform's list.
struct ListedServer
{
    ServerRun run;
    // Sequence number of the report within the run.
    std::uint64_t sequence = 0;
    GroupName group;
    std::string endpoint;
    ZoneName zone;
    int slots = 1;
    bool leaving = false;
    // Earliest time at which the server may have announced it; Instant() if unknown.
    Instant leavingSince {};
    // Whether the server was primary according to its last report.
    bool primary = false;
    // Whether the entry is missing, because the server has left or the entry has expired.
    bool missing = false;

    const ServerName &id() const { return run.id; }
};

enum class PromotionOutcome {
    // The named server will become the primary.
    Accepted,
    // The named server is not running.
    NotRunning,
    // Nothing was sent or done; the call may be repeated.
    TryAgain,
    // The promotion may have taken place.
    Unknown,
};

// A request to make a server the primary of its group.
struct PromotionRequest
{
    GroupName group;
    ServerName server;
    // Must not be lower than any used before for the group.
    OwnerEpoch fencingToken = 0;
    // The call is aborted after this time.
    Duration timeout {0};
    // Called right before the request is sent, as it may have waited for a connection. If it
    // returns false, the request is not sent and the outcome is TryAgain.
    std::function<bool()> maySend;
};

// Interface to the platform's promotion of a group's next primary.
class PromotionService
{
public:
    virtual ~PromotionService() = default;

    // Calls back exactly once.
    virtual void promote(PromotionRequest request,
                         std::function<void(PromotionOutcome)> callback) = 0;
};

} // namespace kelptally::group
