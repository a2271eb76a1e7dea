#include "decision/statementretry.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

constexpr int maxAttempts = 8;
// Roughly the time after which a slot is free again.
constexpr Duration busyDelay = std::chrono::milliseconds(8);
// Exponential backoff of a lagging replica. The maximum bounds how long a replica is still avoided
// after it has caught up. Replicas are usually some 10 ms behind.
constexpr Duration minLaggingDelay = std::chrono::milliseconds(10);
constexpr Duration maxLaggingDelay = std::chrono::milliseconds(160);
// Leaves time to find the new primary.
constexpr Duration readOnlyDelay = std::chrono::milliseconds(20);

RetryDecision sendAgain(Reason reason, Duration delay = {})
{
    RetryDecision result;
    result.sendAgain = true;
    result.reason = reason;
    result.delay = delay;
    return result;
}

RetryDecision refused(Reason reason, Executed executed, bool endsTransaction = false)
{
    RetryDecision result;
    result.reason = reason;
    result.executed = executed;
    result.endsTransaction = endsTransaction;
    return result;
}

// A statement is sent again only if the server was busy and kept the transaction open. Other errors
// end the transaction, and a commit that was executed may have taken effect.
RetryDecision inTransaction(const FailedStatement &statement)
{
    if (statement.error == ServerError::Busy && statement.transactionStillOpen)
        return sendAgain(Reason::QueueFull, busyDelay);
    const bool wasExecuted = !isNotExecuted(statement.error);
    if (statement.commit && wasExecuted)
        return refused(Reason::Unconfirmed, Executed::Unknown, true);
    const bool statementFailed = statement.error == ServerError::Failed;
    return refused(statementFailed ? Reason::StatementFailed : Reason::TransactionEnded,
                   Executed::No, true);
}

} // namespace

bool isNotExecuted(ServerError error)
{
    return error == ServerError::Busy || error == ServerError::Lagging
        || error == ServerError::ReadOnly || error == ServerError::UnknownStatement;
}

RetryDecision onServerError(const FailedStatement &statement)
{
    if (statement.inTransaction)
        return inTransaction(statement);
    const bool notExecuted = isNotExecuted(statement.error);
    const bool mayRepeat = statement.read || statement.begins;
    if (notExecuted || (mayRepeat && statement.attempts < maxAttempts)) {
        switch (statement.error) {
        case ServerError::Busy:
            return sendAgain(Reason::QueueFull);
        case ServerError::Lagging:
            return sendAgain(Reason::PositionNotReached);
        case ServerError::ReadOnly:
            return sendAgain(Reason::NoPrimary, readOnlyDelay);
        default:
            return sendAgain(Reason::StatementFailed);
        }
    }
    if (statement.error == ServerError::TimedOut)
        return refused(Reason::DeadlineExceeded, statement.read ? Executed::No : Executed::Unknown);
    if (statement.error == ServerError::Other && !statement.read)
        return refused(Reason::Unconfirmed, Executed::Unknown);
    return refused(Reason::StatementFailed, statement.read ? Executed::No : Executed::Yes);
}

RetryDecision onAnswerLost(const FailedStatement &statement)
{
    const bool mayRepeat =
        (statement.autocommit && statement.read) || (statement.begins && !statement.commit);
    if (mayRepeat && statement.attempts < maxAttempts)
        return sendAgain(Reason::Unconfirmed);
    const bool mayBeCommitted = statement.commit || (statement.autocommit && !statement.read);
    if (mayBeCommitted)
        return refused(Reason::Unconfirmed, Executed::Unknown, true);
    return refused(Reason::TransactionEnded, Executed::No, true);
}

Duration busyBackoff()
{
    return busyDelay;
}

Duration nextLaggingBackoff(Duration last)
{
    return std::clamp(2 * last, minLaggingDelay, maxLaggingDelay);
}

} // namespace kelptally::decision
