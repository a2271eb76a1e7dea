#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "decision/commitwatch.h"
#include "decision/overload.h"
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
#include <random>
#include <unordered_map>

namespace kelptally::group {

// Executes the statements of one owned group: queues them, selects servers and connections, and
// manages transactions.
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
        std::function<void(Instant since)> onSilentConnections;
        decision::PolicyOptions policies;
    };

    GroupRunner(const Parts &parts, const GroupName &group);
    ~GroupRunner() override;

    void setServers(const std::vector<ListedServer> &servers);
    void setOptions(const session::GroupOptions &options);
    // Sets for how long a leaving server still receives statements.
    void setServerLeaveTime(Duration time) { serverLeaveTime_ = time; }

    void onAcquired();
    void onLost();
    // Returns whether the group is not owned and no statement, transaction or promotion request is
    // in flight.
    bool isIdle() const;
    // See FailoverController.
    bool mayPromotionArrive() const { return failoverController_.mayPromotionArrive(); }
    // Closes all connections; running statements end as lost.
    void closeAll();
    // Closes idle connections without an answer since the given time.
    void closeStaleIdle(Instant since);
    // Returns the primary's zone; empty if there is no primary.
    ZoneName primaryZone() const;

    void run(inner::LinkId origin, inner::RunStatement statement, session::DoneCallback callback);
    void endTransaction(inner::LinkId origin, const inner::EndTransaction &end);
    // Rolls back the open transactions of a disconnected entry and cancels those not yet begun.
    void onEntryDisconnected(inner::LinkId origin);

    void onPrimaryAdopted(const ServerName &server) override;
    void onPrimaryLost(const ServerName &server) override;
    void onWritesHeld(bool held) override;
    void onCandidateNotLeading(Instant queriedAt, Position candidatePosition) override;

    // Returns the status shown to operators.
    inner::GroupStatus status() const;

    // Returns the connection limit of each server, for all processes together.
    int maxConnections() const { return options_.maxConnections; }
    std::size_t queued() const { return queue_.size(); }
    std::size_t transactions() const { return transactions_.size(); }

