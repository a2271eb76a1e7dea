#include "group/grouprunner.h"

#include "session/statementrules.h"

#include <algorithm>

namespace kelptally::group {

using session::commits;
using session::continuesTransaction;
using session::needsPrimary;

namespace {

// Interval at which the queue is dispatched in the absence of events.
constexpr Duration dispatchInterval = std::chrono::milliseconds(10);
// Exceeds the time in which an earlier owner's transactions end and in which a server drops the
// connections of a lost peer. Until then the primary may run untracked commits.
constexpr Duration untrackedCommitTimeout = std::chrono::milliseconds(3500);
// Query interval for servers missing from the list, and the time without an answer after which an
// unlisted server is removed.
constexpr Duration missingPollInterval = std::chrono::milliseconds(500);
constexpr Duration missingServerTimeout = std::chrono::seconds(2);
// Minimum interval between checks of the whole queue for overload and refusals. Each visits every
// queued statement, which is too costly for every dispatch on hosts with little processor time.
constexpr Duration queueCheckInterval = std::chrono::milliseconds(10);
// Interval of the check for silent connections while statements are running.
constexpr Duration silenceCheckInterval = std::chrono::milliseconds(25);

} // namespace

GroupRunner::GroupRunner(const Parts &parts, const GroupName &group)
    : parts_(parts), group_(group),
      failoverController_({parts.timers, parts.ownership, parts.promotions, parts.log,
                           parts.metrics, parts.probe, [this] { return oldestWrite(); },
                           [this] { return commits_.replacementDue(parts_.timers.now()); }},
                          group, servers_, *this)
{ }

GroupRunner::~GroupRunner()
{
    *alive_ = false;
}

GroupServer *GroupRunner::find(const ServerName &id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.get();
}

// Servers and ownership

void GroupRunner::setServers(const std::vector<ListedServer> &servers)
{
    std::set<ServerName> listed;
    for (const ListedServer &server : servers) {
        listed.insert(server.id());
        auto &known = servers_[server.id()];
        if (known) {
            if (known->update(server))
                onRestarted(*known);
            continue;
        }
        const GroupServer::Parts parts {parts_.timers,
                                        parts_.connector,
                                        parts_.log,
                                        parts_.times,
                                        [this] { scheduleDispatch(); },
                                        [this](const ServerName &id, ConnectOutcome outcome) {
                                            onConnectionFailure(id, outcome);
                                        },
                                        parts_.onSilentConnections,
                                        parts_.policies};
        known = std::make_unique<GroupServer>(parts, server);
        known->setMaxConnections(options_.maxConnections, options_.byOrganisation);
        if (active_)
            known->warmUp();
    }
    for (const auto &[id, server] : servers_)
        if (listed.count(id) == 0)
            server->onUnlisted();
    removeUnlisted();
    failoverController_.onServersChanged();
    pollMissingServers();
    scheduleDispatch();
}

// Removes unlisted servers that no longer answer. A server that still answers may have confirmed
// commits that no other replica has received.
void GroupRunner::removeUnlisted()
{
    const Instant now = parts_.timers.now();
    std::vector<ServerName> unresponsiveServers;
    for (const auto &[id, server] : servers_)
        if (server->isUnlisted()
            && (!active_ || now - server->lastResponseAt() >= missingServerTimeout))
            unresponsiveServers.push_back(id);
    for (const ServerName &id : unresponsiveServers) {
        closeServer(id);
        servers_.erase(id);
    }
}

// Queries servers missing from the list to learn whether they still answer.
void GroupRunner::pollMissingServers()
{
    const bool any = std::any_of(servers_.begin(), servers_.end(),
                                 [](const auto &each) { return each.second->listed().missing; });
    if (missingPollScheduled_ || !any)
        return;
    missingPollScheduled_ = true;
    for (const auto &[id, server] : servers_)
        if (active_ && server->listed().missing)
            server->control({}, missingPollInterval, [](const BatchResult &) {});
    parts_.timers.subscribeAfter(missingPollInterval, [this, alive = alive_] {
        if (!*alive)
            return;
        missingPollScheduled_ = false;
        const std::size_t before = servers_.size();
        removeUnlisted();
        if (servers_.size() != before)
            failoverController_.onServersChanged();
        pollMissingServers();
    });
}

// Ends the transactions of the server's previous run.
void GroupRunner::onRestarted(GroupServer &server)
{
    std::vector<Origin> ended;
    for (const auto &[origin, transaction] : transactions_)
        if (transaction.server == server.id() && !transaction.job
            && !transaction.connection->connection->isOpen())
            ended.push_back(origin);
    for (const Origin &origin : ended)
        removeTransaction(origin);
    if (active_)
        server.warmUp();
    failoverController_.onRestarted(server.id());
}

void GroupRunner::setOptions(const session::GroupOptions &options)
{
    options_ = options;
    for (const auto &[id, server] : servers_)
        server->setMaxConnections(options.maxConnections, options.byOrganisation);
}

void GroupRunner::onAcquired()
{
    active_ = true;
    untrackedCommitsAt_ = parts_.timers.now();
    positions_.clear();
    commits_.reset();
    for (const auto &[id, server] : servers_)
        server->warmUp();
    failoverController_.start();
}

void GroupRunner::onLost()
{
    active_ = false;
    failoverController_.stop();
    // Idle connections count towards the servers' limits, and with connections per organisation the
    // next owner needs many.
    if (options_.byOrganisation)
        for (const auto &[id, server] : servers_)
            server->closeIdle();
    refuseUnverified();
    // Queued statements have not run; the next owner can execute them.
    const std::list<JobPtr> queue = std::move(queue_);
    queue_.clear();
    for (const JobPtr &job : queue)
        refuse(job, Reason::NotOwner, Executed::No, "the group has another owner");
    watchQueue(parts_.timers.now());
}

bool GroupRunner::isIdle() const
{
    return !active_ && running_.empty() && transactions_.empty() && !mayPromotionArrive();
}

std::optional<Instant> GroupRunner::oldestWrite() const
{
    std::optional<Instant> oldest;
    for (const JobPtr &job : running_) {
        if (commits(job->statement) && job->server == failoverController_.primary()
            && (!oldest || job->sentAt < *oldest))
            oldest = job->sentAt;
    }
    return oldest;
}

// Returns an upper bound on the commits that the primary may have logged after this one: the other
// running commits, and another owner's largest window while untracked commits are possible.
int GroupRunner::countConcurrentCommits(const JobPtr &job)
{
    const Instant now = parts_.timers.now();
    if (!parts_.ownership.isSoleOwner(group_))
        untrackedCommitsAt_ = now;
    const auto own = std::count_if(running_.begin(), running_.end(), [&](const JobPtr &other) {
        return other != job && other->server == job->server && commits(other->statement);
    });
    const GroupServer *server = find(job->server);
    const bool areUntrackedPossible =
        server != nullptr && now - untrackedCommitsAt_ < untrackedCommitTimeout;
    const int untracked = areUntrackedPossible ? decision::SlotWindow::maxSize(server->slots()) : 0;
    return static_cast<int>(own) + untracked;
}

// Returns whether a replica must confirm the statement's commit before it is acknowledged.
bool GroupRunner::needsConfirmation(const JobPtr &job) const
{
    if (!options_.synchronous || !commits(job->statement))
        return false;
    const Transaction *transaction = transactionOf(job);
    return !job->statement.inTransaction || (transaction != nullptr && transaction->wrote);
}

void GroupRunner::closeStaleIdle(Instant since)
{
    for (const auto &[id, server] : servers_)
        server->closeStaleIdle(since);
}

void GroupRunner::scheduleSilenceCheck()
{
    if (silenceCheckScheduled_)
        return;
    silenceCheckScheduled_ = true;
    parts_.timers.subscribeAfter(silenceCheckInterval, [this, alive = alive_] {
        if (!*alive)
            return;
        silenceCheckScheduled_ = false;
        const Instant now = parts_.timers.now();
        for (const auto &[id, server] : servers_)
            server->detectSilentConnections(now);
        if (!running_.empty())
            scheduleSilenceCheck();
    });
}

void GroupRunner::closeAll()
{
    for (const auto &[id, server] : servers_)
        closeServer(id);
    // Running statements end as lost, and no connection is left for the transactions.
    transactions_.clear();
}

inner::GroupStatus GroupRunner::status() const
{
    inner::GroupStatus status;
    status.group = group_;
    status.primary = failoverController_.primary();
    status.leaseLeft = std::max(Duration(0), parts_.ownership.leaseLeft(group_));
    if (const OwnershipRecord *record = parts_.ownership.record(group_)) {
        status.epoch = record->epoch;
        status.owner = record->owner;
        status.term = record->term;
    }
    for (const auto &[id, server] : servers_) {
        inner::ServerStatus each;
        each.server = id;
        each.zone = server->listed().zone;
        each.reachable = !server->isUnreachable();
        each.primary = id == failoverController_.primary();
        each.draining = server->listed().leaving;
        each.position = server->observed.position.value_or(Position());
        each.lag = server->observed.lag;
        each.connectionsOpen = server->connections();
        each.slotsBusy = server->inFlight();
        // The group's single queue is reported for the primary.
        each.queued = each.primary ? static_cast<int>(queue_.size()) : 0;
        status.servers.push_back(std::move(each));
    }
    return status;
}

ZoneName GroupRunner::primaryZone() const
{
    const auto found = servers_.find(failoverController_.primary());
    return found == servers_.end() ? ZoneName() : found->second->listed().zone;
}

void GroupRunner::onConnectionFailure(const ServerName &server, ConnectOutcome outcome)
{
    failoverController_.onConnectionFailure(server, outcome);
    scheduleProbe(server);
    scheduleDispatch();
}

// Probes an unreachable server until it answers. It gets no statements meanwhile, so nothing else
// would show that it is back.
void GroupRunner::scheduleProbe(const ServerName &id)
{
    const GroupServer *server = find(id);
    if (!active_ || server == nullptr || !server->isUnreachable() || server->isUnlisted()
        || !probing_.insert(id).second)
        return;
    const Duration delay = server->observed.reach.retryDelay();
    parts_.timers.subscribeAfter(delay, [this, alive = alive_, id] {
        if (!*alive)
            return;
        GroupServer *unreachable = find(id);
        if (!active_ || unreachable == nullptr || !unreachable->isUnreachable()) {
            probing_.erase(id);
            return;
        }
        unreachable->probe([this, alive, id] {
            if (!*alive)
                return;
            probing_.erase(id);
            scheduleProbe(id);
            scheduleDispatch();
        });
    });
}

void GroupRunner::onPrimaryAdopted(const ServerName &server)
{
    // Positions of the old primary may not exist in the new primary's log.
    positions_.clear();
    commits_.reset();
    primarySince_ = parts_.timers.now();
    if (GroupServer *primary = find(server))
        primary->warmUp();
    scheduleDispatch();
}

void GroupRunner::onPrimaryLost(const ServerName &server)
{
    refuseUnverified();
    closeServer(server);
}

void GroupRunner::onCandidateNotLeading(Instant queriedAt, Position candidatePosition)
{
    while (!unverified_.empty() && unverified_.front().receivedAt <= queriedAt) {
        const std::optional<Position> &position = unverified_.front().done.position;
        if (position && candidatePosition < *position)
            return;
        Unverified verified = std::move(unverified_.front());
        unverified_.pop_front();
        if (verified.done.position)
            failoverController_.onAcknowledged(*verified.done.position,
                                               countConcurrentCommits(verified.job));
        finish(verified.job, std::move(verified.done));
    }
}

// It can no longer be determined whether these acknowledgements preceded the replacement.
void GroupRunner::refuseUnverified()
{
    const auto open = std::move(unverified_);
    unverified_.clear();
    for (const Unverified &each : open)
        refuse(each.job, Reason::Unconfirmed, Executed::Unknown,
               "the primary may have been replaced before it answered");
}

void GroupRunner::onWritesHeld(bool held)
{
    writesHeld_ = held;
    scheduleDispatch();
}

// Closes all connections to the server and ends its transactions.
void GroupRunner::closeServer(const ServerName &id)
{
    std::vector<Origin> ended;
    for (const auto &[origin, transaction] : transactions_)
        if (transaction.server == id && !transaction.job)
            ended.push_back(origin);
    for (const Origin &origin : ended)
        removeTransaction(origin);
    if (GroupServer *server = find(id))
        server->closeAll();
}

// Queuing and dispatch

void GroupRunner::run(inner::LinkId origin, inner::RunStatement statement,
                      session::DoneCallback callback)
{
    // A begin shows that the session's entry has given up every earlier transaction of it.
    if (statement.begins != inner::TransactionMode::None) {
        const Origin session {origin, statement.session};
        if (replaceCopy(session, statement, callback))
            return;
        rollBack(session, statement.requestId - 1);
    }
    const Instant now = parts_.timers.now();
    auto job = std::make_shared<Job>();
    job->statement = std::move(statement);
    job->origin = {origin, job->statement.session};
    job->callback = std::move(callback);
    job->waiting = decision::makeWaitingStatement(now, job->statement.objective,
                                                  job->statement.timeLeft, job->statement.priority,
                                                  continuesTransaction(job->statement));
    job->waiting.due -=
        std::clamp(job->statement.operationAge, Duration(0), job->statement.objective);
    job->waiting.service = serviceTimes_.typical(job->statement.objective, job->statement.priority);
    job->isFairQueued = usesFairQueuing(job->statement.organisation);
    if (job->isFairQueued)
        job->waiting.startTag =
            fairQueuing_.onArrival(job->statement.organisation, job->waiting.service);
    job->values = valuesOf(job->statement);
    if (continuesTransaction(job->statement)) {
        const auto open = transactions_.find(job->origin);
        if (open == transactions_.end() || open->second.job)
            return refuse(job, Reason::TransactionEnded, Executed::No,
                          "the transaction's connection was lost");
        open->second.job = job;
    } else if (!active_) {
        return refuse(job, Reason::NotOwner, Executed::No, "the group has another owner");
    }
    const OrganisationName &organisation = job->statement.organisation;
    if (!organisation.empty() && !continuesTransaction(job->statement)
        && !parts_.quotas.isKnown(job->statement))
        return refuse(job, Reason::Unauthenticated, Executed::No,
                      "the organisation is no longer valid");
    if (decision::isQueueFull(queue_.size()) && !continuesTransaction(job->statement))
        return refuse(job, Reason::QueueFull, Executed::No, "the queue of the group is full",
                      retryHint());
    if (!continuesTransaction(job->statement) && !takeQuota(job))
        return refuseForQuota(job);
    if (!continuesTransaction(job->statement))
        kindShares_.onArrival(kindOf(job->statement), job->waiting.service, now);
    job->timer = parts_.timers.subscribeAt(job->waiting.queueDeadline, [this, alive = alive_, job] {
        if (*alive)
            onQueueTimeout(job);
    });
    enqueue(job);
    dispatchQueue();
}

bool GroupRunner::usesFairQueuing(const OrganisationName &organisation) const
{
    switch (parts_.policies.queueDiscipline) {
    case decision::QueueDiscipline::FairUnlessLimited:
        return !organisation.empty() && !parts_.quotas.hasQuota(organisation);
    case decision::QueueDiscipline::Fair:
        return !organisation.empty();
    case decision::QueueDiscipline::EarliestDueDate:
        break;
    }
    return false;
}

// Charges an operation once, at its first statement. Returns false if the quota is used up.
bool GroupRunner::takeQuota(const JobPtr &job)
{
    if (job->statement.organisation.empty())
        return true;
    const QuotaManager::TakeResult takeResult = parts_.quotas.take(job->statement.organisation);
    job->quota =
        takeResult == QuotaManager::TakeResult::Taken ? Job::Quota::Taken : Job::Quota::Requested;
    return takeResult != QuotaManager::TakeResult::Refused;
}

void GroupRunner::refuseForQuota(const JobPtr &job)
{
    refuse(job, Reason::QuotaExceeded, Executed::No, "the organisation's quota is used up",
           parts_.quotas.refuse(job->statement.organisation));
}

void GroupRunner::enqueue(const JobPtr &job)
{
    if (job->statement.begins != inner::TransactionMode::None)
        begins_[job->origin] = job;
    queue_.push_back(job);
}

void GroupRunner::sortQueue(Instant now)
{
    if (queue_.size() < 2)
        return;
    const std::optional<Instant> overloadedSince = overload_.overloadedSince();
    for (const JobPtr &job : queue_) {
        job->waiting.overShare = fairQueuing_.isOverShare(job->waiting.startTag);
        if (!overloadedSince)
            continue;
        // Statements of one kind are ordered by arrival only if their estimates are equal.
        const decision::StatementKind kind = kindOf(job->statement);
        job->waiting.service = serviceTimes_.typical(kind.first, kind.second);
        job->waiting.behindShare = kindShares_.isBehind(kind);
    }
    queue_.sort([now, overloadedSince](const JobPtr &a, const JobPtr &b) {
        return decision::precedes(a->waiting, b->waiting, now, overloadedSince);
    });
}

void GroupRunner::scheduleDispatch()
{
    if (dispatchScheduled_)
        return;
    dispatchScheduled_ = true;
    parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_] {
        if (!*alive)
            return;
        dispatchScheduled_ = false;
        dispatchQueue();
    });
}

