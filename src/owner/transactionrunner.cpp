#include "owner/transactionrunner.h"

#include "owner/ownermetrics.h"
#include "owner/statementerror.h"

#include <random>

namespace kelptally::owner {

using decision::TransactionId;
using inner::StatementStep;

namespace {

constexpr Duration retryAfterRefusal = std::chrono::milliseconds(300);

// Transaction ids must not be guessable.
std::uint64_t randomSeed()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32) | source();
}

} // namespace

struct TransactionRunner::PinnedTransaction
{
    TransactionId id;
    ConnectionPtr connection;
    ServerName server;
    Term term = 0;
};

struct TransactionRunner::Step
{
    RequestPtr request;
    std::optional<TransactionId> id;
    ServerName server;
    Term term = 0;
    decision::Work work;
    bool queued = false;
    bool sent = false;
    Instant sentAt;
    decision::WriteId confirmation = 0;
    inner::ExecuteResult result;

    StatementStep kind() const { return request->execute.step; }
};

TransactionRunner::TransactionRunner(GroupContext &context, ConfirmationWaits &confirmations,
                                     WriteRunner &writes)
    : context_(context), confirmations_(confirmations), writes_(writes)
{ }

TransactionRunner::~TransactionRunner() = default;

void TransactionRunner::start(OwnerEpoch epoch)
{
    transactions_ = std::make_unique<decision::Transactions>(
        context_.group, context_.ports.self.address, epoch, randomSeed(),
        context_.limits().transactionIdle, context_.servers.transactionLimit());
}

void TransactionRunner::run(const RequestPtr &request)
{
    auto step = std::make_shared<Step>();
    step->request = request;
    steps_.emplace(request->number, step);
    if (!transactions_ || !context_.ownership.holdsLease())
        refuse(step, {Reason::LeaseLost, "", Executed::No, retryAfterRefusal, ""});
    else if (step->kind() == StatementStep::Begin)
        begin(step);
    else
        enter(step);
}

void TransactionRunner::begin(const StepPtr &step)
{
    const std::optional<Term> term = context_.primaryTerm();
    ServerExecutor *executor =
        term ? context_.servers.executor(*context_.failover.decision()->primary()) : nullptr;
    if (!executor) {
        refuse(step, {Reason::NoPrimary, "", Executed::No, retryAfterRefusal, ""});
        return;
    }
    step->id = transactions_->begin(context_.now(), step->request->execute.team);
    if (!step->id) {
        refuse(
            step,
            {Reason::QueueFull, "too many open transactions", Executed::No, retryAfterRefusal, ""});
        return;
    }
    transactions_->enter(context_.now(), *step->id, step->request->execute.team);
    step->term = *term;
    submit(step, *executor, nullptr);
}

void TransactionRunner::enter(const StepPtr &step)
{
    const auto id = TransactionId::fromText(step->request->execute.transaction);
    if (!id) {
        onEnterRefused(step, Reason::UnknownTransaction);
        return;
    }
    const Reason reason = transactions_->enter(context_.now(), *id, step->request->execute.team);
    step->id = id;
    if (reason != Reason::None) {
        onEnterRefused(step, reason);
        return;
    }
    const auto pinned = pinned_.find(id->number);
    ServerExecutor *executor =
        pinned == pinned_.end() ? nullptr : context_.servers.executor(pinned->second.server);
    if (!executor) {
        end(*id, Reason::TransactionEnded, false);
        onEnterRefused(step, Reason::TransactionEnded);
        return;
    }
    step->term = pinned->second.term;
    submit(step, *executor, pinned->second.connection);
}

// Answers a repeated commit from its remembered outcome, and resolves it by its key otherwise.
void TransactionRunner::onEnterRefused(const StepPtr &step, Reason reason)
{
    const bool commit = step->kind() == StatementStep::Commit;
    if (commit && step->id && transactions_->committed(*step->id)) {
        inner::ExecuteResult result;
        result.executed = Executed::Yes;
        result.replayed = true;
        answer(step, std::move(result));
        return;
    }
    const bool earlierOwner = step->id && step->id->epoch != context_.ownership.epoch();
    const bool outcomeUnknown = commit && (earlierOwner || reason == Reason::Unconfirmed);
    const bool ended = reason == Reason::TransactionEnded || reason == Reason::TransactionIdle
        || reason == Reason::UnknownTransaction || reason == Reason::Unconfirmed;
    step->id.reset();
    if (commit && ended && !step->request->execute.key.empty()) {
        resolveCommit(step, {Reason::TransactionEnded, "", Executed::No, Duration(0), ""});
        return;
    }
    refuse(step, {reason, "", outcomeUnknown ? Executed::Unknown : Executed::No, Duration(0), ""});
}

