#include "group/grouprunner.h"

#include "session/statementrules.h"

#include <algorithm>

namespace kelptally::group {

using session::commits;
using session::continuesTransaction;
using session::needsPrimary;

namespace {

// What waits is looked at this often when no event brings it forward.
constexpr Duration pumpPeriod = std::chrono::milliseconds(10);
// An earlier owner's open transactions end within 1.5 s, and a server drops a connection whose
// other end is gone after 3 s: until then it may run a commit that nobody waits for.
constexpr Duration strangersStay = std::chrono::milliseconds(3500);
// A server without an entry is asked this often, and counts as gone when it has not answered for so
// long: four questions. An answer takes some 4 ms, 25 on a slow host.
constexpr Duration missingPeriod = std::chrono::milliseconds(500);
constexpr Duration answersWithin = std::chrono::seconds(2);
// While statements run, their connections are looked at this often.
constexpr Duration silencePeriod = std::chrono::milliseconds(25);

} // namespace

GroupRunner::GroupRunner(const Parts &parts, const GroupName &group)
    : parts_(parts), group_(group),
      keeper_({parts.timers, parts.ownership, parts.promotions, parts.log, parts.metrics,
               parts.probe, [this] { return oldestWrite(); },
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
        const GroupServer::Parts parts {
            parts_.timers,
            parts_.connector,
            parts_.log,
            parts_.times,
            [this] { pumpSoon(); },
            [this](const ServerName &id, ConnectOutcome outcome) { onTrouble(id, outcome); },
            parts_.onSilence,
            parts_.ways};
        known = std::make_unique<GroupServer>(parts, server);
        known->setMaxConnections(options_.maxConnections, options_.byOrganisation);
        if (active_)
            known->warmUp();
    }
    for (const auto &[id, server] : servers_)
        if (listed.count(id) == 0)
            server->markUnlisted();
    dropUnlisted();
    keeper_.onServersChanged();
    watchMissing();
    pumpSoon();
}

// A server whose entry has lapsed may live, and confirm commits that no other replica receives. As
// long as it answers it is one that may hold them.
void GroupRunner::dropUnlisted()
{
    const Instant now = parts_.timers.now();
    std::vector<ServerName> gone;
    for (const auto &[id, server] : servers_)
        if (server->isUnlisted() && (!active_ || now - server->lastHeard() >= answersWithin))
            gone.push_back(id);
    for (const ServerName &id : gone) {
        dropServer(id);
        servers_.erase(id);
    }
}

// Servers without an entry are asked, so that it is known whether they answer.
void GroupRunner::watchMissing()
{
    const bool any = std::any_of(servers_.begin(), servers_.end(),
                                 [](const auto &each) { return each.second->listed().missing; });
    if (watchingMissing_ || !any)
        return;
    watchingMissing_ = true;
    for (const auto &[id, server] : servers_)
        if (active_ && server->listed().missing)
            server->control({}, missingPeriod, [](const BatchResult &) {});
    parts_.timers.subscribeAfter(missingPeriod, [this, alive = alive_] {
        if (!*alive)
            return;
        watchingMissing_ = false;
        const std::size_t before = servers_.size();
        dropUnlisted();
        if (servers_.size() != before)
            keeper_.onServersChanged();
        watchMissing();
    });
}

// Another run of a server that is known: transactions of the earlier one are gone with it.
void GroupRunner::onRestarted(GroupServer &server)
{
    std::vector<Origin> ended;
    for (const auto &[origin, transaction] : transactions_)
        if (transaction.server == server.id() && !transaction.job
            && !transaction.connection->connection->isOpen())
            ended.push_back(origin);
    for (const Origin &origin : ended)
        forgetTransaction(origin, true);
    if (active_)
        server.warmUp();
    keeper_.onRestarted(server.id());
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
    strangersAt_ = parts_.timers.now();
    positions_.clear();
    commits_.reset();
    for (const auto &[id, server] : servers_)
        server->warmUp();
    keeper_.start();
}

void GroupRunner::onLost()
{
    active_ = false;
    keeper_.stop();
    // The next owner needs the room; where connections belong to organisations it needs many.
    if (options_.byOrganisation)
        for (const auto &[id, server] : servers_)
            server->closeIdle();
    endUnverified();
    // Whatever waits has not run, and the next owner takes it.
    const std::list<JobPtr> queue = std::move(queue_);
    queue_.clear();
    for (const JobPtr &job : queue)
        refuse(job, Reason::NotOwner, Executed::No, "the group has another owner");
}

bool GroupRunner::isQuiet() const
{
    return !active_ && running_.empty() && transactions_.empty();
}

std::optional<Instant> GroupRunner::oldestWrite() const
{
    std::optional<Instant> oldest;
    for (const JobPtr &job : running_) {
        if (commits(job->statement) && job->server == keeper_.primary()
            && (!oldest || job->sentAt < *oldest))
            oldest = job->sentAt;
    }
    return oldest;
}

// Commits that the primary may have put into its log behind this one: those under way here, or as
// many as it runs at a time where others may be under way, too.
int GroupRunner::commitsBeside(const JobPtr &job)
{
    const Instant now = parts_.timers.now();
    if (!parts_.ownership.isSoleOwner(group_))
        strangersAt_ = now;
    const GroupServer *server = find(job->server);
    if (server != nullptr && now - strangersAt_ < strangersStay)
        return server->slots();
    return static_cast<int>(
        std::count_if(running_.begin(), running_.end(), [&](const JobPtr &other) {
            return other != job && other->server == job->server && commits(other->statement);
        }));
}

// Leaves something in the log, where a replica must receive it before it is acknowledged.
bool GroupRunner::needsConfirmation(const JobPtr &job) const
{
    if (!options_.synchronous || !commits(job->statement))
        return false;
    const auto open = transactions_.find(job->origin);
    return !job->statement.inTransaction || (open != transactions_.end() && open->second.wrote);
}

void GroupRunner::dropIdle(Instant since)
{
    for (const auto &[id, server] : servers_)
        server->dropIdle(since);
}

// While statements run, their connections are looked at.
void GroupRunner::watchSoon()
{
    if (watching_)
        return;
    watching_ = true;
    parts_.timers.subscribeAfter(silencePeriod, [this, alive = alive_] {
        if (!*alive)
            return;
        watching_ = false;
        const Instant now = parts_.timers.now();
        for (const auto &[id, server] : servers_)
            server->watchSilence(now);
        if (!running_.empty())
            watchSoon();
    });
}

void GroupRunner::closeAll()
{
    for (const auto &[id, server] : servers_)
        dropServer(id);
    // Statements that ran end as lost with their connections; the rest of a transaction has none.
    transactions_.clear();
}

inner::GroupStatus GroupRunner::status() const
{
    inner::GroupStatus status;
    status.group = group_;
    status.primary = keeper_.primary();
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
        each.primary = id == keeper_.primary();
        each.draining = server->listed().leaving;
        each.position = server->seen.shown.value_or(Position());
        each.lag = server->seen.lag;
        each.connectionsOpen = server->connections();
        each.slotsBusy = server->inFlight();
        // The queue is the group's; what needs the primary is most of it.
        each.queued = each.primary ? static_cast<int>(queue_.size()) : 0;
        status.servers.push_back(std::move(each));
    }
    return status;
}

