#include "group/groupserver.h"

#include "decision/statementretry.h"

#include <algorithm>

namespace kelptally::group {

namespace {

// Opening a connection takes some 12 ms; an unreachable server never answers.
constexpr Duration connectTimeout = std::chrono::milliseconds(1000);
// Limits the attempts to connect to an unreachable server.
constexpr Duration reconnectDelay = std::chrono::milliseconds(100);
// The owner's share of a server's connections, which leaves room for those that the previous owner
// still holds. The server itself enforces the limit.
constexpr int ownerSharePercent = 60;
// Statement age at which the server is queried for running statements; lower if the server has not
// responded at all since the statement was sent. The longest statements of the users' routes take
// 220 ms, and 1% of them more than 130 ms.
constexpr Duration queryAge = std::chrono::milliseconds(220);
constexpr Duration silentServerQueryAge = std::chrono::milliseconds(120);
// A statement that a server runs has started within this time of its sending.
constexpr Duration maxStartDelay = std::chrono::milliseconds(100);
// The same for a server whose slots are all busy, which starts a statement of the window (see
// SlotWindow) after at most one other.
constexpr Duration maxQueuedTime = std::chrono::milliseconds(400);
// Timeout of that query; the next query opens a new control connection. An answer takes some 4 ms,
// and 25 ms on a host that is five times slower than usual.
constexpr Duration queryTimeout = std::chrono::milliseconds(30);
// Minimum timeout for opening the control connection. Opening it took 12 to 16 ms where it was
// measured.
constexpr Duration controlConnectTimeout = std::chrono::milliseconds(250);

} // namespace

GroupServer::GroupServer(const Parts &parts, const ListedServer &listed)
    : parts_(parts), listed_(listed),
      pool_([this](const OrganisationName &organisation) { open(organisation); }),
      lastResponseAt_(parts.timers.now())
{ }

GroupServer::~GroupServer()
{
    *alive_ = false;
    closeAll();
}

bool GroupServer::update(const ListedServer &listed)
{
    const bool restarted = listed_.run != listed.run || listed_.endpoint != listed.endpoint;
    listed_ = listed;
    unlisted_ = false;
    if (!restarted)
        return false;
    observed = {};
    window_ = {};
    queryAge_ = Duration(0);
    closeBefore(disconnectedAt_);
    return true;
}

void GroupServer::onUnlisted()
{
    unlisted_ = true;
    listed_.missing = true;
    listed_.leaving = true;
    listed_.leavingSince = Instant();
    pool_.closeIdle();
}

// Closes the connections of the earlier run. Those opened to the new run before the list showed it
// stay. The control connection is always reopened, since its answers must be the new run's.
void GroupServer::closeBefore(Instant opened)
{
    pool_.closeBefore(opened);
    const auto control = std::move(control_);
    control_ = nullptr;
    controlBusy_ = false;
    if (control)
        control->close();
}

void GroupServer::setMaxConnections(int count, bool byOrganisation)
{
    decision::OwnerShare share {ownerSharePercent, ownerSharePercent};
    if (byOrganisation)
        share = {parts_.policies.ownerSharePercent, parts_.policies.maxOwnerSharePercent};
    pool_.setMaxConnections(count, byOrganisation, share);
}

void GroupServer::warmUp()
{
    const Instant now = parts_.timers.now();
    if (now >= observed.retryAt)
        pool_.warmUp(listed_.slots, now);
}

void GroupServer::closeAll()
{
    ++closings_;
    closeBefore(Instant());
}

ServerPool::TakeResult GroupServer::take(const std::map<std::string, std::string> &values,
                                         const OrganisationName &organisation)
{
    const Instant now = parts_.timers.now();
    return pool_.take(values, organisation, listed_.slots, now >= observed.retryAt, now);
}

void GroupServer::giveBack(const PooledConnectionPtr &connection)
{
    pool_.giveBack(connection, listed_.slots, parts_.timers.now());
}

void GroupServer::open(const OrganisationName &organisation)
{
    onSend();
    const Instant began = parts_.timers.now();
    parts_.connector.connect(address(), organisation, connectTimeout,
                             [this, alive = alive_, began, organisation](
                                 ConnectOutcome outcome, const ServerConnectionPtr &connection) {
                                 if (*alive)
                                     parts_.times.addConnection(parts_.timers.now() - began);
                                 if (*alive)
                                     onConnected(organisation, outcome, began, connection);
                                 else if (connection)
                                     connection->close();
                             });
}

void GroupServer::onConnected(const OrganisationName &organisation, ConnectOutcome outcome,
                              Instant began, const ServerConnectionPtr &connection)
{
    const Instant now = parts_.timers.now();
    if (outcome != ConnectOutcome::Ok) {
        const bool isFull = outcome == ConnectOutcome::TooManyConnections;
        if (!pool_.onOpenFailed(organisation, isFull, now))
            observed.retryAt = now + reconnectDelay;
        if (isFull)
            onResponse();
        recordOutcome(outcome, began);
        parts_.log.info("server_connect_failed")
            .with("server", listed_.id())
            .with("outcome", static_cast<int>(outcome))
            .with("open", pool_.open());
        parts_.onConnectionFailure(listed_.id(), outcome);
        return;
    }
    recordOutcome(outcome, began);
    onResponse();
    const std::weak_ptr<PooledConnection> weak = pool_.onOpened(organisation, connection, now);
    connection->onEnd([this, alive = alive_, weak] {
        const auto ended = weak.lock();
        if (*alive && ended)
            onConnectionEnded(ended);
    });
    parts_.onCapacityFreed();
}

void GroupServer::recordOutcome(ConnectOutcome outcome, Instant began)
{
    if (outcome == ConnectOutcome::Ok || outcome == ConnectOutcome::TooManyConnections) {
        const bool wasUnreachable = isUnreachable();
        observed.reach.onConnected(parts_.timers.now());
        if (wasUnreachable)
            logReachable();
        return;
    }
    const bool isAbsent =
        outcome == ConnectOutcome::Refused || outcome == ConnectOutcome::WrongServer;
    const bool wasUnreachable = isUnreachable();
    observed.reach.onConnectFailed(began, isAbsent);
    if (!wasUnreachable && isUnreachable())
        parts_.log.info("server_unreachable", isAbsent ? "absent" : "silent")
            .with("group", listed_.group)
            .with("server", listed_.id());
    if (isAbsent)
        recordDisconnect();
}

void GroupServer::recordDisconnect()
{
    disconnectedAt_ = parts_.timers.now();
}

void GroupServer::onConnectionEnded(const PooledConnectionPtr &connection)
{
    recordDisconnect();
    if (pool_.onEnded(connection))
        parts_.onConnectionFailure(listed_.id(), ConnectOutcome::Failed);
}

void GroupServer::control(ServerCommand command, Duration timeout, BatchCallback callback)
{
    onSend();
    if (control_ && control_->isOpen() && !controlBusy_)
        return runControl(std::move(command), timeout, std::move(callback));
    const auto connected = [this, alive = alive_, command, timeout, callback, closings = closings_,
                            began = parts_.timers.now()](ConnectOutcome outcome,
                                                         const ServerConnectionPtr &connection) {
        const bool isWithdrawn = !*alive || closings != closings_;
        if (isWithdrawn || outcome != ConnectOutcome::Ok) {
            if (connection)
                connection->close();
            if (!isWithdrawn) {
                recordOutcome(outcome, began);
                parts_.onConnectionFailure(listed_.id(), outcome);
            }
            return callback({{}, true});
        }
        recordOutcome(outcome, began);
        onResponse();
        if (control_)
            control_->close();
        control_ = connection;
        controlBusy_ = false;
        runControl(command, timeout, callback);
    };
    parts_.connector.connect(address(), {}, std::max(timeout, controlConnectTimeout), connected);
}

void GroupServer::runControl(ServerCommand command, Duration timeout, BatchCallback callback)
{
    controlBusy_ = true;
    const ServerConnectionPtr connection = control_;
    const TimerId timer =
        parts_.timers.subscribeAfter(timeout, [connection] { connection->close(); });
    connection->run({std::move(command)},
                    [this, alive = alive_, timer, connection,
                     callback = std::move(callback)](BatchResult result) {
                        if (*alive) {
                            parts_.timers.cancel(timer);
                            if (control_ == connection) {
                                controlBusy_ = false;
                                if (result.lost)
                                    control_ = nullptr;
                            }
                            if (!result.lost)
                                onResponse();
                        }
                        callback(std::move(result));
                    });
}

void GroupServer::probe(std::function<void()> callback)
{
    parts_.times.countServerProbe();
    control({}, connectTimeout,
            [callback = std::move(callback)](const BatchResult &) { callback(); });
}

void GroupServer::beginWork(PooledConnection &connection, bool mayRepeat)
{
    if (!connection.takesSlot)
        ++inFlight_;
    connection.takesSlot = true;
    connection.working = true;
    connection.mayRepeat = mayRepeat;
    connection.workStartedAt = parts_.timers.now();
}

void GroupServer::endWork(PooledConnection &connection)
{
    freeSlot(connection);
    connection.working = false;
}

void GroupServer::freeSlot(PooledConnection &connection)
{
    if (connection.takesSlot)
        --inFlight_;
    connection.takesSlot = false;
}

// Returns the connections with a statement that was sent by the given time and takes a slot,
// oldest first.
std::vector<PooledConnectionPtr> GroupServer::workStartedBefore(Instant instant) const
{
    std::vector<PooledConnectionPtr> found;
    for (const PooledConnectionPtr &connection : pool_.inUse())
        if (connection->working && connection->takesSlot && connection->workStartedAt <= instant)
            found.push_back(connection);
    std::sort(found.begin(), found.end(),
              [](const auto &a, const auto &b) { return a->workStartedAt < b->workStartedAt; });
    return found;
}

void GroupServer::detectSilentConnections(Instant now)
{
    const auto working = workStartedBefore(now);
    if (working.empty() || now - working.front()->workStartedAt < queryAge)
        queryAge_ = queryAge;
    if (working.empty() || queryingBusySlots_)
        return;
    const Instant oldest = working.front()->workStartedAt;
    const bool quiet = queryAge_ == queryAge && lastResponseAt_ <= oldest;
    if (now - oldest >= (quiet ? silentServerQueryAge : queryAge_))
        queryBusySlots(true);
}

void GroupServer::queryBusySlots(bool mayRetry)
{
    queryingBusySlots_ = true;
    const Instant queriedAt = parts_.timers.now();
    control({}, queryTimeout,
            [this, alive = alive_, queriedAt, mayRetry](const BatchResult &result) {
                if (!*alive)
                    return;
                queryingBusySlots_ = false;
                const CommandResult *answer = result.results.empty() ? nullptr : &result.results[0];
                if (answer != nullptr && answer->report)
                    return onBusyReport(answer->report->busy, queriedAt);
                // The server responds, but has no slot left even for the query.
                if (answer != nullptr && answer->error == ServerError::Busy)
                    return onBusyReport(listed_.slots, queriedAt);
                if (isUnreachable())
                    closeRepeatable(queriedAt);
                else if (mayRetry)
                    queryBusySlots(false);
            });
}

// Closes the connections of repeatable statements, which can run elsewhere, when the server is
// unreachable.
void GroupServer::closeRepeatable(Instant queriedAt)
{
    for (const PooledConnectionPtr &connection :
         workStartedBefore(queriedAt - silentServerQueryAge))
        if (connection->mayRepeat)
            connection->connection->close();
}

// If fewer statements are running at the server than were sent, frees the slots of the oldest ones.
void GroupServer::onBusyReport(int busy, Instant queriedAt)
{
    // While all slots are busy, statements may be queued at the server.
    const bool isFull = busy >= listed_.slots;
    const auto old = workStartedBefore(queriedAt - (isFull ? maxQueuedTime : maxStartDelay));
    if (static_cast<int>(old.size()) <= busy) {
        queryAge_ = 2 * queryAge_;
        return;
    }
    const std::size_t lost = old.size() - static_cast<std::size_t>(busy);
    Instant since = queriedAt;
    for (std::size_t i = 0; i < lost; ++i) {
        const PooledConnectionPtr &connection = old[i];
        since = std::min(since, connection->workStartedAt);
        parts_.log.warning("statement_not_running")
            .with("group", listed_.group)
            .with("server", listed_.id())
            .with("age_ms", queriedAt - connection->workStartedAt)
            .with("server_runs", busy)
            .with("repeat", connection->mayRepeat);
        freeSlot(*connection);
        if (connection->mayRepeat)
            connection->connection->close();
    }
    parts_.onSilentConnections(since);
    parts_.onCapacityFreed();
}

bool GroupServer::hasSlot() const
{
    const Instant now = parts_.timers.now();
    return inFlight_ + pool_.slotsOpening(now) < window_.size(listed_.slots, now);
}

void GroupServer::onCommandAnswered(Duration answerTime)
{
    window_.onRoundTrip(parts_.timers.now(), answerTime);
}

void GroupServer::onStatementAnswered(Duration answerTime)
{
    window_.onAnswered(answerTime);
}

void GroupServer::onStatementBusy()
{
    const Instant now = parts_.timers.now();
    observed.busyUntil = now + decision::busyBackoff();
    window_.onBusy(now);
}

void GroupServer::onResponse()
{
    lastResponseAt_ = parts_.timers.now();
    const bool wasUnreachable = isUnreachable();
    observed.reach.onAnswer(lastResponseAt_);
    if (wasUnreachable && !isUnreachable())
        logReachable();
}

void GroupServer::logReachable()
{
    parts_.log.info("server_reachable").with("group", listed_.group).with("server", listed_.id());
}

void GroupServer::onSend()
{
    if (!isAnswerPending())
        awaitingAnswerFrom_ = parts_.timers.now();
}

bool GroupServer::isAnswerPending() const
{
    return inFlight_ > 0 || controlBusy_ || pool_.opening() > 0;
}

std::optional<Instant> GroupServer::awaitingAnswerSince() const
{
    if (!isAnswerPending())
        return std::nullopt;
    return std::max(lastResponseAt_, awaitingAnswerFrom_);
}

} // namespace kelptally::group