private:
    using Origin = std::pair<inner::LinkId, std::uint64_t>;

    // A queued or running statement.
    struct Job
    {
        inner::RunStatement statement;
        Origin origin;
        session::DoneCallback callback;
        SessionValues values;
        decision::WaitingStatement waiting;
        // Whether it waits only for a free slot, as of the last check of the queue.
        bool waitsForSlot = false;
        // State of the quota request for the statement's organisation.
        enum class Quota {
            NotNeeded,
            // Waiting for quota from other owners.
            Requested,
            // Taken, and the operation is queued or has been sent.
            Taken,
            Sent,
        };
        Quota quota = Quota::NotNeeded;
        // Log position that a read requires, once known.
        std::optional<Position> requiredPosition;
        // Servers that failed this statement and are avoided in its retries.
        std::set<ServerName> failedServers;
        int attempts = 0;
        Instant notBefore {};
        // Outcome of the last request for a connection.
        std::optional<decision::ConnectionAction> connectionAction;
        // Valid while the statement is running.
        ServerName server;
        PooledConnectionPtr connection;
        Instant sentAt;
        bool running = false;
        // Charged to its organisation by fairQueuing_.
        bool isFairQueued = false;
        // Whether the commit's acknowledgement is tracked by commits_.
        bool trackedCommit = false;
        // Acknowledged by a primary that may already have been replaced.
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
        // Whether the commit requires a replica's confirmation.
        bool wrote = false;
        // Request number of the statement that began the transaction.
        inner::RequestId beginRequestId = 0;
        // The statement that is queued or running in the transaction; null between statements.
        JobPtr job;
        // Whether the transaction ends with its running statement.
        bool ending = false;
    };

    static decision::StatementKind kindOf(const inner::RunStatement &statement)
    {
        return {statement.objective, statement.priority};
    }
    // Returns whether fair queuing applies to the organisation's statements.
    bool usesFairQueuing(const OrganisationName &organisation) const;
    bool takeQuota(const JobPtr &job);
    void refuseForQuota(const JobPtr &job);
    bool replaceCopy(const Origin &origin, const inner::RunStatement &statement,
                     session::DoneCallback &callback);
    void enqueue(const JobPtr &job);
    void sortQueue(Instant now);
    decision::WaitState waitState(const JobPtr &job) const;
    decision::FailedStatement failedStatement(const JobPtr &job) const;
    void applyRetryDecision(const JobPtr &job, const decision::RetryDecision &retryDecision,
                            const std::string &detail);
    // Returns whether any server has a free slot.
    bool hasFreeSlot(Instant now) const;
    void dispatchQueue();
    void watchQueue(Instant now);
    void refuseTooLate(Instant now);
    bool waitsForSlot(const JobPtr &job, bool anySlotFree, Instant now);
    Duration retryHint();
    void scheduleDispatch();
    bool tryStart(const JobPtr &job, Instant now);
    void countConnectionAction(Job &job, decision::ConnectionAction connectionAction);
    bool startInTransaction(const JobPtr &job, Transaction &transaction);
    GroupServer *chooseServer(const JobPtr &job, Instant now);
    GroupServer *chooseReader(const JobPtr &job, Instant now, bool ignoreSlots = false);
    bool hasLeft(const GroupServer &server, Instant now) const;
    decision::ReadCandidate stateOf(const GroupServer &server, const JobPtr &job, Instant now,
                                    bool ignoreSlots) const;
    void start(const JobPtr &job, GroupServer &server, const PooledConnectionPtr &connection);
    void sendBegin(const JobPtr &job);
    void sendStatement(const JobPtr &job);
    void onBegun(const JobPtr &job, BatchResult result, std::size_t expected);
    void onResult(const JobPtr &job, BatchResult result, std::size_t expected);
    void onFailure(const JobPtr &job, const CommandResult &result);
    void onConnectionLost(const JobPtr &job);
    void recordPosition(GroupServer &server, const CommandResult &result, Instant sent);
    void release(const JobPtr &job, bool reusable);
    void retry(const JobPtr &job, Reason reason, Duration delay);
    void succeed(const JobPtr &job, const CommandResult &result);
    void refuseUnverified();
    void refuse(const JobPtr &job, Reason reason, Executed executed, const std::string &detail,
                Duration retryAfter = {});
    void finish(const JobPtr &job, inner::StatementDone done);
    void onQueueTimeout(const JobPtr &job);
    void onDeadline(const JobPtr &job);
    void rollBack(const Origin &origin, inner::RequestId maxBeginRequest);
    void cancelBegin(const Origin &origin, inner::RequestId maxBeginRequest);
    void removeTransaction(const Origin &origin);
    void removeTransactionOf(const JobPtr &job);
    const Transaction *transactionOf(const JobPtr &job) const;
    Transaction *transactionOf(const JobPtr &job);
    void closeServer(const ServerName &id);
    void removeUnlisted();
    void pollMissingServers();
    void onRestarted(GroupServer &server);
    void onConnectionFailure(const ServerName &server, ConnectOutcome outcome);
    void scheduleProbe(const ServerName &server);
    std::optional<Instant> oldestWrite() const;
    int countConcurrentCommits(const JobPtr &job);
    bool needsConfirmation(const JobPtr &job) const;
    void scheduleSilenceCheck();
    GroupServer *find(const ServerName &id);

    const Parts parts_;
    const GroupName group_;
    session::GroupOptions options_;
    Duration serverLeaveTime_ {std::chrono::seconds(7)};
    GroupServers servers_;
    FailoverController failoverController_;
    decision::PositionLog positions_;
    decision::CommitWatch commits_;
    decision::ServiceTimes serviceTimes_;
    decision::StartTimeFairQueuing fairQueuing_;
    decision::OverloadWatch overload_;
    decision::KindShares kindShares_;
    Instant nextQueueCheck_ {};
    // Varies retry delays; the sequence is fixed so that simulations are deterministic.
    std::minstd_rand random_;
    // Ordered by priority and objective; open transactions come first, since they hold connections.
    std::list<JobPtr> queue_;
    std::vector<JobPtr> running_;
    // An acknowledgement from a primary that may have been replaced, with its time of receipt.
    struct Unverified
    {
        Instant receivedAt;
        JobPtr job;
        inner::StatementDone done;
    };
    std::deque<Unverified> unverified_;
    // A session has at most one transaction, which is in begins_ until it is open: its first
    // statement is queued, or its begin is running.
    std::map<Origin, JobPtr> begins_;
    std::map<Origin, Transaction> transactions_;
    // When the current primary was adopted.
    Instant primarySince_ {};
    bool active_ = false;
    bool writesHeld_ = false;
    // A dispatch of the queue is scheduled at once, or after dispatchInterval.
    bool dispatchScheduled_ = false;
    bool pollScheduled_ = false;
    bool silenceCheckScheduled_ = false;
    bool missingPollScheduled_ = false;
    // Unreachable servers whose next probe is scheduled or under way.
    std::set<ServerName> probing_;
    // Last time at which the primary may have run commits that are not in running_: those of an
    // earlier owner, or commits that were abandoned here.
    Instant untrackedCommitsAt_ {};
    // Set to false by the destructor; checked by pending callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::group