ZoneName GroupRunner::primaryZone() const
{
    const auto found = servers_.find(keeper_.primary());
    return found == servers_.end() ? ZoneName() : found->second->listed().zone;
}

void GroupRunner::onTrouble(const ServerName &server, ConnectOutcome outcome)
{
    keeper_.onTrouble(server, outcome);
    pumpSoon();
}

void GroupRunner::onPrimary(const ServerName &server)
{
    // Positions of the old primary may hold what the new one does not have.
    positions_.clear();
    commits_.reset();
    primarySince_ = parts_.timers.now();
    if (GroupServer *primary = find(server))
        primary->warmUp();
    pumpSoon();
}

void GroupRunner::onPrimaryLost(const ServerName &server)
{
    endUnverified();
    dropServer(server);
}

void GroupRunner::onCandidateNotLeading(Instant asked, Position held)
{
    while (!unverified_.empty() && unverified_.front().came <= asked) {
        const std::optional<Position> &position = unverified_.front().done.position;
        if (position && held < *position)
            return;
        Unverified verified = std::move(unverified_.front());
        unverified_.pop_front();
        if (verified.done.position)
            keeper_.onAcknowledged(*verified.done.position, commitsBeside(verified.job));
        finish(verified.job, std::move(verified.done));
    }
}

// Nobody will tell any more whether they came before the change.
void GroupRunner::endUnverified()
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
    pumpSoon();
}

// Ends everything that runs at the server.
void GroupRunner::dropServer(const ServerName &id)
{
    std::vector<Origin> ended;
    for (const auto &[origin, transaction] : transactions_)
        if (transaction.server == id && !transaction.job)
            ended.push_back(origin);
    for (const Origin &origin : ended)
        forgetTransaction(origin, true);
    if (GroupServer *server = find(id))
        server->closeAll();
}

