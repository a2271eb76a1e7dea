#include "group/failovercontroller.h"

#include <algorithm>
#include <limits>

// Changes of the primary: the steps that replace a lost, stalled or leaving one.
namespace kelptally::group {

namespace {

// Limits how long replicas are stopped for a planned change, and how soon it is retried, as a
// stopped replica confirms no commits.
constexpr Duration plannedStopTimeout = std::chrono::milliseconds(700);
constexpr Duration plannedRetryDelay = std::chrono::milliseconds(500);
// The replacement of a stalled primary is abandoned if its replicas have not stopped within
// replaceStopTimeout, and not retried before replaceRetryDelay, so that they can recover meanwhile.
constexpr Duration replaceStopTimeout = std::chrono::milliseconds(500);
constexpr Duration replaceRetryDelay = std::chrono::seconds(5);
// Delay before the candidate is recorded again after the row could not be written.
constexpr Duration recordRetryDelay = std::chrono::milliseconds(100);
// Even a slow store accepts a write within this time; a longer one suggests that it rejects this
// process.
constexpr Duration slowRecordTimeout = std::chrono::milliseconds(600);
// An owner that can neither reach nor replace the primary for this long asks for another owner.
constexpr Duration unreachableTimeout = std::chrono::milliseconds(600);
// Timeout of a promotion request to the platform, and the delay before one is repeated that was
// rejected. The platform answers in 12 to 26 ms.
constexpr Duration promotionTimeout = std::chrono::milliseconds(1500);
constexpr Duration promotionRetryDelay = std::chrono::milliseconds(60);
// A promotion request may arrive until this time after it was sent, even if the call was aborted:
// the platform may be slow to read it.
constexpr Duration maxPromotionArrivalTime = promotionTimeout + promotionTimeout;
// Interval of queries whether the candidate leads; the longest delay that polling adds to a change.
constexpr Duration leadPollInterval = std::chrono::milliseconds(20);
// In a planned change writes are held from writeHoldMargin before the expected lead of the
// candidate; from defaultLeadTime after the promotion request if no lead time has been recorded.
constexpr Duration defaultLeadTime = std::chrono::milliseconds(350);
constexpr Duration writeHoldMargin = std::chrono::milliseconds(100);
// Greater than any position of a log.
constexpr Position maxPosition {std::numeric_limits<Term>::max(),
                                std::numeric_limits<std::uint64_t>::max()};

} // namespace

void FailoverController::beginChange(const std::string &reason, bool planned)
{
    parts_.log.warning("primary_change", reason)
        .with("group", group_)
        .with("primary", primary_)
        .with("term", term_)
        .with("planned", planned)
        .with("alone", parts_.ownership.isSoleOwner(group_))
        .with("lease_left_ms", parts_.ownership.leaseLeft(group_));
    planned_ = planned;
    oldPrimary_ = primary_.empty() ? lastLeader() : primary_;
    oldIsReplica_ = false;
    promoteAfter_ = Instant();
    stopReports_.clear();
    failedCandidates_.clear();
    candidate_.clear();
    othersStoppedAt_ = Instant();
    promotionSent_ = false;
    candidateMayLead_ = false;
    stopTerm_ = std::max(highestTerm_, term_) + 1;
    queriedAt_ = Instant();
    if (!planned) {
        primary_.clear();
        if (!oldPrimary_.empty())
            events_.onPrimaryLost(oldPrimary_);
    }
    enterStep(Step::StoppingReplicas);
    stopReplicas(parts_.timers.now());
}

// The last primary according to the row. Its report is not needed, as other servers have received
// all that it acknowledged. Empty if a recorded candidate may have led since.
ServerName FailoverController::lastLeader() const
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    return record == nullptr || !record->candidate.empty() ? ServerName() : record->primary;
}

