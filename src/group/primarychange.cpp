#include "group/primarykeeper.h"

#include <algorithm>
#include <limits>

// The steps by which a lost or leaving primary is replaced.
namespace kelptally::group {

namespace {

// Longest time in which replicas may be stopped for a planned change, and the pause before another
// attempt: the primary can't acknowledge by a stopped replica.
constexpr Duration plannedStopTime = std::chrono::milliseconds(700);
constexpr Duration plannedPause = std::chrono::milliseconds(500);
// A primary that answers but acknowledges nothing leads on when its replicas have not stopped
// within this time; and is not replaced again for so long, in which its replicas may come back by
// themselves.
constexpr Duration replaceStopTime = std::chrono::milliseconds(500);
constexpr Duration replacePause = std::chrono::seconds(5);
// Before the candidate is recorded again after the row could not be written; chosen, not measured.
constexpr Duration recordPause = std::chrono::milliseconds(100);
// The store takes a change within this time also when it is slow; longer means that it may turn
// this process away.
constexpr Duration recordTime = std::chrono::milliseconds(600);
// Without a primary for this long, and unable to change it, the owner looks for one that reaches
// it.
constexpr Duration reachAfter = std::chrono::milliseconds(600);
// The platform answers the call in 12 to 26 ms where it was measured; a lost answer costs no more
// than this, and the pause before the call is made again after a refusal.
constexpr Duration callTimeout = std::chrono::milliseconds(1500);
constexpr Duration callPause = std::chrono::milliseconds(60);
// How often the candidate is asked whether it leads: the most that this adds to a change.
constexpr Duration leadPoll = std::chrono::milliseconds(20);
// In a planned change writes go on until this long before the candidate is expected to lead. Until
// the first change has shown how long that takes, it is expected no sooner than the first figure.
constexpr Duration firstLeadTime = std::chrono::milliseconds(350);
constexpr Duration holdBefore = std::chrono::milliseconds(100);
// Above every position of a log.
constexpr Position lastPosition {std::numeric_limits<Term>::max(),
                                 std::numeric_limits<std::uint64_t>::max()};

} // namespace

void PrimaryKeeper::beginChange(const std::string &why, bool planned)
{
    parts_.log.warning("primary_change", why)
        .with("group", group_)
        .with("primary", primary_)
        .with("term", term_)
        .with("planned", planned)
        .with("alone", parts_.ownership.isAlone(group_))
        .with("lease_left_ms", parts_.ownership.leaseLeft(group_));
    planned_ = planned;
    oldPrimary_ = primary_.empty() ? lastLeader() : primary_;
    oldIsReplica_ = false;
    callAfter_ = Instant();
    stopped_.clear();
    excluded_.clear();
    candidate_.clear();
    othersStoppedAt_ = Instant();
    called_ = false;
    mayLead_ = false;
    stopTerm_ = std::max(highestTerm_, term_) + 1;
    askedAt_ = Instant();
    if (!planned) {
        primary_.clear();
        if (!oldPrimary_.empty())
            events_.onPrimaryLost(oldPrimary_);
    }
    enter(Step::StoppingReplicas);
    stopReplicas(parts_.timers.now());
}

// The server that led last as far as the row tells: whatever was acknowledged there, others have
// received, so that it need not be heard. Empty when a candidate may have led since, or not.
ServerName PrimaryKeeper::lastLeader() const
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    return record == nullptr || !record->candidate.empty() ? ServerName() : record->primary;
}

void PrimaryKeeper::stopReplicas(Instant now)
{
    // 1. Only under the lease, and when no owner before this one can act.
    const bool mayChange = parts_.ownership.leaseHolds(group_) && parts_.ownership.isAlone(group_);
    // 2. Ask: a planned change leaves the best replica receiving, so that whatever the old primary
    // still acknowledges is there.
    if (now - askedAt_ >= askPeriod) {
        askedAt_ = now;
        for (const auto &[id, server] : servers_) {
            const bool isOld = id == oldPrimary_;
            if (stopped_.count(id) != 0 && !(planned_ && id == candidate_))
                continue;
            const bool stop = mayChange && (!isOld || oldIsReplica_)
                && (!planned_ || (!candidate_.empty() && id != candidate_));
            ask(*server, stop ? CommandKind::StopReceiving : CommandKind::Report, stopTerm_,
                reportTimeout, [this, id = id, now, stop](const ServerReport &report) {
                    onStopped(id, report, now, stop);
                });
        }
    }
    if (mayChange)
        chooseCandidate(now);
    askForReach(now);
    if (step_ == Step::StoppingReplicas && planned_ && inStep(now) >= plannedStopTime)
        abandonPlanned();
    if (step_ == Step::StoppingReplicas && replacing_ && inStep(now) >= replaceStopTime)
        endReplacement();
}

