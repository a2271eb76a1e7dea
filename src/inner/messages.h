#pragma once

#include "core/clock.h"
#include "core/reason.h"
#include "core/rows.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The messages between our own processes (entry, owner, kelptallyctl through an entry).
namespace kelptally::inner {

// Versions that this build speaks. Two processes talk in the highest version both know; a process
// speaks its own version and the one before, so a rolling upgrade works.
constexpr int protocolVersion = 1;
constexpr int oldestProtocolVersion = 1;

// Largest frame that is accepted; checked before anything is allocated for it.
constexpr std::size_t maxFrameBytes = 4u << 20;

using RequestId = std::uint64_t;

// First message in both directions of a link. The proof is an HMAC over the other fields with the
// peers' key of the settings.
struct Hello
{
    int newestVersion = protocolVersion;
    int oldestVersion = oldestProtocolVersion;
    ProcessId process;
    HostName host;
    ZoneName zone;
    ConfigVersion configVersion = 0;
    std::string nonce;
    std::string proof;
};

enum class StatementStep {
    // A statement on its own.
    Single,
    Begin,
    InTransaction,
    Commit,
    Rollback,
};

// One request of a caller, on its way from an entry to the owner of the group.
struct Execute
{
    RequestId requestId = 0;
    GroupName group;
    TeamName team;
    KindName kind;
    StatementStep step = StatementStep::Single;
    // Id of the transaction, for the steps after Begin.
    std::string transaction;
    std::string sql;
    std::vector<Value> parameters;
    bool readOnly = false;
    // Idempotency key; empty when the request may be repeated.
    std::string key;
    // Digest of what the key stands for, to refuse a key reused for another request.
    std::string keyDigest;
    // Greatest age of the data that the caller accepts; nothing stands for "newest".
    std::optional<Duration> statedAge;
    // Time left until the caller's deadline when the message was sent.
    Duration deadlineIn {0};
    // Position of the caller's session in this group.
    std::optional<Position> sessionPosition;
    // How often this request has been retried by the entry; the owner counts it.
    int attempt = 0;
};

// The outcome of one Execute.
struct ExecuteResult
{
    RequestId requestId = 0;
    Reason reason = Reason::None;
    Executed executed = Executed::No;
    // SQLSTATE and message of the database, or the detail of a refusal.
    std::string detail;
    Rows rows;
    // Count of rows and their byte length as the owner saw them; checked by the entry.
    std::size_t rowCount = 0;
    std::size_t byteLength = 0;
    // Position that the session has seen with this answer.
    std::optional<Position> position;
    // Upper bound of the data's age when the owner sent this answer.
    std::optional<Duration> age;
    // How long the owner had the request.
    Duration ownerTime {0};
    bool fromReplica = false;
    ServerName server;
    // Whether the answer was taken from the record of an idempotency key.
    bool replayed = false;
    std::string transaction;
    Duration retryAfter {0};
    // Address of the owner, when the asked process knows it is another.
    std::string ownerHint;
};

// The caller went away or its deadline passed: what still waits for it is dropped, and its open
// transaction is rolled back.
struct Cancel
{
    RequestId requestId = 0;
    GroupName group;
    std::string transaction;
};

struct GroupHeartbeat
{
    GroupName group;
    OwnerEpoch epoch = 0;
    std::uint64_t sequence = 0;
    Term term = 0;
    ServerName primary;
};

// From an owner to a successor, for all groups that the two share.
struct Heartbeat
{
    ProcessId from;
    ConfigVersion configVersion = 0;
    std::vector<GroupHeartbeat> groups;
};

struct GroupHeartbeatAnswer
{
    GroupName group;
    OwnerEpoch epoch = 0;
    std::uint64_t sequence = 0;
    // False when the successor makes no promise (it claims, or knows a newer epoch).
    bool promised = false;
    OwnerEpoch knownEpoch = 0;
};

struct HeartbeatAnswer
{
    ProcessId from;
    ConfigVersion configVersion = 0;
    std::vector<GroupHeartbeatAnswer> groups;
};

// Asks who owns a group, and with the answer proves the asked process's incarnation.
struct Locate
{
    RequestId requestId = 0;
    GroupName group;
};

struct LocateAnswer
{
    RequestId requestId = 0;
    ProcessId from;
    GroupName group;
    OwnerEpoch epoch = 0;
    // Address of the owner as far as known; empty when not.
    std::string owner;
};

// The owner has named the receiver the new owner in the group's row.
struct HandOver
{
    GroupName group;
    OwnerEpoch newEpoch = 0;
};

// "I have this configuration version"; sent on links at start and at each change.
struct ConfigNotice
{
    ConfigVersion version = 0;
};

struct ConfigRequest
{
    RequestId requestId = 0;
    ConfigVersion atLeast = 0;
};

struct ConfigAnswer
{
    RequestId requestId = 0;
    ConfigVersion version = 0;
    std::string document;
};

enum class OperatorCommand {
    Status,
    Drain,
    Promote,
};

// An operator's call that an owner carries out.
struct OperatorRequest
{
    RequestId requestId = 0;
    OperatorCommand command = OperatorCommand::Status;
    GroupName group;
    ServerName server;
    bool acceptLoss = false;
};

struct ServerStatus
{
    ServerName server;
    ZoneName zone;
    bool reachable = false;
    bool primary = false;
    bool draining = false;
    Position position;
    Duration lag {0};
    int connectionsOpen = 0;
    int slotsBusy = 0;
    int queued = 0;
};

struct GroupStatus
{
    GroupName group;
    OwnerEpoch epoch = 0;
    ProcessId owner;
    std::vector<ProcessId> successors;
    Term term = 0;
    ServerName primary;
    Duration leaseLeft {0};
    std::vector<ServerStatus> servers;
};

struct OperatorAnswer
{
    RequestId requestId = 0;
    Reason reason = Reason::None;
    std::string detail;
    ConfigVersion configVersion = 0;
    bool draining = false;
    std::vector<GroupStatus> groups;
};

// What a read must see of the work that was acknowledged before it began.
enum class ReadRule {
    // Every acknowledged commit.
    Newest,
    // Every commit that was acknowledged longer ago than the stated age.
    Bounded,
    // As Bounded, and every commit of the caller's own session.
    OwnWrites,
};

enum class TransactionMode {
    None,
    ReadWrite,
    ReadOnly,
};

// What a session's statement does at the server.
enum class SessionVerb {
    Read,
    Write,
    Commit,
};

// One statement of a caller's session, on its way from an entry to the owner of the group. Text and
// id go to the server as the caller wrote them.
struct RunStatement
{
    RequestId requestId = 0;
    GroupName group;
    // Number of the session at its entry; with the entry's link it names an open transaction.
    std::uint64_t session = 0;
    SessionVerb verb = SessionVerb::Read;
    // The statement is part of an open transaction, or begins it when `begins` is set.
    bool inTransaction = false;
    TransactionMode begins = TransactionMode::None;
    std::string statementId;
    std::string text;
    // Of a statement that executes a prepared one: its shape and what follows the name.
    std::string preparedShape;
    std::string arguments;
    // The session's values: name and value by turns, ordered by name.
    std::vector<std::string> values;
    ReadRule rule = ReadRule::Newest;
    Duration maxAge {0};
    std::optional<Position> sessionPosition;
    // Longest time that the statement may take, from the moment the message was sent.
    Duration timeLeft {0};
    // Time within which the route's operator wants operations answered.
    Duration objective {0};
    // 0 is the most urgent.
    int priority = 0;
    // Whose statement it is, by the configuration of this version; empty where callers show no
    // keys.
    OrganisationName organisation;
    ConfigVersion organisationVersion = 0;
};

// The outcome of one RunStatement.
struct StatementDone
{
    RequestId requestId = 0;
    Reason reason = Reason::None;
    Executed executed = Executed::No;
    std::string detail;
    std::vector<std::string> rows;
    // The server's signature of its answer.
    std::string signature;
    // Position of the server's log after a write or commit of the session.
    std::optional<Position> position;
    Duration retryAfter {0};
    // Newest ownership that the asked process knows of, when it is not the owner.
    OwnerEpoch ownerEpoch = 0;
    ProcessId owner;
    // A position of the primary, and how long ago it was asked for: it holds whatever had been
    // acknowledged by then.
    std::optional<Position> logPosition;
    Duration logAge {0};
    // Connections to each replica in the entry's zone that the owner lends it for reads.
    int grantedConnections = 0;
};

// Rolls back what the session has open, if anything. There is no answer.
struct EndTransaction
{
    GroupName group;
    std::uint64_t session = 0;
    // Only what a statement of at most this number has begun: the message may be sent again, when
    // the session has begun another transaction.
    RequestId begunBy = 0;
};

// Asks a process that owes answers whether it still runs; answered at once.
struct AliveRequest
{
    std::uint64_t sequence = 0;
};

struct AliveAnswer
{
    std::uint64_t sequence = 0;
};

// Asks an earlier owner whether it has stopped acting for the group.
struct OwnershipEndRequest
{
    GroupName group;
    OwnerEpoch epoch = 0;
};

// The sender acts for the group under no epoch up to this one any more, and never will again.
struct OwnershipEnded
{
    GroupName group;
    OwnerEpoch epoch = 0;
};

// The sender is being stopped: no group should be given to it.
struct Stopping
{
    ProcessId process;
};

// The sender owns the group under the epoch and can't do what it needs: the receiver is asked to
// claim the group, if it reaches the endpoint, which may be empty.
struct TakeOver
{
    GroupName group;
    OwnerEpoch epoch = 0;
    // "ip:port"
    std::string requiredEndpoint;
    // The sender serves the group, and a host with more processor time should.
    bool needsCapacity = false;
};

// One table that the sender follows, and the version up to which it knows it.
struct FollowedTable
{
    std::string table;
    std::uint64_t after = 0;
};

// The sender wants to be told of changes of these tables from now on, instead of asking the table
// service; an empty list ends that.
struct FollowTables
{
    std::vector<FollowedTable> tables;
    // Whether rows are told, too. Another teller does that, and this one tells only that there are
    // changes.
    bool withRows = true;
    // Whether rows may be told as differences, and in parts.
    bool takesParts = false;
    // Asks for what follows a part; tables that are not named stay followed as they are.
    bool continues = false;
};

// A row that changed, or is gone.
struct NewsRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
    // The value is a difference (services/textdifference) from that of this earlier version of the
    // row; 0: it is whole.
    std::uint64_t differsFrom = 0;
};