void FailoverController::stopReplicas(Instant now)
{
    // 1. Change servers only under the lease, and when no earlier owner can act.
    const bool mayChange =
        parts_.ownership.hasLease(group_) && parts_.ownership.isSoleOwner(group_);
    // 2. Stop or query the servers. In a planned change the candidate goes on receiving, so that it
    // gets all that the old primary still acknowledges.
    if (now - queriedAt_ >= queryInterval) {
        queriedAt_ = now;
        for (const auto &[id, server] : servers_) {
            const bool isOld = id == oldPrimary_;
            if (stopReports_.count(id) != 0 && !(planned_ && id == candidate_))
                continue;
            const bool stop = mayChange && (!isOld || oldIsReplica_)
                && (!planned_ || (!candidate_.empty() && id != candidate_));
            sendCommand(*server, stop ? CommandKind::StopReceiving : CommandKind::Report, stopTerm_,
                        reportTimeout, [this, id = id, now, stop](const ServerReport &report) {
                            onStopReport(id, report, now, stop);
                        });
        }
    }
    if (mayChange)
        chooseCandidate(now);
    requestTakeOverForPrimary(now);
    if (step_ == Step::StoppingReplicas && planned_ && timeInStep(now) >= plannedStopTimeout)
        abandonPlannedChange();
    if (step_ == Step::StoppingReplicas && replacingStalled_
        && timeInStep(now) >= replaceStopTimeout)
        abandonReplacement();
}

// From now on the stalled primary is used again if it reports itself as the primary.
void FailoverController::abandonReplacement()
{
    parts_.log.info("replacement_abandoned").with("group", group_).with("primary", oldPrimary_);
    replacingStalled_ = false;
    replaceAfter_ = parts_.timers.now() + replaceRetryDelay;
    queriedAt_ = Instant();
}

// Asks for a new owner that reaches the primary, if this process can't reach it and may not replace
// it yet, as an earlier owner may still act.
void FailoverController::requestTakeOverForPrimary(Instant now)
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    GroupServer *old = record == nullptr ? nullptr : find(record->primary);
    if (planned_ || old == nullptr || timeInStep(now) < unreachableTimeout
        || parts_.ownership.isSoleOwner(group_))
        return;
    if (now - old->lastResponseAt() < unreachableTimeout)
        return;
    parts_.ownership.requestTakeOver(group_, old->listed().endpoint, "primary_unreachable");
}

// The change could not be made safe in time. The primary goes on with all its replicas, and another
// candidate is tried later.
void FailoverController::abandonPlannedChange()
{
    parts_.log.info("planned_change_abandoned").with("group", group_).with("candidate", candidate_);
    avoidedCandidate_ = candidate_;
    plannedChangeAfter_ = parts_.timers.now() + plannedRetryDelay;
    planned_ = false;
    candidate_.clear();
    for (const auto &[id, server] : servers_)
        if (id != primary_)
            unreconciledServers_.insert(id);
    enterStep(Step::Leading);
}

void FailoverController::onStopReport(const ServerName &server, const ServerReport &report,
                                      Instant queriedAt, bool stopRequested)
{
    if (step_ != Step::StoppingReplicas)
        return;
    GroupServer *found = find(server);
    if (found == nullptr)
        return;
    if (replacingStalled_ && server == oldPrimary_ && report.term <= term_)
        return;
    // The old primary is back, or another server leads already.
    const bool leads = report.primary && report.term >= term_;
    // After a promotion request only a server with a later term may lead.
    if (leads && !planned_ && (!promotionSent_ || report.term > term_))
        return onOtherLeader(*found, report);
    if (leads && server != oldPrimary_)
        return cancelChange(server);
    if (planned_ && server == oldPrimary_) {
        if (!report.primary)
            return abandonPrimary("not_primary");
        // Only a position read after the other replicas stopped bounds what they have confirmed.
        if (othersStoppedAt_ != Instant() && queriedAt >= othersStoppedAt_)
            stopReports_[server] = report;
    } else if (planned_ && candidate_.empty()) {
        // Take the first replica that answers and is not leaving itself.
        if (!found->listed().leaving && server != avoidedCandidate_)
            candidate_ = server;
    } else if (planned_ && server == candidate_) {
        stopReports_[server] = report;
    } else if (server == oldPrimary_ && !oldIsReplica_) {
        // The old primary may be back as a replica, and is then stopped like the others.
        oldIsReplica_ = !report.primary;
    } else if (stopRequested && report.stoppedTerm >= stopTerm_) {
        // A replica that another owner has stopped doesn't count, as that owner may resume it.
        stopReports_[server] = report;
    } else if (report.stoppedTerm != 0 || report.term >= stopTerm_) {
        stopTerm_ = highestTerm_ + 1;
    }
    if (planned_ && !candidate_.empty() && othersStoppedAt_ == Instant() && othersHaveStopped()) {
        othersStoppedAt_ = parts_.timers.now();
        queriedAt_ = Instant();
    }
    chooseCandidate(parts_.timers.now());
}

