#include "group/groupserver.h"

#include <algorithm>
#include <cmath>

namespace kelptally::group {

namespace {

// A connection takes 12 ms to open where it was measured; a dark server never answers.
constexpr Duration connectTimeout = std::chrono::milliseconds(1000);
// Pause after a failed attempt, so that a dead server costs few attempts.
constexpr Duration connectPause = std::chrono::milliseconds(100);
// A server that has refused a connection keeps those of a host that lost power for 3 s: meanwhile
// an organisation's connection is opened in place of another one's. With a pause after each refusal
// instead, everyone waited who had none.
constexpr Duration crowdedTime = std::chrono::milliseconds(300);
// Of a server's connections the owner takes this share: an owner before it may still hold as many,
// and both must fit most of the time. The server itself holds the limit.
constexpr int sharePercent = 60;
constexpr int leastShare = 3;
// Opened ahead beyond the slots: connections that rest inside transactions.
constexpr int spareConnections = 1;
// A connection that nobody has needed for this long is closed, down to those opened ahead. A server
// keeps the connections of a host that lost power for some seconds, and the next owner finds no
// room beside a pool that has once grown to its share: with 16 a server, 1.7 s without a primary.
constexpr Duration surplusAge = std::chrono::milliseconds(1000);
// A connection of an organisation is kept for longer: nobody else can use it, and the organisation
// opens another one, with 12 ms of a slot, when it asks again. Chosen, not measured.
constexpr Duration organisationAge = std::chrono::seconds(10);
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
// Prepared statements of one connection before all are cleared.
constexpr std::size_t maxPrepared = 200;

} // namespace

GroupServer::GroupServer(const Parts &parts, const ListedServer &listed)
    : parts_(parts), listed_(listed), lastHeard_(parts.timers.now())
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
    if (!restarted)
        return false;
    seen = {};
    lookAge_ = Duration(0);
    closeBefore(brokenAt_);
    return true;
}

// Connections may have been opened to the new run before the list told of it: those stay. Any of
// the earlier run answers nothing more, and is given up with its statement. The one for the owner's
// own commands is opened anew in any case: an answer on it must be the new run's.
void GroupServer::closeBefore(Instant opened)
{
    const bool allOld = opened == Instant();
    const auto isOld = [&](const PooledConnectionPtr &connection) {
        return allOld || connection->openedAt < opened;
    };
    std::vector<PooledConnectionPtr> old;
    for (auto *pool : {&idle_, &taken_}) {
        const auto kept = std::stable_partition(pool->begin(), pool->end(),
                                                [&](const auto &c) { return !isOld(c); });
        old.insert(old.end(), kept, pool->end());
        pool->erase(kept, pool->end());
    }
    total_ -= static_cast<int>(old.size());
    for (const PooledConnectionPtr &connection : old)
        connection->connection->close();
    const auto control = std::move(control_);
    control_ = nullptr;
    controlBusy_ = false;
    if (control)
        control->close();
}

void GroupServer::setMaxConnections(int count, bool byOrganisation)
{
    maxConnections_ = count;
    byOrganisation_ = byOrganisation;
}

int GroupServer::share() const
{
    if (limit_)
        return *limit_;
    const int percent = byOrganisation_ ? parts_.ways.ownerShare : sharePercent;
    const int own = std::max(leastShare, maxConnections_ * percent / 100);
    return parts_.timers.now() < crowdedUntil_ ? std::min(own, crowdedShare_) : own;
}

void GroupServer::warmUp()
{
    if (byOrganisation_)
        return;
    const int wanted = std::min(share(), listed_.slots + spareConnections);
    while (total_ + opening_ < wanted && parts_.timers.now() >= seen.retryAt)
        open({});
}

void GroupServer::closeIdle()
{
    const std::vector<PooledConnectionPtr> idle = std::move(idle_);
    idle_.clear();
    total_ -= static_cast<int>(idle.size());
    for (const PooledConnectionPtr &each : idle)
        each->connection->close();
}

void GroupServer::closeAll()
{
    closeBefore(Instant());
}

GroupServer::Taken GroupServer::take(const std::map<std::string, std::string> &values,
                                     const OrganisationName &organisation)
{
    forgetEnded();
    const Instant now = parts_.timers.now();
    const bool leastAsked = parts_.ways.room == decision::RoomRule::LeastAsked;
    if (leastAsked)
        noteAsked(organisation, now);
    std::vector<decision::IdleConnection> idle;
    idle.reserve(idle_.size());
    for (const PooledConnectionPtr &each : idle_) {
        const bool belongs = each->organisation == organisation;
        const double asked = leastAsked ? askedPerIdle(each->organisation, now) : 0;
        idle.push_back({belongs, belongs && each->values == values, each->answeredAt, asked});
    }
    decision::ServerConnections server;
    server.total = total_ + opening_;
    server.share = share();
    server.slots = listed_.slots;
    server.mayOpen = now >= seen.retryAt;
    server.room = parts_.ways.room;
    server.leastRest = leastRest_;
    if (!organisation.empty()) {
        server.opening = openingOwned_;
        const auto openingForIt = openingFor_.find(organisation);
        server.openingForIt = openingForIt == openingFor_.end() ? 0 : openingForIt->second;
    }
    const decision::PlaceChoice choice = decision::choosePlace(idle, server, now);
    const auto chosen = idle_.begin() + static_cast<std::ptrdiff_t>(choice.index);
    switch (choice.place) {
    case decision::Place::Use: {
        const PooledConnectionPtr connection = *chosen;
        idle_.erase(chosen);
        taken_.push_back(connection);
        return {connection, choice.place};
    }
    case decision::Place::Replace: {
        const PooledConnectionPtr replaced = *chosen;
        idle_.erase(chosen);
        --total_;
        replaced->connection->close();
        open(organisation);
        break;
    }
    case decision::Place::Open:
        open(organisation);
        break;
    case decision::Place::WaitForOpening:
    case decision::Place::WaitForUse:
    case decision::Place::WaitForServer:
        break;
    }
    return {nullptr, choice.place};
}