bool GroupRunner::hasFreeSlot(Instant now) const
{
    return std::any_of(servers_.begin(), servers_.end(), [now](const auto &each) {
        return !each.second->isUnreachable() && each.second->hasSlot()
            && now >= each.second->observed.busyUntil;
    });
}

// Starts queued statements in rank order. The queue is not sorted while no server has a free slot:
// each freed slot triggers another dispatch.
void GroupRunner::dispatchQueue()
{
    const Instant now = parts_.timers.now();
    bool mayStart = hasFreeSlot(now);
    if (mayStart)
        sortQueue(now);
    std::optional<Instant> later;
    for (auto at = queue_.begin(); at != queue_.end();) {
        const JobPtr job = *at;
        if (!mayStart && job->quota != Job::Quota::Requested) {
            ++at;
            continue;
        }
        if (job->notBefore > now) {
            later = later ? std::min(*later, job->notBefore) : job->notBefore;
            ++at;
            continue;
        }
        // tryStart() may end other statements, but does not remove any from the queue.
        if (tryStart(job, now)) {
            at = queue_.erase(at);
            mayStart = hasFreeSlot(now);
        } else {
            ++at;
        }
    }
    if (queue_.empty() || now >= nextQueueCheck_) {
        watchQueue(now);
        refuseTooLate(now);
    }
    // Waiting for a connection, a lagging replica or the lease triggers no event. A freed slot does
    // not wait for this timer, see scheduleDispatch().
    if (queue_.empty() || pollScheduled_)
        return;
    pollScheduled_ = true;
    const Instant next = later ? std::min(*later, now + dispatchInterval) : now + dispatchInterval;
    parts_.timers.subscribeAt(next, [this, alive = alive_] {
        if (!*alive)
            return;
        pollScheduled_ = false;
        dispatchQueue();
    });
}

