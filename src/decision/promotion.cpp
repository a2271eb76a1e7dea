#include "decision/candidate.h"
#include "decision/failover.h"

#include <algorithm>

// Promotion in Failover: from a new term to a primary that accepts writes.
namespace kelptally::decision {

using std::chrono::milliseconds;

namespace {

// A command is repeated after the timeout, or sooner if it failed.
constexpr Duration commandTimeout = milliseconds(250);
constexpr Duration commandRetryDelay = milliseconds(40);
// A planned switch starts when the next primary is at most this far behind, and waits at most this
// long for it to catch up.
constexpr LogOffset maxSwitchLag = 64;
constexpr Duration switchTimeout = milliseconds(300);
// How long a forced promotion waits for the other servers to be prepared.
constexpr Duration forcedPromotionWait = milliseconds(300);
// How long to wait for a better candidate than a leaving server or the primary being replaced.
constexpr Duration trustedCandidateWait = milliseconds(100);

} // namespace

FailoverActions Failover::onPrepared(Instant now, const ServerName &server, Term term,
                                     const ServerReport &report)
{
    FailoverActions actions;
    ServerState *state = find(server);
    if (!state)
        return actions;
    recordAnswer(now, *state);
    if (phase_ != Phase::Preparing || term != newTerm_)
        return actions;
    state->prepared = true;
    state->report = report;
    state->reportSequence = state->watch.lastProbeSequence();
    step(now, actions);
    return actions;
}

void Failover::choosePrimary(Instant now)
{
    std::vector<Candidate> prepared;
    for (const ServerState &server : servers_) {
        const bool trusted = !server.leaving && server.name != replacedPrimary_;
        if (server.prepared)
            prepared.push_back({server.name, server.report->received, trusted});
    }
    const bool all = prepared.size() == servers_.size();
    const bool waited = all || now - phaseSince_ >= trustedCandidateWait;

    // 1. Without loss: the best candidate of a majority, after a short wait for a trusted one.
    const Candidate *chosen = chooseCandidate(prepared, majority(), target_);
    if (!acceptLoss_) {
        const ServerState *preferred = find(target_);
        const bool better = chosen && chosen->trusted && (!preferred || preferred->prepared);
        if (!chosen || (!better && !waited))
            return;
        leader_ = chosen->server;
        enterPhase(now, Phase::Promoting);
        return;
    }

    // 2. With accepted loss: the operator's target, once the other servers have had time to be
    // prepared.
    const ServerState *target = find(target_);
    if (!target || !target->prepared || (!all && now - phaseSince_ < forcedPromotionWait))
        return;
    lostAfter_.reset();
    if (!chosen || target->report->received < chosen->received)
        lostAfter_ = target->report->received;
    leader_ = target_;
    enterPhase(now, Phase::Promoting);
}

FailoverActions Failover::onPromoted(Instant now, const ServerName &server, Term term)
{
    FailoverActions actions;
    ServerState *state = find(server);
    if (!state)
        return actions;
    recordAnswer(now, *state);
    if (phase_ != Phase::Promoting || server != leader_ || term != newTerm_)
        return actions;
    establish(now, server, term, actions);
    step(now, actions);
    return actions;
}

void Failover::establish(Instant now, const ServerName &leader, Term term, FailoverActions &actions)
{
    leader_ = leader;
    leaderSequence_ = sequence_;
    term_ = term;
    newTerm_ = std::max(newTerm_, term);
    fenceRaised_ = !checks_.fence;
    historyRead_ = false;
    enterPhase(now, Phase::Establishing);
    sendCommands(now, actions);
}

FailoverActions Failover::onFollowing(Instant now, const ServerName &server, Term term)
{
    FailoverActions actions;
    ServerState *state = find(server);
    if (!state)
        return actions;
    recordAnswer(now, *state);
    if (term == term_ && (phase_ == Phase::Establishing || phase_ == Phase::Ready)) {
        state->followed = true;
        if (phase_ == Phase::Establishing)
            sendProbe(now, *state, actions);
    }
    return actions;
}

FailoverActions Failover::onFenceRaised(Instant now, const ServerName &server, OwnerEpoch epoch)
{
    FailoverActions actions;
    if (server == leader_ && epoch == epoch_ && phase_ == Phase::Establishing) {
        fenceRaised_ = true;
        step(now, actions);
    }
    return actions;
}

FailoverActions Failover::onHistory(Instant now, const ServerName &server,
                                    const std::vector<TermStart> &history)
{
    FailoverActions actions;
    if (server != leader_ || (phase_ != Phase::Establishing && phase_ != Phase::Ready))
        return actions;
    history_ = history;
    historyRead_ = true;
    step(now, actions);
    return actions;
}

// Whether the server holds a record of the current term and thus all earlier ones. No log of an
// older term can be preferred to it then. Each term starts with a record of its own.
bool Failover::holdsTerm(const ServerState &server) const
{
    return server.report && server.report->term == term_ && server.report->received.term == term_;
}

bool Failover::needsFollow(const ServerState &server) const
{
    if (server.name == leader_ || !server.report)
        return false;
    const ServerReport &report = *server.report;
    if (report.isPrimary || report.term < term_)
        return true;
    return !server.followed && report.received.term != term_;
}

void Failover::finishEstablishing(Instant now, FailoverActions &actions)
{
    if (!fenceRaised_ || !historyRead_)
        return;
    std::size_t holders = 1;
    for (const ServerState &server : servers_)
        holders += server.name != leader_ && holdsTerm(server);
    if (holders < majority() && !acceptLoss_)
        return;
    primary_ = leader_;
    enterPhase(now, Phase::Ready);
    const Duration gap = outageSince_ ? now - *outageSince_ : Duration {0};
    actions.push_back(PrimaryReady {leader_, term_, gap, lostAfter_});
    outageSince_.reset();
    replacedPrimary_.clear();
    target_.clear();
    acceptLoss_ = false;
    lostAfter_.reset();
}

FailoverActions Failover::onCommandFailed(Instant now, const ServerName &server,
                                          CommandFailure failure)
{
    FailoverActions actions;
    ServerState *state = find(server);
    if (!state)
        return actions;
    state->nextCommand = now + commandRetryDelay;
    if (failure == CommandFailure::Unknown)
        return actions;
    // Only a refusal is an answer of the server. Counting commands that were not sent would make a
    // failed server look alive, and isCutOff() would not detect the loss of a majority.
    if (failure == CommandFailure::Refused) {
        // The report shows whether a newer owner or term has superseded this one.
        recordAnswer(now, *state);
        sendProbe(now, *state, actions);
    }
    // The candidate was not promoted: start again with a higher term.
    if (phase_ == Phase::Promoting && server == leader_)
        beginPromotion(now,
                       failure == CommandFailure::Refused ? "the candidate refused the promotion"
                                                          : "the candidate cannot be reached",
                       actions);
    return actions;
}

void Failover::sendCommands(Instant now, FailoverActions &actions)
{
    for (ServerState &server : servers_) {
        if (now < server.nextCommand)
            continue;
        const std::size_t before = actions.size();
        const bool leads = server.name == leader_;
        if (phase_ == Phase::Preparing && !server.prepared)
            actions.push_back(SendPrepare {server.name, newTerm_});
        if (phase_ == Phase::Promoting && leads)
            actions.push_back(SendPromote {server.name, newTerm_});
        if (phase_ == Phase::Establishing && leads && !fenceRaised_)
            actions.push_back(SendRaiseFence {server.name, epoch_});
        if (phase_ == Phase::Establishing && leads && !historyRead_)
            actions.push_back(SendReadHistory {server.name});
        if ((phase_ == Phase::Establishing || phase_ == Phase::Ready) && needsFollow(server))
            actions.push_back(SendFollow {server.name, leader_, term_});
        if (actions.size() != before)
            server.nextCommand = now + commandTimeout;
    }
}

// ---- Planned and forced changes ----

FailoverActions Failover::promote(Instant now, const ServerName &server, bool acceptLoss)
{
    FailoverActions actions;
    if (!find(server) || phase_ == Phase::Idle || phase_ == Phase::Superseded)
        return actions;
    if (phase_ == Phase::Ready && server == leader_)
        return actions;
    acceptLoss_ = acceptLoss;
    if (phase_ == Phase::Ready && !acceptLoss) {
        beginSwitch(now, server, actions);
        return actions;
    }
    target_ = server;
    beginPromotion(now, "requested by an operator", actions);
    return actions;
}

void Failover::beginSwitch(Instant now, const ServerName &target, FailoverActions &actions)
{
    target_ = target;
    stopWrites(now, "planned switch to " + target, actions);
    enterPhase(now, Phase::Switching);
    leaderSequence_ = sequence_;
    sendProbes(now, actions);
}

void Failover::continueSwitch(Instant now, FailoverActions &actions)
{
    const ServerState *from = find(leader_);
    const ServerState *to = find(target_);
    const bool isFresh = from && to && from->report && to->report
        && from->reportSequence > leaderSequence_ && to->reportSequence > leaderSequence_;
    const bool caughtUp = isFresh && from->report->received <= to->report->received;
    if (!caughtUp && now - phaseSince_ < switchTimeout)
        return;
    replacedPrimary_ = leader_;
    beginPromotion(now, "planned switch", actions);
}

// Switches from a leaving primary to the most advanced replica, once its lag is small enough.
void Failover::replaceLeavingPrimary(Instant now, FailoverActions &actions)
{
    const ServerState *leader = find(leader_);
    if (!leader || !leader->leaving || !leader->report)
        return;
    const ServerState *best = nullptr;
    for (const ServerState &server : servers_) {
        if (server.leaving || !holdsTerm(server) || hasFailed(now, server))
            continue;
        if (!best || best->report->received < server.report->received)
            best = &server;
    }
    if (best && leader->report->received.offset <= best->report->received.offset + maxSwitchLag)
        beginSwitch(now, best->name, actions);
}

} // namespace kelptally::decision
