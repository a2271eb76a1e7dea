#pragma once

#include <string_view>
#include <vector>

namespace kelptally {

// Whether a request was executed at the database, as far as known when it is answered.
enum class Executed {
    No,
    Yes,
    Unknown,
};

// Why a request was refused or failed. The names are part of the public interface: their meaning
// never changes. Each has a counter, a row in docs/METRICS.md and a text for `kelptallyctl
// explain`.
enum class Reason {
    None,
    // Request.
    MalformedRequest,
    RequestTooLarge,
    RequestTooSlow,
    RequestTruncated,
    UnknownPath,
    Unauthenticated,
    Forbidden,
    UnknownGroup,
    UnknownKind,
    KeyRequired,
    KeyReused,
    KeyExpired,
    StatementFailed,
    // Session token.
    TokenInvalid,
    TokenTooLarge,
    PositionLost,
    PositionNotReached,
    // Limits.
    DeadlineTooShort,
    DeadlineExceeded,
    QueueFull,
    RingFull,
    TeamLimit,
    ConnectionLimit,
    RetryBudgetSpent,
    // Owners, primaries and replicas.
    NoOwner,
    NotOwner,
    LeaseLost,
    OwnerUnreachable,
    NoPrimary,
    PrimaryBudgetSpent,
    ReplicaTooStale,
    Unconfirmed,
    Fenced,
    Draining,
    // Transactions.
    UnknownTransaction,
    TransactionEnded,
    TransactionIdle,
    TransactionBusy,
    // Peer protocol and platform.
    PeerRefused,
    StoreUnavailable,
    VersionConflict,
    InvalidConfiguration,
    // A bug in kelptally.
    Internal,
    // Organisation quotas.
    QuotaExceeded,
};

// Static properties of a reason.
struct ReasonInfo
{
    Reason reason;
    // Stable name in callers' answers, metrics and logs, in snake case.
    std::string_view name;
    // HTTP status code.
    int httpStatus;
    // Default for answers that do not state whether the request was executed.
    Executed executed;
    // Whether the same request may succeed on a retry.
    bool retryable;
    // Cause and remedy, for callers and operators.
    std::string_view explanation;
};

const ReasonInfo &reasonInfo(Reason reason);

// Looks up a reason by its stable name; Reason::None for an unknown name.
Reason reasonFromName(std::string_view name);

// All reasons except None, in the order of the enumeration.
const std::vector<ReasonInfo> &allReasons();

std::string_view executedName(Executed executed);

} // namespace kelptally