// From now on the old primary leads again if it says so.
void PrimaryKeeper::endReplacement()
{
    parts_.log.info("replacement_abandoned").with("group", group_).with("primary", oldPrimary_);
    replacing_ = false;
    replaceAfter_ = parts_.timers.now() + replacePause;
    askedAt_ = Instant();
}

// This process can't reach the primary and may not replace it yet, as an owner before it may still
// act. Another process may reach it.
void PrimaryKeeper::askForReach(Instant now)
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    GroupServer *old = record == nullptr ? nullptr : find(record->primary);
    if (planned_ || old == nullptr || inStep(now) < reachAfter || parts_.ownership.isAlone(group_))
        return;
    if (now - old->lastHeard() < reachAfter)
        return;
    parts_.ownership.askTakeOver(group_, old->listed().endpoint, "primary_unreachable");
}

// The replicas cannot be brought to where the change is safe: the primary serves on meanwhile, with
// all of them, and another candidate is tried a little later.
void PrimaryKeeper::abandonPlanned()
{
    parts_.log.info("planned_change_abandoned").with("group", group_).with("candidate", candidate_);
    avoided_ = candidate_;
    plannedAfter_ = parts_.timers.now() + plannedPause;
    planned_ = false;
    candidate_.clear();
    for (const auto &[id, server] : servers_)
        if (id != primary_)
            toSettle_.insert(id);
    enter(Step::Leading);
}

void PrimaryKeeper::onStopped(const ServerName &server, const ServerReport &report, Instant asked,
                              bool toldToStop)
{
    if (step_ != Step::StoppingReplicas)
        return;
    GroupServer *found = find(server);
    if (found == nullptr)
        return;
    if (replacing_ && server == oldPrimary_ && report.term <= term_)
        return;
    // The old primary is back, or another leads already.
    const bool leads = report.primary && report.term >= term_;
    // Once a call was sent, only a server of a later term leads.
    if (leads && !planned_ && (!called_ || report.term > term_))
        return onOtherLeader(*found, report);
    if (leads && server != oldPrimary_)
        return cancelChange(server);
    if (planned_ && server == oldPrimary_) {
        if (!report.primary)
            return loseLead("not_primary");
        // Only a position from after the others' stop bounds what they have acknowledged.
        if (othersStoppedAt_ != Instant() && asked >= othersStoppedAt_)
            stopped_[server] = report;
    } else if (planned_ && candidate_.empty()) {
        // The first one that answers and is not on its way out itself.
        if (!found->listed().leaving && server != avoided_)
            candidate_ = server;
    } else if (planned_ && server == candidate_) {
        stopped_[server] = report;
    } else if (server == oldPrimary_ && !oldIsReplica_) {
        // It is back and follows: from now on it is told to stop like the others.
        oldIsReplica_ = !report.primary;
    } else if (toldToStop && report.stoppedUnder >= stopTerm_) {
        // One that another owner has stopped may be let go by it again.
        stopped_[server] = report;
    } else if (report.stoppedUnder != 0 || report.term >= stopTerm_) {
        stopTerm_ = highestTerm_ + 1;
    }
    if (planned_ && !candidate_.empty() && othersStoppedAt_ == Instant() && othersHaveStopped()) {
        othersStoppedAt_ = parts_.timers.now();
        askedAt_ = Instant();
    }
    chooseCandidate(parts_.timers.now());
}

// A server leads that was not expected to: all goes on there, or it becomes a replica like the
// others when it was replaced by one that can't be heard now.
void PrimaryKeeper::onOtherLeader(GroupServer &server, const ServerReport &report)
{
    const MayLead may = mayLead(server.id(), report.term);
    if (may == MayLead::Yes)
        return cancelChange(server.id());
    const bool mayChange = parts_.ownership.leaseHolds(group_) && parts_.ownership.isAlone(group_);
    if (may != MayLead::No || !mayChange)
        return;
    // It steps down for a higher term only: a former candidate that has led and come back under
    // another id may show the one that was to be used.
    if (report.term >= stopTerm_)
        stopTerm_ = highestTerm_ + 1;
    ask(server, CommandKind::StepDown, stopTerm_, reportTimeout, [](const ServerReport &) {});
}