// Detects overload, and notes which statements wait only for a slot.
void GroupRunner::watchQueue(Instant now)
{
    nextQueueCheck_ = now + queueCheckInterval;
    const bool anySlotFree = hasFreeSlot(now);
    bool anyWaits = false;
    bool anyLate = false;
    for (const JobPtr &job : queue_) {
        job->waitsForSlot = waitsForSlot(job, anySlotFree, now);
        job->waiting.wasBlocked =
            job->waiting.wasBlocked || !job->waitsForSlot || job->attempts != 0;
        anyWaits = anyWaits || job->waitsForSlot;
        anyLate = anyLate || decision::isTooLate(job->waiting, waitState(job), now);
    }
    switch (overload_.update(anyWaits, anyLate, now)) {
    case decision::OverloadWatch::Change::None:
        break;
    case decision::OverloadWatch::Change::Entered:
        parts_.times.countOverload();
        parts_.log.info("overload_began")
            .with("group", group_)
            .with("queued", std::uint64_t(queue_.size()));
        break;
    case decision::OverloadWatch::Change::Left:
        parts_.log.info("overload_ended")
            .with("group", group_)
            .with("queued", std::uint64_t(queue_.size()))
            .with("started", overload_.started())
            .with("refused", overload_.refused())
            .with("lasted_ms", now - overload_.lastStart());
        break;
    }
}

