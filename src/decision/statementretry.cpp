#include "decision/statementretry.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// A read that met so many failing servers is refused. Chosen, not measured.
constexpr int maxAttempts = 8;
// A slot is free again after some milliseconds of work.
constexpr Duration afterBusy = std::chrono::milliseconds(8);
// Replicas are usually some 10 ms behind; the first read after a lag waits for no more than the
// longest pause.
constexpr Duration afterBehind = std::chrono::milliseconds(10);
constexpr Duration longestAfterBehind = std::chrono::milliseconds(160);
// The primary is looked for meanwhile.
constexpr Duration afterReadOnly = std::chrono::milliseconds(20);

bool isNotRun(ServerError error)
{
    return error == ServerError::Busy || error == ServerError::Lagging
        || error == ServerError::ReadOnly || error == ServerError::UnknownStatement;
}

Verdict again(Reason reason, Duration pause = {})
{
    Verdict verdict;
    verdict.again = true;
    verdict.reason = reason;
    verdict.pause = pause;
    return verdict;
}

Verdict refused(Reason reason, Executed executed, bool endsTransaction = false)
{
    Verdict verdict;
    verdict.reason = reason;
    verdict.executed = executed;
    verdict.endsTransaction = endsTransaction;
    return verdict;
}

// A statement that was only refused can be sent again; any other error ends the transaction, and a
// commit that ran may have taken effect.
Verdict inTransaction(const FailedStatement &statement)
{
    if (statement.error == ServerError::Busy && statement.stillOpen)
        return again(Reason::QueueFull, afterBusy);
    const bool ran = !isNotRun(statement.error);
    if (statement.commit && ran)
        return refused(Reason::Unconfirmed, Executed::Unknown, true);
    const bool plain = statement.error == ServerError::Failed;
    return refused(plain ? Reason::StatementFailed : Reason::TransactionEnded, Executed::No, true);
}

} // namespace

Verdict onServerError(const FailedStatement &statement)
{
    if (statement.inTransaction)
        return inTransaction(statement);
    const bool notRun = isNotRun(statement.error);
    const bool repeats = statement.read || statement.begins;
    if (notRun || (repeats && statement.attempts < maxAttempts)) {
        switch (statement.error) {
        case ServerError::Busy:
            return again(Reason::QueueFull);
        case ServerError::Lagging:
            return again(Reason::PositionNotReached);
        case ServerError::ReadOnly:
            return again(Reason::NoPrimary, afterReadOnly);
        default:
            return again(Reason::StatementFailed);
        }
    }
    if (statement.error == ServerError::TimedOut)
        return refused(Reason::DeadlineExceeded, statement.read ? Executed::No : Executed::Unknown);
    return refused(Reason::StatementFailed, statement.read ? Executed::No : Executed::Yes);
}

Verdict onAnswerLost(const FailedStatement &statement)
{
    const bool repeats =
        (statement.single && statement.read) || (statement.begins && !statement.commit);
    if (repeats && statement.attempts < maxAttempts)
        return again(Reason::Unconfirmed);
    const bool mayStay = statement.commit || (statement.single && !statement.read);
    if (mayStay)
        return refused(Reason::Unconfirmed, Executed::Unknown, true);
    return refused(Reason::TransactionEnded, Executed::No, true);
}

Duration busyPause()
{
    return afterBusy;
}

Duration nextBehindPause(Duration last)
{
    return std::clamp(2 * last, afterBehind, longestAfterBehind);
}

} // namespace kelptally::decision
