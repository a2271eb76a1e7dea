#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "decision/commitwatch.h"
#include "decision/positionlog.h"
#include "decision/positionrouting.h"
#include "decision/slotadmission.h"
#include "decision/statementretry.h"
#include "group/connectionstate.h"
#include "group/failovercontroller.h"
#include "group/quotamanager.h"
#include "session/catalogue.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>

namespace kelptally::group {

// The owner of one group: queues statements, chooses servers and connections, and runs
// transactions.
class GroupRunner : public PrimaryEvents
{
public:
    struct Parts
    {
        TimerService &timers;
        ServerConnector &connector;
        OwnershipTable &ownership;
        QuotaManager &quotas;
        PromotionService &promotions;
        EventLog &log;
        Metrics &metrics;
        session::StageTimes &times;
        FailoverController::Prober probe;
        ZoneName zone;
        // See GroupServer::Parts.
        std::function<void(Instant since)> onSilence;
        decision::PolicyOptions ways;
    };

    GroupRunner(const Parts &parts, const GroupName &group);
    ~GroupRunner() override;

    void setServers(const std::vector<ListedServer> &servers);
    void setOptions(const session::GroupOptions &options);
    // A server that has been leaving for this long gets nothing more.
    void setServerLeaveTime(Duration time) { serverLeaveTime_ = time; }

    void onAcquired();
    void onLost();
    // Nothing of an earlier ownership is under way any more.
    bool isQuiet() const;
    // Ends whatever is under way.
    void closeAll();
    // Closes idle connections that have not answered since.
    void dropIdle(Instant since);
    // Zone of the server that leads; empty when none does.
    ZoneName primaryZone() const;

    void run(inner::LinkId origin, inner::RunStatement statement, session::DoneCallback callback);
    void endTransaction(inner::LinkId origin, const inner::EndTransaction &end);
    // The entry is gone: what its sessions have open is rolled back.
    void onOriginGone(inner::LinkId origin);

    void onPrimary(const ServerName &server) override;
    void onPrimaryLost(const ServerName &server) override;
    void onWritesHeld(bool held) override;
    void onCandidateNotLeading(Instant asked, Position held) override;

    // As operators see it.
    inner::GroupStatus status() const;

    // Connections that every server of the group takes from all processes together.
    int maxConnections() const { return options_.maxConnections; }
    std::size_t queued() const { return queue_.size(); }
    std::size_t transactions() const { return transactions_.size(); }

private:
    using Origin = std::pair<inner::LinkId, std::uint64_t>;

    // One statement on its way through the owner.
    struct Job
    {
        inner::RunStatement statement;
        Origin origin;
        session::DoneCallback callback;
        SessionValues values;
        decision::WaitingStatement waiting;
        // Of its organisation's quota.
        enum class Quota {
            NotNeeded,
            // It waits for what other owners may give.
            Asked,
            Taken,
        };
        Quota quota = Quota::NotNeeded;
        // Position that a read needs, once it has been worked out.
        std::optional<Position> needs;
        // Servers that have failed it.
        std::set<ServerName> avoid;
        int attempts = 0;
        Instant notBefore {};
        // What it found when it asked for a connection last.
        std::optional<decision::ConnectionAction> place;
        // While it runs.
        ServerName server;
        PooledConnectionPtr connection;
        Instant sentAt;
        bool running = false;
        // Its acknowledgement is counted by the watch of commits.
        bool watched = false;
        // Answered by a primary that may have been replaced before.
        bool unverified = false;
        bool done = false;
        TimerId timer = 0;
    };
    using JobPtr = std::shared_ptr<Job>;

    struct Transaction
    {
        ServerName server;
        PooledConnectionPtr connection;
        bool readOnly = false;
        // Its commit needs a replica's confirmation.
        bool wrote = false;
        // Number of the statement that began it.
        inner::RequestId begunBy = 0;
        // The statement that runs in it; null between statements.
        JobPtr job;
        // Its caller has gone: it ends with the statement that runs.
        bool ending = false;
    };

