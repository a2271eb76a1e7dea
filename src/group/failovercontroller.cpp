#include "group/failovercontroller.h"

#include <algorithm>

namespace kelptally::group {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(25);
// Silence of a primary with pending requests after which it is probed. The longest statements of a
// busy server take about as long.
constexpr Duration probeAfter = std::chrono::milliseconds(180);
constexpr Duration probeTimeout = std::chrono::milliseconds(220);
// Leaves time for the first probe to be answered before silenceTimeout.
constexpr Duration probePeriod = std::chrono::milliseconds(400);
// Silence after which a primary is lost if the probe was not answered either.
constexpr Duration silenceTimeout = std::chrono::milliseconds(420);
// Wait of a write after which the replicas are checked; longer than any usual statement.
constexpr Duration commitProgressTimeout = std::chrono::milliseconds(250);
// An idle primary is queried this often, so that its loss is detected without traffic.
constexpr Duration idleReportInterval = std::chrono::milliseconds(800);
// An answer of another server within this time shows that this process itself is not cut off.
constexpr Duration contactWindow = std::chrono::milliseconds(500);
// Time for a listed primary to answer before it counts as lost.
constexpr Duration searchTimeout = std::chrono::milliseconds(450);

const char *stepName(int step)
{
    static constexpr const char *names[] = {"stopped",           "looking",      "leading",
                                            "stopping_replicas", "recording",    "confirming",
                                            "calling",           "awaiting_lead"};
    return names[step];
}

const char *commandName(CommandKind kind)
{
    switch (kind) {
    case CommandKind::StopReceiving:
        return "stop_receiving";
    case CommandKind::ResumeReceiving:
        return "resume_receiving";
    case CommandKind::StepDown:
        return "step_down";
    default:
        return "other";
    }
}

} // namespace

FailoverController::FailoverController(const Parts &parts, const GroupName &group,
                                       GroupServers &servers, PrimaryEvents &events)
    : parts_(parts), group_(group), servers_(servers), events_(events)
{ }

FailoverController::~FailoverController()
{
    *alive_ = false;
    parts_.timers.cancel(timer_);
}

void FailoverController::enterStep(Step step)
{
    step_ = step;
    stepSince_ = parts_.timers.now();
    ++stepNumber_;
    if (step == Step::Searching)
        reportedReplicas_.clear();
    parts_.log.info("primary_step", stepName(static_cast<int>(step)))
        .with("group", group_)
        .with("primary", primary_)
        .with("candidate", candidate_)
        .with("term", highestTerm_);
}

// Epoch of the group's known owner; 0 if none is known.
OwnerEpoch FailoverController::epoch() const
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    return record == nullptr ? 0 : record->epoch;
}

GroupServer *FailoverController::find(const ServerName &id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.get();
}

void FailoverController::start()
{
    // State from an earlier ownership of the group is outdated.
    primary_.clear();
    candidate_.clear();
    unreconciledServers_.clear();
    replacingStalled_ = false;
    sawAllAcknowledgements_ = false;
    soleOwnerSince_ = Instant();
    acknowledgedUpperBound_.reset();
    acknowledgedLowerBound_.reset();
    candidateNeverLeads_ = false;
    primaryUnrecorded_ = false;
    term_ = 0;
    if (const OwnershipRecord *record = parts_.ownership.record(group_)) {
        noteTerm(record->term);
        holders_.begin(record->holders, parts_.timers.now());
    }
    enterStep(Step::Searching);
    findPrimary();
    parts_.timers.cancel(timer_);
    timer_ = parts_.timers.subscribeEvery(tickPeriod, [this] { tick(); });
}

void FailoverController::stop()
{
    enterStep(Step::Stopped);
    parts_.timers.cancel(timer_);
    if (writesHeld_) {
        writesHeld_ = false;
        events_.onWritesHeld(false);
    }
}

void FailoverController::tick()
{
    const Instant now = parts_.timers.now();
    if (soleOwnerSince_ == Instant() && parts_.ownership.isSoleOwner(group_))
        soleOwnerSince_ = now;
    switch (step_) {
    case Step::Stopped:
    case Step::Recording:
    case Step::Promoting:
        break;
    case Step::Searching:
        if (now - queriedAt_ >= queryInterval)
            findPrimary();
        break;
    case Step::Leading:
        watchPrimary(now);
        break;
    case Step::StoppingReplicas:
        stopReplicas(now);
        break;
    case Step::Confirming:
        confirmCandidate(now);
        break;
    case Step::AwaitingLead:
        awaitLead(now);
        break;
    }
    if (!unreconciledServers_.empty() && now - reconciledAt_ >= queryInterval)
        reconcileServers();
}