void TransactionRunner::resolveCommit(const StepPtr &step, const Refusal &refusal)
{
    steps_.erase(step->request->number);
    writes_.resolve(step->request, refusal);
}

void TransactionRunner::submit(const StepPtr &step, ServerExecutor &executor, ConnectionPtr pinned)
{
    step->server = executor.server().name;
    step->queued = true;
    step->work = workOf(*step->request);
    ExecutorWork work;
    work.work = step->work;
    work.pinned = std::move(pinned);
    std::weak_ptr<bool> alive = alive_;
    work.start = [this, alive, step](const ConnectionPtr &connection) {
        if (!alive.expired())
            start(step, connection);
    };
    work.refused = [this, alive, step](const WorkRefusal &refusal) {
        if (!alive.expired())
            onRefused(step, refusal);
    };
    executor.submit(std::move(work));
}

bool TransactionRunner::mayStart(const Step &step) const
{
    return !step.request->answered && context_.mayWriteAt(step.server, step.term);
}

void TransactionRunner::start(const StepPtr &step, const ConnectionPtr &connection)
{
    step->queued = false;
    if (!mayStart(*step)) {
        if (ServerExecutor *executor = context_.servers.executor(step->server)) {
            executor->finished(step->work, std::nullopt);
            if (step->kind() == StatementStep::Begin)
                executor->release(connection, true);
        }
        end(*step->id, Reason::TransactionEnded, true);
        refuse(step, {Reason::TransactionEnded, "", Executed::No, Duration(0), ""});
        return;
    }
    step->sent = true;
    step->sentAt = context_.now();
    context_.ports.metrics.observeQueueWait(step->sentAt - step->request->arrived);
    if (step->kind() == StatementStep::Commit) {
        runCommit(step, connection);
        return;
    }
    std::weak_ptr<bool> alive = alive_;
    connection->run(makeStepBatch(*step),
                    [this, alive, step, connection](backend::BatchResult result) {
                        if (!alive.expired())
                            onResult(step, connection, std::move(result));
                    });
}

std::vector<backend::Statement> TransactionRunner::makeStepBatch(const Step &step)
{
    const inner::Execute &execute = step.request->execute;
    if (step.kind() == StatementStep::Begin)
        return {{execute.readOnly ? "BEGIN READ ONLY" : "BEGIN", {}}};
    if (step.kind() == StatementStep::Rollback)
        return {{"ROLLBACK", {}}};
    return {{execute.sql, execute.parameters}};
}

void TransactionRunner::onResult(const StepPtr &step, const ConnectionPtr &connection,
                                 backend::BatchResult result)
{
    const bool done = result.state == backend::BatchState::Done;
    const bool lost = result.connectionLost || result.state == backend::BatchState::Unknown;
    context_.onStatementEnded(step->server, step->work, step->sentAt, lost);
    if (lost)
        onLost(step, result);
    else if (step->kind() == StatementStep::Begin && done)
        onBegun(step, connection);
    else if (step->kind() == StatementStep::Begin)
        onLost(step, result);
    else if (step->kind() == StatementStep::Rollback)
        onRolledBack(step, done);
    else
        onStatementDone(step, std::move(result));
}

void TransactionRunner::onRolledBack(const StepPtr &step, bool clean)
{
    end(*step->id, Reason::TransactionEnded, clean);
    step->result.executed = Executed::Yes;
    answer(step, std::move(step->result));
}

void TransactionRunner::onBegun(const StepPtr &step, const ConnectionPtr &connection)
{
    pinned_[step->id->number] = {*step->id, connection, step->server, step->term};
    if (step->request->answered || step->request->cancelled) {
        end(*step->id, Reason::TransactionEnded, true);
        refuse(step, {Reason::TransactionEnded, "", Executed::No, Duration(0), ""});
        return;
    }
    transactions_->leave(context_.now(), *step->id);
    step->result.executed = Executed::Yes;
    step->result.transaction = step->id->toText();
    answer(step, std::move(step->result));
}

void TransactionRunner::onStatementDone(const StepPtr &step, backend::BatchResult result)
{
    transactions_->leave(context_.now(), *step->id);
    if (step->request->cancelled)
        end(*step->id, Reason::TransactionEnded, true);
    if (result.state != backend::BatchState::Done) {
        refuse(step,
               {Reason::StatementFailed, describeError(result.sqlState, result.message),
                Executed::No, Duration(0), ""});
        return;
    }
    step->result.executed = Executed::Yes;
    if (!result.rows.empty())
        step->result.rows = std::move(result.rows.back());
    step->result.server = step->server;
    answer(step, std::move(step->result));
}