// Refuses the statements that have waited for a slot for too long.
void GroupRunner::refuseTooLate(Instant now)
{
    std::vector<JobPtr> expired;
    for (const JobPtr &job : queue_)
        if (job->waitsForSlot && decision::giveUpAt(job->waiting, waitState(job), now) <= now)
            expired.push_back(job);
    // The callback of a refused statement may add statements to the queue and start others.
    for (const JobPtr &job : expired)
        if (!job->done && !job->running)
            onDeadline(job);
}

Duration GroupRunner::retryHint()
{
    const double random = static_cast<double>(random_() - std::minstd_rand::min())
        / static_cast<double>(std::minstd_rand::max() - std::minstd_rand::min());
    return decision::retryHint(!failoverController_.primary().empty(), random);
}

bool GroupRunner::tryStart(const JobPtr &job, Instant now)
{
    // 1. The organisation's quota must allow the statement.
    if (job->quota == Job::Quota::Requested && !takeQuota(job)) {
        parts_.timers.subscribeAt(now, [this, alive = alive_, job] {
            if (*alive)
                refuseForQuota(job);
        });
        return true;
    }
    if (job->quota == Job::Quota::Requested)
        return false;
    // 2. Without the lease, the primary may have been replaced.
    if (!parts_.ownership.hasLease(group_))
        return false;
    // 3. An open transaction stays on its connection.
    if (continuesTransaction(job->statement)) {
        Transaction *transaction = transactionOf(job);
        if (transaction == nullptr) {
            parts_.timers.subscribeAt(now, [this, alive = alive_, job] {
                if (*alive)
                    refuse(job, Reason::TransactionEnded, Executed::No,
                           "the transaction's connection was lost");
            });
            return true;
        }
        return startInTransaction(job, *transaction);
    }
    // 4. Otherwise select a server with a free slot, and a connection to it.
    GroupServer *server = chooseServer(job, now);
    if (server == nullptr)
        return false;
    const ServerPool::TakeResult taken = server->take(job->values, job->statement.organisation);
    countConnectionAction(*job, taken.connectionAction);
    if (!taken.connection)
        return false;
    start(job, *server, taken.connection);
    return true;
}