// An unexpected server reports itself as the primary. Uses it if it is eligible; otherwise, if it
// was replaced by one that can't be reached now, makes it step down.
void FailoverController::onOtherLeader(GroupServer &server, const ServerReport &report)
{
    const LeaderEligibility eligibility = leaderEligibility(server.id(), report.term);
    if (eligibility == LeaderEligibility::Yes)
        return cancelChange(server.id());
    const bool mayChange =
        parts_.ownership.hasLease(group_) && parts_.ownership.isSoleOwner(group_);
    if (eligibility != LeaderEligibility::No || !mayChange)
        return;
    // A server steps down only for a higher term. A former candidate that has led and come back
    // under another id may already have the term of stopTerm_.
    if (report.term >= stopTerm_)
        stopTerm_ = highestTerm_ + 1;
    sendCommand(server, CommandKind::StepDown, stopTerm_, reportTimeout,
                [](const ServerReport &) {});
}

// Whether all replicas except the candidate have stopped receiving. A server that is neither listed
// nor running has left for good.
bool FailoverController::othersHaveStopped() const
{
    for (const auto &[id, server] : servers_) {
        const bool hasLeft = server->listed().missing && server->isAbsent();
        if (id != oldPrimary_ && id != candidate_ && stopReports_.count(id) == 0 && !hasLeft)
            return false;
    }
    return true;
}

void FailoverController::chooseCandidate(Instant now)
{
    if (step_ != Step::StoppingReplicas || !parts_.ownership.hasLease(group_)
        || !parts_.ownership.isSoleOwner(group_))
        return;
    // An earlier request that arrives later would replace the new primary.
    if (mayPromotionArrive())
        return;
    if (planned_)
        return chooseForPlannedChange();
    const decision::ReplicaChoice choice = decision::chooseReplica(choiceState(now));
    if (choice.server.empty())
        return logPromotionWait(choice, now);
    candidate_ = choice.server;
    recordCandidate(decision::choiceRuleName(choice.rule));
}

// The candidate must hold all that the other replicas confirmed before they stopped, that is, reach
// the old primary's position read after that.
void FailoverController::chooseForPlannedChange()
{
    const auto old = stopReports_.find(oldPrimary_);
    const auto next = stopReports_.find(candidate_);
    if (candidate_.empty() || !othersHaveStopped())
        return;
    if (old == stopReports_.end() || next == stopReports_.end())
        return;
    if (next->second.received < old->second.received) {
        stopReports_.erase(next);
        return;
    }
    recordCandidate("planned");
}

// The old primary answers again, or another server leads: searches for the primary again.
void FailoverController::cancelChange(const std::string &leader)
{
    parts_.log.info("primary_change_cancelled").with("group", group_).with("leader", leader);
    candidate_.clear();
    if (planned_ && leader != oldPrimary_)
        events_.onPrimaryLost(oldPrimary_);
    primary_.clear();
    enterStep(Step::Searching);
    findPrimary();
}

