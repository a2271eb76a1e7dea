#include "owner/groupservers.h"

#include "owner/serverendpoint.h"

#include <algorithm>

namespace kelptally::owner {

namespace {

// Connections to each server beside the slots: the control connection.
constexpr int controlConnections = 1;
constexpr int successorCount = 2;
// A successor's reserve is at most 1 / reserveDivisor of a server's connections.
constexpr int reserveDivisor = 5;
// Smallest share that serves statements.
constexpr int minShare = 1 + controlConnections;

// Returns 0 when the server has too few connections for an owner and its successors.
int successorReserve(const settings::Server &server)
{
    if (server.connections < (1 + successorCount) * minShare)
        return 0;
    const int wanted = server.slots + controlConnections;
    return std::max(minShare, std::min(wanted, server.connections / reserveDivisor));
}

} // namespace

GroupServers::GroupServers(const settings::Group &group, const settings::Inventory &inventory,
                           OwnerPorts &ports)
    : ports_(ports)
{
    configure(group, inventory);
}

void GroupServers::configure(const settings::Group &group, const settings::Inventory &inventory)
{
    removeStaleServers(group);
    group_ = group;
    for (const auto &server : group.servers) {
        auto &entry = servers_[server.name];
        if (!entry.executor)
            entry.executor =
                std::make_shared<ServerExecutor>(group, server, inventory.limits, ports_);
        entry.executor->configure(server, inventory.teams);
    }
    setConnectionShare(connectionShare_);
    WorkRefusal leaving;
    leaving.reason = Reason::Draining;
    leaving.unreachable = true;
    leaving.detail = "server is being removed";
    for (auto &[name, server] : servers_)
        if (isLeaving(name) && primary_ != name)
            server.executor->refuseAll(leaving);
}

void GroupServers::removeStaleServers(const settings::Group &group)
{
    for (auto it = servers_.begin(); it != servers_.end();) {
        if (!isRemovedOrChanged(group_, group, it->first)) {
            ++it;
            continue;
        }
        const auto executor = it->second.executor;
        freshness_.forget(it->first);
        if (primary_ == it->first)
            primary_.reset();
        it = servers_.erase(it);
        executor->refuseAll({Reason::Draining, Duration(0),
                             "server was removed or its address or credentials changed", true});
        executor->closeConnections(false);
        executor->setConnectionLimit(0);
        retired_.push_back(executor);
    }
    dropRetired();
}

void GroupServers::dropRetired()
{
    const auto unused = std::remove_if(retired_.begin(), retired_.end(), [](const auto &executor) {
        return executor->openConnections() == 0;
    });
    retired_.erase(unused, retired_.end());
}

ServerExecutor *GroupServers::executor(const ServerName &name)
{
    const auto found = servers_.find(name);
    return found == servers_.end() ? nullptr : found->second.executor.get();
}

void GroupServers::release(const ServerName &name, const ConnectionPtr &connection, bool reusable)
{
    if (ServerExecutor *found = executor(name))
        found->release(connection, reusable);
    else
        connection->close();
}

bool GroupServers::isLeaving(const ServerName &name) const
{
    const auto found = servers_.find(name);
    return found == servers_.end()
        || found->second.executor->server().administrativeState
        == settings::AdministrativeState::Leaving;
}

void GroupServers::onReport(const ServerName &name, Instant sentAt,
                            const decision::ServerReport &report)
{
    const auto found = servers_.find(name);
    if (found == servers_.end())
        return;
    found->second.reachable = true;
    found->second.position = report.applied;
    if (primary_ == name) {
        if (report.isPrimary)
            freshness_.onPrimarySample(sentAt, report.applied);
        if (report.isPrimary && !acknowledged_ && sentAt >= primarySince_)
            acknowledged_ = report.applied;
    } else {
        freshness_.onReplicaReport(name, report.applied);
    }
}

// The replica's last position is dropped, as the server may come back with less data.
void GroupServers::onUnreachable(const ServerName &name)
{
    const auto found = servers_.find(name);
    if (found == servers_.end())
        return;
    found->second.reachable = false;
    freshness_.forget(name);
}

void GroupServers::onPrimarySample(Instant sentAt, Position position)
{
    freshness_.onPrimarySample(sentAt, position);
}

void GroupServers::onNewTerm(Instant now, const ServerName &primary, Term term,
                             const std::vector<decision::TermStart> &history)
{
    primary_ = primary;
    primarySince_ = now;
    acknowledged_.reset();
    freshness_.onNewTerm(term, history);
    // Browse reads may use all slots of the primary but one, which is kept for requests that need
    // the primary.
    for (auto &[name, server] : servers_) {
        const int slots = server.executor->server().slots;
        server.executor->setBrowseSlots(name == primary ? std::max(1, slots - 1) : 0);
    }
}

void GroupServers::onPrimaryGone()
{
    primary_.reset();
}

void GroupServers::onAcknowledged(Position position)
{
    if (acknowledged_ && *acknowledged_ < position)
        acknowledged_ = position;
}

decision::ServerView GroupServers::view(const ServerName &name, Instant now) const
{
    const auto found = servers_.find(name);
    return found == servers_.end() ? decision::ServerView {} : viewOf(name, found->second, now);
}

const std::vector<decision::ServerView> &GroupServers::views(Instant now)
{
    views_.clear();
    for (const auto &[name, server] : servers_)
        views_.push_back(viewOf(name, server, now));
    return views_;
}

const std::vector<decision::ServerView> &
GroupServers::viewsFor(Instant now, settings::RequestClass requestClass, const TeamName &team)
{
    views(now);
    for (decision::ServerView &view : views_) {
        const decision::Admission &admission = servers_.at(view.name).executor->admission();
        view.queueDelay = admission.expectedWait(requestClass, team);
    }
    return views_;
}

decision::ServerView GroupServers::viewOf(const ServerName &name, const Server &server,
                                          Instant now) const
{
    const settings::Server &settings = server.executor->server();
    const decision::Admission &admission = server.executor->admission();
    decision::ServerView view;
    view.name = name;
    view.zone = settings.zone;
    view.primary = primary_ == name;
    view.reachable = server.reachable;
    view.draining = settings.administrativeState == settings::AdministrativeState::Leaving;
    view.slots = settings.slots;
    view.busy = admission.busy();
    view.queued = admission.queued();
    view.serviceTime = admission.serviceTime();
    if (view.primary)
        return view;
    view.age = freshness_.age(name, now);
    view.applied = freshness_.applied(name);
    view.lag = freshness_.lag(name);
    view.holdsNewest = view.applied && acknowledged_ && *acknowledged_ <= *view.applied;
    return view;
}

inner::ServerStatus GroupServers::status(const ServerName &name, Instant now) const
{
    inner::ServerStatus status;
    const auto found = servers_.find(name);
    if (found == servers_.end())
        return status;
    const decision::ServerView view = viewOf(name, found->second, now);
    status.server = name;
    status.zone = view.zone;
    status.reachable = view.reachable;
    status.primary = view.primary;
    status.draining = view.draining;
    status.position = found->second.position;
    status.lag = view.age.value_or(Duration(0));
    status.connectionsOpen = found->second.executor->openConnections();
    status.slotsBusy = view.busy;
    status.queued = view.queued;
    return status;
}

// The shares of the owner and its successors never exceed the server's connections in total: the
// old owner reduces its connections to the reserve before it hands the group over.
int GroupServers::connectionLimit(const settings::Server &server, ConnectionShare share)
{
    const int reserve = successorReserve(server);
    switch (share) {
    case ConnectionShare::None:
        return 0;
    case ConnectionShare::Reserve:
        return std::max(0, reserve - controlConnections);
    case ConnectionShare::Owner:
        break;
    }
    // Without reserves, the previous owner may still have its control connection.
    const int others = reserve > 0 ? successorCount * reserve : controlConnections;
    return std::max(1, server.connections - others - controlConnections);
}

bool GroupServers::hasReserves() const
{
    return std::all_of(servers_.begin(), servers_.end(), [](const auto &entry) {
        return successorReserve(entry.second.executor->server()) > 0;
    });
}

void GroupServers::setConnectionShare(ConnectionShare share, std::function<void()> onWithinShare)
{
    connectionShare_ = share;
    const auto remaining = std::make_shared<std::size_t>(servers_.size());
    const auto onServerWithinLimit = [remaining, onWithinShare] {
        if (--*remaining == 0 && onWithinShare)
            onWithinShare();
    };
    for (auto &[name, server] : servers_)
        server.executor->setConnectionLimit(connectionLimit(server.executor->server(), share),
                                            onServerWithinLimit);
}

std::size_t GroupServers::transactionLimit() const
{
    int limit = 1;
    for (const auto &[name, server] : servers_) {
        const settings::Server &settings = server.executor->server();
        limit = std::max(limit, connectionLimit(settings, ConnectionShare::Owner) - settings.slots);
    }
    return static_cast<std::size_t>(limit);
}

void GroupServers::preconnect()
{
    if (connectionShare_ == ConnectionShare::None)
        return;
    for (auto &[name, server] : servers_) {
        const settings::Server &settings = server.executor->server();
        const int open =
            std::min(settings.slots, std::max(0, successorReserve(settings) - controlConnections));
        server.executor->setMinConnections(
            settings.administrativeState == settings::AdministrativeState::Active ? open : 0);
    }
}

} // namespace kelptally::owner