void TransactionRunner::runCommit(const StepPtr &step, const ConnectionPtr &connection)
{
    std::weak_ptr<bool> alive = alive_;
    backend::WriteContext writeContext;
    writeContext.connection = connection;
    writeContext.statements = context_.statements();
    writeContext.mayCommit = [this, alive, step] { return !alive.expired() && mayStart(*step); };
    backend::runCommit(std::move(writeContext), context_.makeWrite(step->request->execute),
                       [this, alive, step](backend::WriteOutcome outcome) {
                           if (!alive.expired())
                               onCommitOutcome(step, std::move(outcome));
                       });
}

void TransactionRunner::onCommitOutcome(const StepPtr &step, backend::WriteOutcome outcome)
{
    context_.onStatementEnded(step->server, step->work, step->sentAt, outcome.connectionLost);
    Refusal refusal {Reason::TransactionEnded, outcome.message, Executed::No, Duration(0), ""};
    const bool reusable = !outcome.connectionLost;
    switch (outcome.state) {
    case backend::WriteState::Done:
    case backend::WriteState::Replayed:
        onCommitted(step, std::move(outcome));
        return;
    case backend::WriteState::NotRun:
    case backend::WriteState::NotPrimary:
        break;
    case backend::WriteState::Failed:
        refusal.reason = Reason::StatementFailed;
        refusal.detail = describeError(outcome.sqlState, outcome.message);
        break;
    case backend::WriteState::KeyReused:
        refusal.reason = Reason::KeyReused;
        break;
    case backend::WriteState::KeyExpired:
        refusal.reason = Reason::KeyExpired;
        break;
    case backend::WriteState::Fenced:
        refusal.reason = Reason::Fenced;
        refusal.retryAfter = retryAfterRefusal;
        break;
    case backend::WriteState::Unknown:
        end(*step->id, Reason::Unconfirmed, reusable);
        if (!step->request->execute.key.empty())
            resolveCommit(step, refusal);
        else
            refuse(step, {Reason::Unconfirmed, "", Executed::Unknown, retryAfterRefusal, ""});
        return;
    }
    end(*step->id, Reason::TransactionEnded, reusable);
    refuse(step, refusal);
}

// Releases the connection; the answer waits for a majority.
void TransactionRunner::onCommitted(const StepPtr &step, backend::WriteOutcome outcome)
{
    releaseConnection(*step->id, !outcome.connectionLost);
    step->result.executed = Executed::Yes;
    step->result.replayed = outcome.state == backend::WriteState::Replayed;
    step->result.server = step->server;
    step->result.position = Position {step->term, outcome.offset};
    std::weak_ptr<bool> alive = alive_;
    step->confirmation = confirmations_.addCommitted(
        step->sentAt, *step->result.position, [this, alive, step](ConfirmationOutcome confirmed) {
            if (!alive.expired())
                onConfirmed(step, confirmed);
        });
}

void TransactionRunner::onConfirmed(const StepPtr &step, ConfirmationOutcome outcome)
{
    step->confirmation = 0;
    if (outcome == ConfirmationOutcome::Lost && step->result.replayed) {
        transactions_->end(context_.now(), *step->id, Reason::Unconfirmed);
        resolveCommit(step, {Reason::TransactionEnded, "", Executed::No, Duration(0), ""});
        return;
    }
    if (outcome == ConfirmationOutcome::Lost) {
        transactions_->end(context_.now(), *step->id, Reason::TransactionEnded);
        refuse(step,
               {Reason::TransactionEnded, "the commit was lost with its primary", Executed::No,
                Duration(0), ""});
        return;
    }
    transactions_->end(context_.now(), *step->id, Reason::None);
    if (outcome == ConfirmationOutcome::Unresolved || !context_.ownership.holdsLease()) {
        refuse(step, {Reason::Unconfirmed, "", Executed::Unknown, retryAfterRefusal, ""});
        return;
    }
    context_.ports.metrics.countWrite();
    context_.servers.onAcknowledged(*step->result.position);
    answer(step, std::move(step->result));
}