// Taking statements

void GroupRunner::run(inner::LinkId origin, inner::RunStatement statement,
                      session::DoneCallback callback)
{
    const Instant now = parts_.timers.now();
    auto job = std::make_shared<Job>();
    job->statement = std::move(statement);
    job->origin = {origin, job->statement.session};
    job->callback = std::move(callback);
    job->waiting = decision::makeWaitingStatement(now, job->statement.objective,
                                                  job->statement.timeLeft, job->statement.priority,
                                                  continuesTransaction(job->statement));
    job->waiting.service = serviceTimes_.typical(job->statement.objective, job->statement.priority);
    if (hasTurns(job->statement.organisation))
        job->waiting.startTag = turns_.onArrival(job->statement.organisation, job->waiting.service);
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
        && !parts_.quotas.isKnown(organisation, job->statement.organisationVersion))
        return refuse(job, Reason::Unauthenticated, Executed::No,
                      "the organisation is not in force any more");
    if (decision::isQueueFull(queue_.size()) && !continuesTransaction(job->statement))
        return refuse(job, Reason::QueueFull, Executed::No, "the queue of the group is full",
                      decision::retryHint(!keeper_.primary().empty()));
    if (!continuesTransaction(job->statement) && !takeQuota(job))
        return refuseForQuota(job);
    job->timer = parts_.timers.subscribeAt(job->waiting.queueDeadline, [this, alive = alive_, job] {
        if (*alive)
            onHeldTooLong(job);
    });
    enqueue(job);
    pump();
}

bool GroupRunner::hasTurns(const OrganisationName &organisation) const
{
    switch (parts_.ways.queueDiscipline) {
    case decision::QueueDiscipline::FairUnlessLimited:
        return !organisation.empty() && !parts_.quotas.hasQuota(organisation);
    case decision::QueueDiscipline::Fair:
        return !organisation.empty();
    case decision::QueueDiscipline::EarliestDueDate:
        break;
    }
    return false;
}

// An operation counts once, by its first statement. False when there is no room and none to come.
bool GroupRunner::takeQuota(const JobPtr &job)
{
    if (job->statement.organisation.empty())
        return true;
    const QuotaManager::TakeResult verdict = parts_.quotas.take(job->statement.organisation);
    job->quota = verdict == QuotaManager::TakeResult::Taken ? Job::Quota::Taken : Job::Quota::Asked;
    return verdict != QuotaManager::TakeResult::Refused;
}

void GroupRunner::refuseForQuota(const JobPtr &job)
{
    refuse(job, Reason::QuotaExceeded, Executed::No, "the organisation's quota is used up",
           parts_.quotas.refuse(job->statement.organisation));
}

void GroupRunner::enqueue(const JobPtr &job)
{
    queue_.push_back(job);
}

void GroupRunner::sortQueue(Instant now)
{
    if (queue_.size() < 2)
        return;
    for (const JobPtr &job : queue_)
        job->waiting.overShare = turns_.isOverShare(job->waiting.startTag);
    queue_.sort([now](const JobPtr &a, const JobPtr &b) {
        return decision::precedes(a->waiting, b->waiting, now);
    });
}

void GroupRunner::pumpSoon()
{
    if (pumping_)
        return;
    pumping_ = true;
    parts_.timers.subscribeAt(parts_.timers.now(), [this, alive = alive_] {
        if (!*alive)
            return;
        pumping_ = false;
        pump();
    });
}

bool GroupRunner::anySlot(Instant now) const
{
    return std::any_of(servers_.begin(), servers_.end(), [now](const auto &each) {
        return each.second->hasSlot() && now >= each.second->seen.busyUntil;
    });
}

// Starts whatever can start, best rank first. While no server has a slot nothing can, and a long
// queue is neither sorted nor gone through: there is an event for each slot that becomes free.
void GroupRunner::pump()
{
    const Instant now = parts_.timers.now();
    bool mayStart = anySlot(now);
    if (mayStart)
        sortQueue(now);
    std::optional<Instant> later;
    for (auto at = queue_.begin(); at != queue_.end();) {
        const JobPtr job = *at;
        if (!mayStart && job->quota != Job::Quota::Asked) {
            ++at;
            continue;
        }
        if (job->notBefore > now) {
            later = later ? std::min(*later, job->notBefore) : job->notBefore;
            ++at;
            continue;
        }
        // Starting one may end others, but never removes from the queue before it returns.
        if (tryStart(job, now)) {
            at = queue_.erase(at);
            mayStart = anySlot(now);
        } else {
            ++at;
        }
    }
    // What waits for a connection, a lag or a lease has no event of its own.
    if (queue_.empty() || pumping_)
        return;
    pumping_ = true;
    const Instant next = later ? std::min(*later, now + pumpPeriod) : now + pumpPeriod;
    parts_.timers.subscribeAt(next, [this, alive = alive_] {
        if (!*alive)
            return;
        pumping_ = false;
        pump();
    });
}

