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

// What the owner's statements need to know of changes of the primary.
class PrimaryEvents
{
public:
    virtual ~PrimaryEvents() = default;

    // The server leads; everything acknowledged from now on is in its log.
    virtual void onPrimary(const ServerName &server) = 0;
    // Nothing may be expected of the server any more: what it has not answered is lost.
    virtual void onPrimaryLost(const ServerName &server) = 0;
    // A planned change is about to take effect: writes wait, or go on.
    virtual void onWritesHeld(bool held) = 0;
    // When it was asked at that time or later, the candidate of a planned change did not lead yet
    // and held this position: what the old primary had acknowledged by then, and the candidate
    // holds, counts. A replica that was stopped and has started again confirms commits that the
    // candidate lacks.
    virtual void onNotReplacedYet(Instant asked, Position held) = 0;
};

// Finds the primary of a group that this process owns, watches it, and replaces it when it is lost
// or leaves.
class PrimaryKeeper
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
        // Since when the oldest write has waited for its server's answer; nothing when none does.
        std::function<std::optional<Instant>()> oldestWrite;
        // The primary answers, but has acknowledged no commit for so long that another should lead.
        std::function<bool()> commitsHang;
    };

    PrimaryKeeper(const Parts &parts, const GroupName &group, GroupServers &servers,
                  PrimaryEvents &events);
    ~PrimaryKeeper();

    // This process owns the group from now on, or not any more.
    void start();
    void stop();

    // The server that leads, while statements may be sent to it; empty while there is none.
    const ServerName &primary() const { return primary_; }

    // The platform has been told to promote another server while this one serves, so that what it
    // acknowledges may come from a primary that has been replaced.
    bool mayBeReplaced() const { return planned_ && (mayLead_ || step_ == Step::Confirming); }

    // A connection to the server ended or could not be opened.
    void onTrouble(const ServerName &server, ConnectOutcome outcome);
    // The server refused a write.
    void onReadOnly(const ServerName &server);
    // The list of servers has changed.
    void onServersChanged();
    // Another run of the server has begun: nothing that it said before counts any more.
    void onRestarted(const ServerName &server);
    // The primary acknowledged a commit and showed this position; above the commit there may be so
    // many in its log that are not acknowledged and never will be.
    void onAcknowledged(Position shown, int beside);

