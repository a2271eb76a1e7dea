#include "group/grouprunner.h"

#include "session/statementrules.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

// Rollback and cleanup of transactions.
namespace kelptally::group {

using session::commits;

void GroupRunner::endTransaction(inner::LinkId origin, const inner::EndTransaction &end)
{
    rollBack({origin, end.session}, end.beginRequestId);
}

// Takes over the newer number of the session's first statement for its copy that is queued or
// running, instead of running it twice. The entry no longer waits for the older number.
bool GroupRunner::replaceCopy(const Origin &origin, const inner::RunStatement &statement,
                              session::DoneCallback &callback)
{
    JobPtr job;
    const auto begin = begins_.find(origin);
    const auto open = transactions_.find(origin);
    if (begin != begins_.end())
        job = begin->second;
    else if (open != transactions_.end())
        job = open->second.job;
    if (!active_ || !job || !session::isCopy(job->statement, statement))
        return false;
    // 1. Give the copy the newer number and the time left of the statement.
    inner::StatementDone replaced;
    replaced.requestId = std::exchange(job->statement.requestId, statement.requestId);
    if (Transaction *transaction = transactionOf(job))
        transaction->beginRequestId = statement.requestId;
    const decision::WaitingStatement newer = decision::makeWaitingStatement(
        parts_.timers.now(), statement.objective, statement.timeLeft, statement.priority, false);
    job->waiting.deadline = std::min(job->waiting.deadline, newer.deadline);
    job->waiting.queueDeadline = std::min(job->waiting.queueDeadline, newer.queueDeadline);
    parts_.timers.cancel(job->timer);
    job->timer = parts_.timers.subscribeAt(job->waiting.queueDeadline, [this, alive = alive_, job] {
        if (*alive)
            onQueueTimeout(job);
    });
    parts_.log.info("statement_replaced")
        .with("id", statement.statementId)
        .with("group", group_)
        .with("session", statement.session)
        .with("request", statement.requestId)
        .with("replaces", replaced.requestId)
        .with("running", job->running);
    // 2. Answer the older number, whose answer is no longer kept for the entry.
    replaced.reason = Reason::Unconfirmed;
    replaced.executed = Executed::Unknown;
    replaced.detail = "the statement was sent again";
    const auto olderCallback = std::exchange(job->callback, std::move(callback));
    olderCallback(std::move(replaced));
    return true;
}

// Rolls back the session's transaction, open or not yet begun, if the number of its first statement
// is at most maxBeginRequest.
void GroupRunner::rollBack(const Origin &origin, inner::RequestId maxBeginRequest)
{
    cancelBegin(origin, maxBeginRequest);
    const auto open = transactions_.find(origin);
    if (open == transactions_.end() || open->second.beginRequestId > maxBeginRequest)
        return;
    // 1. While a statement is running, only closing the connection ends the transaction. A commit
    // that was sent may have taken effect.
    if (open->second.job) {
        const JobPtr job = open->second.job;
        const bool mayHaveCommitted = job->running && commits(job->statement);
        if (mayHaveCommitted)
            untrackedCommitsAt_ = parts_.timers.now();
        if (!job->running)
            queue_.remove(job);
        refuse(job, mayHaveCommitted ? Reason::Unconfirmed : Reason::TransactionEnded,
               mayHaveCommitted ? Executed::Unknown : Executed::No,
               "the caller ended the transaction");
        return removeTransaction(origin);
    }
    // 2. Otherwise roll back and reuse the connection.
    const Transaction transaction = open->second;
    transactions_.erase(open);
    GroupServer *server = find(transaction.server);
    if (server == nullptr || !transaction.connection->connection->isOpen()) {
        if (server != nullptr)
            server->discard(transaction.connection);
        return;
    }
    ServerCommand command;
    command.kind = CommandKind::Rollback;
    server->onSend();
    transaction.connection->connection->run(
        {command}, [this, alive = alive_, transaction](BatchResult result) {
            GroupServer *server = *alive ? find(transaction.server) : nullptr;
            if (server == nullptr)
                return;
            const bool clean = !result.lost && !result.results.empty()
                && result.results[0].error == ServerError::None && result.results[0].idle;
            if (clean)
                server->giveBack(transaction.connection);
            else
                server->discard(transaction.connection);
            scheduleDispatch();
        });
}

// Cancels a transaction that has not begun yet, as its caller no longer waits for it.
void GroupRunner::cancelBegin(const Origin &origin, inner::RequestId maxBeginRequest)
{
    const auto begin = begins_.find(origin);
    if (begin == begins_.end() || begin->second->statement.requestId > maxBeginRequest)
        return;
    const JobPtr job = begin->second;
    if (!job->running)
        queue_.remove(job);
    refuse(job, Reason::TransactionEnded, Executed::No, "the caller ended the transaction");
}

// Closes the connection of the session's transaction.
void GroupRunner::removeTransaction(const Origin &origin)
{
    const auto open = transactions_.find(origin);
    if (open == transactions_.end())
        return;
    const Transaction transaction = open->second;
    transactions_.erase(open);
    if (GroupServer *server = find(transaction.server))
        server->discard(transaction.connection);
    else
        transaction.connection->connection->close();
}

void GroupRunner::removeTransactionOf(const JobPtr &job)
{
    if (transactionOf(job) != nullptr)
        removeTransaction(job->origin);
}

// Returns the open transaction whose queued or running statement this is, or null. The session may
// have another one since.
const GroupRunner::Transaction *GroupRunner::transactionOf(const JobPtr &job) const
{
    const auto open = transactions_.find(job->origin);
    return open != transactions_.end() && open->second.job == job ? &open->second : nullptr;
}

GroupRunner::Transaction *GroupRunner::transactionOf(const JobPtr &job)
{
    return const_cast<Transaction *>(std::as_const(*this).transactionOf(job));
}

void GroupRunner::onEntryDisconnected(inner::LinkId origin)
{
    std::set<Origin> sessions;
    for (const auto &[session, job] : begins_)
        if (session.first == origin)
            sessions.insert(session);
    for (const auto &[session, transaction] : transactions_)
        if (session.first == origin)
            sessions.insert(session);
    constexpr auto all = std::numeric_limits<inner::RequestId>::max();
    for (const Origin &session : sessions)
        rollBack(session, all);
}

} // namespace kelptally::group
