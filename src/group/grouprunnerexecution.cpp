#include "group/grouprunner.h"

#include "session/statementrules.h"

#include <algorithm>

// Execution of a statement, from sending it to a server to its answer.
namespace kelptally::group {

using session::commits;
using session::continuesTransaction;
using session::isRead;

void GroupRunner::start(const JobPtr &job, GroupServer &server,
                        const PooledConnectionPtr &connection)
{
    job->server = server.id();
    job->connection = connection;
    job->sentAt = parts_.timers.now();
    job->running = true;
    job->waitsForSlot = false;
    ++job->attempts;
    if (job->quota == Job::Quota::Taken) {
        job->quota = Job::Quota::Sent;
        parts_.quotas.onDequeued(job->statement.organisation);
    }
    fairQueuing_.onStart(job->waiting.startTag);
    overload_.onStarted();
    if (job->attempts == 1 && !continuesTransaction(job->statement))
        kindShares_.onStart(kindOf(job->statement), job->waiting.service, job->sentAt);
    server.onSend();
    server.beginWork(*connection, session::mayRepeat(job->statement));
    running_.push_back(job);
    if (job->attempts == 1)
        parts_.times.addQueue(job->sentAt - job->waiting.arrived);
    scheduleSilenceCheck();
    parts_.log.line(LogLevel::Debug, "statement_sent")
        .with("id", job->statement.statementId)
        .with("session", job->statement.session)
        .with("request", job->statement.requestId)
        .with("group", group_)
        .with("server", server.id())
        .with("connection", connection->number)
        .with("needs",
              job->requiredPosition ? positionText(*job->requiredPosition) : std::string("-"))
        .with("shown",
              server.observed.position ? positionText(*server.observed.position) : std::string("-"))
        .with("waited_ms", job->sentAt - job->waiting.arrived);
    if (job->statement.begins != inner::TransactionMode::None)
        sendBegin(job);
    else
        sendStatement(job);
}

// Sends the begin alone: a statement pipelined behind a refused begin would run outside any
// transaction.
void GroupRunner::sendBegin(const JobPtr &job)
{
    std::vector<ServerCommand> batch =
        prepareConnection(*job->connection, job->statement, job->values, false);
    const bool readOnly = job->statement.begins == inner::TransactionMode::ReadOnly;
    if (job->statement.rule == inner::ReadRule::Newest || !readOnly)
        job->requiredPosition = positions_.newest();
    ServerCommand begin;
    begin.kind = readOnly ? CommandKind::BeginReadOnly : CommandKind::Begin;
    begin.after = job->requiredPosition;
    batch.push_back(begin);
    const std::size_t expected = batch.size();
    job->connection->connection->run(std::move(batch),
                                     [this, alive = alive_, job, expected](BatchResult result) {
                                         if (*alive)
                                             onBegun(job, std::move(result), expected);
                                     });
}

void GroupRunner::sendStatement(const JobPtr &job)
{
    const bool inTransaction = job->statement.inTransaction;
    if (!inTransaction && isRead(job->statement) && job->statement.rule == inner::ReadRule::Newest)
        job->requiredPosition = positions_.newest();
    std::vector<ServerCommand> batch =
        prepareConnection(*job->connection, job->statement, job->values, inTransaction);
    const bool positioned = !inTransaction && isRead(job->statement);
    batch.push_back(statementCommand(*job->connection, job->statement,
                                     positioned ? job->requiredPosition : std::nullopt));
    const std::size_t expected = batch.size();
    job->sentAt = parts_.timers.now();
    job->trackedCommit = needsConfirmation(job) && job->server == failoverController_.primary();
    if (job->trackedCommit)
        commits_.sent(job->sentAt);
    if (GroupServer *server = find(job->server))
        server->beginWork(*job->connection, session::mayRepeat(job->statement));
    job->connection->connection->run(std::move(batch),
                                     [this, alive = alive_, job, expected](BatchResult result) {
                                         if (*alive)
                                             onResult(job, std::move(result), expected);
                                     });
}

void GroupRunner::onBegun(const JobPtr &job, BatchResult result, std::size_t expected)
{
    GroupServer *server = find(job->server);
    if (server != nullptr && !result.results.empty()) {
        server->onResponse();
        server->onCommandAnswered(parts_.timers.now() - job->sentAt);
        recordPosition(*server, result.results.back(), job->sentAt);
    }
    parts_.log.line(LogLevel::Debug, "transaction_begun")
        .with("id", job->statement.statementId)
        .with("session", job->statement.session)
        .with("request", job->statement.requestId)
        .with("server", job->server)
        .with("connection", job->connection->number)
        .with("complete", result.results.size() == expected)
        .with("error", result.results.empty() ? std::string() : result.results.back().detail)
        .with("awaited", !job->done);
    if (job->done)
        return release(job, false);
    if (result.results.size() < expected)
        return onConnectionLost(job);
    const CommandResult &begun = result.results.back();
    if (begun.error != ServerError::None)
        return onFailure(job, begun);
    Transaction transaction;
    transaction.server = job->server;
    transaction.connection = job->connection;
    transaction.readOnly = job->statement.begins == inner::TransactionMode::ReadOnly;
    transaction.beginRequestId = job->statement.requestId;
    transaction.job = job;
    begins_.erase(job->origin);
    transactions_[job->origin] = std::move(transaction);
    sendStatement(job);
}

void GroupRunner::onResult(const JobPtr &job, BatchResult result, std::size_t expected)
{
    GroupServer *server = find(job->server);
    if (server != nullptr && !result.results.empty()) {
        server->onResponse();
        const Duration took = parts_.timers.now() - job->sentAt;
        parts_.times.addServer(took);
        serviceTimes_.add(job->statement.objective, job->statement.priority, took);
        recordPosition(*server, result.results.back(), job->sentAt);
    }
    parts_.log.line(LogLevel::Debug, "statement_answered")
        .with("id", job->statement.statementId)
        .with("session", job->statement.session)
        .with("request", job->statement.requestId)
        .with("server", job->server)
        .with("connection", job->connection->number)
        .with("complete", result.results.size() == expected)
        .with("error", result.results.empty() ? std::string() : result.results.back().detail)
        .with("awaited", !job->done);
    // The statement was already answered, at its deadline or because its caller left.
    if (job->done) {
        removeTransactionOf(job);
        return release(job, false);
    }
    if (result.results.size() < expected)
        return onConnectionLost(job);
    if (job->trackedCommit && job->server == failoverController_.primary()) {
        if (decision::isNotExecuted(result.results.back().error))
            commits_.refused();
        else
            commits_.answered(job->sentAt);
    }
    for (std::size_t i = 0; i + 1 < expected; ++i)
        if (result.results[i].error != ServerError::None)
            return onFailure(job, result.results[i]);
    const CommandResult &answer = result.results.back();
    if (answer.error != ServerError::None)
        return onFailure(job, answer);
    if (server != nullptr)
        server->onStatementAnswered(parts_.timers.now() - job->sentAt);
    succeed(job, answer);
}

// Updates the server's known position and lag from an answer.
void GroupRunner::recordPosition(GroupServer &server, const CommandResult &result, Instant sent)
{
    if (!result.position)
        return;
    const Position position = *result.position;
    if (!server.observed.position || *server.observed.position < position
        || position.term != server.observed.position->term)
        server.observed.position = position;
    server.observed.positionAt = parts_.timers.now();
    if (result.error == ServerError::None)
        server.observed.laggingBackoff = Duration(0);
    if (server.id() == failoverController_.primary()) {
        positions_.add(sent, position);
        server.observed.lag = Duration(0);
        return;
    }
    const auto firstSeenAt = positions_.firstSeen({position.term, position.offset + 1});
    const Duration behind = firstSeenAt ? std::max(Duration(0), sent - *firstSeenAt) : Duration(0);
    // Rises at once and decays exponentially.
    server.observed.lag = behind > server.observed.lag
        ? behind
        : server.observed.lag - (server.observed.lag - behind) / 8;
}

void GroupRunner::succeed(const JobPtr &job, const CommandResult &result)
{
    const bool isCommit = commits(job->statement);
    inner::StatementDone done;
    // An answer received after the lease ended, or after the server ceased to be the primary, may
    // come from a replaced primary, whose commit its successor does not have.
    Transaction *transaction = transactionOf(job);
    const bool onlyRead = transaction != nullptr && transaction->readOnly;
    const bool hasLease = parts_.ownership.hasLease(group_);
    const bool notPrimary = !onlyRead && job->server != failoverController_.primary();
    if (isCommit && (!hasLease || notPrimary)) {
        done.reason = hasLease ? Reason::Unconfirmed : Reason::LeaseLost;
        done.executed = Executed::Unknown;
        done.detail = hasLease ? "the server ceased to be the primary before the answer arrived"
                               : "the owner's lease ended before the answer arrived";
        release(job, false);
        removeTransactionOf(job);
        return finish(job, std::move(done));
    }
    done.executed = Executed::Yes;
    done.rows = result.rows;
    done.signature = result.signature;
    const bool verify = isCommit && !onlyRead && failoverController_.mayBeReplaced();
    if (isCommit && result.position) {
        done.position = result.position;
        if (!onlyRead && !verify)
            failoverController_.onAcknowledged(*result.position, countConcurrentCommits(job));
    }
    if (job->statement.inTransaction) {
        const bool ended = job->statement.verb == inner::SessionVerb::Commit;
        if (transaction != nullptr) {
            transaction->job = nullptr;
            transaction->wrote =
                transaction->wrote || job->statement.verb == inner::SessionVerb::Write;
        }
        if (transaction != nullptr && ended)
            transactions_.erase(job->origin);
        release(job, ended && result.idle);
    } else {
        release(job, result.idle);
    }
    if (!verify)
        return finish(job, std::move(done));
    job->unverified = true;
    unverified_.push_back({parts_.timers.now(), job, std::move(done)});
}

decision::FailedStatement GroupRunner::failedStatement(const JobPtr &job) const
{
    decision::FailedStatement statement;
    statement.read = isRead(job->statement);
    statement.commit = job->statement.verb == inner::SessionVerb::Commit;
    statement.autocommit = !job->statement.inTransaction;
    statement.begins = job->statement.begins != inner::TransactionMode::None;
    statement.inTransaction = continuesTransaction(job->statement) || transactionOf(job) != nullptr;
    statement.attempts = job->attempts;
    return statement;
}

void GroupRunner::applyRetryDecision(const JobPtr &job,
                                     const decision::RetryDecision &retryDecision,
                                     const std::string &detail)
{
    if (retryDecision.sendAgain)
        return retry(job, retryDecision.reason, retryDecision.delay);
    refuse(job, retryDecision.reason, retryDecision.executed, detail);
}

// Handles an error answer to the statement or to a command sent before it.
void GroupRunner::onFailure(const JobPtr &job, const CommandResult &result)
{
    GroupServer *server = find(job->server);
    const Instant now = parts_.timers.now();
    // 1. Update the server's state for the next selection.
    if (server != nullptr && result.error == ServerError::Busy)
        server->onStatementBusy();
    if (server != nullptr && result.error == ServerError::Lagging) {
        server->onCommandAnswered(now - job->sentAt);
        server->observed.laggingBackoff =
            decision::nextLaggingBackoff(server->observed.laggingBackoff);
        server->observed.laggingUntil = now + server->observed.laggingBackoff;
        if (server->id() == failoverController_.primary())
            positions_.clear();
    }
    if (result.error == ServerError::ReadOnly)
        failoverController_.onReadOnly(job->server);
    // 2. Decide whether to retry the statement.
    decision::FailedStatement statement = failedStatement(job);
    statement.error = result.error;
    statement.transactionStillOpen = result.inTransaction;
    const decision::RetryDecision retryDecision = decision::onServerError(statement);
    // 3. Keep the connection for an open transaction; otherwise reuse it if its state is known.
    if (statement.inTransaction) {
        // Frees the slot in any case.
        release(job, false);
        if (retryDecision.endsTransaction)
            removeTransactionOf(job);
        // The transaction is already open, so a retry sends only the statement.
        if (retryDecision.sendAgain)
            job->statement.begins = inner::TransactionMode::None;
        return applyRetryDecision(job, retryDecision, result.detail);
    }
    if (result.error == ServerError::UnknownStatement)
        job->connection->prepared.clear();
    release(job, decision::isNotExecuted(result.error) && result.idle);
    if (retryDecision.sendAgain)
        job->failedServers.insert(job->server);
    applyRetryDecision(job, retryDecision, result.detail);
}

void GroupRunner::onConnectionLost(const JobPtr &job)
{
    const decision::RetryDecision retryDecision = decision::onAnswerLost(failedStatement(job));
    parts_.log.info("server_answer_lost")
        .with("id", job->statement.statementId)
        .with("group", group_)
        .with("server", job->server)
        .with("read", isRead(job->statement));
    const ServerName server = job->server;
    if (session::commits(job->statement))
        untrackedCommitsAt_ = parts_.timers.now();
    release(job, false);
    removeTransactionOf(job);
    onConnectionFailure(server, ConnectOutcome::Failed);
    if (retryDecision.sendAgain)
        job->failedServers.insert(server);
    applyRetryDecision(job, retryDecision,
                       retryDecision.executed == Executed::Unknown
                           ? "the server's answer was lost"
                           : "the transaction's connection was lost");
}

// Frees the slot, and the connection unless it is pinned by an open transaction.
void GroupRunner::release(const JobPtr &job, bool reusable)
{
    if (!job->running)
        return;
    job->running = false;
    running_.erase(std::find(running_.begin(), running_.end(), job));
    GroupServer *server = find(job->server);
    if (server == nullptr)
        return;
    server->endWork(*job->connection);
    const auto open = transactions_.find(job->origin);
    const bool pinned = open != transactions_.end() && open->second.connection == job->connection;
    if (!pinned && reusable)
        server->giveBack(job->connection);
    else if (!pinned)
        server->discard(job->connection);
    if (!pinned)
        job->connection = nullptr;
    scheduleDispatch();
}

void GroupRunner::retry(const JobPtr &job, Reason reason, Duration delay)
{
    parts_.metrics.countRetry(reason);
    parts_.log.line(LogLevel::Debug, "statement_retry", reasonInfo(reason).name)
        .with("id", job->statement.statementId)
        .with("group", group_)
        .with("server", job->server)
        .with("attempt", job->attempts);
    const Instant now = parts_.timers.now();
    if (!active_ && !continuesTransaction(job->statement))
        return refuse(job, Reason::NotOwner, Executed::No, "the group has another owner");
    job->notBefore = now + delay;
    if (job->quota == Job::Quota::Sent) {
        job->quota = Job::Quota::Taken;
        parts_.quotas.onQueued(job->statement.organisation);
    }
    enqueue(job);
    scheduleDispatch();
}

void GroupRunner::refuse(const JobPtr &job, Reason reason, Executed executed,
                         const std::string &detail, Duration retryAfter)
{
    inner::StatementDone done;
    done.reason = reason;
    done.executed = executed;
    done.detail = detail;
    done.retryAfter = retryAfter;
    finish(job, std::move(done));
}

void GroupRunner::finish(const JobPtr &job, inner::StatementDone done)
{
    if (job->done)
        return;
    job->done = true;
    const auto begin = begins_.find(job->origin);
    if (begin != begins_.end() && begin->second == job)
        begins_.erase(begin);
    parts_.timers.cancel(job->timer);
    if (job->quota == Job::Quota::Taken && job->attempts == 0)
        parts_.quotas.giveBack(job->statement.organisation);
    else if (job->quota == Job::Quota::Taken)
        parts_.quotas.onDequeued(job->statement.organisation);
    if (job->attempts == 0 && job->isFairQueued)
        fairQueuing_.onWithdrawn(job->statement.organisation, job->waiting.service);
    done.requestId = job->statement.requestId;
    // The entry needs the log position for its local reads.
    if (active_ && positions_.newest()) {
        done.logPosition = positions_.newest();
        done.logAge = parts_.timers.now() - positions_.newestProbeTime();
    }
    const auto callback = std::move(job->callback);
    job->callback = nullptr;
    callback(std::move(done));
}

} // namespace kelptally::group