void FailoverController::sendCommand(GroupServer &server, CommandKind kind, Term term,
                                     Duration timeout,
                                     std::function<void(const ServerReport &)> callback)
{
    ServerCommand command;
    command.kind = kind;
    command.term = term;
    if (kind != CommandKind::Report)
        parts_.log.info("server_commanded", commandName(kind))
            .with("group", group_)
            .with("server", server.id())
            .with("term", term)
            .with("epoch", epoch())
            .with("step", stepName(static_cast<int>(step_)));
    const std::uint64_t stepNumber = stepNumber_;
    server.control(command, timeout,
                   [this, alive = alive_, stepNumber, id = server.id(),
                    callback = std::move(callback)](BatchResult result) {
                       if (!*alive || result.results.empty() || !result.results[0].report)
                           return;
                       const ServerReport report = *result.results[0].report;
                       noteTerm(std::max(report.term, report.stoppedTerm));
                       if (stepNumber == stepNumber_ && step_ != Step::Stopped)
                           callback(report);
                   });
}

// Finding the primary

void FailoverController::findPrimary()
{
    queriedAt_ = parts_.timers.now();
    for (const auto &[id, server] : servers_)
        sendCommand(*server, CommandKind::Report, 0, reportTimeout,
                    [this, id = id](const ServerReport &report) { onSearchReport(id, report); });
    const Instant now = parts_.timers.now();
    if (timeInStep(now) < searchTimeout || listedPrimaryMayAnswer(now) || !canReachOthers(now))
        return;
    beginChange("none_found", false);
}

// Whether a server that is listed as the primary may still report itself as such.
bool FailoverController::listedPrimaryMayAnswer(Instant now) const
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    const bool changeInProgress =
        record != nullptr && !record->candidate.empty() && !noPromotionInFlight();
    for (const auto &[id, server] : servers_) {
        const bool reportedReplica = !changeInProgress && reportedReplicas_.count(id) != 0;
        if (server->listed().primary && !server->isUnreachable() && !reportedReplica
            && now - server->lastResponseAt() < searchTimeout)
            return true;
    }
    return false;
}

void FailoverController::onSearchReport(const ServerName &server, const ServerReport &report)
{
    if (step_ != Step::Searching)
        return;
    if (!report.primary) {
        reportedReplicas_.insert(server);
        return noteIdleCandidate(server);
    }
    const LeaderEligibility eligibility = leaderEligibility(server, report.term);
    if (eligibility == LeaderEligibility::Yes)
        return adoptPrimary(server, report, false);
    // Another server has to be promoted, so don't wait for this one.
    if (eligibility == LeaderEligibility::No)
        reportedReplicas_.insert(server);
}

// A recorded candidate that is not the primary when no promotion is in flight will not become it.
void FailoverController::noteIdleCandidate(const ServerName &server)
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    if (record != nullptr && record->candidate == server && noPromotionInFlight())
        candidateNeverLeads_ = true;
}

// Whether no promotion request, of this owner or an earlier one, can still take effect.
bool FailoverController::noPromotionInFlight() const
{
    const Instant now = parts_.timers.now();
    const bool othersDone = soleOwnerSince_ != Instant() && now - soleOwnerSince_ >= leadTimeout;
    const bool ownDone = promotionSentAt_ == Instant() || now - promotionSentAt_ >= leadTimeout;
    return othersDone && ownDone;
}

// Decides whether a server that reports itself as the primary of a term may be used as such.
FailoverController::LeaderEligibility
FailoverController::leaderEligibility(const ServerName &server, Term term) const
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    // 1. A primary with a lower term than the row's has been replaced.
    if (record == nullptr || term < record->term)
        return LeaderEligibility::No;
    if (record->candidate.empty())
        return LeaderEligibility::Yes;
    // 2. A change has begun. Its candidate may lead, but not while an earlier owner may still serve
    // at the old primary.
    if (record->primaryServes && !parts_.ownership.isSoleOwner(group_))
        return LeaderEligibility::NotYet;
    if (server == record->candidate && term > record->term)
        return LeaderEligibility::Yes;
    // 3. Any other server may lead only if the candidate neither has led nor will: commits may have
    // been acknowledged there.
    if (!noPromotionInFlight())
        return LeaderEligibility::NotYet;
    // One of several candidates that can't be reached now may have led under a higher term.
    if (record->otherCandidates && term <= record->term)
        return LeaderEligibility::No;
    return candidateNeverLeads_ ? LeaderEligibility::Yes : LeaderEligibility::No;
}