// Releasing the connection rolls back uncommitted work.
void TransactionRunner::onLost(const StepPtr &step, const backend::BatchResult &result)
{
    const bool failed = result.state == backend::BatchState::Failed;
    end(*step->id, Reason::TransactionEnded, failed);
    Refusal refusal {Reason::TransactionEnded, "", Executed::No, Duration(0), ""};
    if (failed) {
        refusal.reason = Reason::StatementFailed;
        refusal.detail = describeError(result.sqlState, result.message);
    }
    refuse(step, refusal);
}

void TransactionRunner::onRefused(const StepPtr &step, const WorkRefusal &refusal)
{
    step->queued = false;
    const bool began = step->kind() != StatementStep::Begin;
    if (!began || refusal.unreachable)
        end(*step->id, Reason::TransactionEnded, false);
    else
        transactions_->leave(context_.now(), *step->id);
    refuse(step, {refusal.reason, refusal.detail, Executed::No, refusal.retryAfter, ""});
}

void TransactionRunner::end(const TransactionId &id, Reason endReason, bool reusable)
{
    transactions_->end(context_.now(), id, endReason);
    releaseConnection(id, reusable);
}

void TransactionRunner::releaseConnection(const TransactionId &id, bool reusable)
{
    const auto found = pinned_.find(id.number);
    if (found == pinned_.end())
        return;
    const PinnedTransaction pinned = std::move(found->second);
    pinned_.erase(found);
    context_.servers.release(pinned.server, pinned.connection, reusable);
}

void TransactionRunner::answer(const StepPtr &step, inner::ExecuteResult result)
{
    steps_.erase(step->request->number);
    context_.responder.answer(*step->request, std::move(result));
}

void TransactionRunner::refuse(const StepPtr &step, Refusal refusal)
{
    if (step->confirmation != 0)
        confirmations_.remove(step->confirmation);
    if (step->queued)
        if (ServerExecutor *executor = context_.servers.executor(step->server))
            executor->cancel(step->request->number);
    step->queued = false;
    steps_.erase(step->request->number);
    context_.responder.refuse(*step->request, refusal);
}

void TransactionRunner::cancel(const std::string &transaction)
{
    const auto id = TransactionId::fromText(transaction);
    if (!id || !transactions_)
        return;
    for (const auto &[number, step] : steps_) {
        if (step->id && step->id->number == id->number && step->id->secret == id->secret) {
            step->request->cancelled = true;
            return;
        }
    }
    if (transactions_->enter(context_.now(), *id, TeamName()) != Reason::UnknownTransaction)
        end(*id, Reason::TransactionEnded, true);
}

// The executors close their connections, which ends the running batches.
void TransactionRunner::onPrimaryGone()
{
    endAllPinned();
}

// Transactions that wait for confirmation of their commit have released their connection and
// continue to wait.
void TransactionRunner::endAllPinned()
{
    std::vector<TransactionId> ids;
    for (const auto &[number, pinned] : pinned_)
        ids.push_back(pinned.id);
    for (const TransactionId &id : ids)
        end(id, Reason::TransactionEnded, false);
}

void TransactionRunner::stop(const Refusal &refusal)
{
    std::vector<StepPtr> all;
    for (const auto &[number, step] : steps_)
        all.push_back(step);
    for (const StepPtr &step : all) {
        const bool outcomeUnknown = step->sent && step->kind() == StatementStep::Commit;
        Refusal stepRefusal = refusal;
        if (outcomeUnknown)
            stepRefusal = {Reason::Unconfirmed, "", Executed::Unknown, retryAfterRefusal, ""};
        else if (step->kind() != StatementStep::Begin)
            stepRefusal = {Reason::TransactionEnded, "", Executed::No, Duration(0), ""};
        refuse(step, stepRefusal);
    }
    endAllPinned();
}

void TransactionRunner::expire()
{
    if (!transactions_)
        return;
    const Instant now = context_.now();
    for (const TransactionId &id : transactions_->expireIdle(now))
        end(id, Reason::TransactionIdle, true);
    std::vector<StepPtr> overdue;
    for (const auto &[number, step] : steps_)
        if (step->request->deadline <= now || (step->request->cancelled && step->queued))
            overdue.push_back(step);
    for (const StepPtr &step : overdue) {
        const bool outcomeUnknown = step->sent && step->kind() == StatementStep::Commit;
        if (step->queued && step->kind() != StatementStep::Begin)
            transactions_->leave(now, *step->id);
        else if (step->queued)
            end(*step->id, Reason::TransactionEnded, true);
        refuse(step,
               {Reason::DeadlineExceeded, "", outcomeUnknown ? Executed::Unknown : Executed::No,
                Duration(0), ""});
    }
}

} // namespace kelptally::owner
