#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/tcpprobe.h"
#include "decision/logholders.h"
#include "decision/replicachoice.h"
#include "group/groupserver.h"
#include "group/ownership.h"

#include <map>
#include <memory>
#include <set>

namespace kelptally::group {

using GroupServers = std::map<ServerName, std::unique_ptr<GroupServer>>;

// Receives the changes of the primary that affect the owner's statements.
class PrimaryEvents
{
public:
    virtual ~PrimaryEvents() = default;

    // The server is the new primary. Its log contains every commit acknowledged from now on.
    virtual void onPrimaryAdopted(const ServerName &server) = 0;
    // The server is no longer the primary; its pending statements get no trusted answer.
    virtual void onPrimaryLost(const ServerName &server) = 0;
    // Writes must wait as a planned change is about to take effect, or may go on.
    virtual void onWritesHeld(bool held) = 0;
    // The candidate of a planned change, queried at this time or later, was not the primary yet and
    // held this position. Commits that the old primary had acknowledged by then are safe up to this
    // position only: a stopped replica that restarts may confirm commits that the candidate lacks.
    virtual void onCandidateNotLeading(Instant queriedAt, Position held) = 0;
};

// Finds and monitors the primary of a group that this process owns, and promotes a replica when the
// primary fails or is about to leave.
class FailoverController
{
public:
    using Prober = std::function<void(const std::string &endpoint, Duration timeout,
                                      std::function<void(ProbeOutcome)> callback)>;

    struct Parts
    {
        TimerService &timers;
        OwnershipTable &ownership;
        PromotionService &promotions;
        EventLog &log;
        Metrics &metrics;
        Prober probe;
        // Send time of the oldest write that is still unanswered; nullopt if there is none.
        std::function<std::optional<Instant>()> oldestWrite;
        // Whether the primary answers but has acknowledged no commit for too long.
        std::function<bool()> commitsStalled;
    };

    FailoverController(const Parts &parts, const GroupName &group, GroupServers &servers,
                       PrimaryEvents &events);
    ~FailoverController();

    // Called when this process has acquired the group, or has lost it.
    void start();
    void stop();

    // The primary to which statements may be sent; empty if there is none.
    const ServerName &primary() const { return primary_; }

    // Whether the promotion in a planned change is imminent or may have taken effect, so that
    // acknowledgements may come from a replaced primary.
    bool mayBeReplaced() const
    {
        return planned_ && (candidateMayLead_ || step_ == Step::Confirming);
    }

    // Whether a promotion request that was sent may still arrive at the platform.
    bool mayPromotionArrive() const;

    // A connection to the server ended or could not be opened.
    void onConnectionFailure(const ServerName &server, ConnectOutcome outcome);
    // The server refused a write.
    void onReadOnly(const ServerName &server);
    // The list of servers has changed.
    void onServersChanged();
    // The server has restarted, so its earlier reports no longer count.
    void onRestarted(const ServerName &server);
    // The primary acknowledged a commit and reported this log position, which may include up to
    // maxUnacknowledged commits that are not, and may never be, acknowledged.
    void onAcknowledged(Position logPosition, int maxUnacknowledged);

private:
    // Timeout of a query to a server, and the minimum time between queries. A query takes some 4
    // ms.
    static constexpr Duration reportTimeout = std::chrono::milliseconds(300);
    static constexpr Duration queryInterval = std::chrono::milliseconds(100);
    // Silence after which a primary is lost though its host accepts connections.
    static constexpr Duration hangTimeout = std::chrono::milliseconds(2500);
    // After this time without a lead the promotion request counts as lost.
    static constexpr Duration leadTimeout = std::chrono::milliseconds(3000);

    enum class Step {
        Stopped,
        Searching,
        Leading,
        // Telling replicas to stop receiving from the old primary.
        StoppingReplicas,
        // Writing the candidate into the row.
        Recording,
        // In a planned change: checking that the candidate holds all that was acknowledged
        // meanwhile.
        Confirming,
        Promoting,
        AwaitingLead,
    };

    void tick();
    void findPrimary();
    // Whether a server that reports itself as the primary may be used as the primary.
    enum class LeaderEligibility {
        Yes,
        // May become eligible later.
        NotYet,
        // Only after another change of the primary.
        No,
    };

    void onSearchReport(const ServerName &server, const ServerReport &report);
    void noteIdleCandidate(const ServerName &server);
    bool noPromotionInFlight() const;
    LeaderEligibility leaderEligibility(const ServerName &server, Term term) const;
    bool listedPrimaryMayAnswer(Instant now) const;
    void adoptPrimary(ServerName server, const ServerReport &report, bool isTermStart);
    void watchPrimary(Instant now);
    void probePrimary(GroupServer &server);
    void onProbed(const ServerName &server, ProbeOutcome outcome);
    bool canReachOthers(Instant now);
    void abandonPrimary(const std::string &reason);

