#pragma once

#include "decision/failover.h"
#include "decision/freshness.h"
#include "decision/routing.h"
#include "owner/serverexecutor.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace kelptally::owner {

// The servers of one group as its owner knows them: the lane to each, whether it answers, and how
// fresh its data is.
class GroupServers
{
public:
    GroupServers(const settings::Group &group, const settings::Inventory &inventory,
                 OwnerPorts &ports);

    // Servers, slots and limits as a new configuration has them. Work that waits for a server that
    // is gone or leaving is refused so that its runner chooses another.
    void configure(const settings::Group &group, const settings::Inventory &inventory);

    ServerExecutor *executor(const ServerName &name);
    bool isLeaving(const ServerName &name) const;
    // Gives a connection back to the server's pool, or closes it when the server has left.
    void release(const ServerName &name, const ConnectionPtr &connection, bool reusable);

    void onReport(const ServerName &name, Instant sentAt, const decision::ServerReport &report);
    void onUnreachable(const ServerName &name);
    // A write committed at the primary at this position; it was sent at that time.
    void onPrimarySample(Instant sentAt, Position position);
    void onNewTerm(Instant now, const ServerName &primary, Term term,
                   const std::vector<decision::TermStart> &history);
    void onPrimaryGone();

    // Newest position whose write has been acknowledged.
    void onAcknowledged(Position position);

    decision::ServerView view(const ServerName &name, Instant now) const;
    const std::vector<decision::ServerView> &views(Instant now);
    // The same with the waits that a request of this class and team meets.
    const std::vector<decision::ServerView> &
    viewsFor(Instant now, settings::RequestClass requestClass, const TeamName &team);
    inner::ServerStatus status(const ServerName &name, Instant now) const;
    const decision::Freshness &freshness() const { return freshness_; }
    const std::optional<ServerName> &primary() const { return primary_; }

    template <typename Function>
    void forEachExecutor(Function function)
    {
        for (auto &[name, server] : servers_)
            function(*server.executor);
    }

    // Connections of each server that this process may have open.
    enum class Share {
        None,
        // A successor's reserve.
        Reserve,
        // What is left after the reserve of two successors.
        Owner,
    };
    // The notice comes once the connections of all servers are within the share.
    void setShare(Share share, std::function<void()> withinShare = {});
    // Transactions that may be open at one time: the slots' own connections are left free.
    std::size_t transactionLimit() const;
    void warm();

private:
    struct Server
    {
        std::shared_ptr<ServerExecutor> executor;
        bool reachable = false;
        Position position;
    };

    decision::ServerView viewOf(const ServerName &name, const Server &server, Instant now) const;
    static int connectionLimit(const settings::Server &server, Share share);
    void removeLeft(const settings::Group &group);

    OwnerPorts &ports_;
    settings::Group group_;
    std::map<ServerName, Server> servers_;
    decision::Freshness freshness_;
    std::optional<ServerName> primary_;
    // Every acknowledged write lies at or before this position; nothing until the first report of
    // the primary after its start or ours, since an earlier owner may have acknowledged writes.
    std::optional<Position> acknowledged_;
    Instant primarySince_;
    Share share_ = Share::None;
    std::vector<decision::ServerView> views_;
};

} // namespace kelptally::owner
