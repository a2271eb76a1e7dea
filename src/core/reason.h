#pragma once

#include <string_view>
#include <vector>

namespace kelptally {

// What is known of a request's work at the database when its answer is given.
enum class Executed {
    No,
    Yes,
    Unknown,
};

// Why a request was refused or failed. The names are part of the callers' interface: they never
// change meaning, and each has a counter, a row in docs/METRICS.md and a text for
// `kelptallyctl explain`.
enum class Reason {
    None,
    // The request itself.
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
    // The session token.
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
    // The inner protocol and the platform.
    PeerRefused,
    StoreUnavailable,
    VersionConflict,
    InvalidConfiguration,
    // A fault of our own.
    Internal,
    // Limits of organisations.
    QuotaExceeded,
};

// The fixed facts of one reason.
struct ReasonInfo
{
    Reason reason;
    // Stable name as callers, metrics and logs show it, in snake case.
    std::string_view name;
    // Status of the HTTP answer.
    int httpStatus;
    // What it says of the work, unless the answer knows better.
    Executed executed;
    // Whether the same request may succeed when it is sent again.
    bool retryable;
    // What happened and what to do, for callers and operators.
    std::string_view explanation;
};

const ReasonInfo &reasonInfo(Reason reason);

// Reason of a stable name; Reason::None when there is no such name.
Reason reasonFromName(std::string_view name);

// All reasons but None, in the order of the enumeration.
const std::vector<ReasonInfo> &allReasons();

std::string_view executedName(Executed executed);

} // namespace kelptally
