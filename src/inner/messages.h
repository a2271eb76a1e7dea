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

// Messages between kelptally processes (entry, owner, and kelptallyctl through an entry).
namespace kelptally::inner {

// Protocol versions of this build. Two processes use the highest version that both support. Each
// build supports its own version and the one before, for rolling upgrades.
constexpr int protocolVersion = 1;
constexpr int oldestProtocolVersion = 1;

// Maximum frame size; checked before memory is allocated for a frame.
constexpr std::size_t maxFrameBytes = 4u << 20;

using RequestId = std::uint64_t;

// First message of a link in both directions. The proof is an HMAC over the other fields under the
// peer key from the settings.
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
    // A statement outside a transaction.
    Single,
    Begin,
    InTransaction,
    Commit,
    Rollback,
};

// A caller's request, sent by an entry to the owner of the group.
struct Execute
{
    RequestId requestId = 0;
    GroupName group;
    TeamName team;
    KindName kind;
    StatementStep step = StatementStep::Single;
    // Transaction id, for the steps after Begin.
    std::string transaction;
    std::string sql;
    std::vector<Value> parameters;
    bool readOnly = false;
    // Idempotency key; empty when the request may be retried without one.
    std::string key;
    // Digest of the request, to refuse a key that was used for a different one.
    std::string keyDigest;
    // Maximum age of the data that the caller accepts; no value requests the newest data.
    std::optional<Duration> statedAge;
    // Time left until the caller's deadline when the message was sent.
    Duration timeLeft {0};
    // Position of the caller's session in this group.
    std::optional<Position> sessionPosition;
    // Number of retries of this request by the entry, for the owner's counters.
    int attempt = 0;
};

// The outcome of an Execute.
struct ExecuteResult
{
    RequestId requestId = 0;
    Reason reason = Reason::None;
    Executed executed = Executed::No;
    // SQLSTATE and message of the database, or the details of a refusal.
    std::string detail;
    Rows rows;
    // Number and byte length of the rows at the owner; checked by the entry.
    std::size_t rowCount = 0;
    std::size_t byteLength = 0;
    // Position of the session after this answer.
    std::optional<Position> position;
    // Upper bound of the data's age when the owner sent this answer.
    std::optional<Duration> age;
    // Time that the request spent at the owner.
    Duration ownerTime {0};
    bool fromReplica = false;
    ServerName server;
    // Whether the answer is the recorded one of the idempotency key.
    bool replayed = false;
    std::string transaction;
    Duration retryAfter {0};
    // Address of the owner, if the sender knows another one.
    std::string ownerHint;
};

// The caller disconnected or its deadline passed: its queued request is dropped and its open
// transaction rolled back.
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

// Sent by an owner to a successor, for all groups that the two share.
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
    // Whether the successor renews its promise; false when it claims the group or knows a newer
    // epoch.
    bool promised = false;
    OwnerEpoch knownEpoch = 0;
};

struct HeartbeatAnswer
{
    ProcessId from;
    ConfigVersion configVersion = 0;
    std::vector<GroupHeartbeatAnswer> groups;
};

// Asks for the owner of a group. The answer also confirms the receiver's incarnation.
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
    // Address of the owner; empty when unknown.
    std::string owner;
};

// The sender has written the receiver into the group's row as its new owner.
struct HandOver
{
    GroupName group;
    OwnerEpoch newEpoch = 0;
};

// Announces the sender's configuration version; sent when a link opens and at each change.
struct ConfigNotice
{
    ConfigVersion version = 0;
};

struct ConfigRequest
{
    RequestId requestId = 0;
    ConfigVersion minVersion = 0;
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

// An operator's command to an owner.
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

// Consistency of a read: which commits acknowledged before its start it must see.
enum class ReadRule {
    // Every acknowledged commit.
    Newest,
    // Every commit acknowledged longer ago than the maximum age.
    Bounded,
    // As Bounded, and every commit of the caller's session.
    OwnWrites,
};

enum class TransactionMode {
    None,
    ReadWrite,
    ReadOnly,
};

// Kind of a session's statement.
enum class SessionVerb {
    Read,
    Write,
    Commit,
};

// A statement of a caller's session, sent by an entry to the owner of the group. Text and id are
// passed to the server unchanged.
struct RunStatement
{
    RequestId requestId = 0;
    GroupName group;
    // Session number at the entry. With the entry's link it identifies an open transaction.
    std::uint64_t session = 0;
    SessionVerb verb = SessionVerb::Read;
    // Whether the statement is part of a transaction, which it begins when `begins` is set.
    bool inTransaction = false;
    TransactionMode begins = TransactionMode::None;
    std::string statementId;
    std::string text;
    // For the execution of a prepared statement: its shape and the text after its name.
    std::string preparedShape;
    std::string arguments;
    // The session's settings: names and values in turn, ordered by name.
    std::vector<std::string> values;
    ReadRule rule = ReadRule::Newest;
    Duration maxAge {0};
    std::optional<Position> sessionPosition;
    // Time until the statement's deadline when the message was sent.
    Duration timeLeft {0};
    // Latency objective of the route.
    Duration objective {0};
    // 0 is the highest priority.
    int priority = 0;
    // The caller's organisation by this version of the configuration; empty where callers present
    // no keys.
    OrganisationName organisation;
    ConfigVersion organisationVersion = 0;
    // Time that the caller's operation had taken when the statement reached the entry, including
    // attempts that were refused. The objective counts from its beginning.
    Duration operationAge {0};
    // The organisation's quota in thousandths of operations, if the entry's configuration has it
    // since a short time only: that of the owner may not contain the organisation yet.
    std::uint64_t quotaPerSecond = 0;
    std::uint64_t quotaBurst = 0;
};

// The outcome of a RunStatement.
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
    // Newest ownership known to the sender, when it is not the owner.
    OwnerEpoch ownerEpoch = 0;
    ProcessId owner;
    // A position of the primary's log, and the time since it was requested. It covers every commit
    // that was acknowledged before the request.
    std::optional<Position> logPosition;
    Duration logAge {0};
    // Connections to each replica in the entry's zone that the owner grants it for reads.
    int grantedConnections = 0;
};