private:
    // Of one question to a server, which takes some 4 ms; and how often one without an answer is
    // asked again. Chosen, not measured.
    static constexpr Duration reportTimeout = std::chrono::milliseconds(300);
    static constexpr Duration askPeriod = std::chrono::milliseconds(100);
    // A primary whose machine accepts connections but which answers nothing.
    static constexpr Duration hungAfter = std::chrono::milliseconds(2500);
    // The candidate leads some hundred ms after the call; longer means that the call was lost.
    static constexpr Duration leadTimeout = std::chrono::milliseconds(3000);

    enum class Step {
        Stopped,
        Looking,
        Leading,
        // Replicas are told to receive nothing more from the old primary.
        StoppingReplicas,
        // The candidate is being written into the row.
        Recording,
        // In a planned change: whether the candidate holds all that was acknowledged meanwhile.
        Confirming,
        Calling,
        AwaitingLead,
    };

    void tick();
    void look();
    enum class MayLead {
        Yes,
        // Perhaps later.
        NotYet,
        // Only by another change.
        No,
    };

    void onLookReport(const ServerName &server, const ServerReport &report);
    void noteIdleCandidate(const ServerName &server);
    bool callsAreOver() const;
    MayLead mayLead(const ServerName &server, Term term) const;
    bool listedPrimaryMayAnswer(Instant now) const;
    void lead(ServerName server, const ServerReport &report, bool isTermsBeginning);
    void watchPrimary(Instant now);
    void probePrimary(GroupServer &server);
    void onProbed(const ServerName &server, ProbeOutcome outcome);
    bool heardOthers(Instant now);
    void loseLead(const std::string &why);

    void beginChange(const std::string &why, bool planned);
    ServerName lastLeader() const;
    void stopReplicas(Instant now);
    void onStopped(const ServerName &server, const ServerReport &report, Instant asked,
                   bool toldToStop);
    void chooseCandidate(Instant now);
    void chooseForPlannedChange();
    decision::ReplicaChoiceInput choiceState(Instant now) const;
    std::optional<Position> surelyAcknowledged() const;
    void noteWaiting(const decision::ReplicaChoice &choice, Instant now);
    void askForHearing();
    void onOtherLeader(GroupServer &server, const ServerReport &report);
    bool othersHaveStopped() const;
    void askForReach(Instant now);
    void abandonPlanned();
    void cancelChange(const std::string &why);
    std::string unheard() const;
    void recordCandidate(const char *rule);
    void recordLead();
    void askWhatIsHeld(Instant now);
    void watchHolders(Instant now);
    void onHeld(const ServerName &server, const ServerReport &report, Instant asked);
    void recordHolders(Instant now);
    void tellHolders(OwnershipRecord &row) const;
    std::vector<decision::LogHolder> listedHolders() const;
    void confirmCandidate(Instant now);
    void call();
    void awaitLead(Instant now);
    void loseCandidate();
    void onPrimaryRestarted();
    void onCandidateReport(const ServerReport &report, Instant asked);
    void settleOthers();
    void watchConfirmations(Instant now);
    bool mayReplaceHanging(Instant now);
    void endReplacement();
    void ask(GroupServer &server, CommandKind kind, Term term, Duration timeout,
             std::function<void(const ServerReport &)> callback);
    void noteTerm(Term term) { highestTerm_ = std::max(highestTerm_, term); }
    OwnerEpoch epoch() const;
    GroupServer *find(const ServerName &id);
    void enter(Step step);
    Duration inStep(Instant now) const { return now - stepSince_; }

    const Parts parts_;
    const GroupName group_;
    GroupServers &servers_;
    PrimaryEvents &events_;
    Step step_ = Step::Stopped;
    Instant stepSince_ {};
    ServerName primary_;
    // Term of the primary, and the highest that any server has shown.
    Term term_ = 0;
    Term highestTerm_ = 0;
    // Every acknowledgement since the owner before this one has passed here, and the primary's log
    // was seen after that.
    bool knowsAll_ = false;
    Instant aloneSince_ {};
    // The candidate that the row names does not lead and never will.
    bool candidateIdle_ = false;
    // Servers that have said since the search for a primary began that they are none, or that may
    // not lead any more.
    std::set<ServerName> saidReplica_;
    // Nothing above the first position has been acknowledged, if it knows all, and all up to the
    // second one has been.
    std::optional<Position> acknowledgedAtMost_;
    std::optional<Position> acknowledgedAtLeast_;
    // See OwnershipRecord; of the term of the primary.
    LogOffset termBegan_ = 0;
    LogOffset firstHeld_ = 0;
    // Servers that may hold acknowledged commits, listed or not.
    decision::LogHolders holders_;
    Instant holdersWatchedAt_ {};
    // The row does not name the present primary yet; and when it was written last.
    bool leadUnrecorded_ = false;
    Instant rowWrittenAt_ {};
    // Since the log last told why nothing is promoted.
    Instant waitingNotedAt_ {};
    // The change under way.
    bool planned_ = false;
    bool held_ = false;
    Term stopTerm_ = 0;
    std::map<ServerName, ServerReport> stopped_;
    std::set<ServerName> excluded_;
    // Candidate of the planned change that came to nothing last, and when the next may begin.
    ServerName avoided_;
    Instant plannedAfter_ {};
    // The row could not be written; not before then again.
    Instant recordAfter_ {};
    ServerName oldPrimary_;
    // It has said so since the change began.
    bool oldIsReplica_ = false;
    // The change replaces a primary that goes on answering, so that its word is no reason to stop;
    // and when the next such change may begin.
    bool replacing_ = false;
    Instant replaceAfter_ {};
    ServerName candidate_;
    // When the replicas other than the candidate had all stopped, in a planned change.
    Instant othersStoppedAt_ {};
    Instant calledAt_ {};
    // Not again before then: the platform has turned a call away.
    Instant callAfter_ {};
    // From the call to the lead, in the last change.
    Duration leadTook_ {0};
    // The platform has been told to promote in this change, and may do or have done so.
    bool called_ = false;
    bool mayLead_ = false;
    Instant askedAt_ {};
    Instant settledAt_ {};
    bool probing_ = false;
    Instant probedAt_ {};
    Instant acceptedAt_ {};
    // Servers that must learn of the new primary.
    std::set<ServerName> toSettle_;
    TimerId timer_ = 0;
    // Counts steps, so that late answers are told apart.
    std::uint64_t change_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::group
