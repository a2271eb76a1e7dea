#include "group/primarykeeper.h"

#include <algorithm>

namespace kelptally::group {

namespace {

// How often the machine looks at its servers. A tick costs some microseconds.
constexpr Duration tickPeriod = std::chrono::milliseconds(25);
// A server that owes an answer and says nothing for this long is probed; the longest statements of
// a busy server take about as long.
constexpr Duration probeAfter = std::chrono::milliseconds(180);
constexpr Duration probeTimeout = std::chrono::milliseconds(220);
// From one probe to the next. The answer of the first has to be in when the silence is long enough.
constexpr Duration probePeriod = std::chrono::milliseconds(400);
// Silence after which a primary counts as lost if the probe was not answered either.
constexpr Duration lostAfter = std::chrono::milliseconds(420);
// A write that waits this long makes the replicas be looked at; the longest statements in use take
// less.
constexpr Duration unconfirmedAfter = std::chrono::milliseconds(250);
// A quiet primary is asked for a report this often, so that its loss is seen without traffic.
constexpr Duration quietPeriod = std::chrono::milliseconds(800);
// Somebody else was heard within this time: this process is not the one that is cut off.
constexpr Duration othersWithin = std::chrono::milliseconds(500);
// A listed primary that can't be reached is given this long before it counts as lost.
constexpr Duration lookFor = std::chrono::milliseconds(450);

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

PrimaryKeeper::PrimaryKeeper(const Parts &parts, const GroupName &group, GroupServers &servers,
                             PrimaryEvents &events)
    : parts_(parts), group_(group), servers_(servers), events_(events)
{ }

PrimaryKeeper::~PrimaryKeeper()
{
    *alive_ = false;
    parts_.timers.cancel(timer_);
}

void PrimaryKeeper::enter(Step step)
{
    step_ = step;
    stepSince_ = parts_.timers.now();
    ++change_;
    if (step == Step::Looking)
        saidReplica_.clear();
    parts_.log.info("primary_step", stepName(static_cast<int>(step)))
        .with("group", group_)
        .with("primary", primary_)
        .with("candidate", candidate_)
        .with("term", highestTerm_);
}

// Of this process's ownership; zero when it has none.
OwnerEpoch PrimaryKeeper::epoch() const
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    return record == nullptr ? 0 : record->epoch;
}

GroupServer *PrimaryKeeper::find(const ServerName &id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.get();
}

void PrimaryKeeper::start()
{
    // What was known under an earlier ownership may be long past.
    primary_.clear();
    candidate_.clear();
    toSettle_.clear();
    replacing_ = false;
    knowsAll_ = false;
    aloneSince_ = Instant();
    acknowledgedAtMost_.reset();
    acknowledgedAtLeast_.reset();
    candidateIdle_ = false;
    leadUnrecorded_ = false;
    term_ = 0;
    if (const OwnershipRecord *record = parts_.ownership.record(group_)) {
        noteTerm(record->term);
        holders_.begin(record->holders, parts_.timers.now());
    }
    enter(Step::Looking);
    look();
    parts_.timers.cancel(timer_);
    timer_ = parts_.timers.subscribeEvery(tickPeriod, [this] { tick(); });
}

void PrimaryKeeper::stop()
{
    enter(Step::Stopped);
    parts_.timers.cancel(timer_);
    if (held_) {
        held_ = false;
        events_.onWritesHeld(false);
    }
}

void PrimaryKeeper::tick()
{
    const Instant now = parts_.timers.now();
    if (aloneSince_ == Instant() && parts_.ownership.isAlone(group_))
        aloneSince_ = now;
    switch (step_) {
    case Step::Stopped:
    case Step::Recording:
    case Step::Calling:
        break;
    case Step::Looking:
        if (now - askedAt_ >= askPeriod)
            look();
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
    if (!toSettle_.empty() && now - settledAt_ >= askPeriod)
        settleOthers();
}

void PrimaryKeeper::ask(GroupServer &server, CommandKind kind, Term term, Duration timeout,
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
    const std::uint64_t change = change_;
    server.control(command, timeout,
                   [this, alive = alive_, change, id = server.id(),
                    callback = std::move(callback)](BatchResult result) {
                       if (!*alive || result.results.empty() || !result.results[0].report)
                           return;
                       const ServerReport report = *result.results[0].report;
                       noteTerm(std::max(report.term, report.stoppedUnder));
                       if (change == change_ && step_ != Step::Stopped)
                           callback(report);
                   });
}

// Finding the primary

void PrimaryKeeper::look()
{
    askedAt_ = parts_.timers.now();
    for (const auto &[id, server] : servers_)
        ask(*server, CommandKind::Report, 0, reportTimeout,
            [this, id = id](const ServerReport &report) { onLookReport(id, report); });
    const Instant now = parts_.timers.now();
    if (inStep(now) < lookFor || listedPrimaryMayAnswer(now) || !heardOthers(now))
        return;
    beginChange("none_found", false);
}

// Whether some server that may lead could still say so.
bool PrimaryKeeper::listedPrimaryMayAnswer(Instant now) const
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    const bool changing = record != nullptr && !record->candidate.empty() && !callsAreOver();
    for (const auto &[id, server] : servers_) {
        const bool saidNo = !changing && saidReplica_.count(id) != 0;
        if (server->listed().primary && !server->isUnreachable() && !saidNo
            && now - server->lastHeard() < lookFor)
            return true;
    }
    return false;
}

void PrimaryKeeper::onLookReport(const ServerName &server, const ServerReport &report)
{
    if (step_ != Step::Looking)
        return;
    if (!report.primary) {
        saidReplica_.insert(server);
        return noteIdleCandidate(server);
    }
    const MayLead may = mayLead(server, report.term);
    if (may == MayLead::Yes)
        return lead(server, report, false);
    // Another one has to be chosen, and this one is not waited for.
    if (may == MayLead::No)
        saidReplica_.insert(server);
}

// A candidate of an earlier change that says it does not lead, once no call can take effect any
// more, never will.
void PrimaryKeeper::noteIdleCandidate(const ServerName &server)
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    if (record != nullptr && record->candidate == server && callsAreOver())
        candidateIdle_ = true;
}

