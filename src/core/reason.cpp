#include "core/reason.h"

#include <algorithm>
#include <cassert>

namespace kelptally {

namespace {

constexpr auto no = Executed::No;
constexpr auto yes = Executed::Yes;
constexpr auto unknown = Executed::Unknown;

const std::vector<ReasonInfo> &table()
{
    static const std::vector<ReasonInfo> rows = {
        {Reason::None, "none", 200, yes, false, "The request was executed."},
        {Reason::MalformedRequest, "malformed_request", 400, no, false,
         "The request is not valid HTTP, JSON, or lacks a field; the detail names the place."},
        {Reason::RequestTooLarge, "request_too_large", 413, no, false,
         "Header or body is over the limit; send less or split the request."},
        {Reason::RequestTooSlow, "request_too_slow", 408, no, true,
         "The request did not arrive whole within the time limit."},
        {Reason::RequestTruncated, "request_truncated", 400, no, true,
         "The connection ended before the request was whole."},
        {Reason::UnknownPath, "unknown_path", 404, no, false,
         "There is no such path or method; see docs/CALLERS.md."},
        {Reason::Unauthenticated, "unauthenticated", 401, no, false,
         "The key is missing or not known."},
        {Reason::Forbidden, "forbidden", 403, no, false,
         "The key's team may not touch this database group, request kind or operation."},
        {Reason::UnknownGroup, "unknown_group", 404, no, false,
         "The configuration in force has no such database group."},
        {Reason::UnknownKind, "unknown_kind", 400, no, false,
         "The configuration in force has no such request kind."},
        {Reason::KeyRequired, "key_required", 400, no, false,
         "A request that must not run twice needs an Idempotency-Key header."},
        {Reason::KeyReused, "key_reused", 422, no, false,
         "The idempotency key was used before for a different request."},
        {Reason::KeyExpired, "key_expired", 410, unknown, false,
         "The idempotency key is too old; its record may be gone, so the request is not run."},
        {Reason::StatementFailed, "statement_failed", 422, no, false,
         "The database refused the statement; the detail holds its message and SQLSTATE."},
        {Reason::TokenInvalid, "token_invalid", 400, no, false,
         "The session token was altered, cut short, or signed with another key."},
        {Reason::TokenTooLarge, "token_too_large", 400, no, false,
         "The session token is over the size limit or names too many database groups."},
        {Reason::PositionLost, "position_lost", 409, no, false,
         "A forced promotion lost work that this session has seen; start a new session."},
        {Reason::PositionNotReached, "position_not_reached", 503, no, true,
         "No server that may answer has reached the session's position in time."},
        {Reason::DeadlineTooShort, "deadline_too_short", 503, no, true,
         "The request cannot finish before its deadline given the queue; it was not started."},
        {Reason::DeadlineExceeded, "deadline_exceeded", 504, unknown, true,
         "The deadline passed after the request was started."},
        {Reason::QueueFull, "queue_full", 503, no, true,
         "The queue of this database group and class is full."},
        {Reason::RingFull, "ring_full", 503, no, true,
         "The proxy has more work than its threads can pass on."},
        {Reason::TeamLimit, "team_limit", 429, no, true,
         "The team has its whole share of requests in progress."},
        {Reason::ConnectionLimit, "connection_limit", 503, no, true,
         "The proxy has as many callers' connections as it may."},
        {Reason::RetryBudgetSpent, "retry_budget_spent", 503, no, true,
         "The request could be retried, but too many retries are under way already."},
        {Reason::NoOwner, "no_owner", 503, no, true,
         "No process owns the database group at the moment."},
        {Reason::NotOwner, "not_owner", 503, no, true,
         "The asked process does not own the database group (any more)."},
        {Reason::LeaseLost, "lease_lost", 503, no, true,
         "The owner's lease has lapsed; a successor takes over."},
        {Reason::OwnerUnreachable, "owner_unreachable", 503, no, true,
         "The owner of the database group does not answer."},
        {Reason::NoPrimary, "no_primary", 503, no, true,
         "The database group has no primary at the moment; a promotion is under way."},
        {Reason::PrimaryBudgetSpent, "primary_budget_spent", 503, no, true,
         "No replica qualifies, and the primary's share for such reads is used up."},
        {Reason::ReplicaTooStale, "replica_too_stale", 503, no, true,
         "No server can answer within the stated age at the moment."},
        {Reason::Unconfirmed, "unconfirmed", 504, unknown, true,
         "The write was not confirmed by a majority in time; repeat it with the same key."},
        {Reason::Fenced, "fenced", 503, no, true,
         "The database refused the write of an owner that has been replaced."},
        {Reason::Draining, "draining", 503, no, true,
         "The process is stopping and takes no new work."},
        {Reason::UnknownTransaction, "unknown_transaction", 404, no, false,
         "There is no such transaction, or it ended a while ago."},
        {Reason::TransactionEnded, "transaction_ended", 409, no, false,
         "The transaction was rolled back because its owner or connection was lost."},
        {Reason::TransactionIdle, "transaction_idle", 409, no, false,
         "The transaction was rolled back because it was idle for too long."},
        {Reason::TransactionBusy, "transaction_busy", 409, no, true,
         "A statement of this transaction is still running; send them one after another."},
        {Reason::PeerRefused, "peer_refused", 503, no, true,
         "Another process of ours speaks a protocol version or has a key that does not match."},
        {Reason::StoreUnavailable, "store_unavailable", 503, no, true,
         "The platform's table service or object store does not answer."},
        {Reason::VersionConflict, "version_conflict", 409, no, false,
         "The configuration was changed by somebody else; look at the newest version first."},
        {Reason::InvalidConfiguration, "invalid_configuration", 422, no, false,
         "The configuration has mistakes; the findings list each with its place."},
        {Reason::Internal, "internal", 500, unknown, false,
         "A fault in kelptally itself; the log has more."},
        {Reason::QuotaExceeded, "quota_exceeded", 429, no, true,
         "The organisation has used up what it may ask of all hosts together for the moment."},
    };
    return rows;
}

} // namespace

const ReasonInfo &reasonInfo(Reason reason)
{
    const ReasonInfo &info = table().at(static_cast<std::size_t>(reason));
    assert(info.reason == reason);
    return info;
}

Reason reasonFromName(std::string_view name)
{
    const auto &rows = table();
    const auto found = std::find_if(rows.begin(), rows.end(),
                                    [name](const ReasonInfo &row) { return row.name == name; });
    return found == rows.end() ? Reason::None : found->reason;
}

const std::vector<ReasonInfo> &allReasons()
{
    static const std::vector<ReasonInfo> rows(table().begin() + 1, table().end());
    return rows;
}

std::string_view executedName(Executed executed)
{
    switch (executed) {
    case Executed::No:
        return "no";
    case Executed::Yes:
        return "yes";
    case Executed::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace kelptally