bool GroupRunner::tryStart(const JobPtr &job, Instant now)
{
    // 1. Nothing runs beyond its organisation's quota.
    if (job->quota == Job::Quota::Asked && !takeQuota(job)) {
        parts_.timers.subscribeAt(now, [this, alive = alive_, job] {
            if (*alive)
                refuseForQuota(job);
        });
        return true;
    }
    if (job->quota == Job::Quota::Asked)
        return false;
    // 2. Nothing is sent without the lease: the primary may have been replaced.
    if (!parts_.ownership.hasLease(group_))
        return false;
    // 3. A transaction that is open stays on its connection.
    if (continuesTransaction(job->statement)) {
        const auto open = transactions_.find(job->origin);
        if (open == transactions_.end()) {
            parts_.timers.subscribeAt(now, [this, alive = alive_, job] {
                if (*alive)
                    refuse(job, Reason::TransactionEnded, Executed::No,
                           "the transaction's connection was lost");
            });
            return true;
        }
        return startInTransaction(job, open->second);
    }
    // 4. A server that may run it, with a free slot, and a connection.
    GroupServer *server = chooseServer(job, now);
    if (server == nullptr)
        return false;
    const ServerPool::Taken taken = server->take(job->values, job->statement.organisation);
    countConnectionAction(*job, taken.place);
    if (!taken.connection)
        return false;
    start(job, *server, taken.connection);
    return true;
}

// Once for each statement and place that it meets in a row.
void GroupRunner::countConnectionAction(Job &job, decision::ConnectionAction place)
{
    if (job.place == place)
        return;
    job.place = place;
    parts_.times.countConnectionAction(place);
}

bool GroupRunner::startInTransaction(const JobPtr &job, Transaction &transaction)
{
    GroupServer *server = find(transaction.server);
    if (server != nullptr && !server->hasSlot())
        return false;
    // Unsent it can still be refused as not run.
    if (needsConfirmation(job) && !commits_.maySend(parts_.timers.now()))
        return false;
    if (server == nullptr || !transaction.connection->connection->isOpen()) {
        forgetTransaction(job->origin, true);
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
    state.hasPrimary = !keeper_.primary().empty();
    state.primarySince = primarySince_;
    return state;
}

void GroupRunner::onHeldTooLong(const JobPtr &job)
{
    if (job->done)
        return;
    const Instant now = parts_.timers.now();
    const Instant limit = decision::giveUpAt(job->waiting, waitState(job), now);
    if (limit <= now)
        return onDeadline(job);
    job->timer = parts_.timers.subscribeAt(limit, [this, alive = alive_, job] {
        if (*alive)
            onHeldTooLong(job);
    });
}

void GroupRunner::onDeadline(const JobPtr &job)
{
    if (job->done)
        return;
    if (job->unverified)
        return refuse(job, Reason::Unconfirmed, Executed::Unknown,
                      "the primary may have been replaced before it answered");
    // 1. It never started: that is certain.
    if (!job->running) {
        queue_.remove(job);
        const auto open = transactions_.find(job->origin);
        if (open != transactions_.end() && open->second.job == job)
            forgetTransaction(job->origin, true);
        const bool hasPrimary = !keeper_.primary().empty();
        parts_.log
            .info("statement_not_started",
                  job->place ? decision::connectionActionName(*job->place) : "wait_for_slot")
            .with("id", job->statement.statementId)
            .with("group", group_)
            .with("organisation", job->statement.organisation)
            .with("waited_ms", parts_.timers.now() - job->waiting.arrived)
            .with("queued", std::uint64_t(queue_.size()));
        return refuse(job, hasPrimary ? Reason::DeadlineTooShort : Reason::NoPrimary, Executed::No,
                      "no server was free in time", decision::retryHint(hasPrimary));
    }
    // 2. It runs: the connection is given up with it.
    const bool kept = commits(job->statement);
    if (kept)
        strangersAt_ = parts_.timers.now();
    refuse(job, Reason::DeadlineExceeded, kept ? Executed::Unknown : Executed::No,
           "the server did not answer in time");
    job->connection->connection->close();
}

} // namespace kelptally::group