void FailoverController::recordCandidate(const char *rule)
{
    if (parts_.timers.now() < recordAfter_)
        return;
    std::string positions;
    for (const auto &[id, report] : stopReports_)
        positions += (positions.empty() ? "" : " ") + id + "=" + positionText(report.received);
    parts_.log.info("candidate_chosen", rule)
        .with("group", group_)
        .with("candidate", candidate_)
        .with("old_primary", oldPrimary_)
        .with("positions", positions)
        .with("unheard", describeMissingReports())
        .with("acknowledged",
              acknowledgedUpperBound_ ? positionText(*acknowledgedUpperBound_) : std::string("-"))
        .with("knows_all", sawAllAcknowledgements_);
    enterStep(Step::Recording);
    const std::uint64_t stepNumber = stepNumber_;
    const ServerName candidate = candidate_;
    const Term term = term_;
    const bool serves = !primary_.empty();
    parts_.timers.subscribeAfter(slowRecordTimeout, [this, alive = alive_, stepNumber] {
        if (*alive && stepNumber == stepNumber_ && step_ == Step::Recording)
            parts_.ownership.requestTakeOver(group_, std::string(), "candidate_unrecorded");
    });
    parts_.ownership.change(
        group_,
        [this, candidate, term, serves](OwnershipRecord &row) {
            writeHolders(row);
            row.primaryServes = serves;
            row.otherCandidates =
                row.otherCandidates || (!row.candidate.empty() && row.candidate != candidate);
            row.candidate = candidate;
            row.term = std::max(row.term, term);
        },
        [this, alive = alive_, stepNumber](const absl::Status &written) {
            if (!*alive || stepNumber != stepNumber_)
                return;
            if (written.ok() && planned_) {
                enterStep(Step::Confirming);
                queriedAt_ = Instant();
                return confirmCandidate(parts_.timers.now());
            }
            if (written.ok())
                return promoteCandidate();
            parts_.log.warning("candidate_unrecorded")
                .with("group", group_)
                .with("cause", written.message());
            // If the store is unavailable for all processes, no replica can be promoted.
            if (!absl::IsAborted(written))
                parts_.ownership.requestTakeOver(group_, std::string(), "candidate_unrecorded");
            recordAfter_ = parts_.timers.now() + recordRetryDelay;
            if (planned_)
                return abandonPlannedChange();
            enterStep(Step::StoppingReplicas);
        });
}

// Commits went on while the row was written, and a stopped replica that restarted may have
// confirmed them. From now on acknowledgements wait until the candidate holds them, and all earlier
// ones must be in its log before the promotion request.
void FailoverController::confirmCandidate(Instant now)
{
    GroupServer *server = find(candidate_);
    if (server == nullptr || timeInStep(now) >= plannedStopTimeout) {
        // No promotion was requested, so everything that the primary acknowledged is safe.
        events_.onCandidateNotLeading(now, maxPosition);
        return abandonPlannedChange();
    }
    if (now < promoteAfter_ || now - queriedAt_ < leadPollInterval)
        return;
    queriedAt_ = now;
    sendCommand(*server, CommandKind::Report, 0, reportTimeout,
                [this, needed = acknowledgedUpperBound_](const ServerReport &report) {
                    if (step_ == Step::Confirming && (!needed || !(report.received < *needed)))
                        promoteCandidate();
                });
}

bool FailoverController::mayPromotionArrive() const
{
    return unansweredPromotionSentAt_
        && parts_.timers.now() - *unansweredPromotionSentAt_ < maxPromotionArrivalTime;
}

// Whether this owner still holds the group when a promotion request sent now has arrived.
bool FailoverController::mayRequestPromotion() const
{
    return parts_.ownership.record(group_) != nullptr && parts_.ownership.owns(group_)
        && parts_.ownership.leaseLeft(group_) >= maxPromotionArrivalTime;
}

// Decides, once a connection is open, whether the request of that step is sent.
bool FailoverController::onPromotionReady(std::uint64_t stepNumber, const ServerName &candidate)
{
    const bool isSent = stepNumber == stepNumber_ && mayRequestPromotion();
    parts_.log.info(isSent ? "promotion_sent" : "promotion_withdrawn")
        .with("group", group_)
        .with("candidate", candidate)
        .with("epoch", epoch())
        .with("waited_ms", parts_.timers.now() - promotionSentAt_)
        .with("lease_left_ms", parts_.ownership.leaseLeft(group_));
    if (isSent) {
        promotionSentAt_ = parts_.timers.now();
        unansweredPromotionSentAt_ = promotionSentAt_;
    }
    return isSent;
}

