#include "entry/dispatcher.h"

#include "caller/callerrequest.h"
#include "caller/problem.h"

namespace kelptally::entry {

namespace {

// Subtracted from the deadline that is sent to the owner, so that its answer arrives in time.
// Covers one round trip between availability zones.
constexpr Duration ownerDeadlineMargin = std::chrono::milliseconds(3);
// Maximum number of redirects followed without delay; guards against redirect loops.
constexpr int maxRedirects = 3;
// Maximum wait for the answer to an abandoned Begin.
constexpr Duration abandonedBeginTimeout = std::chrono::seconds(30);
// Retry budget in percent of successful requests until a configuration is loaded.
constexpr int defaultRetryPercent = 10;

bool isTransactionStep(const inner::Execute &execute)
{
    return !execute.transaction.empty();
}

// Whether the reason concerns the ownership of the group rather than the request.
bool isOwnershipFailure(Reason reason)
{
    return reason == Reason::NotOwner || reason == Reason::NoOwner || reason == Reason::LeaseLost;
}

} // namespace

Dispatcher::Dispatcher(Parts parts)
    : parts_(std::move(parts)), table_(parts_.timers, maxRequests,
                                       [this](const PendingPtr &request) { onDeadline(request); }),
      policy_(std::make_unique<decision::RetryPolicy>(defaultRetryPercent, parts_.seed)),
      retryPercent_(defaultRetryPercent),
      emptySessionToken_(decision::SessionToken().seal(parts_.tokenKey))
{ }

void Dispatcher::configure(const settings::Limits &limits)
{
    callerTransit_ = limits.callerTransit;
    if (limits.retryBudgetPercent == retryPercent_)
        return;
    retryPercent_ = limits.retryBudgetPercent;
    policy_ = std::make_unique<decision::RetryPolicy>(retryPercent_, parts_.seed);
}

void Dispatcher::start(AdmittedRequest admitted, caller::HttpReplyPtr reply,
                       caller::ConnectionId connection, Instant arrived)
{
    const auto request = std::make_shared<PendingRequest>();
    request->admitted = std::move(admitted);
    request->reply = std::move(reply);
    request->connection = connection;
    request->arrived = arrived;
    request->deadline = arrived + request->admitted.deadline;
    const Reason limit = table_.add(request);
    if (limit != Reason::None)
        return refuse(request, {limit, Executed::No, {}, Duration(0)});
    attempt(request);
}

// Sends the request to the owner of its group, or to the owner named by its transaction id.
void Dispatcher::attempt(const PendingPtr &request)
{
    const inner::Execute &execute = request->admitted.execute;
    request->state = RequestState::Waiting;
    std::string owner = request->admitted.transactionOwner;
    if (owner.empty()) {
        const auto known = parts_.directory.owner(execute.group);
        if (!known) {
            const std::weak_ptr<PendingRequest> waiting = request;
            return parts_.directory.resolve(execute.group, [this, waiting](const auto &found) {
                const PendingPtr pending = waiting.lock();
                if (!pending || !pending->reply)
                    return;
                if (found)
                    return attempt(pending);
                onFailure(pending, {Reason::NoOwner, Executed::No, {}, Duration(0)});
            });
        }
        owner = *known;
    }
    const auto link = parts_.links.findOrDial(owner);
    if (link)
        return send(request, owner, *link);
    parts_.directory.suspect(execute.group, owner);
    onFailure(request,
              {Reason::OwnerUnreachable, Executed::No, "no link to the owner", Duration(0)});
}

void Dispatcher::send(const PendingPtr &request, const std::string &owner, inner::LinkId link)
{
    inner::Execute &execute = request->admitted.execute;
    const Instant now = parts_.timers.now();
    const Duration left = request->deadline - now - ownerDeadlineMargin;
    if (left <= Duration(0))
        return refuse(request, {Reason::DeadlineExceeded, Executed::No, {}, Duration(0)});
    table_.assignRequestId(*request);
    execute.timeLeft = left;
    execute.attempt = request->attempt;
    execute.statedAge = ageLimitForOwner(request->admitted.statedAge, request->excessTransit);
    const absl::Status sent = parts_.links.send(link, execute);
    if (sent.ok()) {
        request->state = RequestState::InFlight;
        request->link = link;
        request->owner = owner;
        request->sentAt = now;
        return;
    }
    Failure failure {Reason::OwnerUnreachable, Executed::No, std::string(sent.message()),
                     Duration(0)};
    if (sent.code() == absl::StatusCode::kResourceExhausted)
        failure.reason = Reason::RingFull;
    if (sent.code() == absl::StatusCode::kOutOfRange)
        failure.reason = Reason::RequestTooLarge;
    onFailure(request, std::move(failure));
}

// Retries if that is safe, in time and within the retry budget; otherwise refuses the request.
void Dispatcher::onFailure(const PendingPtr &request, Failure failure)
{
    request->state = RequestState::Waiting;
    request->maybeExecuted = request->maybeExecuted || failure.executed != Executed::No;
    request->lastReason = failure.reason;
    decision::FailedAttempt failed;
    failed.reason = failure.reason;
    failed.repeatable = request->admitted.repeatable;
    failed.hasKey = !request->admitted.execute.key.empty()
        && request->admitted.execute.step == inner::StatementStep::Single;
    // A request that may be executed twice is retried as if it had never been executed.
    const bool safeToRepeat = !request->maybeExecuted || failed.repeatable || failed.hasKey;
    failed.notExecuted = failure.executed == Executed::No && safeToRepeat;
    failed.number = request->attempt;
    failed.deadlineLeft = request->deadline - parts_.timers.now() - ownerDeadlineMargin;
    const std::optional<Duration> retryDelay = policy_->retryAfter(failed);
    const bool inTime = failure.retryAfter < failed.deadlineLeft;
    if (!retryDelay || !inTime)
        return refuse(request, std::move(failure));
    parts_.metrics.countRetry(failure.reason);
    retryAfter(request, std::max(*retryDelay, failure.retryAfter));
}

void Dispatcher::retryAfter(const PendingPtr &request, Duration delay)
{
    ++request->attempt;
    const std::weak_ptr<PendingRequest> waiting = request;
    request->retryTimer = parts_.timers.subscribeAfter(delay, [this, waiting] {
        const PendingPtr pending = waiting.lock();
        if (pending && pending->reply)
            attempt(pending);
    });
}

void Dispatcher::onResult(inner::LinkId link, inner::ExecuteResult result)
{
    const PendingPtr request = table_.find(result.requestId);
    const bool expected =
        request && request->link == link && request->state != RequestState::Waiting;
    if (!expected)
        return parts_.metrics.countLateAnswer();
    if (request->state == RequestState::Abandoned) {
        parts_.metrics.countLateAnswer();
        request->admitted.execute.transaction = result.transaction;
        if (!result.transaction.empty())
            cancelAtOwner(request);
        return table_.remove(request);
    }
    const AttemptTimes times {parts_.timers.now() - request->sentAt, callerTransit_};
    const AnswerVerdict verdict =
        checkAnswer(result, request->admitted.execute.readOnly, request->admitted.statedAge, times);
    if (verdict.reason == Reason::Internal) {
        parts_.metrics.countDamagedAnswer();
        const Executed executed = result.reason == Reason::None ? Executed::Yes : result.executed;
        request->state = RequestState::Waiting;
        return refuse(
            request, {Reason::Internal, executed, "the owner's answer is incomplete", Duration(0)});
    }
    if (verdict.reason == Reason::ReplicaTooStale) {
        parts_.metrics.countStaleAnswer();
        request->excessTransit = verdict.transit;
        return onFailure(
            request,
            {verdict.reason, Executed::Yes, "the answer was too old on arrival", Duration(0)});
    }
    if (result.reason != Reason::None)
        return onOwnerRefused(request, result);
    onCompleted(request, std::move(result), verdict);
}

void Dispatcher::onOwnerRefused(const PendingPtr &request, const inner::ExecuteResult &result)
{
    const bool single = !isTransactionStep(request->admitted.execute);
    if (single && isOwnershipFailure(result.reason)) {
        parts_.directory.suspect(request->admitted.execute.group, request->owner);
        if (followHint(request, result))
            return;
    }
    onFailure(request, {result.reason, result.executed, result.detail, result.retryAfter});
}

// Retries immediately at the owner named in the refusal. Returns false if there is no usable hint.
bool Dispatcher::followHint(const PendingPtr &request, const inner::ExecuteResult &result)
{
    const bool usable = result.executed == Executed::No && !result.ownerHint.empty()
        && result.ownerHint != request->owner && request->attempt < maxRedirects;
    if (!usable)
        return false;
    parts_.metrics.countRetry(result.reason);
    parts_.directory.onHint(request->admitted.execute.group, result.ownerHint);
    ++request->attempt;
    attempt(request);
    return true;
}

// Returns the session token for the caller's next request: unchanged when the position has not
// advanced or when a read would exceed the maximum number of groups.
std::string Dispatcher::nextSessionToken(AdmittedRequest &admitted,
                                         const std::optional<Position> &seen) const
{
    const GroupName &group = admitted.execute.group;
    const Position *previous = admitted.session.find(group);
    const bool advances =
        seen && (previous ? *previous < *seen : admitted.session.hasRoomFor(group));
    if (!advances && admitted.sessionText.empty())
        return emptySessionToken_;
    if (!advances)
        return std::move(admitted.sessionText);
    admitted.session.advance(group, *seen);
    return admitted.session.seal(parts_.tokenKey);
}

void Dispatcher::onCompleted(const PendingPtr &request, inner::ExecuteResult result,
                             const AnswerVerdict &verdict)
{
    policy_->onSuccess();
    AdmittedRequest &admitted = request->admitted;
    caller::CallerAnswer answer;
    answer.rows = std::move(result.rows);
    answer.age = verdict.age;
    answer.fromReplica = result.fromReplica;
    answer.replayed = result.replayed;
    if (admitted.execute.step == inner::StatementStep::Begin)
        answer.transaction = std::move(result.transaction);
    answer.sessionToken = nextSessionToken(admitted, result.position);
    parts_.metrics.countAnswered(parts_.timers.now() - request->arrived);
    request->reply->send(caller::answerResponse(answer));
    request->reply = nullptr;
    table_.remove(request);
}

// If an earlier attempt may have been executed, the outcome is unknown even if the last one was
// not.
void Dispatcher::refuse(const PendingPtr &request, Failure failure)
{
    if (!request->reply)
        return;
    if (request->maybeExecuted && failure.executed == Executed::No)
        failure.executed = Executed::Unknown;
    parts_.metrics.countRefused(failure.reason);
    caller::Problem problem = caller::makeProblem(failure.reason, std::move(failure.detail));
    problem.executed = failure.executed;
    problem.retryAfter = failure.retryAfter;
    request->reply->send(caller::problemResponse(problem));
    request->reply = nullptr;
    release(request);
}

void Dispatcher::onDeadline(const PendingPtr &request)
{
    if (request->state == RequestState::Abandoned)
        return table_.remove(request);
    const bool inFlight = request->state == RequestState::InFlight;
    const Executed executed = inFlight ? Executed::Unknown : Executed::No;
    const std::string detail = request->lastReason == Reason::None
        ? std::string()
        : "last attempt failed with " + std::string(reasonInfo(request->lastReason).name);
    if (inFlight)
        cancelAtOwner(request);
    refuse(request, {Reason::DeadlineExceeded, executed, detail, Duration(0)});
}

void Dispatcher::onCallerDisconnected(caller::ConnectionId connection)
{
    const PendingPtr request = table_.findByConnection(connection);
    if (!request)
        return;
    parts_.metrics.countCallerDisconnected();
    request->reply = nullptr;
    if (request->state == RequestState::InFlight)
        cancelAtOwner(request);
    release(request);
}

void Dispatcher::cancelAtOwner(const PendingPtr &request)
{
    const inner::Execute &execute = request->admitted.execute;
    parts_.links
        .send(request->link, inner::Cancel {execute.requestId, execute.group, execute.transaction})
        .IgnoreError();
}

// Keeps a Begin in flight until its answer arrives, so that the transaction it opened is cancelled.
void Dispatcher::release(const PendingPtr &request)
{
    const bool isBegin = request->admitted.execute.step == inner::StatementStep::Begin;
    if (isBegin && request->state == RequestState::InFlight)
        table_.abandon(request, parts_.timers.now() + abandonedBeginTimeout);
    else
        table_.remove(request);
}

void Dispatcher::onLinkDown(inner::LinkId link)
{
    for (const PendingPtr &request : table_.findByLink(link)) {
        if (request->state == RequestState::Abandoned) {
            table_.remove(request);
            continue;
        }
        parts_.directory.suspect(request->admitted.execute.group, request->owner);
        onFailure(request,
                  {Reason::OwnerUnreachable, Executed::Unknown, "the link to the owner broke",
                   Duration(0)});
    }
}

} // namespace kelptally::entry
