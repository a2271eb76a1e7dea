#include "owner/writerunner.h"

#include "owner/ownermetrics.h"
#include "owner/statementerror.h"

#include <algorithm>

namespace kelptally::owner {

namespace {

// Time without a primary after which writes are refused instead of held.
constexpr Duration maxFailoverTime = std::chrono::milliseconds(1500);
// Time that a write needs once there is a primary.
constexpr Duration expectedWriteTime = std::chrono::milliseconds(30);
constexpr Duration retryAfterRefusal = std::chrono::milliseconds(300);
constexpr int maxAttempts = 6;
// Delay between attempts after the first two.
constexpr Duration writeRetryDelay = std::chrono::milliseconds(20);

} // namespace

struct WriteRunner::Write
{
    enum class State {
        WaitsForPrimary,
        Queued,
        Running,
        Confirming,
    };

    RequestPtr request;
    State state = State::WaitsForPrimary;
    int attempts = 0;
    // An attempt was sent and its outcome is unknown.
    bool maybeExecuted = false;
    // State of the current attempt.
    ServerName server;
    Term term = 0;
    decision::Work work;
    Instant sentAt;
    decision::WriteId confirmation = 0;
    inner::ExecuteResult result;
    // Set while the outcome of an earlier attempt is resolved: the answer if the write never ran.
    std::optional<Refusal> refusal;
    // A void record, which stops earlier attempts, waits for confirmation.
    bool confirmsVoidRecord = false;
    TimerId timer = 0;
};

WriteRunner::WriteRunner(GroupContext &context, ConfirmationWaits &confirmations)
    : context_(context), confirmations_(confirmations)
{ }

WriteRunner::~WriteRunner() = default;

void WriteRunner::run(const RequestPtr &request)
{
    auto write = std::make_shared<Write>();
    write->request = request;
    writes_.emplace(request->number, write);
    submit(write);
}

void WriteRunner::resolve(const RequestPtr &request, const Refusal &refusal)
{
    auto write = std::make_shared<Write>();
    write->request = request;
    write->maybeExecuted = true;
    writes_.emplace(request->number, write);
    resolve(write, refusal);
}

void WriteRunner::submit(const WritePtr &write)
{
    if (!context_.ownership.holdsLease()) {
        refuse(write, {Reason::LeaseLost, "", Executed::No, retryAfterRefusal, ""});
        return;
    }
    const std::optional<Term> term = context_.primaryTerm();
    ServerExecutor *executor =
        term ? context_.servers.executor(*context_.failover.decision()->primary()) : nullptr;
    if (!executor) {
        waitForPrimary(write);
        return;
    }
    write->state = Write::State::Queued;
    write->server = executor->server().name;
    write->term = *term;
    write->work = workOf(*write->request);
    ExecutorWork work;
    work.work = write->work;
    std::weak_ptr<bool> alive = alive_;
    work.start = [this, alive, write](const ConnectionPtr &connection) {
        if (!alive.expired())
            start(write, connection);
    };
    work.refused = [this, alive, write](const WorkRefusal &refusal) {
        if (!alive.expired())
            onRefused(write, refusal);
    };
    executor->submit(std::move(work));
}

// Writes are held only while a new primary can be expected before their deadline.
bool WriteRunner::mayWaitForPrimary(const Write &write) const
{
    const Instant now = context_.now();
    const Instant since = primaryLostAt_.value_or(now);
    const std::size_t limit = static_cast<std::size_t>(std::max(1, context_.limits().queueLength));
    return now < since + maxFailoverTime && now + expectedWriteTime < write.request->deadline
        && writes_.size() <= limit;
}

void WriteRunner::waitForPrimary(const WritePtr &write)
{
    write->state = Write::State::WaitsForPrimary;
    if (!mayWaitForPrimary(*write))
        refuse(write, {Reason::NoPrimary, "", Executed::No, retryAfterRefusal, ""});
}

bool WriteRunner::mayStart(const Write &write) const
{
    return !write.request->answered && context_.mayWriteAt(write.server, write.term);
}

void WriteRunner::start(const WritePtr &write, const ConnectionPtr &connection)
{
    ServerExecutor *executor = context_.servers.executor(write->server);
    if (!executor || !mayStart(*write)) {
        if (executor) {
            executor->finished(write->work, std::nullopt);
            executor->release(connection, true);
        }
        if (!write->request->answered)
            submit(write);
        return;
    }
    write->state = Write::State::Running;
    write->sentAt = context_.now();
    context_.ports.metrics.observeQueueWait(write->sentAt - write->request->arrived);
    std::weak_ptr<bool> alive = alive_;
    backend::WriteContext writeContext;
    writeContext.connection = connection;
    writeContext.statements = context_.statements();
    writeContext.mayCommit = [this, alive, write] { return !alive.expired() && mayStart(*write); };
    const auto run = write->refusal ? backend::resolveUnknown : backend::runWrite;
    run(std::move(writeContext), context_.makeWrite(write->request->execute),
        [this, alive, write, connection](backend::WriteOutcome outcome) {
            if (!alive.expired())
                onOutcome(write, connection, std::move(outcome));
        });
}

void WriteRunner::onOutcome(const WritePtr &write, const ConnectionPtr &connection,
                            backend::WriteOutcome outcome)
{
    context_.servers.release(write->server, connection, !outcome.connectionLost);
    context_.onStatementEnded(write->server, write->work, write->sentAt, outcome.connectionLost);
    if (write->request->answered)
        return;
    write->state = Write::State::WaitsForPrimary;
    switch (outcome.state) {
    case backend::WriteState::Done:
    case backend::WriteState::Replayed:
        onCommitted(write, std::move(outcome));
        return;
    case backend::WriteState::NotRun:
        if (write->refusal && outcome.offset != 0)
            onCommitted(write, std::move(outcome));
        else
            retry(write, Reason::NoPrimary);
        return;
    case backend::WriteState::NotPrimary:
        context_.failover.onConnectionLost(write->server);
        retry(write, Reason::NoPrimary);
        return;
    case backend::WriteState::Unknown:
        write->maybeExecuted = true;
        retry(write, Reason::NoPrimary);
        return;
    case backend::WriteState::Failed:
    case backend::WriteState::KeyReused:
    case backend::WriteState::KeyExpired:
    case backend::WriteState::Fenced:
        onFailed(write, outcome);
        return;
    }
}

// Waits until a majority holds the committed work or the void record.
void WriteRunner::onCommitted(const WritePtr &write, backend::WriteOutcome outcome)
{
    write->state = Write::State::Confirming;
    write->confirmsVoidRecord = outcome.state == backend::WriteState::NotRun;
    write->result = {};
    write->result.executed = Executed::Yes;
    write->result.rows = std::move(outcome.rows);
    write->result.replayed = outcome.state == backend::WriteState::Replayed;
    if (outcome.rowsMissing)
        write->result.detail = "the answer's rows were too large to be recorded";
    write->result.server = write->server;
    write->result.position = Position {write->term, outcome.offset};
    std::weak_ptr<bool> alive = alive_;
    write->confirmation =
        confirmations_.addCommitted(write->sentAt, *write->result.position,
                                    [this, alive, write](ConfirmationOutcome confirmed) {
                                        if (!alive.expired())
                                            onConfirmed(write, confirmed);
                                    });
}

// Handles an error reported by the server: this attempt has no effect.
void WriteRunner::onFailed(const WritePtr &write, const backend::WriteOutcome &outcome)
{
    if (isServerStopping(outcome.sqlState)) {
        retry(write, Reason::NoPrimary);
        return;
    }
    Refusal refusal {Reason::StatementFailed, describeError(outcome.sqlState, outcome.message),
                     Executed::No, Duration(0), ""};
    if (outcome.state == backend::WriteState::KeyReused) {
        refusal.reason = Reason::KeyReused;
        refusal.detail.clear();
    } else if (outcome.state == backend::WriteState::KeyExpired) {
        refusal.reason = Reason::KeyExpired;
        refusal.executed = Executed::Unknown;
        refusal.detail.clear();
    } else if (outcome.state == backend::WriteState::Fenced) {
        refusal.reason = Reason::Fenced;
        refusal.retryAfter = retryAfterRefusal;
        context_.failover.onConnectionLost(write->server);
    } else if (write->refusal) {
        retry(write, Reason::Unconfirmed);
        return;
    } else if (write->maybeExecuted && !write->request->execute.key.empty()) {
        resolve(write, refusal);
        return;
    }
    refuse(write, refusal);
}

// Writes a void record under the key, so that a delayed earlier attempt cannot commit after the
// request is answered as not executed.
void WriteRunner::resolve(const WritePtr &write, const Refusal &refusal)
{
    write->refusal = refusal;
    submit(write);
}

void WriteRunner::onConfirmed(const WritePtr &write, ConfirmationOutcome outcome)
{
    if (write->request->answered)
        return;
    if (outcome == ConfirmationOutcome::Lost) {
        // The position is not in the new primary's log, so this attempt did not happen. If it was a
        // replay, the original record may still exist there.
        write->state = Write::State::WaitsForPrimary;
        write->maybeExecuted |= write->result.replayed;
        retry(write, Reason::Unconfirmed);
        return;
    }
    if (outcome == ConfirmationOutcome::Unresolved || !context_.ownership.holdsLease()) {
        refuse(write, {Reason::Unconfirmed, "", Executed::Unknown, retryAfterRefusal, ""});
        return;
    }
    context_.servers.onAcknowledged(*write->result.position);
    if (write->confirmsVoidRecord) {
        write->maybeExecuted = false;
        write->state = Write::State::WaitsForPrimary;
        refuse(write, *write->refusal);
        return;
    }
    context_.ports.metrics.countWrite();
    if (write->result.replayed)
        context_.ports.metrics.countReplay();
    remove(write);
    context_.responder.answer(*write->request, std::move(write->result));
}

void WriteRunner::onRefused(const WritePtr &write, const WorkRefusal &refusal)
{
    if (write->request->answered)
        return;
    write->state = Write::State::WaitsForPrimary;
    if (refusal.unreachable) {
        context_.failover.onConnectionLost(write->server);
        retry(write, Reason::NoPrimary);
        return;
    }
    refuse(write, {refusal.reason, refusal.detail, Executed::No, refusal.retryAfter, ""});
}

// Runs the write again at the current primary. Only called for writes that may be repeated or whose
// key finds the record of an earlier attempt.
void WriteRunner::retry(const WritePtr &write, Reason retryReason)
{
    if (++write->attempts >= maxAttempts) {
        refuse(write,
               {retryReason, "several attempts failed", Executed::No, retryAfterRefusal, ""});
        return;
    }
    context_.ports.metrics.countRetry(retryReason);
    write->state = Write::State::WaitsForPrimary;
    if (write->attempts == 1) {
        submit(write);
        return;
    }
    std::weak_ptr<bool> alive = alive_;
    write->timer = context_.ports.timers.subscribeAfter(writeRetryDelay, [this, alive, write] {
        if (alive.expired() || write->timer == 0)
            return;
        write->timer = 0;
        submit(write);
    });
}

// Reports the execution as unknown when an attempt was sent and its outcome has not been resolved.
void WriteRunner::refuse(const WritePtr &write, Refusal refusal)
{
    const bool outcomeUnknown = write->maybeExecuted || write->state == Write::State::Running
        || write->state == Write::State::Confirming;
    if (outcomeUnknown && refusal.executed == Executed::No)
        refusal.executed = Executed::Unknown;
    remove(write);
    context_.responder.refuse(*write->request, refusal);
}

void WriteRunner::remove(const WritePtr &write)
{
    if (write->state == Write::State::Queued)
        if (ServerExecutor *executor = context_.servers.executor(write->server))
            executor->cancel(write->request->number);
    if (write->state == Write::State::Confirming)
        confirmations_.remove(write->confirmation);
    context_.ports.timers.cancel(write->timer);
    write->timer = 0;
    writes_.erase(write->request->number);
}

void WriteRunner::onPrimaryGone()
{
    primaryLostAt_ = context_.now();
}

void WriteRunner::onPrimaryReady()
{
    primaryLostAt_.reset();
    std::vector<WritePtr> held;
    for (const auto &[number, write] : writes_)
        if (write->state == Write::State::WaitsForPrimary && write->timer == 0)
            held.push_back(write);
    for (const WritePtr &write : held)
        submit(write);
}

void WriteRunner::stop(const Refusal &refusal)
{
    std::vector<WritePtr> all;
    for (const auto &[number, write] : writes_)
        all.push_back(write);
    for (const WritePtr &write : all)
        refuse(write, refusal);
    primaryLostAt_.reset();
}

void WriteRunner::expire()
{
    const Instant now = context_.now();
    std::vector<WritePtr> overdue;
    std::vector<WritePtr> withoutPrimary;
    for (const auto &[number, write] : writes_) {
        const bool idle =
            write->state == Write::State::WaitsForPrimary || write->state == Write::State::Queued;
        if (write->request->deadline <= now || (write->request->cancelled && idle))
            overdue.push_back(write);
        else if (write->state == Write::State::WaitsForPrimary && !mayWaitForPrimary(*write))
            withoutPrimary.push_back(write);
    }
    for (const WritePtr &write : overdue)
        refuse(write, {Reason::DeadlineExceeded, "", Executed::No, Duration(0), ""});
    for (const WritePtr &write : withoutPrimary)
        refuse(write, {Reason::NoPrimary, "", Executed::No, retryAfterRefusal, ""});
}

} // namespace kelptally::owner
