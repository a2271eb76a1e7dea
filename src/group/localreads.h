#pragma once

#include "decision/positionlog.h"
#include "group/connectionstate.h"
#include "session/router.h"

#include <map>
#include <memory>

namespace kelptally::group {

// Executes reads that need not see the newest data at a replica in the entry's own zone, without
// the group's owner. Each read carries the log position that it must see, learned from the owner's
// answers; the replica refuses the read if its log lacks that position. Connections come from a
// share that the group's owner grants.
class LocalReads : public session::LocalReadExecutor
{
public:
    struct Parts
    {
        TimerService &timers;
        ServerConnector &connector;
        EventLog &log;
        Metrics &metrics;
        session::StageTimes &times;
        ZoneName zone;
        // See GroupServer::Parts.
        std::function<void(Instant since)> onSilentConnections;
        // Returns whether the organisation has a quota, which only the owners enforce.
        std::function<bool(const OrganisationName &)> hasQuota;
    };

    explicit LocalReads(const Parts &parts);

    void setServers(const GroupName &group, const std::vector<ListedServer> &servers);

    bool run(const inner::RunStatement &statement, session::DoneCallback callback) override;
    void onOwnerAnswer(const inner::RunStatement &statement, Instant sent,
                       const inner::StatementDone &done) override;
    // Closes idle connections without an answer since the given time.
    void closeStaleIdle(Instant since);

private:
    struct Group
    {
        decision::PositionLog positions;
        std::map<ServerName, std::unique_ptr<GroupServer>> servers;
        int connectionLimit = 0;
    };
    struct Read
    {
        inner::RunStatement statement;
        session::DoneCallback callback;
        GroupName group;
        ServerName server;
        PooledConnectionPtr connection;
        TimerId timer = 0;
    };
    using ReadPtr = std::shared_ptr<Read>;

    std::optional<Position> requiredPosition(const Group &group,
                                             const inner::RunStatement &statement) const;
    GroupServer *chooseReplica(Group &group, Position needed);
    GroupServer *find(const ReadPtr &read);
    void onResult(const ReadPtr &read, const BatchResult &result, std::size_t expected);
    void fallBackToOwner(const ReadPtr &read, Reason reason);

    const Parts parts_;
    std::map<GroupName, Group> groups_;
};

} // namespace kelptally::group