// Makes the server the primary. The name is taken by value, as it may be candidate_, which is
// cleared here.
void FailoverController::adoptPrimary(ServerName server, const ServerReport &report,
                                      bool isTermStart)
{
    const Term term = report.term;
    primary_ = std::move(server);
    term_ = term;
    planned_ = false;
    replacingStalled_ = false;
    candidateMayLead_ = false;
    noteTerm(term);
    candidate_.clear();
    failedCandidates_.clear();
    probeAcceptedAt_ = Instant();
    enterStep(Step::Leading);
    for (const auto &[id, other] : servers_)
        if (id != primary_)
            unreconciledServers_.insert(id);
    reconciledAt_ = Instant();
    holders_.onPrimaryChanged();
    const OwnershipRecord *record = parts_.ownership.record(group_);
    primaryUnrecorded_ = record != nullptr && (record->term != term || record->primary != primary_);
    if (!isTermStart && record != nullptr && record->term == term) {
        termStart_ = record->termStart;
        firstSeenOffset_ = record->firstSeenOffset;
    } else {
        termStart_ = isTermStart ? report.received.offset : 0;
        firstSeenOffset_ = report.received.offset;
    }
    recordPrimary();
    events_.onPrimaryAdopted(primary_);
    if (writesHeld_) {
        writesHeld_ = false;
        events_.onWritesHeld(false);
    }
}

// Monitoring the primary

void FailoverController::watchPrimary(Instant now)
{
    GroupServer *server = find(primary_);
    if (server == nullptr)
        return beginChange("not_listed", false);
    // 1. Update what may have been acknowledged, and which servers may hold it.
    refreshHolders(now);
    // 2. Replace a leaving primary while it serves.
    if (server->listed().leaving && servers_.size() > 1 && now >= plannedChangeAfter_
        && parts_.ownership.isSoleOwner(group_) && !mayPromotionArrive())
        return beginChange("leaving", true);
    // 3. Replace a primary that acknowledges nothing although its replicas were checked.
    checkCommitProgress(now);
    if (parts_.commitsStalled() && canReplaceStalledPrimary(now)) {
        replacingStalled_ = true;
        return beginChange("commits_hang", false);
    }
    // 4. Detect a silent primary.
    const auto awaitingAnswerSince = server->awaitingAnswerSince();
    if (!awaitingAnswerSince) {
        if (now - server->lastResponseAt() >= idleReportInterval)
            sendCommand(*server, CommandKind::Report, 0, hangTimeout,
                        [this](const ServerReport &report) {
                            if (!report.primary)
                                abandonPrimary("not_primary");
                        });
        return;
    }
    const Duration silence = now - *awaitingAnswerSince;
    if (silence < probeAfter)
        return;
    const bool accepted = probeAcceptedAt_ != Instant() && now - probeAcceptedAt_ < silenceTimeout;
    if (silence >= hangTimeout
        || (silence >= silenceTimeout && !accepted && !probing_ && canReachOthers(now)))
        return beginChange(silence >= hangTimeout ? "hung" : "silent", false);
    if (!probing_ && now - probedAt_ >= probePeriod)
        probePrimary(*server);
}

// Reconciles the replicas when a write waits long: a late command of an earlier owner or change may
// have stopped them from receiving, and then the primary can't acknowledge writes.
void FailoverController::checkCommitProgress(Instant now)
{
    const auto oldest = parts_.oldestWrite();
    if (!oldest || now - *oldest < commitProgressTimeout || !unreconciledServers_.empty())
        return;
    for (const auto &[id, server] : servers_)
        if (id != primary_)
            unreconciledServers_.insert(id);
}

// Whether a stalled primary can be replaced at once, as all replicas answer. Queries those that
// have not answered recently.
bool FailoverController::canReplaceStalledPrimary(Instant now)
{
    if (now < replaceAfter_ || servers_.size() < 2 || !parts_.ownership.hasLease(group_)
        || !parts_.ownership.isSoleOwner(group_))
        return false;
    const bool queryDue = now - queriedAt_ >= queryInterval;
    if (queryDue)
        queriedAt_ = now;
    bool allAnswered = true;
    for (const auto &[id, server] : servers_) {
        if (id == primary_ || now - server->lastResponseAt() < contactWindow)
            continue;
        allAnswered = false;
        if (queryDue)
            this->sendCommand(*server, CommandKind::Report, 0, reportTimeout,
                              [](const ServerReport &) {});
    }
    return allAnswered;
}

