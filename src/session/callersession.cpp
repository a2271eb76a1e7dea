#include "session/callersession.h"

#include <algorithm>
#include <functional>

namespace kelptally::session {

namespace {

// Limits on the memory of one session. A statement's message carries at most 256 values.
constexpr std::size_t maxValues = 256;
constexpr std::size_t maxPrepared = 1024;
// How long a transaction may continue after its key was revoked. Must stay well below the five
// seconds within which a new configuration takes effect.
constexpr Duration revokedKeyGracePeriod = std::chrono::milliseconds(1000);

// Identifies what a statement does; the ids of two attempts differ.
std::size_t contentHash(const inner::RunStatement &statement)
{
    const std::hash<std::string> hash;
    return hash(statement.text) ^ (hash(statement.preparedShape) << 1)
        ^ (hash(statement.arguments) << 2);
}

} // namespace

CallerSession::CallerSession(const Parts &parts, std::uint64_t number, std::string database,
                             SessionOutput &output, const Sha256Digest &key)
    : parts_(parts), number_(number), database_(std::move(database)), key_(key), output_(&output)
{ }

void CallerSession::run(Statement statement)
{
    answering_ = true;
    parts_.timers.cancel(idleTimer_);
    // 1. A failed transaction accepts only COMMIT and ROLLBACK.
    if (state_ == SessionState::Failed)
        return runInFailedTransaction(statement);
    if (state_ == SessionState::InTransaction && isKeyRevoked())
        return endRevokedTransaction(statement);
    // 2. Handle statements that need no server locally.
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        return begin(statement);
    case StatementKind::Rollback:
        rollBack();
        return answer({});
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
        return runLocally(statement);
    default:
        break;
    }
    // 3. Outside a transaction each statement uses the current route.
    if (state_ == SessionState::Idle) {
        if (statement.kind == StatementKind::Commit)
            return fail(Reason::MalformedRequest, Executed::No, "there is no transaction");
        const Reason refused = beginOperation();
        if (refused != Reason::None)
            return refuseOperation(statement, refused);
    }
    // 4. Send everything else to the owner.
    if (statement.kind == StatementKind::Commit)
        return send(std::move(statement), inner::SessionVerb::Commit, nullptr);
    if (statement.kind != StatementKind::ExecutePrepared) {
        const bool reads = statement.kind == StatementKind::Read;
        return send(std::move(statement),
                    reads ? inner::SessionVerb::Read : inner::SessionVerb::Write, nullptr);
    }
    const auto prepared = prepared_.find(statement.name);
    if (prepared == prepared_.end())
        return fail(Reason::MalformedRequest, Executed::No, "no such prepared statement");
    send(std::move(statement),
         prepared->second.writes ? inner::SessionVerb::Write : inner::SessionVerb::Read,
         &prepared->second);
}

void CallerSession::refuse(Reason reason, const std::string &detail)
{
    answering_ = true;
    fail(reason, Executed::No, detail);
}

void CallerSession::begin(const Statement &statement)
{
    if (state_ == SessionState::InTransaction)
        return fail(Reason::MalformedRequest, Executed::No, "a transaction is open");
    const Reason refused = beginOperation();
    if (refused != Reason::None)
        return refuseOperation(statement, refused);
    if (parts_.router.refusesTransactions())
        return fail(Reason::Draining, Executed::No, "this host is being stopped", drainRetryAfter);
    mode_ = statement.kind == StatementKind::Begin ? inner::TransactionMode::ReadWrite
                                                   : inner::TransactionMode::ReadOnly;
    begunAtOwner_ = false;
    state_ = SessionState::InTransaction;
    answer({});
}

Reason CallerSession::beginOperation()
{
    const Route *route = parts_.catalogue.route(database_);
    if (route == nullptr)
        return Reason::UnknownGroup;
    const bool needsKey = parts_.catalogue.needsKeys() && route->needsKey;
    const OrganisationName *organisation =
        needsKey ? parts_.catalogue.organisationOf(key_) : nullptr;
    if (needsKey && organisation == nullptr)
        return Reason::Unauthenticated;
    route_ = *route;
    organisation_ = needsKey ? *organisation : OrganisationName();
    version_ = parts_.catalogue.version();
    return Reason::None;
}