// Counts consecutive equal outcomes of one statement once.
void GroupRunner::countConnectionAction(Job &job, decision::ConnectionAction connectionAction)
{
    if (job.connectionAction == connectionAction)
        return;
    job.connectionAction = connectionAction;
    parts_.times.countConnectionAction(connectionAction);
}

bool GroupRunner::startInTransaction(const JobPtr &job, Transaction &transaction)
{
    GroupServer *server = find(transaction.server);
    if (server != nullptr && !server->hasSlot())
        return false;
    // Hold back the commit: an unsent one can still be refused as not executed.
    if (needsConfirmation(job) && !commits_.maySend(parts_.timers.now()))
        return false;
    if (server == nullptr || !transaction.connection->connection->isOpen()) {
        removeTransactionOf(job);
        parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_, job] {
            if (*alive)
                refuse(job, Reason::TransactionEnded, Executed::No,
                       "the transaction's connection was lost");
        });
        return true;
    }
    start(job, *server, transaction.connection);
    return true;
}

decision::WaitState GroupRunner::waitState(const JobPtr &job) const
{
    decision::WaitState state;
    state.executing = job->running || job->unverified;
    state.needsPrimary = needsPrimary(job->statement);
    state.ownsGroup = active_;
    state.hasPrimary = !failoverController_.primary().empty();
    state.primarySince = primarySince_;
    state.waitsForSlot = job->waitsForSlot;
    state.overloadedSince = overload_.overloadedSince();
    return state;
}

