#pragma once

#include "decision/positionlog.h"
#include "group/connectionstate.h"
#include "session/router.h"

#include <map>
#include <memory>

namespace kelptally::group {

// Reads that need not see the newest data, straight from this entry to a replica in its own zone,
// so that they cross no zone. Right by themselves: the read names a position that holds whatever
// it must see, taken from what owners have told with their answers, and the replica refuses it if
// its log lacks that position. Connections come from a share that the group's owner lends.
class NearReads : public session::LocalReadExecutor
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
        std::function<void(Instant since)> onSilence;
        // Whether what the organisation asks is counted, which its owners do.
        std::function<bool(const OrganisationName &)> isLimited;
    };

    explicit NearReads(const Parts &parts);

    void setServers(const GroupName &group, const std::vector<ListedServer> &servers);

    bool run(const inner::RunStatement &statement, session::DoneCallback callback) override;
    void onOwnerAnswer(const inner::RunStatement &statement, Instant sent,
                       const inner::StatementDone &done) override;
    // Closes idle connections that have not answered since.
    void dropIdle(Instant since);

private:
    struct Group
    {
        decision::PositionLog positions;
        std::map<ServerName, std::unique_ptr<GroupServer>> servers;
        int lent = 0;
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

    std::optional<Position> positionNeeded(const Group &group,
                                           const inner::RunStatement &statement) const;
    GroupServer *choose(Group &group, Position needed);
    GroupServer *find(const ReadPtr &read);
    void onResult(const ReadPtr &read, const BatchResult &result, std::size_t expected);
    void giveUp(const ReadPtr &read, Reason why);

    const Parts parts_;
    std::map<GroupName, Group> groups_;
};

} // namespace kelptally::group