// Whether all replicas but the candidate receive nothing more. One that is neither listed nor
// running has left for good.
bool PrimaryKeeper::othersHaveStopped() const
{
    for (const auto &[id, server] : servers_) {
        const bool hasLeft = server->listed().missing && server->isAbsent();
        if (id != oldPrimary_ && id != candidate_ && stopped_.count(id) == 0 && !hasLeft)
            return false;
    }
    return true;
}

void PrimaryKeeper::chooseCandidate(Instant now)
{
    if (step_ != Step::StoppingReplicas || !parts_.ownership.leaseHolds(group_)
        || !parts_.ownership.isAlone(group_))
        return;
    if (planned_)
        return chooseForPlannedChange();
    const decision::ReplicaChoice choice = decision::chooseReplica(choiceState(now));
    if (choice.server.empty())
        return noteWaiting(choice, now);
    candidate_ = choice.server;
    recordCandidate(decision::choiceRuleName(choice.rule));
}

// The candidate must hold what the others acknowledged before they stopped: the old primary's
// position after that.
void PrimaryKeeper::chooseForPlannedChange()
{
    const auto old = stopped_.find(oldPrimary_);
    const auto next = stopped_.find(candidate_);
    if (candidate_.empty() || !othersHaveStopped())
        return;
    if (old == stopped_.end() || next == stopped_.end())
        return;
    if (next->second.received < old->second.received) {
        stopped_.erase(next);
        return;
    }
    recordCandidate("planned");
}

// The old primary answers again, or another one leads: everything goes on there.
void PrimaryKeeper::cancelChange(const std::string &leader)
{
    parts_.log.info("primary_change_cancelled").with("group", group_).with("leader", leader);
    candidate_.clear();
    if (planned_ && leader != oldPrimary_)
        events_.onPrimaryLost(oldPrimary_);
    primary_.clear();
    enter(Step::Looking);
    look();
}

void PrimaryKeeper::recordCandidate(const char *rule)
{
    if (parts_.timers.now() < recordAfter_)
        return;
    std::string positions;
    for (const auto &[id, report] : stopped_)
        positions += (positions.empty() ? "" : " ") + id + "=" + positionText(report.received);
    parts_.log.info("candidate_chosen", rule)
        .with("group", group_)
        .with("candidate", candidate_)
        .with("old_primary", oldPrimary_)
        .with("positions", positions)
        .with("unheard", unheard())
        .with("acknowledged",
              acknowledgedAtMost_ ? positionText(*acknowledgedAtMost_) : std::string("-"))
        .with("knows_all", knowsAll_);
    enter(Step::Recording);
    const std::uint64_t change = change_;
    const ServerName candidate = candidate_;
    const Term term = term_;
    const bool serves = !primary_.empty();
    parts_.timers.subscribeAfter(recordTime, [this, alive = alive_, change] {
        if (*alive && change == change_ && step_ == Step::Recording)
            parts_.ownership.askTakeOver(group_, std::string(), "candidate_unrecorded");
    });
    parts_.ownership.change(
        group_,
        [this, candidate, term, serves](OwnershipRecord &row) {
            tellHolders(row);
            row.primaryServes = serves;
            row.otherCandidates =
                row.otherCandidates || (!row.candidate.empty() && row.candidate != candidate);
            row.candidate = candidate;
            row.term = std::max(row.term, term);
        },
        [this, alive = alive_, change](const absl::Status &written) {
            if (!*alive || change != change_)
                return;
            if (written.ok() && planned_) {
                enter(Step::Confirming);
                askedAt_ = Instant();
                return confirmCandidate(parts_.timers.now());
            }
            if (written.ok())
                return call();
            parts_.log.warning("candidate_unrecorded")
                .with("group", group_)
                .with("cause", written.message());
            // With the store away for all nothing can be promoted; the servers are looked at again.
            if (!absl::IsAborted(written))
                parts_.ownership.askTakeOver(group_, std::string(), "candidate_unrecorded");
            recordAfter_ = parts_.timers.now() + recordPause;
            if (planned_)
                return abandonPlanned();
            enter(Step::StoppingReplicas);
        });
}

// Commits went on while the row was written, and a replica that was stopped may have started again
// and confirmed them. From now on acknowledgements wait until the candidate holds them, and what
// has passed must be in its log before the call.
void PrimaryKeeper::confirmCandidate(Instant now)
{
    GroupServer *server = find(candidate_);
    if (server == nullptr || inStep(now) >= plannedStopTime) {
        // Nobody was told to promote: whatever the primary has acknowledged is good.
        events_.onNotReplacedYet(now, lastPosition);
        return abandonPlanned();
    }
    if (now < callAfter_ || now - askedAt_ < leadPoll)
        return;
    askedAt_ = now;
    ask(*server, CommandKind::Report, 0, reportTimeout,
        [this, needed = acknowledgedAtMost_](const ServerReport &report) {
            if (step_ == Step::Confirming && (!needed || !(report.received < *needed)))
                call();
        });
}

