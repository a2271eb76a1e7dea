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

// The servers of one group: the executor of each server, whether it is reachable and how fresh its
// data is.
class GroupServers
{
public:
    GroupServers(const settings::Group &group, const settings::Inventory &inventory,
                 OwnerPorts &ports);

    // Applies the servers, slots and limits of a new configuration. Work that is queued for a
    // removed or leaving server is refused, so that its runner chooses another server.
    void configure(const settings::Group &group, const settings::Inventory &inventory);

    ServerExecutor *executor(const ServerName &name);
    bool isLeaving(const ServerName &name) const;
    // Returns a connection to the server's pool, or closes it if the server was removed.
    void release(const ServerName &name, const ConnectionPtr &connection, bool reusable);

    void onReport(const ServerName &name, Instant sentAt, const decision::ServerReport &report);
    void onUnreachable(const ServerName &name);
    // Records that a write sent at this time was committed at the primary at this position.
    void onPrimarySample(Instant sentAt, Position position);
    void onNewTerm(Instant now, const ServerName &primary, Term term,
                   const std::vector<decision::TermStart> &history);
    void onPrimaryGone();

    // Records the position of an acknowledged write.
    void onAcknowledged(Position position);

    decision::ServerView view(const ServerName &name, Instant now) const;
    const std::vector<decision::ServerView> &views(Instant now);
    // Returns the views with the expected queue delay of a request of this class and team.
    const std::vector<decision::ServerView> &
    viewsFor(Instant now, settings::RequestClass requestClass, const TeamName &team);
    inner::ServerStatus status(const ServerName &name, Instant now) const;
    const decision::Freshness &freshness() const { return freshness_; }
    const std::optional<ServerName> &primary() const { return primary_; }
    // Frees the executors of removed servers whose last statement has ended.
    void dropRetired();

    template <typename Function>
    void forEachExecutor(Function function)
    {
        for (auto &[name, server] : servers_)
            function(*server.executor);
    }

    // Connections to each server that this process may have open.
    enum class ConnectionShare {
        None,
        // The reserve of one successor.
        Reserve,
        // All connections but the reserves of two successors.
        Owner,
    };
    // Calls onWithinShare once the open connections to all servers are within the share.
    void setConnectionShare(ConnectionShare share, std::function<void()> onWithinShare = {});
    // Whether successors may open connections to all servers ahead of need.
    bool hasReserves() const;
    // Returns the limit of open transactions, which leaves one connection free for each slot.
    std::size_t transactionLimit() const;
    // Opens pooled connections ahead of need.
    void preconnect();

private:
    struct Server
    {
        std::shared_ptr<ServerExecutor> executor;
        bool reachable = false;
        Position position;
    };

    decision::ServerView viewOf(const ServerName &name, const Server &server, Instant now) const;
    static int connectionLimit(const settings::Server &server, ConnectionShare share);
    void removeStaleServers(const settings::Group &group);

    OwnerPorts &ports_;
    settings::Group group_;
    std::map<ServerName, Server> servers_;
    // Executors of removed or changed servers, kept until their running statements have ended.
    std::vector<std::shared_ptr<ServerExecutor>> retired_;
    decision::Freshness freshness_;
    std::optional<ServerName> primary_;
    // Upper bound of the positions of acknowledged writes. Unset until the primary's first report
    // in this term, as a previous owner may have acknowledged writes.
    std::optional<Position> acknowledged_;
    Instant primarySince_;
    ConnectionShare connectionShare_ = ConnectionShare::None;
    std::vector<decision::ServerView> views_;
};

} // namespace kelptally::owner