// No owner before this one can have sent a call that may still take effect, and this one's last
// call was long ago.
bool PrimaryKeeper::callsAreOver() const
{
    const Instant now = parts_.timers.now();
    const bool othersOver = aloneSince_ != Instant() && now - aloneSince_ >= leadTimeout;
    const bool ownOver = calledAt_ == Instant() || now - calledAt_ >= leadTimeout;
    return othersOver && ownOver;
}

// Whether everything may go on at a server that says it leads under the term.
PrimaryKeeper::MayLead PrimaryKeeper::mayLead(const ServerName &server, Term term) const
{
    const OwnershipRecord *record = parts_.ownership.record(group_);
    // 1. A primary of a lower term than the row's was replaced.
    if (record == nullptr || term < record->term)
        return MayLead::No;
    if (record->candidate.empty())
        return MayLead::Yes;
    // 2. A change has begun. Its candidate leads if it says so, but for an owner that may still
    // serve at the old primary, so that nobody may acknowledge at another one.
    if (record->primaryServes && !parts_.ownership.isAlone(group_))
        return MayLead::NotYet;
    if (server == record->candidate && term > record->term)
        return MayLead::Yes;
    // 3. Any other server only when the candidate never will, nor has: commits may have been
    // acknowledged there.
    if (!callsAreOver())
        return MayLead::NotYet;
    // Of several candidates one that can't be heard now may have led, under a higher term.
    if (record->otherCandidates && term <= record->term)
        return MayLead::No;
    return candidateIdle_ ? MayLead::Yes : MayLead::No;
}