void FailoverController::probePrimary(GroupServer &server)
{
    probing_ = true;
    probedAt_ = parts_.timers.now();
    parts_.probe(server.listed().endpoint, probeTimeout,
                 [this, alive = alive_, id = server.id()](ProbeOutcome outcome) {
                     if (*alive)
                         onProbed(id, outcome);
                 });
}

void FailoverController::onProbed(const ServerName &server, ProbeOutcome outcome)
{
    probing_ = false;
    if (step_ != Step::Leading || server != primary_)
        return;
    if (outcome == ProbeOutcome::Accepted)
        probeAcceptedAt_ = parts_.timers.now();
    if (outcome == ProbeOutcome::Refused)
        beginChange("refused", false);
}

// Whether another server has answered recently. Queries those that have not.
bool FailoverController::canReachOthers(Instant now)
{
    bool anyAnswered = false;
    for (const auto &[id, server] : servers_) {
        if (id == primary_)
            continue;
        if (now - server->lastResponseAt() < contactWindow)
            anyAnswered = true;
        else if (now - queriedAt_ >= queryInterval)
            sendCommand(*server, CommandKind::Report, 0, reportTimeout,
                        [](const ServerReport &) {});
    }
    if (!anyAnswered && now - queriedAt_ >= queryInterval)
        queriedAt_ = now;
    return anyAnswered;
}

void FailoverController::onConnectionFailure(const ServerName &server, ConnectOutcome outcome)
{
    // A replica whose connection ended may have restarted, and would receive again.
    const bool mayReceive = planned_ && step_ == Step::StoppingReplicas && server != oldPrimary_;
    if (mayReceive && stopReports_.erase(server) != 0)
        othersStoppedAt_ = Instant();
    if (step_ != Step::Leading || server != primary_)
        return;
    GroupServer *primary = find(server);
    if (primary == nullptr || outcome == ConnectOutcome::TooManyConnections)
        return;
    // A probe shows a refusal at once; silence is detected by watchPrimary().
    const bool recent = parts_.timers.now() - probedAt_ < probePeriod;
    if (!probing_ && !(outcome == ConnectOutcome::Silent && recent))
        probePrimary(*primary);
}

void FailoverController::onReadOnly(const ServerName &server)
{
    if (step_ == Step::Leading && server == primary_)
        abandonPrimary("read_only");
}

void FailoverController::abandonPrimary(const std::string &reason)
{
    parts_.log.warning("primary_lost", reason).with("group", group_).with("primary", primary_);
    const ServerName lost = primary_;
    primary_.clear();
    enterStep(Step::Searching);
    events_.onPrimaryLost(lost);
    findPrimary();
}

void FailoverController::onServersChanged()
{
    holders_.onListed(listedHolders(), parts_.timers.now());
    for (auto id = unreconciledServers_.begin(); id != unreconciledServers_.end();)
        id = servers_.count(*id) == 0 ? unreconciledServers_.erase(id) : std::next(id);
    if (step_ == Step::Searching)
        findPrimary();
}

// Makes an old primary step down, and stopped replicas receive again.
void FailoverController::reconcileServers()
{
    reconciledAt_ = parts_.timers.now();
    if (step_ != Step::Leading)
        return;
    const std::set<ServerName> servers = unreconciledServers_;
    for (const ServerName &id : servers) {
        GroupServer *server = find(id);
        if (server == nullptr || id == primary_) {
            unreconciledServers_.erase(id);
            continue;
        }
        sendCommand(
            *server, CommandKind::Report, 0, reportTimeout, [this, id](const ServerReport &report) {
                GroupServer *server = find(id);
                if (server == nullptr || step_ != Step::Leading || id == primary_)
                    return;
                if (report.primary && report.term < term_)
                    return sendCommand(*server, CommandKind::StepDown, term_, reportTimeout,
                                       [](const ServerReport &) {});
                if (report.primary && report.term > term_)
                    return abandonPrimary("newer_primary");
                if (report.stoppedTerm != 0)
                    return sendCommand(*server, CommandKind::ResumeReceiving, report.stoppedTerm,
                                       reportTimeout, [](const ServerReport &) {});
                unreconciledServers_.erase(id);
                parts_.log.info("replica_settled")
                    .with("group", group_)
                    .with("server", id)
                    .with("term", report.term)
                    .with("received", report.received);
            });
    }
}

} // namespace kelptally::group