void FailoverController::promoteCandidate()
{
    enterStep(Step::Promoting);
    if (!mayRequestPromotion()) {
        if (planned_ && !candidateMayLead_)
            events_.onCandidateNotLeading(parts_.timers.now(), maxPosition);
        enterStep(Step::StoppingReplicas);
        return;
    }
    promotionSentAt_ = parts_.timers.now();
    promotionSent_ = true;
    const bool mightHaveLed = candidateMayLead_;
    candidateMayLead_ = true;
    const std::uint64_t stepNumber = stepNumber_;
    const auto sent = std::make_shared<bool>(false);
    PromotionRequest request;
    request.group = group_;
    request.server = candidate_;
    request.fencingToken = epoch();
    request.timeout = promotionTimeout;
    request.maySend = [this, alive = alive_, stepNumber, candidate = candidate_, sent] {
        *sent = *alive && onPromotionReady(stepNumber, candidate);
        return *sent;
    };
    parts_.promotions.promote(
        std::move(request),
        [this, alive = alive_, stepNumber, mightHaveLed, sent](PromotionOutcome outcome) {
            if (!*alive)
                return;
            parts_.log.info("promotion_answered")
                .with("group", group_)
                .with("candidate", candidate_)
                .with("outcome", static_cast<int>(outcome))
                .with("took_ms", parts_.timers.now() - promotionSentAt_);
            if (*sent && outcome != PromotionOutcome::Unknown)
                unansweredPromotionSentAt_.reset();
            if (stepNumber != stepNumber_)
                return;
            if (outcome == PromotionOutcome::NotRunning || outcome == PromotionOutcome::TryAgain)
                candidateMayLead_ = mightHaveLed;
            if (outcome == PromotionOutcome::NotRunning) {
                failedCandidates_.insert(candidate_);
                stopReports_.clear();
                candidate_.clear();
                stopTerm_ = highestTerm_ + 1;
                return enterStep(Step::StoppingReplicas);
            }
            // Until the request is repeated, other replicas may confirm what the candidate lacks.
            if (outcome == PromotionOutcome::TryAgain && planned_) {
                promoteAfter_ = parts_.timers.now() + promotionRetryDelay;
                queriedAt_ = Instant();
                return enterStep(Step::Confirming);
            }
            if (outcome == PromotionOutcome::TryAgain) {
                parts_.timers.subscribeAfter(promotionRetryDelay, [this, alive, stepNumber] {
                    if (*alive && stepNumber == stepNumber_)
                        promoteCandidate();
                });
                return;
            }
            enterStep(Step::AwaitingLead);
            queriedAt_ = Instant();
        });
}

void FailoverController::awaitLead(Instant now)
{
    GroupServer *server = find(candidate_);
    // 1. Hold writes shortly before the change.
    const OwnershipRecord *record = parts_.ownership.record(group_);
    const Duration recordedLeadTime = record == nullptr ? Duration(0) : record->leadTime;
    const Duration leadTime =
        recordedLeadTime == Duration(0) ? defaultLeadTime : recordedLeadTime - writeHoldMargin;
    if (planned_ && !writesHeld_ && now - promotionSentAt_ >= leadTime) {
        writesHeld_ = true;
        events_.onWritesHeld(true);
    }
    // 2. Choose again if the candidate is gone; repeat the request if it does not lead in time.
    if (server == nullptr || server->isUnreachable())
        return discardCandidate();
    if (now - promotionSentAt_ >= leadTimeout)
        return promoteCandidate();
    // 3. Query the candidate.
    if (now - queriedAt_ < leadPollInterval)
        return;
    queriedAt_ = now;
    sendCommand(*server, CommandKind::Report, 0, reportTimeout,
                [this, now](const ServerReport &report) { onCandidateReport(report, now); });
}

void FailoverController::discardCandidate()
{
    if (!candidate_.empty())
        failedCandidates_.insert(candidate_);
    stopReports_.clear();
    candidate_.clear();
    stopTerm_ = highestTerm_ + 1;
    planned_ = false;
    if (!primary_.empty()) {
        const ServerName old = primary_;
        primary_.clear();
        events_.onPrimaryLost(old);
    }
    enterStep(Step::StoppingReplicas);
}

void FailoverController::onCandidateReport(const ServerReport &report, Instant queriedAt)
{
    if (step_ != Step::AwaitingLead)
        return;
    if (!report.primary || report.term <= term_) {
        if (planned_)
            events_.onCandidateNotLeading(queriedAt, report.received);
        return;
    }
    const Duration took = parts_.timers.now() - promotionSentAt_;
    measuredLeadTime_ = took;
    unansweredPromotionSentAt_.reset();
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
    adoptPrimary(candidate_, report, true);
}

} // namespace kelptally::group
