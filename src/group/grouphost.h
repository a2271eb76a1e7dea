#pragma once

#include "group/grouprunner.h"
#include "group/quotabook.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace kelptally::group {

// The groups that this process looks after: one runner for each group that it owns or has owned.
class GroupHost : public session::StatementExecutor, public OwnershipEvents
{
public:
    struct Parts
    {
        TimerService &timers;
        inner::PeerLinks &links;
        services::TableService &table;
        services::TableFeed &feed;
        // The service itself, without what other hosts tell.
        services::TableFeed &directFeed;
        ServerConnector &connector;
        PromotionService &promotions;
        EventLog &log;
        Metrics &metrics;
        session::StageTimes &times;
        FailoverController::Prober probe;
        ProcessId self;
        ZoneName zone;
        // Processor cores that this host may use.
        double processors;
        // Asks other processes who owns the group.
        std::function<void(const GroupName &)> queryPeers;
        std::function<void(const inner::TakeOver &)> broadcastTakeOver;
        // Another owner is known; the router places what waits.
        std::function<void(const GroupName &)> onOwnerChanged;
        // See GroupServer::Parts.
        std::function<void(Instant since)> onSilentConnections;
        // Whether the table service answers nothing, as far as is known.
        std::function<bool()> isStoreUnavailable;
        decision::QuotaTolerance quotaTolerance;
        decision::Ways ways;
    };

    explicit GroupHost(const Parts &parts);

    void start() { ownership_.start(); }
    // A server that has been leaving for this long gets nothing more.
    void setServerLeaveTime(Duration time);
    OwnershipTable &ownership() { return ownership_; }

    void setServers(const GroupName &group, const std::vector<ListedServer> &servers);
    void setCatalogue(session::CataloguePtr catalogue);
    QuotaBook &quotas() { return quotas_; }

    void run(inner::LinkId origin, inner::RunStatement statement,
             session::DoneCallback callback) override;
    void endTransaction(inner::LinkId origin, const inner::EndTransaction &end) override;

    void onOwnerChanged(const GroupName &group) override;
    void onAcquired(const GroupName &group) override;
    void onLost(const GroupName &group) override;

    // From peers.
    void onStatement(inner::LinkId link, inner::RunStatement statement);
    void onEndTransaction(inner::LinkId link, const inner::EndTransaction &end);
    void onEndRequest(inner::LinkId link, const inner::OwnershipEndRequest &request);
    void onPeerUp(inner::LinkId link, const inner::Hello &peer);
    void onPeerDown(inner::LinkId link);

    // Gives every owned group to one of the peers, if any is known; called until none is left.
    void handOverAll(const std::map<std::string, inner::Hello> &peers);
    // Nothing is owned and nothing runs.
    bool isIdle() const;

    std::size_t queued() const;
    // Groups as far as they are known here; with their servers where they are owned here.
    std::vector<inner::GroupStatus> status() const;
    // Closes idle connections to servers that have not answered since.
    void closeStaleIdle(Instant since);

private:
    struct HostedGroup
    {
        std::unique_ptr<GroupRunner> runner;
        Instant lostAt {};
        // When it was offered to others, before a stop.
        Instant offeredAt {};
        bool handingOver = false;
        // That it has nobody to go to has been logged.
        bool noPeerLogged = false;
    };

    // What an entry has been answered, or will be, so that a statement which it sends again on
    // another link runs once.
    struct Answer
    {
        // The link that it came on last.
        inner::LinkId link = 0;
        std::optional<inner::StatementDone> done;
    };
    // One run of an entry, over all its links.
    struct Entry
    {
        ProcessId process;
        // Names it to the runners.
        inner::LinkId origin = 0;
        std::set<inner::LinkId> links;
        TimerId expiryTimer = 0;
        std::unordered_map<inner::RequestId, Answer> answers;
        std::deque<std::pair<Instant, inner::RequestId>> answerTimes;
        // Numbers only go up. Of those up to this one that have no answer here, nothing is known
        // any more.
        inner::RequestId forgottenUpTo = 0;
        inner::RequestId newestRequest = 0;
        // The newest number that each session has used in a transaction or ended one with, and the
        // same by number. An older one that comes now was given up there.
        std::unordered_map<std::uint64_t, inner::RequestId> sessionRequests;
        std::set<std::pair<inner::RequestId, std::uint64_t>> sessionsByRequest;
    };

    Entry *entryOf(inner::LinkId link);
    static void recordSession(Entry &entry, std::uint64_t session, inner::RequestId number);
    // Those whose numbers are all forgotten.
    static void expireSessions(Entry &entry);
    // Of a transaction that its session has left behind since.
    static bool isSuperseded(const Entry &entry, const inner::RunStatement &statement);
    void refuse(inner::LinkId link, inner::RequestId id, Reason reason, Executed executed,
                const std::string &detail);
    void onAnswered(const std::string &address, inner::LinkId origin, inner::StatementDone done);
    // What its sessions have open is rolled back.
    void endEntry(Entry &entry);
    HostedGroup &hostedGroup(const GroupName &group);
    GroupRunner *find(const GroupName &group) const;
    const session::GroupOptions *optionsOf(const GroupName &group) const;
    void closeWhenIdle(const GroupName &group);
    int connectionsLentTo(inner::LinkId link, const GroupName &group) const;

    const Parts parts_;
    OwnershipTable ownership_;
    QuotaBook quotas_;
    std::map<GroupName, std::vector<ListedServer>> servers_;
    // Null before the first one.
    session::CataloguePtr catalogue_;
    Duration serverLeaveTime_ {std::chrono::seconds(7)};
    std::map<GroupName, HostedGroup> groups_;
    // Peers by link.
    std::map<inner::LinkId, inner::Hello> peers_;
    // By address.
    std::map<std::string, Entry> entries_;
    inner::LinkId lastOrigin_ = 0;
};

} // namespace kelptally::group