// What the table service has told the sender of one table.
struct TableNews
{
    std::string table;
    // The rows are all that changed after the first version, up to the second.
    std::uint64_t after = 0;
    std::uint64_t upTo = 0;
    // The table service's own clock when it said so.
    Duration serviceTime {0};
    std::vector<NewsRow> rows;
    // Changes are left out, as too large: the receiver reads them itself.
    bool leftOut = false;
    // There are more changes after the second version: the service's clock proves nothing yet.
    bool isPart = false;
};

// The sender runs low of an organisation's quota, and asks for a part of what the receiver has.
struct QuotaRequest
{
    OrganisationName organisation;
    // In thousandths of an operation.
    std::uint64_t thousandths = 0;
};

// The receiver may run so much more for the organisation; the sender so much less.
struct QuotaGrant
{
    OrganisationName organisation;
    std::uint64_t thousandths = 0;
};

using Message =
    std::variant<Hello, Execute, ExecuteResult, Cancel, Heartbeat, HeartbeatAnswer, Locate,
                 LocateAnswer, HandOver, ConfigNotice, ConfigRequest, ConfigAnswer, OperatorRequest,
                 OperatorAnswer, RunStatement, StatementDone, EndTransaction, AliveRequest,
                 AliveAnswer, OwnershipEndRequest, OwnershipEnded, Stopping, TakeOver, FollowTables,
                 TableNews, QuotaRequest, QuotaGrant>;

} // namespace kelptally::inner
