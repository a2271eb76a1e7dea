#pragma once

#include "group/grouprunner.h"
#include "group/quotamanager.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace kelptally::group {

// Manages the groups of this process, with one GroupRunner for each group that it owns or has
// owned. Executes each statement from a peer at most once. Single reads may run twice, if a copy
// arrives long after the answer.
class GroupHost : public session::StatementExecutor, public OwnershipEvents
{
public:
    struct Parts
    {
        TimerService &timers;
        inner::PeerLinks &links;
        services::TableService &table;
        services::TableFeed &feed;
        // The table service's own feed, without changes forwarded by other hosts.
        services::TableFeed &directFeed;
        ServerConnector &connector;
        PromotionService &promotions;
        EventLog &log;
        Metrics &metrics;
        session::StageTimes &times;
        FailoverController::Prober probe;
        ProcessId self;
        ZoneName zone;
        // Number of processor cores available to this host.
        double processors;
        // Queries other processes for the group's owner.
        std::function<void(const GroupName &)> queryPeers;
        std::function<void(const inner::TakeOver &)> broadcastTakeOver;
        // Called when the group's known owner has changed, so that waiting statements are routed
        // again.
        std::function<void(const GroupName &)> onOwnerChanged;
        // See GroupServer::Parts.
        std::function<void(Instant since)> onSilentConnections;
        // Returns whether the table service is believed to be unavailable.
        std::function<bool()> isStoreUnavailable;
        decision::QuotaTolerance quotaTolerance;
        decision::PolicyOptions policies;
    };

    explicit GroupHost(const Parts &parts);

    void start() { ownership_.start(); }
    // Sets for how long a leaving server still receives statements.
    void setServerLeaveTime(Duration time);
    OwnershipTable &ownership() { return ownership_; }

    void setServers(const GroupName &group, const std::vector<ListedServer> &servers);
    void setCatalogue(session::CataloguePtr catalogue);
    QuotaManager &quotas() { return quotas_; }

    void run(inner::LinkId origin, inner::RunStatement statement,
             session::DoneCallback callback) override;
    void endTransaction(inner::LinkId origin, const inner::EndTransaction &end) override;

    void onOwnerChanged(const GroupName &group) override;
    void onAcquired(const GroupName &group) override;
    void onLost(const GroupName &group) override;

    // Handlers for messages and links of peers.
    void onStatement(inner::LinkId link, inner::RunStatement statement);
    void onEndTransaction(inner::LinkId link, const inner::EndTransaction &end);
    void onEndRequest(inner::LinkId link, const inner::OwnershipEndRequest &request);
    void onPeerUp(inner::LinkId link, const inner::Hello &peer);
    void onPeerDown(inner::LinkId link);

    // Hands each owned group over to one of the peers. To be called repeatedly until isIdle().
    void handOverAll(const std::map<std::string, inner::Hello> &peers);
    // Returns whether no group is owned and no statement or transaction is in flight.
    bool isIdle() const;
    // Answers all statements of callers and entries before the process ends: queued ones have not
    // run, a running commit is in doubt, and transactions are rolled back. None is run from now on.
    void endAll();

    std::size_t queued() const;
    // Returns the status of all configured groups, with their servers if they are owned here.
    std::vector<inner::GroupStatus> status() const;
    // Closes idle connections without an answer since the given time.
    void closeStaleIdle(Instant since);

private:
    struct HostedGroup
    {
        std::unique_ptr<GroupRunner> runner;
        Instant lostAt {};
        // When the group was offered to the peers before a shutdown.
        Instant offeredAt {};
        bool handingOver = false;
        // Whether the lack of a peer has been logged.
        bool noPeerLogged = false;
    };

    // Answer to a statement, empty while it is pending. Kept so that a statement that is resent on
    // another link runs once.
    struct Answer
    {
        // Link on which the statement arrived last.
        inner::LinkId link = 0;
        std::optional<inner::StatementDone> done;
    };
    // State of one run of an entry process across all its links.
    struct Entry
    {
        ProcessId process;
        // Identifies the entry to the runners.
        inner::LinkId origin = 0;
        std::set<inner::LinkId> links;
        TimerId expiryTimer = 0;
        std::unordered_map<inner::RequestId, Answer> answers;
        std::deque<std::pair<Instant, inner::RequestId>> answerTimes;
        // The same for single reads, whose answers are kept for a shorter time.
        std::unordered_map<inner::RequestId, Answer> reads;
        std::deque<std::pair<Instant, inner::RequestId>> readTimes;
        // Request numbers increase. A request up to this number without a kept answer may have run.
        inner::RequestId forgottenUpTo = 0;
        inner::RequestId newestRequest = 0;
        // Highest request number of each session's transactions, by session and by number. A
        // request with a lower number belongs to an abandoned transaction.
        std::unordered_map<std::uint64_t, inner::RequestId> sessionRequests;
        std::set<std::pair<inner::RequestId, std::uint64_t>> sessionsByRequest;
    };

    Entry *entryOf(inner::LinkId link);
    // Returns a link to the process, in either direction; 0 if there is none.
    inner::LinkId linkTo(const std::string &address) const;
    static void recordSession(Entry &entry, std::uint64_t session, inner::RequestId number);
    // Removes the sessions whose highest request number is at most forgottenUpTo.
    static void expireSessions(Entry &entry);
    // Returns whether the statement belongs to a transaction that its session has abandoned.
    static bool isSuperseded(const Entry &entry, const inner::RunStatement &statement);
    void refuse(inner::LinkId link, inner::RequestId id, Reason reason, Executed executed,
                const std::string &detail);
    // Registers the link on which a copy of the statement arrived. Returns whether it is a further
    // copy, which gets the answer to the first one.
    bool isFurtherCopy(std::unordered_map<inner::RequestId, Answer> &answers, inner::LinkId link,
                       const inner::RunStatement &statement);
    void onReadAnswered(const std::string &address, inner::LinkId origin,
                        inner::StatementDone done);
    void onAnswered(const std::string &address, inner::LinkId origin, inner::StatementDone done);
    // Returns null if the entry has been replaced by a later run of its process.
    Entry *entryAt(const std::string &address, inner::LinkId origin);
    // Drops the entry's answers and rolls back the open transactions of its sessions.
    void endEntry(Entry &entry);
    HostedGroup &hostedGroup(const GroupName &group);
    GroupRunner *find(const GroupName &group) const;
    const session::GroupOptions *optionsOf(const GroupName &group) const;
    void closeWhenIdle(const GroupName &group);
    int connectionsGrantedTo(inner::LinkId link, const GroupName &group) const;

    const Parts parts_;
    prometheus::Counter &repeatsOfRunning_;
    prometheus::Counter &repeatsOfAnswered_;
    OwnershipTable ownership_;
    QuotaManager quotas_;
    std::map<GroupName, std::vector<ListedServer>> servers_;
    // Null until the first setCatalogue().
    session::CataloguePtr catalogue_;
    Duration serverLeaveTime_ {std::chrono::seconds(7)};
    std::map<GroupName, HostedGroup> groups_;
    std::map<inner::LinkId, inner::Hello> peers_;
    // Keyed by the address of the entry process.
    std::map<std::string, Entry> entries_;
    inner::LinkId lastOrigin_ = 0;
};

} // namespace kelptally::group