void PrimaryKeeper::call()
{
    enter(Step::Calling);
    const OwnershipRecord *record = parts_.ownership.record(group_);
    // Right before the call: the lease must outlast the time in which the call may arrive.
    if (record == nullptr || parts_.ownership.leaseLeft(group_) < callTimeout + callTimeout
        || !parts_.ownership.owns(group_)) {
        if (planned_ && !mayLead_)
            events_.onNotReplacedYet(parts_.timers.now(), lastPosition);
        enter(Step::StoppingReplicas);
        return;
    }
    calledAt_ = parts_.timers.now();
    called_ = true;
    const bool mightLead = mayLead_;
    mayLead_ = true;
    const std::uint64_t change = change_;
    parts_.promotions.promote(
        group_, candidate_, record->epoch, callTimeout,
        [this, alive = alive_, change, mightLead](PromotionOutcome outcome) {
            if (!*alive)
                return;
            parts_.log.info("promotion_answered")
                .with("group", group_)
                .with("candidate", candidate_)
                .with("outcome", static_cast<int>(outcome))
                .with("took_ms", parts_.timers.now() - calledAt_);
            if (change != change_)
                return;
            if (outcome == PromotionOutcome::NotRunning || outcome == PromotionOutcome::TryAgain)
                mayLead_ = mightLead;
            if (outcome == PromotionOutcome::NotRunning) {
                excluded_.insert(candidate_);
                stopped_.clear();
                candidate_.clear();
                stopTerm_ = highestTerm_ + 1;
                return enter(Step::StoppingReplicas);
            }
            // Until it is called for again, others may confirm what the candidate lacks.
            if (outcome == PromotionOutcome::TryAgain && planned_) {
                callAfter_ = parts_.timers.now() + callPause;
                askedAt_ = Instant();
                return enter(Step::Confirming);
            }
            if (outcome == PromotionOutcome::TryAgain) {
                parts_.timers.subscribeAfter(callPause, [this, alive, change] {
                    if (*alive && change == change_)
                        call();
                });
                return;
            }
            enter(Step::AwaitingLead);
            askedAt_ = Instant();
        });
}

void PrimaryKeeper::awaitLead(Instant now)
{
    GroupServer *server = find(candidate_);
    // 1. Hold writes shortly before the change.
    const OwnershipRecord *record = parts_.ownership.record(group_);
    const Duration learned = record == nullptr ? Duration(0) : record->leadTime;
    const Duration leadTime = learned == Duration(0) ? firstLeadTime : learned - holdBefore;
    if (planned_ && !held_ && now - calledAt_ >= leadTime) {
        held_ = true;
        events_.onWritesHeld(true);
    }
    // 2. The candidate is gone or does not lead: choose again.
    if (server == nullptr || server->isUnreachable())
        return loseCandidate();
    if (now - calledAt_ >= leadTimeout)
        return call();
    // 3. Ask it.
    if (now - askedAt_ < leadPoll)
        return;
    askedAt_ = now;
    ask(*server, CommandKind::Report, 0, reportTimeout,
        [this, now](const ServerReport &report) { onCandidateReport(report, now); });
}

void PrimaryKeeper::loseCandidate()
{
    if (!candidate_.empty())
        excluded_.insert(candidate_);
    stopped_.clear();
    candidate_.clear();
    stopTerm_ = highestTerm_ + 1;
    planned_ = false;
    if (!primary_.empty()) {
        const ServerName old = primary_;
        primary_.clear();
        events_.onPrimaryLost(old);
    }
    enter(Step::StoppingReplicas);
}

void PrimaryKeeper::onCandidateReport(const ServerReport &report, Instant asked)
{
    if (step_ != Step::AwaitingLead)
        return;
    if (!report.primary || report.term <= term_) {
        if (planned_)
            events_.onNotReplacedYet(asked, report.received);
        return;
    }
    const Duration took = parts_.timers.now() - calledAt_;
    leadTook_ = took;
    parts_.log.warning("primary_changed")
        .with("group", group_)
        .with("primary", candidate_)
        .with("term", report.term)
        .with("took_ms", took)
        .with("planned", planned_);
    const ServerName old = primary_;
    primary_.clear();
    if (!old.empty())
        events_.onPrimaryLost(old);
    lead(candidate_, report, true);
}

} // namespace kelptally::group
