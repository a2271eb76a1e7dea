#include "group/serverpool.h"

#include <algorithm>

namespace kelptally::group {

namespace {

// After the server refused a connection as it was full, organisations replace each other's
// connections for this time, so that those without one need not wait until the server drops the
// connections of a lost host. With a pause after each refusal instead, 36 of 200 statements were
// served in a replay.
constexpr Duration reducedShareTime = std::chrono::milliseconds(300);
// Connections opened beyond the slots, for transactions between statements.
constexpr int spareConnections = 1;
// Surplus connections are closed after this idle time. Otherwise they would leave no room for the
// next owner's while the server keeps the connections of a lost owner. With 16 connections a
// server, this cost 1.7 s without a primary.
constexpr Duration surplusIdleTimeout = std::chrono::milliseconds(1000);
// Longer for an organisation's connection, since opening another one takes 12 ms of a slot.
constexpr Duration organisationIdleTimeout = std::chrono::seconds(10);
// An opening takes some 12 ms of a slot and a few round trips. One without an end by then hangs.
constexpr Duration maxOpeningTime = std::chrono::milliseconds(60);
// Limits the prepared statements of one connection.
constexpr std::size_t maxPrepared = 200;

} // namespace

void ServerPool::setMaxConnections(int count, bool byOrganisation,
                                   const decision::OwnerShare &share)
{
    maxConnections_ = count;
    byOrganisation_ = byOrganisation;
    ownerShare_ = share;
}

int ServerPool::share(Instant now) const
{
    if (limit_)
        return *limit_;
    const auto idleInTransaction = std::count_if(inUse_.begin(), inUse_.end(),
                                                 [](const auto &each) { return !each->working; });
    const int own = decision::maxOwnerConnections(maxConnections_,
                                                  static_cast<int>(idleInTransaction), ownerShare_);
    return now < reducedShareUntil_ ? std::min(own, reducedShare_) : own;
}

// An opening that hangs, for example by a lost packet, takes no slot. Openings end in any order, so
// the oldest times are removed first and the count is an estimate.
int ServerPool::slotsOpening(Instant now) const
{
    return static_cast<int>(
        std::count_if(openingSince_.begin(), openingSince_.end(),
                      [now](Instant since) { return now - since < maxOpeningTime; }));
}

ServerPool::TakeResult ServerPool::take(const std::map<std::string, std::string> &values,
                                        const OrganisationName &organisation, int slots,
                                        bool mayOpen, Instant now)
{
    // 1. Describe the idle connections and the limits for chooseConnection().
    removeClosed();
    std::vector<decision::IdleConnection> idle;
    if (hasIdle(organisation)) {
        for (const PooledConnectionPtr &each : idle_) {
            const bool belongs = each->organisation == organisation;
            idle.push_back({belongs, belongs && each->values == values, each->answeredAt});
        }
    } else if (!idle_.empty()) {
        // Of other organisations' connections, only the longest idle one can be replaced.
        idle.push_back({false, false, idle_.front()->answeredAt});
    }
    decision::ServerConnections server;
    server.total = open() + opening();
    server.share = share(now);
    server.slots = slots;
    server.mayOpen = mayOpen;
    server.minIdleTime = minIdleTime_;
    server.opening = slotsOpening(now);
    const auto openingForOrganisation = openingFor_.find(organisation);
    server.openingForOrganisation =
        openingForOrganisation == openingFor_.end() ? 0 : openingForOrganisation->second;
    // 2. Take or replace an idle connection, open a new one, or wait.
    const decision::ConnectionChoice choice = decision::chooseConnection(idle, server, now);
    const auto chosen = idle_.begin() + static_cast<std::ptrdiff_t>(choice.index);
    switch (choice.action) {
    case decision::ConnectionAction::Use: {
        const PooledConnectionPtr connection = *chosen;
        mutableIdle().erase(chosen);
        inUse_.push_back(connection);
        return {connection, choice.action};
    }
    case decision::ConnectionAction::Replace:
        (*chosen)->connection->close();
        mutableIdle().erase(chosen);
        startOpening(organisation, now);
        break;
    case decision::ConnectionAction::Open:
        startOpening(organisation, now);
        break;
    case decision::ConnectionAction::WaitForOpening:
    case decision::ConnectionAction::WaitForIdle:
    case decision::ConnectionAction::WaitForServer:
        break;
    }
    return {nullptr, choice.action};
}

void ServerPool::startOpening(const OrganisationName &organisation, Instant now)
{
    openingSince_.push_back(now);
    if (!organisation.empty())
        ++openingFor_[organisation];
    opener_(organisation);
}

void ServerPool::endOpening(const OrganisationName &organisation)
{
    openingSince_.pop_front();
    if (organisation.empty())
        return;
    if (--openingFor_[organisation] == 0)
        openingFor_.erase(organisation);
}

PooledConnectionPtr ServerPool::onOpened(const OrganisationName &organisation,
                                         const ServerConnectionPtr &connection, Instant now)
{
    endOpening(organisation);
    auto pooled = std::make_shared<PooledConnection>();
    pooled->connection = connection;
    pooled->number = ++lastNumber_;
    pooled->organisation = organisation;
    pooled->openedAt = now;
    pooled->answeredAt = now;
    mutableIdle().push_back(pooled);
    return pooled;
}

bool ServerPool::onOpenFailed(const OrganisationName &organisation, bool isFull, Instant now)
{
    endOpening(organisation);
    const bool canReplace = isFull && !organisation.empty() && open() > 0;
    if (canReplace) {
        reducedShareUntil_ = now + reducedShareTime;
        reducedShare_ = open();
    }
    return canReplace;
}

bool ServerPool::onEnded(const PooledConnectionPtr &connection)
{
    const auto found = std::find(idle_.begin(), idle_.end(), connection);
    if (found == idle_.end())
        return false;
    mutableIdle().erase(found);
    return true;
}

void ServerPool::removeClosed()
{
    const auto ended = std::remove_if(idle_.begin(), idle_.end(), [](const auto &connection) {
        return !connection->connection->isOpen();
    });
    if (ended != idle_.end())
        mutableIdle().erase(ended, idle_.end());
}

bool ServerPool::removeInUse(const PooledConnectionPtr &connection)
{
    const auto found = std::find(inUse_.begin(), inUse_.end(), connection);
    if (found == inUse_.end())
        return false;
    inUse_.erase(found);
    return true;
}

void ServerPool::giveBack(const PooledConnectionPtr &connection, int slots, Instant now)
{
    if (!removeInUse(connection))
        return;
    connection->answeredAt = now;
    if (!connection->connection->isOpen())
        return;
    if (connection->prepared.size() > maxPrepared)
        return connection->connection->close();
    mutableIdle().push_back(connection);
    closeSurplus(slots, now);
}

void ServerPool::discard(const PooledConnectionPtr &connection)
{
    connection->connection->close();
    removeInUse(connection);
}

void ServerPool::warmUp(int slots, Instant now)
{
    if (byOrganisation_)
        return;
    const int wanted = std::min(share(now), slots + spareConnections);
    while (open() + opening() < wanted)
        startOpening({}, now);
}

// Connections are taken from the end, so the first one has been idle longest.
void ServerPool::closeSurplus(int slots, Instant now)
{
    const std::size_t wanted = static_cast<std::size_t>(slots + spareConnections);
    const Duration age = byOrganisation_ ? organisationIdleTimeout : surplusIdleTimeout;
    while (idle_.size() > wanted && now - idle_.front()->answeredAt >= age) {
        idle_.front()->connection->close();
        mutableIdle().erase(idle_.begin());
    }
}

void ServerPool::closeIdle()
{
    std::vector<PooledConnectionPtr> idle;
    idle.swap(mutableIdle());
    for (const PooledConnectionPtr &each : idle)
        each->connection->close();
}

void ServerPool::closeStaleIdle(Instant since)
{
    const auto kept =
        std::stable_partition(idle_.begin(), idle_.end(), [since](const PooledConnectionPtr &each) {
            return each->answeredAt >= since;
        });
    const std::vector<PooledConnectionPtr> old(kept, idle_.end());
    mutableIdle().erase(kept, idle_.end());
    for (const PooledConnectionPtr &each : old)
        each->connection->close();
}

void ServerPool::closeBefore(Instant opened)
{
    const bool allOld = opened == Instant();
    idleOrganisationsKnown_ = false;
    std::vector<PooledConnectionPtr> old;
    for (auto *pool : {&idle_, &inUse_}) {
        const auto kept = std::stable_partition(pool->begin(), pool->end(), [&](const auto &each) {
            return !allOld && each->openedAt >= opened;
        });
        old.insert(old.end(), kept, pool->end());
        pool->erase(kept, pool->end());
    }
    for (const PooledConnectionPtr &each : old)
        each->connection->close();
}

std::vector<PooledConnectionPtr> &ServerPool::mutableIdle()
{
    idleOrganisationsKnown_ = false;
    return idle_;
}

// Called for each waiting statement; the cache avoids a scan of all connections each time. Such
// scans for a full queue with 72 organisations took more than the processor time of a host with
// 0.12 cores.
bool ServerPool::hasIdle(const OrganisationName &organisation) const
{
    if (!idleOrganisationsKnown_) {
        idleOrganisations_.clear();
        for (const PooledConnectionPtr &each : idle_)
            idleOrganisations_.insert(each->organisation);
        idleOrganisationsKnown_ = true;
    }
    return idleOrganisations_.count(organisation) != 0;
}

bool ServerPool::hasConnectionFor(const OrganisationName &organisation) const
{
    return openingFor_.count(organisation) != 0 || hasIdle(organisation);
}

} // namespace kelptally::group
