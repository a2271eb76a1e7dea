#include "group/grouprunner.h"

// The ends of transactions other than by a commit.
namespace kelptally::group {

void GroupRunner::endTransaction(inner::LinkId origin, std::uint64_t session)
{
    rollBack({origin, session});
}

void GroupRunner::rollBack(const Origin &origin)
{
    const auto open = transactions_.find(origin);
    if (open == transactions_.end())
        return giveUpBegin(origin);
    // 1. While a statement runs in it, only the end of the connection ends it.
    if (open->second.job) {
        const JobPtr job = open->second.job;
        if (!job->running)
            queue_.remove(job);
        refuse(job, Reason::TransactionEnded, Executed::No, "the caller ended the transaction");
        return forgetTransaction(origin, true);
    }
    // 2. Otherwise the connection is rolled back and used again.
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
    server->sent();
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
            pumpSoon();
        });
}

// The transaction has not begun yet; it must not do so for nobody.
void GroupRunner::giveUpBegin(const Origin &origin)
{
    std::vector<JobPtr> jobs(queue_.begin(), queue_.end());
    jobs.insert(jobs.end(), running_.begin(), running_.end());
    for (const JobPtr &job : jobs) {
        if (job->origin != origin || job->statement.begins == inner::TransactionMode::None)
            continue;
        if (!job->running)
            queue_.remove(job);
        refuse(job, Reason::TransactionEnded, Executed::No, "the caller ended the transaction");
    }
}

void GroupRunner::forgetTransaction(const Origin &origin, bool close)
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

void GroupRunner::onOriginGone(inner::LinkId origin)
{
    std::vector<Origin> gone;
    for (const auto &[key, transaction] : transactions_)
        if (key.first == origin)
            gone.push_back(key);
    for (const Origin &key : gone)
        rollBack(key);
}

} // namespace kelptally::group
