#include "group/groupserver.h"

#include <algorithm>

namespace kelptally::group {

namespace {

// A connection takes 12 ms to open where it was measured; a dark server never answers.
constexpr Duration connectTimeout = std::chrono::milliseconds(1000);
// Pause after a failed attempt, so that a dead server costs few attempts.
constexpr Duration connectPause = std::chrono::milliseconds(100);
// Of a server's connections the owner takes this share: an owner before it may still hold as many,
// and both must fit most of the time. The server itself holds the limit.
constexpr int sharePercent = 60;
// A statement without an answer for this long makes the server be asked whether it runs: sooner
// when nothing else was heard from the server meanwhile. The longest ones of the users' routes take
// 220 ms, 1% of them more than 130.
constexpr Duration lookAfter = std::chrono::milliseconds(220);
constexpr Duration lookAfterQuiet = std::chrono::milliseconds(120);
// A server that runs a statement has begun it within this time of its sending.
constexpr Duration beginTime = std::chrono::milliseconds(100);
// The answer to such a question takes some 4 ms, and 25 on a host that is five times slower than
// usual. On a silent connection there is none, and the next question opens a new one.
constexpr Duration lookTimeout = std::chrono::milliseconds(30);
// The same for opening it, which takes 12 to 16 ms where it was measured.
constexpr Duration controlConnectTimeout = std::chrono::milliseconds(250);

} // namespace

GroupServer::GroupServer(const Parts &parts, const ListedServer &listed)
    : parts_(parts), listed_(listed),
      pool_([this](const OrganisationName &organisation) { open(organisation); }),
      lastHeard_(parts.timers.now())
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
    seen = {};
    lookAge_ = Duration(0);
    closeBefore(brokenAt_);
    return true;
}

void GroupServer::markUnlisted()
{
    unlisted_ = true;
    listed_.missing = true;
    listed_.leaving = true;
    listed_.leavingSince = Instant();
    pool_.closeIdle();
}

// Connections may have been opened to the new run before the list told of it: those stay. Any of
// the earlier run answers nothing more, and is given up with its statement. The one for the owner's
// own commands is opened anew in any case: an answer on it must be the new run's.
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
    decision::OwnerShare share {sharePercent, sharePercent};
    if (byOrganisation)
        share = {parts_.ways.ownerSharePercent, parts_.ways.maxOwnerSharePercent};
    pool_.setMaxConnections(count, byOrganisation, share);
}

void GroupServer::warmUp()
{
    const Instant now = parts_.timers.now();
    if (now >= seen.retryAt)
        pool_.warmUp(listed_.slots, now);
}

void GroupServer::closeAll()
{
    closeBefore(Instant());
}

ServerPool::Taken GroupServer::take(const std::map<std::string, std::string> &values,
                                    const OrganisationName &organisation)
{
    const Instant now = parts_.timers.now();
    return pool_.take(values, organisation, listed_.slots, now >= seen.retryAt, now);
}

void GroupServer::giveBack(const PooledConnectionPtr &connection)
{
    pool_.giveBack(connection, listed_.slots, parts_.timers.now());
}

void GroupServer::open(const OrganisationName &organisation)
{
    sent();
    const Instant began = parts_.timers.now();
    parts_.connector.connect(address(), organisation, connectTimeout,
                             [this, alive = alive_, began, organisation](
                                 ConnectOutcome outcome, const ServerConnectionPtr &connection) {
                                 if (*alive)
                                     parts_.times.addConnection(parts_.timers.now() - began);
                                 if (*alive)
                                     onConnected(organisation, outcome, connection);
                                 else if (connection)
                                     connection->close();
                             });
}

void GroupServer::onConnected(const OrganisationName &organisation, ConnectOutcome outcome,
                              const ServerConnectionPtr &connection)
{
    const Instant now = parts_.timers.now();
    if (outcome != ConnectOutcome::Ok) {
        const bool isFull = outcome == ConnectOutcome::TooManyConnections;
        if (!pool_.onOpenFailed(organisation, isFull, now))
            seen.retryAt = now + connectPause;
        if (isFull)
            heard();
        noteOutcome(outcome);
        parts_.log.info("server_connect_failed")
            .with("server", listed_.id())
            .with("outcome", static_cast<int>(outcome))
            .with("open", pool_.open());
        parts_.onTrouble(listed_.id(), outcome);
        return;
    }
    noteOutcome(outcome);
    heard();
    const std::weak_ptr<PooledConnection> weak = pool_.onOpened(organisation, connection, now);
    connection->onEnd([this, alive = alive_, weak] {
        const auto ended = weak.lock();
        if (*alive && ended)
            onIdleEnded(ended);
    });
    parts_.onFree();
}

void GroupServer::noteOutcome(ConnectOutcome outcome)
{
    seen.unreachable =
        outcome != ConnectOutcome::Ok && outcome != ConnectOutcome::TooManyConnections;
    seen.absent = outcome == ConnectOutcome::Refused || outcome == ConnectOutcome::WrongServer;
    if (seen.absent)
        noteBreak();
}