void CallerSession::refuseOperation(const Statement &statement, Reason reason)
{
    parts_.log.info("statement_refused", reasonInfo(reason).name)
        .with("id", statement.id)
        .with("session", number_)
        .with("database", database_)
        .with("version", parts_.catalogue.version());
    fail(reason, Executed::No, "the route or the key is no longer in force");
}

bool CallerSession::isKeyRevoked() const
{
    if (organisation_.empty())
        return false;
    const OrganisationName *now = parts_.catalogue.organisationOf(key_);
    if (now != nullptr && *now == organisation_)
        return false;
    const std::optional<Instant> since = parts_.catalogue.supersededAt(version_);
    return since && parts_.timers.now() - *since >= revokedKeyGracePeriod;
}

void CallerSession::endRevokedTransaction(const Statement &statement)
{
    if (begunAtOwner_)
        parts_.router.endTransaction(route_.group, number_);
    const bool ends =
        statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    leaveTransaction(ends ? SessionState::Idle : SessionState::Failed);
    parts_.log.info("transaction_ended", reasonInfo(Reason::Unauthenticated).name)
        .with("id", statement.id)
        .with("session", number_)
        .with("group", route_.group)
        .with("organisation", organisation_)
        .with("version", version_);
    if (statement.kind == StatementKind::Rollback)
        return answer({});
    fail(Reason::TransactionEnded, Executed::No, "the session's key was revoked");
}

// Nothing of a failed transaction is kept, so a rollback succeeds and a commit is refused.
void CallerSession::runInFailedTransaction(const Statement &statement)
{
    if (statement.kind == StatementKind::Rollback) {
        leaveTransaction(SessionState::Idle);
        return answer({});
    }
    if (statement.kind == StatementKind::Commit) {
        leaveTransaction(SessionState::Idle);
        return fail(Reason::TransactionEnded, Executed::No, "the transaction had failed");
    }
    fail(Reason::MalformedRequest, Executed::No, "the transaction has failed; end it first");
}

void CallerSession::rollBack()
{
    if (begunAtOwner_)
        parts_.router.endTransaction(route_.group, number_);
    leaveTransaction(SessionState::Idle);
}

void CallerSession::leaveTransaction(SessionState state)
{
    state_ = state;
    begunAtOwner_ = false;
    mode_ = inner::TransactionMode::None;
}

void CallerSession::runLocally(const Statement &statement)
{
    switch (statement.kind) {
    case StatementKind::SetValue:
        if (values_.size() >= maxValues && values_.count(statement.name) == 0)
            return fail(Reason::RequestTooLarge, Executed::No, "too many values in one session");
        values_[statement.name] = statement.argument;
        break;
    case StatementKind::Prepare:
        if (prepared_.size() >= maxPrepared && prepared_.count(statement.name) == 0)
            return fail(Reason::RequestTooLarge, Executed::No, "too many prepared statements");
        prepared_[statement.name] = {statement.writes, statement.argument};
        break;
    default:
        prepared_.erase(statement.name);
        break;
    }
    answer({});
}