// The name is a copy: it may be that of the candidate, which ends here. Taken by reference it was
// empty from then on, and the row named no primary after any change.
void PrimaryKeeper::lead(ServerName server, const ServerReport &report, bool isTermsBeginning)
{
    const Term term = report.term;
    primary_ = std::move(server);
    term_ = term;
    planned_ = false;
    replacing_ = false;
    mayLead_ = false;
    noteTerm(term);
    candidate_.clear();
    excluded_.clear();
    acceptedAt_ = Instant();
    enter(Step::Leading);
    for (const auto &[id, other] : servers_)
        if (id != primary_)
            toSettle_.insert(id);
    settledAt_ = Instant();
    holders_.onPrimary();
    const OwnershipRecord *record = parts_.ownership.record(group_);
    leadUnrecorded_ = record != nullptr && (record->term != term || record->primary != primary_);
    if (!isTermsBeginning && record != nullptr && record->term == term) {
        termBegan_ = record->termBegan;
        firstHeld_ = record->firstHeld;
    } else {
        termBegan_ = isTermsBeginning ? report.received.offset : 0;
        firstHeld_ = report.received.offset;
    }
    recordLead();
    events_.onPrimary(primary_);
    if (held_) {
        held_ = false;
        events_.onWritesHeld(false);
    }
}

// Watching it

void PrimaryKeeper::watchPrimary(Instant now)
{
    GroupServer *server = find(primary_);
    if (server == nullptr)
        return beginChange("not_listed", false);
    // 1. What may have been acknowledged, and who may hold it.
    watchHolders(now);
    // 2. A leaving primary is replaced while it serves.
    if (server->listed().leaving && servers_.size() > 1 && now >= plannedAfter_
        && parts_.ownership.isAlone(group_))
        return beginChange("leaving", true);
    // 3. One that acknowledges nothing, also after its replicas were looked at.
    watchConfirmations(now);
    if (parts_.commitsHang() && mayReplaceHanging(now)) {
        replacing_ = true;
        return beginChange("commits_hang", false);
    }
    // 4. Silence.
    const auto owesSince = server->owesSince();
    if (!owesSince) {
        if (now - server->lastHeard() >= quietPeriod)
            ask(*server, CommandKind::Report, 0, hungAfter, [this](const ServerReport &report) {
                if (!report.primary)
                    loseLead("not_primary");
            });
        return;
    }
    const Duration quiet = now - *owesSince;
    if (quiet < probeAfter)
        return;
    const bool accepted = acceptedAt_ != Instant() && now - acceptedAt_ < lostAfter;
    if (quiet >= hungAfter || (quiet >= lostAfter && !accepted && !probing_ && heardOthers(now)))
        return beginChange(quiet >= hungAfter ? "hung" : "silent", false);
    if (!probing_ && now - probedAt_ >= probePeriod)
        probePrimary(*server);
}

// A primary whose replicas receive nothing acknowledges no write, though it answers all else: a
// command of an earlier owner or change may have stopped them late.
void PrimaryKeeper::watchConfirmations(Instant now)
{
    const auto oldest = parts_.oldestWrite();
    if (!oldest || now - *oldest < unconfirmedAfter || !toSettle_.empty())
        return;
    for (const auto &[id, server] : servers_)
        if (id != primary_)
            toSettle_.insert(id);
}

// Only when the change can be made at once: all replicas that there are answer here.
bool PrimaryKeeper::mayReplaceHanging(Instant now)
{
    if (now < replaceAfter_ || servers_.size() < 2 || !parts_.ownership.leaseHolds(group_)
        || !parts_.ownership.isAlone(group_))
        return false;
    const bool ask = now - askedAt_ >= askPeriod;
    if (ask)
        askedAt_ = now;
    bool allHeard = true;
    for (const auto &[id, server] : servers_) {
        if (id == primary_ || now - server->lastHeard() < othersWithin)
            continue;
        allHeard = false;
        if (ask)
            this->ask(*server, CommandKind::Report, 0, reportTimeout, [](const ServerReport &) {});
    }
    return allHeard;
}