void GroupServer::noteAsked(const OrganisationName &organisation, Instant now)
{
    constexpr double halfLife = 2;
    Asked &asked = asked_[organisation];
    const double passed = std::chrono::duration<double>(now - asked.at).count();
    asked.count = asked.count * std::exp2(-passed / halfLife) + 1;
    asked.at = now;
}

double GroupServer::askedPerIdle(const OrganisationName &organisation, Instant now) const
{
    const auto found = asked_.find(organisation);
    if (found == asked_.end())
        return 0;
    constexpr double halfLife = 2;
    const double passed = std::chrono::duration<double>(now - found->second.at).count();
    const auto count = std::count_if(idle_.begin(), idle_.end(), [&](const auto &each) {
        return each->organisation == organisation;
    });
    return found->second.count * std::exp2(-passed / halfLife)
        / static_cast<double>(std::max<std::ptrdiff_t>(1, count));
}

bool GroupServer::isHeldBy(const OrganisationName &organisation) const
{
    return openingFor_.count(organisation) != 0
        || std::any_of(idle_.begin(), idle_.end(), [&](const PooledConnectionPtr &each) {
               return each->organisation == organisation;
           });
}

void GroupServer::forgetEnded()
{
    const auto ended = std::remove_if(idle_.begin(), idle_.end(), [](const auto &connection) {
        return !connection->connection->isOpen();
    });
    total_ -= static_cast<int>(idle_.end() - ended);
    idle_.erase(ended, idle_.end());
}

bool GroupServer::untake(const PooledConnectionPtr &connection)
{
    const auto found = std::find(taken_.begin(), taken_.end(), connection);
    if (found == taken_.end())
        return false;
    taken_.erase(found);
    return true;
}

void GroupServer::giveBack(const PooledConnectionPtr &connection)
{
    if (!untake(connection))
        return;
    connection->answeredAt = parts_.timers.now();
    if (!connection->connection->isOpen()) {
        --total_;
        return;
    }
    if (connection->prepared.size() > maxPrepared) {
        --total_;
        connection->connection->close();
        return;
    }
    idle_.push_back(connection);
    closeSurplus();
}

// Connections are taken from the end, so that the first one has rested longest.
void GroupServer::closeSurplus()
{
    const Instant now = parts_.timers.now();
    const std::size_t wanted = static_cast<std::size_t>(listed_.slots + spareConnections);
    const Duration age = byOrganisation_ ? organisationAge : surplusAge;
    while (idle_.size() > wanted && now - idle_.front()->answeredAt >= age) {
        const PooledConnectionPtr surplus = idle_.front();
        idle_.erase(idle_.begin());
        --total_;
        surplus->connection->close();
    }
}

void GroupServer::discard(const PooledConnectionPtr &connection)
{
    connection->connection->close();
    if (untake(connection))
        --total_;
}

void GroupServer::open(const OrganisationName &organisation)
{
    sent();
    ++opening_;
    if (!organisation.empty()) {
        ++openingOwned_;
        ++openingFor_[organisation];
    }
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
    --opening_;
    if (!organisation.empty()) {
        --openingOwned_;
        if (--openingFor_[organisation] == 0)
            openingFor_.erase(organisation);
    }
    if (outcome != ConnectOutcome::Ok) {
        const bool full = outcome == ConnectOutcome::TooManyConnections;
        if (full && !organisation.empty() && total_ > 0)
            crowdedUntil_ = parts_.timers.now() + crowdedTime;
        else
            seen.retryAt = parts_.timers.now() + connectPause;
        crowdedShare_ = total_;
        if (outcome == ConnectOutcome::TooManyConnections)
            heard();
        noteOutcome(outcome);
        parts_.log.info("server_connect_failed")
            .with("server", listed_.id())
            .with("outcome", static_cast<int>(outcome))
            .with("open", total_);
        parts_.onTrouble(listed_.id(), outcome);
        return;
    }
    noteOutcome(outcome);
    heard();
    auto pooled = std::make_shared<PooledConnection>();
    pooled->connection = connection;
    pooled->organisation = organisation;
    pooled->openedAt = parts_.timers.now();
    pooled->answeredAt = pooled->openedAt;
    ++total_;
    idle_.push_back(pooled);
    const std::weak_ptr<PooledConnection> weak = pooled;
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
    const auto found = std::find(idle_.begin(), idle_.end(), connection);
    if (found == idle_.end())
        return;
    idle_.erase(found);
    --total_;
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
    for (const PooledConnectionPtr &connection : taken_)
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

void GroupServer::dropIdle(Instant since)
{
    const auto isOld = [since](const PooledConnectionPtr &connection) {
        return connection->answeredAt < since;
    };
    const auto kept =
        std::stable_partition(idle_.begin(), idle_.end(), [&](const auto &c) { return !isOld(c); });
    const std::vector<PooledConnectionPtr> old(kept, idle_.end());
    idle_.erase(kept, idle_.end());
    total_ -= static_cast<int>(old.size());
    for (const PooledConnectionPtr &connection : old)
        connection->connection->close();
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
    return inFlight_ > 0 || controlBusy_ || opening_ > 0;
}

std::optional<Instant> GroupServer::owesSince() const
{
    if (!owes())
        return std::nullopt;
    return std::max(lastHeard_, owedFrom_);
}

} // namespace kelptally::group
