#include "owner/readrunner.h"

#include "owner/ownermetrics.h"
#include "owner/statementerror.h"

#include <algorithm>

namespace kelptally::owner {

using decision::PrimaryCause;
using decision::Route;
using decision::RouteKind;

namespace {

// Upper bound of an answer's transit time from the owner to the entry, deducted from the stated
// age.
constexpr Duration entryTransitAllowance = std::chrono::milliseconds(5);
// Attempts after which a read is refused.
constexpr int maxAttempts = 5;
// Delay before routing again when the route names none.
constexpr Duration defaultReplicaWait = std::chrono::milliseconds(2);
constexpr Duration retryAfterRefusal = std::chrono::milliseconds(200);

} // namespace

struct ReadRunner::Read
{
    RequestPtr request;
    decision::ReadRequirements requirements;
    int attempts = 0;
    bool queued = false;
    TimerId timer = 0;
    // State of the current attempt.
    ServerName server;
    PrimaryCause cause = PrimaryCause::None;
    decision::Work work;
    Term term = 0;
    Instant sentAt;
    // The data is at least as recent as this.
    std::optional<Instant> asOf;
    std::optional<Position> position;
};

ReadRunner::ReadRunner(GroupContext &context) : context_(context)
{
    configure();
}

ReadRunner::~ReadRunner()
{
    for (const auto &[number, read] : reads_)
        context_.ports.timers.cancel(read->timer);
}

void ReadRunner::configure()
{
    routing_ = std::make_unique<decision::Routing>(context_.limits().primaryReadPercent);
}

void ReadRunner::run(const RequestPtr &request)
{
    auto read = std::make_shared<Read>();
    read->request = request;
    read->requirements.sessionPosition = request->execute.sessionPosition;
    if (request->execute.statedAge) {
        const Duration transit = context_.limits().callerTransit + entryTransitAllowance;
        read->requirements.statedAge = std::max(Duration(0), *request->execute.statedAge - transit);
    }
    reads_.emplace(request->number, read);
    route(read);
}

std::size_t ReadRunner::waiting() const
{
    return reads_.size();
}

// Refuses the read and returns false when no server may answer it at present.
bool ReadRunner::admit(const ReadPtr &read)
{
    if (!context_.ownership.holdsLease()) {
        refuse(read, {Reason::LeaseLost, "", Executed::No, retryAfterRefusal, ""});
        return false;
    }
    const decision::Failover *failover = context_.failover.decision();
    const auto &position = read->requirements.sessionPosition;
    if (!position || !failover || failover->term() == 0)
        return true;
    if (failover->term() < position->term) {
        refuse(read,
               {Reason::PositionNotReached, "the position belongs to a later term", Executed::No,
                retryAfterRefusal, ""});
        return false;
    }
    if (failover->isLost(*position)) {
        refuse(read, {Reason::PositionLost, "", Executed::No, Duration(0), ""});
        return false;
    }
    return true;
}

void ReadRunner::route(const ReadPtr &read)
{
    if (read->request->answered || !admit(read))
        return;
    const Instant now = context_.now();
    read->requirements.timeLeft = read->request->deadline - now;
    read->requirements.waited = now - read->request->arrived;
    const auto &servers =
        context_.servers.viewsFor(now, read->request->requestClass, read->request->execute.team);
    const Route route = routing_->routeRead(read->requirements, servers, now);
    switch (route.kind) {
    case RouteKind::Server:
        submit(read, route);
        return;
    case RouteKind::Refuse:
        refuse(read,
               {route.reason, "", Executed::No, std::max(route.retryIn, retryAfterRefusal), ""});
        return;
    case RouteKind::Wait:
        break;
    }
    context_.failover.requestReplicaSamples();
    const Duration wait = route.retryIn > Duration(0) ? route.retryIn : defaultReplicaWait;
    std::weak_ptr<bool> alive = alive_;
    context_.ports.timers.cancel(read->timer);
    read->timer = context_.ports.timers.subscribeAfter(wait, [this, alive, read] {
        if (alive.expired())
            return;
        read->timer = 0;
        this->route(read);
    });
}

void ReadRunner::onReports()
{
    std::vector<ReadPtr> waiting;
    for (const auto &[number, read] : reads_)
        if (read->timer != 0)
            waiting.push_back(read);
    for (const ReadPtr &read : waiting) {
        context_.ports.timers.cancel(read->timer);
        read->timer = 0;
        route(read);
    }
}

void ReadRunner::submit(const ReadPtr &read, const Route &route)
{
    ServerExecutor *executor = context_.servers.executor(route.server);
    if (!executor) {
        retry(read, Reason::OwnerUnreachable);
        return;
    }
    read->server = route.server;
    read->cause = route.cause;
    read->queued = true;
    read->work = workOf(*read->request);
    ExecutorWork work;
    work.work = read->work;
    std::weak_ptr<bool> alive = alive_;
    work.start = [this, alive, read](const ConnectionPtr &connection) {
        if (!alive.expired())
            start(read, connection);
    };
    work.refused = [this, alive, read](const WorkRefusal &refusal) {
        if (!alive.expired())
            onRefused(read, refusal);
    };
    executor->submit(std::move(work));
}

void ReadRunner::start(const ReadPtr &read, const ConnectionPtr &connection)
{
    read->queued = false;
    ServerExecutor *executor = context_.servers.executor(read->server);
    const Instant now = context_.now();
    const decision::ServerView view = context_.servers.view(read->server, now);
    const bool fit = view.primary || qualifies(view, read->requirements);
    if (!executor || read->request->answered || !fit || !context_.ownership.holdsLease()) {
        if (executor) {
            executor->finished(read->work, std::nullopt);
            executor->release(connection, true);
        }
        if (!read->request->answered)
            route(read);
        return;
    }
    // A lower bound: the server may have applied more by the time the statement runs.
    const decision::Failover *failover = context_.failover.decision();
    read->term = failover ? failover->term() : 0;
    read->sentAt = now;
    read->asOf = view.primary ? now : now - view.age.value_or(Duration(0));
    read->position = view.applied;
    if (!view.primary && !view.age)
        read->asOf.reset();
    context_.ports.metrics.observeQueueWait(now - read->request->arrived);
    std::weak_ptr<bool> alive = alive_;
    connection->run(makeBatch(*read), [this, alive, read, connection](backend::BatchResult result) {
        if (!alive.expired())
            onResult(read, connection, std::move(result));
    });
}

// At the primary a read-only transaction keeps functions from writing; a replica refuses writes
// itself.
std::vector<backend::Statement> ReadRunner::makeBatch(const Read &read)
{
    backend::Statement statement {read.request->execute.sql, read.request->execute.parameters};
    if (read.cause == PrimaryCause::None)
        return {std::move(statement)};
    return {{"BEGIN READ ONLY", {}}, std::move(statement), {"COMMIT", {}}};
}

void ReadRunner::onResult(const ReadPtr &read, const ConnectionPtr &connection,
                          backend::BatchResult result)
{
    context_.servers.release(read->server, connection, !result.connectionLost);
    context_.onStatementEnded(read->server, read->work, read->sentAt, result.connectionLost);
    if (read->request->answered)
        return;
    if (result.state == backend::BatchState::Done && !result.rows.empty()) {
        const std::size_t at = result.rows.size() > 1 ? 1 : 0;
        onDone(read, std::move(result.rows[at]));
        return;
    }
    if (result.state == backend::BatchState::Failed && !isServerStopping(result.sqlState)) {
        refuse(read,
               {Reason::StatementFailed, describeError(result.sqlState, result.message),
                Executed::No, Duration(0), ""});
        return;
    }
    retry(read, Reason::NoPrimary);
}

// Whether the answer may be returned: the term is unchanged, the primary too if it answered, and
// the data is still within the stated age.
bool ReadRunner::isStillValid(const Read &read) const
{
    const decision::Failover *failover = context_.failover.decision();
    if (!failover || !context_.ownership.holdsLease())
        return false;
    if (failover->term() != read.term)
        return false;
    if (read.cause != PrimaryCause::None)
        return failover->primary() == read.server;
    if (!read.requirements.statedAge)
        return true;
    return read.asOf && context_.now() - *read.asOf <= *read.requirements.statedAge;
}

void ReadRunner::onDone(const ReadPtr &read, Rows rows)
{
    if (!isStillValid(*read)) {
        context_.ports.metrics.countReadRepeated();
        retry(read, Reason::ReplicaTooStale);
        return;
    }
    inner::ExecuteResult result;
    result.executed = Executed::Yes;
    result.rows = std::move(rows);
    result.fromReplica = read->cause == PrimaryCause::None;
    result.server = read->server;
    if (read->asOf)
        result.age = context_.now() - *read->asOf;
    result.position = read->requirements.sessionPosition;
    context_.ports.metrics.countRead(read->cause);
    remove(read);
    context_.responder.answer(*read->request, std::move(result));
}

void ReadRunner::onRefused(const ReadPtr &read, const WorkRefusal &refusal)
{
    read->queued = false;
    if (read->request->answered)
        return;
    if (refusal.unreachable) {
        context_.servers.onUnreachable(read->server);
        retry(read, Reason::NoPrimary);
        return;
    }
    refuse(read, {refusal.reason, refusal.detail, Executed::No, refusal.retryAfter, ""});
}

void ReadRunner::retry(const ReadPtr &read, Reason retryReason)
{
    if (++read->attempts >= maxAttempts) {
        refuse(read, {retryReason, "several attempts failed", Executed::No, retryAfterRefusal, ""});
        return;
    }
    context_.ports.metrics.countRetry(retryReason);
    route(read);
}

void ReadRunner::refuse(const ReadPtr &read, Refusal refusal)
{
    remove(read);
    context_.responder.refuse(*read->request, refusal);
}

void ReadRunner::remove(const ReadPtr &read)
{
    context_.ports.timers.cancel(read->timer);
    read->timer = 0;
    if (read->queued)
        if (ServerExecutor *executor = context_.servers.executor(read->server))
            executor->cancel(read->request->number);
    reads_.erase(read->request->number);
}

void ReadRunner::stop(const Refusal &refusal)
{
    std::vector<ReadPtr> all;
    for (const auto &[number, read] : reads_)
        all.push_back(read);
    for (const ReadPtr &read : all)
        refuse(read, refusal);
}

void ReadRunner::expire()
{
    const Instant now = context_.now();
    std::vector<ReadPtr> overdue;
    for (const auto &[number, read] : reads_)
        if (read->request->cancelled || read->request->deadline <= now)
            overdue.push_back(read);
    for (const ReadPtr &read : overdue)
        refuse(read, {Reason::DeadlineExceeded, "", Executed::No, Duration(0), ""});
}

} // namespace kelptally::owner