void CallerSession::send(Statement statement, inner::SessionVerb verb, const Prepared *prepared)
{
    inner::RunStatement message;
    message.group = route_.group;
    message.organisation = organisation_;
    message.organisationVersion = organisation_.empty() ? 0 : version_;
    if (const auto quota =
            parts_.catalogue.recentlyAddedQuota(organisation_, parts_.timers.now())) {
        constexpr double thousandths = 1000;
        message.quotaPerSecond = static_cast<std::uint64_t>(quota->perSecond * thousandths);
        // A quota of nothing must not look like no quota.
        message.quotaBurst =
            std::max<std::uint64_t>(1, static_cast<std::uint64_t>(quota->burst * thousandths));
    }
    message.session = number_;
    message.verb = verb;
    message.inTransaction = state_ == SessionState::InTransaction;
    if (message.inTransaction && !begunAtOwner_)
        message.begins = mode_;
    message.statementId = statement.id;
    if (prepared != nullptr) {
        message.preparedShape = prepared->shape;
        message.arguments = std::move(statement.argument);
    } else {
        message.text = std::move(statement.text);
    }
    for (const auto &[name, value] : values_) {
        message.values.push_back(name);
        message.values.push_back(value);
    }
    message.rule = route_.rule;
    message.maxAge = route_.maxAge;
    message.sessionPosition = position_;
    message.timeLeft = route_.statementTimeout;
    message.objective = route_.objective;
    message.priority = route_.priority;
    const bool begins = !message.inTransaction || message.begins != inner::TransactionMode::None;
    message.operationAge = operationAge_.onSent(parts_.timers.now(), begins, contentHash(message));
    begunAtOwner_ = begunAtOwner_ || message.inTransaction;
    request_ = parts_.router.run(
        std::move(message),
        [self = shared_from_this(), verb, id = std::move(statement.id)](inner::StatementDone done) {
            self->onDone(verb, id, std::move(done));
        });
}

void CallerSession::onDone(inner::SessionVerb verb, const std::string &id,
                           inner::StatementDone done)
{
    request_ = 0;
    if (output_ == nullptr)
        return;
    const bool ok = done.reason == Reason::None;
    operationAge_.onAnswered(parts_.timers.now(), !ok && done.executed == Executed::No);
    if (state_ == SessionState::InTransaction) {
        if (verb == inner::SessionVerb::Commit)
            leaveTransaction(SessionState::Idle);
        else if (!ok)
            leaveTransaction(SessionState::Failed);
    }
    if (ok && verb != inner::SessionVerb::Read && done.position
        && (!position_ || *position_ < *done.position))
        position_ = done.position;
    if (!ok)
        parts_.log.info("statement_refused", reasonInfo(done.reason).name)
            .with("id", id)
            .with("session", number_)
            .with("group", route_.group)
            .with("executed", executedName(done.executed))
            .with("detail", done.detail)
            .with("retry_after_ms", done.retryAfter);
    Answer result;
    result.reason = done.reason;
    result.executed = done.executed;
    result.detail = std::move(done.detail);
    result.rows = std::move(done.rows);
    result.signature = std::move(done.signature);
    result.position = done.position;
    result.retryAfter = done.retryAfter;
    answer(std::move(result));
}

void CallerSession::fail(Reason reason, Executed executed, const std::string &detail,
                         Duration retryAfter)
{
    Answer refused;
    refused.reason = reason;
    refused.executed = executed;
    refused.detail = detail;
    refused.retryAfter = retryAfter;
    answer(std::move(refused));
}

void CallerSession::answer(Answer answer)
{
    answering_ = false;
    if (output_ == nullptr)
        return;
    if (answer.reason != Reason::None)
        parts_.metrics.countRefusal(answer.reason);
    if (state_ == SessionState::InTransaction)
        startIdleTimer();
    output_->answer(answer, state_);
}

// Ends a transaction that stays idle, as it holds a server connection that other callers need.
void CallerSession::startIdleTimer()
{
    const Catalogue *catalogue = parts_.catalogue.get();
    if (catalogue == nullptr || catalogue->transactionIdle == Duration(0))
        return;
    const std::weak_ptr<CallerSession> weak = weak_from_this();
    idleTimer_ = parts_.timers.subscribeAfter(catalogue->transactionIdle, [weak] {
        const auto self = weak.lock();
        if (!self || self->answering_ || self->state_ != SessionState::InTransaction)
            return;
        if (self->begunAtOwner_)
            self->parts_.router.endTransaction(self->route_.group, self->number_);
        self->leaveTransaction(SessionState::Failed);
        self->parts_.log.info("transaction_idle").with("session", self->number_);
    });
}

void CallerSession::onCallerDisconnected()
{
    output_ = nullptr;
    parts_.timers.cancel(idleTimer_);
    if (request_ != 0)
        parts_.router.cancel(request_);
    request_ = 0;
    if (begunAtOwner_ && state_ == SessionState::InTransaction)
        parts_.router.endTransaction(route_.group, number_);
    state_ = SessionState::Idle;
}

} // namespace kelptally::session