void PrimaryKeeper::probePrimary(GroupServer &server)
{
    probing_ = true;
    probedAt_ = parts_.timers.now();
    parts_.probe(server.listed().endpoint, probeTimeout,
                 [this, alive = alive_, id = server.id()](ProbeOutcome outcome) {
                     if (*alive)
                         onProbed(id, outcome);
                 });
}

void PrimaryKeeper::onProbed(const ServerName &server, ProbeOutcome outcome)
{
    probing_ = false;
    if (step_ != Step::Leading || server != primary_)
        return;
    if (outcome == ProbeOutcome::Accepted)
        acceptedAt_ = parts_.timers.now();
    if (outcome == ProbeOutcome::Refused)
        beginChange("refused", false);
}

// Whether this process can reach anybody; asks when it does not know.
bool PrimaryKeeper::heardOthers(Instant now)
{
    bool heard = false;
    for (const auto &[id, server] : servers_) {
        if (id == primary_)
            continue;
        if (now - server->lastHeard() < othersWithin)
            heard = true;
        else if (now - askedAt_ >= askPeriod)
            ask(*server, CommandKind::Report, 0, reportTimeout, [](const ServerReport &) {});
    }
    if (!heard && now - askedAt_ >= askPeriod)
        askedAt_ = now;
    return heard;
}

void PrimaryKeeper::onTrouble(const ServerName &server, ConnectOutcome outcome)
{
    // A replica whose connection ended may have started again, and then it receives.
    const bool mayReceive = planned_ && step_ == Step::StoppingReplicas && server != oldPrimary_;
    if (mayReceive && stopped_.erase(server) != 0)
        othersStoppedAt_ = Instant();
    if (step_ != Step::Leading || server != primary_)
        return;
    GroupServer *primary = find(server);
    if (primary == nullptr || outcome == ConnectOutcome::TooManyConnections)
        return;
    // A refusal shows at once; silence is what the watch looks for.
    const bool recent = parts_.timers.now() - probedAt_ < probePeriod;
    if (!probing_ && !(outcome == ConnectOutcome::Silent && recent))
        probePrimary(*primary);
}

void PrimaryKeeper::onReadOnly(const ServerName &server)
{
    if (step_ == Step::Leading && server == primary_)
        loseLead("read_only");
}

void PrimaryKeeper::loseLead(const std::string &why)
{
    parts_.log.warning("primary_lost", why).with("group", group_).with("primary", primary_);
    const ServerName lost = primary_;
    primary_.clear();
    enter(Step::Looking);
    events_.onPrimaryLost(lost);
    look();
}

void PrimaryKeeper::onServersChanged()
{
    holders_.onListed(listedHolders(), parts_.timers.now());
    for (auto id = toSettle_.begin(); id != toSettle_.end();)
        id = servers_.count(*id) == 0 ? toSettle_.erase(id) : std::next(id);
    if (step_ == Step::Looking)
        look();
}

// An old primary steps down, and replicas receive again.
void PrimaryKeeper::settleOthers()
{
    settledAt_ = parts_.timers.now();
    if (step_ != Step::Leading)
        return;
    const std::set<ServerName> servers = toSettle_;
    for (const ServerName &id : servers) {
        GroupServer *server = find(id);
        if (server == nullptr || id == primary_) {
            toSettle_.erase(id);
            continue;
        }
        ask(*server, CommandKind::Report, 0, reportTimeout, [this, id](const ServerReport &report) {
            GroupServer *server = find(id);
            if (server == nullptr || step_ != Step::Leading || id == primary_)
                return;
            if (report.primary && report.term < term_)
                return ask(*server, CommandKind::StepDown, term_, reportTimeout,
                           [](const ServerReport &) {});
            if (report.primary && report.term > term_)
                return loseLead("newer_primary");
            if (report.stoppedUnder != 0)
                return ask(*server, CommandKind::ResumeReceiving, report.stoppedUnder,
                           reportTimeout, [](const ServerReport &) {});
            toSettle_.erase(id);
            parts_.log.info("replica_settled")
                .with("group", group_)
                .with("server", id)
                .with("term", report.term)
                .with("received", report.received);
        });
    }
}

} // namespace kelptally::group