    void beginChange(const std::string &reason, bool planned);
    ServerName lastLeader() const;
    void stopReplicas(Instant now);
    void onStopReport(const ServerName &server, const ServerReport &report, Instant queriedAt,
                      bool stopRequested);
    void chooseCandidate(Instant now);
    void chooseForPlannedChange();
    decision::ReplicaChoiceInput choiceState(Instant now) const;
    std::optional<Position> knownAcknowledged() const;
    void logPromotionWait(const decision::ReplicaChoice &choice, Instant now);
    void requestTakeOverForReplica();
    void onOtherLeader(GroupServer &server, const ServerReport &report);
    bool othersHaveStopped() const;
    void requestTakeOverForPrimary(Instant now);
    void abandonPlannedChange();
    void cancelChange(const std::string &leader);
    std::string describeMissingReports() const;
    void recordCandidate(const char *rule);
    void recordPrimary();
    void queryPositions(Instant now);
    void refreshHolders(Instant now);
    void onPositionReport(const ServerName &server, const ServerReport &report, Instant queriedAt);
    void recordHolders(Instant now);
    void writeHolders(OwnershipRecord &row) const;
    std::vector<decision::LogHolder> listedHolders() const;
    void confirmCandidate(Instant now);
    void promoteCandidate();
    bool mayRequestPromotion() const;
    bool onPromotionReady(std::uint64_t stepNumber, const ServerName &candidate);
    void awaitLead(Instant now);
    void discardCandidate();
    void onPrimaryRestarted();
    void onCandidateReport(const ServerReport &report, Instant queriedAt);
    void reconcileServers();
    void checkCommitProgress(Instant now);
    bool canReplaceStalledPrimary(Instant now);
    void abandonReplacement();
    void sendCommand(GroupServer &server, CommandKind kind, Term term, Duration timeout,
                     std::function<void(const ServerReport &)> callback);
    void noteTerm(Term term) { highestTerm_ = std::max(highestTerm_, term); }
    OwnerEpoch epoch() const;
    GroupServer *find(const ServerName &id);
    void enterStep(Step step);
    Duration timeInStep(Instant now) const { return now - stepSince_; }

    const Parts parts_;
    const GroupName group_;
    GroupServers &servers_;
    PrimaryEvents &events_;
    Step step_ = Step::Stopped;
    Instant stepSince_ {};
    ServerName primary_;
    // Term of the primary, and the highest term that any server has reported.
    Term term_ = 0;
    Term highestTerm_ = 0;
    // The primary's log was read after all earlier owners had ended, and all later acknowledgements
    // have passed through this process, so acknowledgedUpperBound_ is valid.
    bool sawAllAcknowledgements_ = false;
    Instant soleOwnerSince_ {};
    // The recorded candidate is not the primary, and no promotion can make it so.
    bool candidateNeverLeads_ = false;
    // Servers that have reported since the search began that they are not the primary, or that may
    // not be used as such.
    std::set<ServerName> reportedReplicas_;
    // Nothing above the upper bound has been acknowledged, provided sawAllAcknowledgements_.
    // Everything up to the lower bound has been.
    std::optional<Position> acknowledgedUpperBound_;
    std::optional<Position> acknowledgedLowerBound_;
    // As in OwnershipRecord, for the term of the primary.
    LogOffset termStart_ = 0;
    LogOffset firstSeenOffset_ = 0;
    // Servers that may hold acknowledged commits, including unlisted ones.
    decision::LogHolders holders_;
    Instant holdersRefreshedAt_ {};
    // The row does not name the current primary yet.
    bool primaryUnrecorded_ = false;
    Instant rowWrittenAt_ {};
    // When the log last reported why no replica is promoted.
    Instant waitLoggedAt_ {};
    // State of the change in progress.
    bool planned_ = false;
    bool writesHeld_ = false;
    Term stopTerm_ = 0;
    std::map<ServerName, ServerReport> stopReports_;
    std::set<ServerName> failedCandidates_;
    // Candidate of the last abandoned planned change, and the earliest time of the next one.
    ServerName avoidedCandidate_;
    Instant plannedChangeAfter_ {};
    // Earliest time of the next attempt to record a candidate.
    Instant recordAfter_ {};
    ServerName oldPrimary_;
    // The old primary has reported itself as a replica since the change began.
    bool oldIsReplica_ = false;
    // The change replaces a stalled primary that still answers, so its reports don't cancel the
    // change; and the earliest time of the next such change.
    bool replacingStalled_ = false;
    Instant replaceAfter_ {};
    ServerName candidate_;
    // In a planned change: when all replicas other than the candidate had stopped.
    Instant othersStoppedAt_ {};
    Instant promotionSentAt_ {};
    // Send time of the promotion request that has had no definite answer; nullopt if there is none.
    // Outlasts the ownership.
    std::optional<Instant> unansweredPromotionSentAt_;
    // Earliest time of the next promotion request, after the platform has rejected one.
    Instant promoteAfter_ {};
    // Time from the promotion request to the lead in the last change.
    Duration measuredLeadTime_ {0};
    // Whether a promotion request was sent in this change, and whether it may have taken or may
    // still take effect.
    bool promotionSent_ = false;
    bool candidateMayLead_ = false;
    Instant queriedAt_ {};
    Instant reconciledAt_ {};
    bool probing_ = false;
    Instant probedAt_ {};
    Instant probeAcceptedAt_ {};
    // Servers that may still have to step down or to resume receiving under the new primary.
    std::set<ServerName> unreconciledServers_;
    TimerId timer_ = 0;
    // Counts steps, so that late answers to an earlier step can be ignored.
    std::uint64_t stepNumber_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::group