void GroupRunner::onQueueTimeout(const JobPtr &job)
{
    if (job->done)
        return;
    const Instant now = parts_.timers.now();
    const Instant limit = decision::giveUpAt(job->waiting, waitState(job), now);
    if (limit <= now)
        return onDeadline(job);
    job->timer = parts_.timers.subscribeAt(limit, [this, alive = alive_, job] {
        if (*alive)
            onQueueTimeout(job);
    });
}

void GroupRunner::onDeadline(const JobPtr &job)
{
    if (job->done)
        return;
    if (job->unverified)
        return refuse(job, Reason::Unconfirmed, Executed::Unknown,
                      "the primary may have been replaced before it answered");
    // 1. The statement was never sent.
    if (!job->running) {
        queue_.remove(job);
        removeTransactionOf(job);
        const bool hasPrimary = !failoverController_.primary().empty();
        if (job->waitsForSlot) {
            overload_.onRefused();
            if (overload_.overloadedSince())
                parts_.times.countOverloadRefusal();
            if (!continuesTransaction(job->statement))
                kindShares_.onRefused(kindOf(job->statement), parts_.timers.now());
        }
        parts_.log
            .info("statement_not_started",
                  job->connectionAction ? decision::connectionActionName(*job->connectionAction)
                                        : "wait_for_slot")
            .with("id", job->statement.statementId)
            .with("group", group_)
            .with("organisation", job->statement.organisation)
            .with("waited_ms", parts_.timers.now() - job->waiting.arrived)
            .with("queued", std::uint64_t(queue_.size()));
        return refuse(job, hasPrimary ? Reason::DeadlineTooShort : Reason::NoPrimary, Executed::No,
                      "no server was free in time", retryHint());
    }
    // 2. The statement is running: close its connection.
    const bool isCommit = commits(job->statement);
    if (isCommit)
        untrackedCommitsAt_ = parts_.timers.now();
    refuse(job, Reason::DeadlineExceeded, isCommit ? Executed::Unknown : Executed::No,
           "the server did not answer in time");
    job->connection->connection->close();
}

} // namespace kelptally::group