    // Its statements have turns among those of others.
    bool hasTurns(const OrganisationName &organisation) const;
    bool takeQuota(const JobPtr &job);
    void refuseForQuota(const JobPtr &job);
    void enqueue(const JobPtr &job);
    void sortQueue(Instant now);
    decision::WaitState waitState(const JobPtr &job) const;
    decision::FailedStatement failed(const JobPtr &job) const;
    void follow(const JobPtr &job, const decision::RetryDecision &verdict,
                const std::string &detail);
    // A server may take another statement.
    bool anySlot(Instant now) const;
    void pump();
    void pumpSoon();
    bool tryStart(const JobPtr &job, Instant now);
    void countConnectionAction(Job &job, decision::ConnectionAction place);
    bool startInTransaction(const JobPtr &job, Transaction &transaction);
    GroupServer *chooseServer(const JobPtr &job, Instant now);
    GroupServer *chooseReader(const JobPtr &job, Instant now);
    bool hasLeft(const GroupServer &server, Instant now) const;
    decision::ReadCandidate stateOf(const GroupServer &server, const JobPtr &job,
                                    Instant now) const;
    void start(const JobPtr &job, GroupServer &server, const PooledConnectionPtr &connection);
    void sendBegin(const JobPtr &job);
    void sendStatement(const JobPtr &job);
    void onBegun(const JobPtr &job, BatchResult result, std::size_t expected);
    void onResult(const JobPtr &job, BatchResult result, std::size_t expected);
    void onFailure(const JobPtr &job, const CommandResult &result);
    void onConnectionLost(const JobPtr &job);
    void learn(GroupServer &server, const CommandResult &result, Instant sent);
    void release(const JobPtr &job, bool reusable);
    void retry(const JobPtr &job, Reason why, Duration delay);
    void succeed(const JobPtr &job, const CommandResult &result);
    void endUnverified();
    void refuse(const JobPtr &job, Reason reason, Executed executed, const std::string &detail,
                Duration retryAfter = {});
    void finish(const JobPtr &job, inner::StatementDone done);
    void onHeldTooLong(const JobPtr &job);
    void onDeadline(const JobPtr &job);
    void rollBack(const Origin &origin, inner::RequestId begunBy);
    void giveUpBegin(const Origin &origin, inner::RequestId begunBy);
    void forgetTransaction(const Origin &origin, bool close);
    void dropServer(const ServerName &id);
    void dropUnlisted();
    void watchMissing();
    void onRestarted(GroupServer &server);
    void onTrouble(const ServerName &server, ConnectOutcome outcome);
    std::optional<Instant> oldestWrite() const;
    int commitsBeside(const JobPtr &job);
    bool needsConfirmation(const JobPtr &job) const;
    void watchSoon();
    GroupServer *find(const ServerName &id);

    const Parts parts_;
    const GroupName group_;
    session::GroupOptions options_;
    Duration serverLeaveTime_ {std::chrono::seconds(7)};
    GroupServers servers_;
    FailoverController keeper_;
    decision::PositionLog positions_;
    decision::CommitWatch commits_;
    decision::ServiceTimes serviceTimes_;
    decision::StartTimeFairQueuing turns_;
    // By priority and objective: transactions that are open come first, since they hold
    // connections.
    std::list<JobPtr> queue_;
    std::vector<JobPtr> running_;
    // Acknowledgements of a primary that may have been replaced, with the time at which they came.
    struct Unverified
    {
        Instant came;
        JobPtr job;
        inner::StatementDone done;
    };
    std::deque<Unverified> unverified_;
    std::map<Origin, Transaction> transactions_;
    // When the present primary began to lead.
    Instant primarySince_ {};
    bool active_ = false;
    bool writesHeld_ = false;
    bool pumping_ = false;
    bool watching_ = false;
    bool watchingMissing_ = false;
    // When commits may last have run at the primary that are not among the running ones here: an
    // earlier owner's, or such as were given up.
    Instant strangersAt_ {};
    // The same, shared with callbacks of servers that have gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::group