void GroupServer::noteBreak()
{
    brokenAt_ = parts_.timers.now();
}

void GroupServer::onIdleEnded(const PooledConnectionPtr &connection)
{
    noteBreak();
    if (pool_.onEnded(connection))
        parts_.onTrouble(listed_.id(), ConnectOutcome::Failed);
}

void GroupServer::control(ServerCommand command, Duration timeout, BatchCallback callback)
{
    sent();
    if (control_ && control_->isOpen() && !controlBusy_)
        return runControl(std::move(command), timeout, std::move(callback));
    const auto connected = [this, alive = alive_, command, timeout, callback](
                               ConnectOutcome outcome, const ServerConnectionPtr &connection) {
        if (!*alive || outcome != ConnectOutcome::Ok) {
            if (connection)
                connection->close();
            if (*alive) {
                noteOutcome(outcome);
                parts_.onTrouble(listed_.id(), outcome);
            }
            return callback({{}, true});
        }
        noteOutcome(outcome);
        heard();
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
                                heard();
                        }
                        callback(std::move(result));
                    });
}

void GroupServer::beginWork(PooledConnection &connection, bool mayRepeat)
{
    if (!connection.takesSlot)
        ++inFlight_;
    connection.takesSlot = true;
    connection.working = true;
    connection.mayRepeat = mayRepeat;
    connection.workSince = parts_.timers.now();
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

// Connections that work for statements sent before the instant and take a slot, oldest first.
std::vector<PooledConnectionPtr> GroupServer::workingSince(Instant instant) const
{
    std::vector<PooledConnectionPtr> found;
    for (const PooledConnectionPtr &connection : pool_.inUse())
        if (connection->working && connection->takesSlot && connection->workSince <= instant)
            found.push_back(connection);
    std::sort(found.begin(), found.end(),
              [](const auto &a, const auto &b) { return a->workSince < b->workSince; });
    return found;
}

void GroupServer::watchSilence(Instant now)
{
    const auto working = workingSince(now);
    if (working.empty() || now - working.front()->workSince < lookAfter)
        lookAge_ = lookAfter;
    if (working.empty() || looking_)
        return;
    const Instant oldest = working.front()->workSince;
    const bool quiet = lookAge_ == lookAfter && lastHeard_ <= oldest;
    if (now - oldest >= (quiet ? lookAfterQuiet : lookAge_))
        askWhatRuns(true);
}

void GroupServer::askWhatRuns(bool again)
{
    looking_ = true;
    const Instant asked = parts_.timers.now();
    control({}, lookTimeout, [this, alive = alive_, asked, again](const BatchResult &result) {
        if (!*alive)
            return;
        looking_ = false;
        const CommandResult *answer = result.results.empty() ? nullptr : &result.results[0];
        if (answer != nullptr && answer->report)
            return onBusyReport(answer->report->busy, asked);
        // It answers, and has no slot left even for this question.
        if (answer != nullptr && answer->error == ServerError::Busy)
            return onBusyReport(listed_.slots, asked);
        if (seen.unreachable)
            giveUpReads(asked);
        else if (again)
            askWhatRuns(false);
    });
}

// Not even a new connection can be opened: what may run elsewhere does not wait here.
void GroupServer::giveUpReads(Instant asked)
{
    for (const PooledConnectionPtr &connection : workingSince(asked - lookAfterQuiet))
        if (connection->mayRepeat)
            connection->connection->close();
}

// Of more statements than the server runs the oldest ones are lost, or wait for nothing that takes
// a slot.
void GroupServer::onBusyReport(int busy, Instant asked)
{
    const auto old = workingSince(asked - beginTime);
    if (static_cast<int>(old.size()) <= busy) {
        lookAge_ = 2 * lookAge_;
        return;
    }
    const std::size_t lost = old.size() - static_cast<std::size_t>(busy);
    Instant since = asked;
    for (std::size_t i = 0; i < lost; ++i) {
        const PooledConnectionPtr &connection = old[i];
        since = std::min(since, connection->workSince);
        parts_.log.warning("statement_not_running")
            .with("group", listed_.group)
            .with("server", listed_.id())
            .with("age_ms", asked - connection->workSince)
            .with("server_runs", busy)
            .with("repeat", connection->mayRepeat);
        freeSlot(*connection);
        if (connection->mayRepeat)
            connection->connection->close();
    }
    parts_.onSilence(since);
    parts_.onFree();
}

void GroupServer::heard()
{
    lastHeard_ = parts_.timers.now();
}

void GroupServer::sent()
{
    if (!owes())
        owedFrom_ = parts_.timers.now();
}

bool GroupServer::owes() const
{
    return inFlight_ > 0 || controlBusy_ || pool_.opening() > 0;
}

std::optional<Instant> GroupServer::owesSince() const
{
    if (!owes())
        return std::nullopt;
    return std::max(lastHeard_, owedFrom_);
}

} // namespace kelptally::group
