#include "group/serverpool.h"

#include <algorithm>

namespace kelptally::group {

namespace {

// A server that has refused a connection keeps those of a host that lost power for 3 s: meanwhile
// an organisation's connection is opened in place of another one's. With a pause after each refusal
// instead, everyone waited who had none: 36 of 200 statements were served, and now all (the replay
// in organisations_test).
constexpr Duration reducedShareTime = std::chrono::milliseconds(300);
// Opened ahead beyond the slots: connections that rest inside transactions.
constexpr int spareConnections = 1;
// A connection that nobody has needed for this long is closed, down to those opened ahead. A server
// keeps the connections of a host that lost power for some seconds, and the next owner finds no
// room beside a pool that has once grown to its share: with 16 a server, 1.7 s without a primary.
constexpr Duration surplusIdleTimeout = std::chrono::milliseconds(1000);
// A connection of an organisation is kept for longer: nobody else can use it, and the organisation
// opens another one, with 12 ms of a slot, when it asks again. Chosen, not measured.
constexpr Duration organisationIdleTimeout = std::chrono::seconds(10);
// Prepared statements of one connection before all are cleared.
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
    const auto resting = std::count_if(inUse_.begin(), inUse_.end(),
                                       [](const auto &each) { return !each->working; });
    const int own = decision::ownerShare(maxConnections_, static_cast<int>(resting), ownerShare_);
    return now < reducedShareUntil_ ? std::min(own, reducedShare_) : own;
}

ServerPool::TakeResult ServerPool::take(const std::map<std::string, std::string> &values,
                                        const OrganisationName &organisation, int slots,
                                        bool mayOpen, Instant now)
{
    // 1. What there is, as the decision sees it.
    removeClosed();
    std::vector<decision::IdleConnection> idle;
    if (hasIdle(organisation)) {
        for (const PooledConnectionPtr &each : idle_) {
            const bool belongs = each->organisation == organisation;
            idle.push_back({belongs, belongs && each->values == values, each->answeredAt});
        }
    } else if (!idle_.empty()) {
        // Of others' connections only the one that has rested longest matters.
        idle.push_back({false, false, idle_.front()->answeredAt});
    }
    decision::ServerConnections server;
    server.total = open() + opening_;
    server.share = share(now);
    server.slots = slots;
    server.mayOpen = mayOpen;
    server.leastRest = minIdleTime_;
    if (!organisation.empty()) {
        server.opening = openingForOrganisations_;
        const auto openingForIt = openingFor_.find(organisation);
        server.openingForIt = openingForIt == openingFor_.end() ? 0 : openingForIt->second;
    }
    // 2. One of them, or a new one.
    const decision::PlaceChoice choice = decision::choosePlace(idle, server, now);
    const auto chosen = idle_.begin() + static_cast<std::ptrdiff_t>(choice.index);
    switch (choice.place) {
    case decision::Place::Use: {
        const PooledConnectionPtr connection = *chosen;
        mutableIdle().erase(chosen);
        inUse_.push_back(connection);
        return {connection, choice.place};
    }
    case decision::Place::Replace:
        (*chosen)->connection->close();
        mutableIdle().erase(chosen);
        startOpening(organisation);
        break;
    case decision::Place::Open:
        startOpening(organisation);
        break;
    case decision::Place::WaitForOpening:
    case decision::Place::WaitForUse:
    case decision::Place::WaitForServer:
        break;
    }
    return {nullptr, choice.place};
}

void ServerPool::startOpening(const OrganisationName &organisation)
{
    ++opening_;
    if (!organisation.empty()) {
        ++openingForOrganisations_;
        ++openingFor_[organisation];
    }
    opener_(organisation);
}

void ServerPool::endOpening(const OrganisationName &organisation)
{
    --opening_;
    if (organisation.empty())
        return;
    --openingForOrganisations_;
    if (--openingFor_[organisation] == 0)
        openingFor_.erase(organisation);
}

PooledConnectionPtr ServerPool::onOpened(const OrganisationName &organisation,
                                         const ServerConnectionPtr &connection, Instant now)
{
    endOpening(organisation);
    auto pooled = std::make_shared<PooledConnection>();
    pooled->connection = connection;
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
    while (open() + opening_ < wanted)
        startOpening({});
}

// Connections are taken from the end, so that the first one has rested longest.
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

// Asked for each statement that waits: with a look at each connection every time, a full queue of
// an owner with 72 organisations cost more processor time than a host of 0.12 cores has.
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
