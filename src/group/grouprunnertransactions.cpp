#include "group/grouprunner.h"

#include "session/statementrules.h"

#include <limits>

// Rollback and cleanup of transactions.
namespace kelptally::group {

using session::commits;

void GroupRunner::endTransaction(inner::LinkId origin, const inner::EndTransaction &end)
{
    rollBack({origin, end.session}, end.beginRequestId);
}

// Rolls back the session's transaction if its first statement's number is at most maxBeginRequest.
void GroupRunner::rollBack(const Origin &origin, inner::RequestId maxBeginRequest)
{
    const auto open = transactions_.find(origin);
    if (open == transactions_.end())
        return cancelBegin(origin, maxBeginRequest);
    if (open->second.beginRequestId > maxBeginRequest)
        return;
    // 1. While a statement is running, only closing the connection ends the transaction. A commit
    // that was sent may have taken effect.
    if (open->second.job) {
        const JobPtr job = open->second.job;
        const bool mayHaveCommitted = job->running && commits(job->statement);
        if (!job->running)
            queue_.remove(job);
        refuse(job, mayHaveCommitted ? Reason::Unconfirmed : Reason::TransactionEnded,
               mayHaveCommitted ? Executed::Unknown : Executed::No,
               "the caller ended the transaction");
        return removeTransaction(origin, true);
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
    std::vector<JobPtr> jobs(queue_.begin(), queue_.end());
    jobs.insert(jobs.end(), running_.begin(), running_.end());
    for (const JobPtr &job : jobs) {
        if (job->origin != origin || job->statement.begins == inner::TransactionMode::None
            || job->statement.requestId > maxBeginRequest)
            continue;
        if (!job->running)
            queue_.remove(job);
        refuse(job, Reason::TransactionEnded, Executed::No, "the caller ended the transaction");
    }
}

void GroupRunner::removeTransaction(const Origin &origin, bool close)
{
    const auto open = transactions_.find(origin);
    if (open == transactions_.end())
        return;
    const Transaction transaction = open->second;
    transactions_.erase(open);
    GroupServer *server = find(transaction.server);
    if (close && server != nullptr)
        server->discard(transaction.connection);
    else if (close)
        transaction.connection->connection->close();
}

void GroupRunner::onEntryDisconnected(inner::LinkId origin)
{
    std::vector<Origin> origins;
    for (const auto &[key, transaction] : transactions_)
        if (key.first == origin)
            origins.push_back(key);
    constexpr auto all = std::numeric_limits<inner::RequestId>::max();
    for (const Origin &key : origins)
        rollBack(key, all);
}

} // namespace kelptally::group