// Rolls back the session's open transaction, if any. There is no answer.
struct EndTransaction
{
    GroupName group;
    std::uint64_t session = 0;
    // Only a transaction begun by a request with at most this id is rolled back, as the message may
    // be repeated after the session has begun another one.
    RequestId beginRequestId = 0;
};

// Liveness probe to a process with outstanding answers; answered at once.
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

// The sender does not act for the group under any epoch up to this one, now or later.
struct OwnershipEnded
{
    GroupName group;
    OwnerEpoch epoch = 0;
};

// The sender is shutting down and takes no more groups.
struct Stopping
{
    ProcessId process;
};

// The sender owns the group under the epoch but can't serve it. The receiver is asked to claim the
// group if it can reach the endpoint, when one is given.
struct TakeOver
{
    GroupName group;
    OwnerEpoch epoch = 0;
    // "ip:port" or empty.
    std::string requiredEndpoint;
    // Set when the sender lacks processor time: only a host with spare capacity should claim.
    bool needsCapacity = false;
    // The sender is not the owner, but an entry that gets no answers from it.
    bool ownerSuspected = false;
};

// A subscription to one table, from the version up to which the sender knows it.
struct TableSubscription
{
    std::string table;
    std::uint64_t after = 0;
};

// Subscribes the sender to updates of these tables, instead of polling the table service; an empty
// list unsubscribes.
struct SubscribeTables
{
    std::vector<TableSubscription> tables;
    // Whether updates contain rows. If not, they only announce versions, as another relay sends the
    // rows.
    bool withRows = true;
    // Whether rows may be sent as differences and updates in parts.
    bool acceptsParts = false;
    // Requests the next part of an update; subscriptions to other tables are kept.
    bool isContinuation = false;
};

// A row that was changed or removed.
struct TableUpdateRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
    // If not 0, the value is a difference (services/textdifference) from this earlier version of
    // the row.
    std::uint64_t baseVersion = 0;
};

// Changes of one table, from a relay to a subscriber.
struct TableUpdate
{
    std::string table;
    // The rows are all that changed after version `after`, up to version `upTo`.
    std::uint64_t after = 0;
    std::uint64_t upTo = 0;
    // The table service's clock when it confirmed this state.
    Duration serviceTime {0};
    std::vector<TableUpdateRow> rows;
    // The rows are omitted as too large; the receiver reads them from the service.
    bool rowsOmitted = false;
    // More changes follow after `upTo`, so the table is not yet confirmed as of serviceTime.
    bool isPartial = false;
};

// The sender's share of an organisation's quota is low: it asks for a part of the receiver's.
struct QuotaRequest
{
    OrganisationName organisation;
    // In thousandths of an operation.
    std::uint64_t thousandths = 0;
    // Whether an operation waits for them at the sender.
    bool operationWaits = false;
    // The sender holds no share of the quota, and loses tokens that it doesn't use soon.
    bool expires = false;
};

// Moves a part of an organisation's quota from the sender to the receiver.
struct QuotaGrant
{
    OrganisationName organisation;
    std::uint64_t thousandths = 0;
};

// Maximum number of organisations in one QuotaTransfer.
constexpr std::size_t maxTransferredQuotas = 4096;

// The sender no longer owns the group. Moves its tokens of the quotas that the group holds to the
// next owner.
struct QuotaTransfer
{
    GroupName group;
    // The sender, and its epoch as the owner.
    ProcessId from;
    OwnerEpoch epoch = 0;
    // For this long no tokens of the organisations that are not listed have been spent.
    Duration unspent {0};
    std::vector<QuotaGrant> tokens;
};

using Message =
    std::variant<Hello, Execute, ExecuteResult, Cancel, Heartbeat, HeartbeatAnswer, Locate,
                 LocateAnswer, HandOver, ConfigNotice, ConfigRequest, ConfigAnswer, OperatorRequest,
                 OperatorAnswer, RunStatement, StatementDone, EndTransaction, AliveRequest,
                 AliveAnswer, OwnershipEndRequest, OwnershipEnded, Stopping, TakeOver,
                 SubscribeTables, TableUpdate, QuotaRequest, QuotaGrant, QuotaTransfer>;

} // namespace kelptally::inner
