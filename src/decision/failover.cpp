#include "decision/failover.h"

#include <algorithm>
#include <utility>

namespace kelptally::decision {

using std::chrono::milliseconds;

namespace {

constexpr Duration probeInterval = milliseconds(100);
// Minimum interval between probes that are sent at once after a lost connection.
constexpr Duration minProbeInterval = milliseconds(20);
// Used while a promotion waits for a majority to hold the new term.
constexpr Duration fastProbeInterval = milliseconds(20);
// A silent server counts as failed only if another server has answered within this time. Otherwise
// this process may be cut off.
constexpr Duration othersAnswerWindow = milliseconds(250);
// A longer interval between ticks means that this process was paused.
constexpr Duration maxTickInterval = milliseconds(150);
// Without a majority for this long another owner should take over. Longer than the slowest failure
// detection and promotion.
constexpr Duration cutOffTimeout = std::chrono::seconds(2);

} // namespace

Failover::Failover(GroupName group, OwnerEpoch epoch, std::vector<ServerName> servers,
                   FailoverChecks checks)
    : group_(std::move(group)), epoch_(epoch), checks_(checks)
{
    for (ServerName &name : servers) {
        servers_.emplace_back();
        servers_.back().name = std::move(name);
    }
}

FailoverActions Failover::start(Instant now, Term termHint, const ServerName &primaryHint)
{
    FailoverActions actions;
    leader_ = primaryHint;
    newTerm_ = termHint;
    lastTick_ = now;
    watchedSince_ = now;
    enterPhase(now, Phase::Locating);
    for (ServerState &server : servers_)
        sendProbe(now, server, actions);
    return actions;
}

// ---- Detection ----

void Failover::sendProbe(Instant now, ServerState &server, FailoverActions &actions)
{
    server.watch.onProbeSent(now, ++sequence_);
    const bool isFast = phase_ == Phase::Establishing || phase_ == Phase::Switching;
    server.nextProbe = now + (isFast ? fastProbeInterval : probeInterval);
    actions.push_back(SendProbe {server.name, sequence_});
}

void Failover::sendProbes(Instant now, FailoverActions &actions)
{
    for (ServerState &server : servers_) {
        if (now >= server.nextProbe)
            sendProbe(now, server, actions);
    }
}

void Failover::recordAnswer(Instant now, ServerState &server)
{
    server.watch.onResponse(now);
    if (server.name == leader_ && phase_ == Phase::Ready)
        outageSince_.reset();
}

bool Failover::othersAnswer(Instant now, const ServerState &server) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const ServerState &other) {
        const std::optional<Instant> lastAnswer = other.watch.lastResponseAt();
        return other.name != server.name && lastAnswer && now - *lastAnswer < othersAnswerWindow;
    });
}

bool Failover::hasFailed(Instant now, const ServerState &server) const
{
    if (server.watch.isRefused(now))
        return true;
    return server.watch.isSilent(now) && othersAnswer(now, server);
}

// After a pause of this process all servers appear silent, so the observation starts again.
void Failover::resetWatches(Instant now)
{
    watchedSince_ = now;
    for (ServerState &server : servers_) {
        server.watch.reset();
        server.nextProbe = now;
    }
}

FailoverActions Failover::onReport(Instant now, const ServerName &server, std::uint64_t sequence,
                                   const ServerReport &report)
{
    FailoverActions actions;
    ServerState *state = find(server);
    if (!state)
        return actions;
    recordAnswer(now, *state);
    if (sequence < state->reportSequence)
        return actions;
    state->report = report;
    state->reportSequence = sequence;
    checkReport(now, *state, actions);
    watchReplication(now, *state);
    step(now, actions);
    return actions;
}

FailoverActions Failover::onProbeFailed(Instant now, const ServerName &server,
                                        std::uint64_t sequence, bool connectionRefused)
{
    FailoverActions actions;
    ServerState *state = find(server);
    if (!state || !connectionRefused || sequence <= state->reportSequence)
        return actions;
    state->watch.onRefused(now);
    state->followed = false;
    state->nextProbe = std::min(state->nextProbe, now + ServerWatch::refusalConfirmationDelay);
    if (server == leader_ && !outageSince_)
        outageSince_ = now;
    step(now, actions);
    return actions;
}

void Failover::onTraffic(Instant now, const ServerName &server)
{
    if (ServerState *state = find(server))
        recordAnswer(now, *state);
}

FailoverActions Failover::onConnectionLost(Instant now, const ServerName &server)
{
    FailoverActions actions;
    ServerState *state = find(server);
    if (!state || phase_ == Phase::Idle)
        return actions;
    if (server == leader_ && !outageSince_)
        outageSince_ = now;
    state->followed = false;
    // A lost connection alone does not prove a failure, so the server is probed.
    const Instant soonest = state->watch.lastProbeAt() + minProbeInterval;
    state->nextProbe = std::min(state->nextProbe, soonest);
    if (now >= soonest)
        sendProbe(now, *state, actions);
    return actions;
}

void Failover::watchReplication(Instant now, const ServerState &server)
{
    if (server.name != leader_)
        replication_.onReplicaPosition(now, server.name, server.report->received, majority());
    else if (server.report->isPrimary)
        replication_.onPrimaryPosition(now, server.report->received);
}

// Whether the primary answers but its log does not reach the replicas, while a majority exists
// without it.
bool Failover::isStalled(Instant now) const
{
    return (phase_ == Phase::Ready || phase_ == Phase::Establishing) && !acceptLoss_
        && replication_.isStalled(now, majority());
}

bool Failover::isSupersededBy(const ServerReport &report) const
{
    return epochOfTerm(report.term) > epoch_ || report.fence > epoch_;
}

void Failover::checkReport(Instant now, const ServerState &server, FailoverActions &actions)
{
    if (phase_ == Phase::Idle || phase_ == Phase::Superseded || !server.report)
        return;
    const ServerReport &report = *server.report;
    if (isSupersededBy(report)) {
        stopWrites(now, "a newer owner has taken over server " + server.name, actions);
        enterPhase(now, Phase::Superseded);
        return;
    }
    if (phase_ == Phase::Preparing || phase_ == Phase::Promoting) {
        if (report.term > newTerm_)
            beginPromotion(now, "server " + server.name + " knows a higher term", actions);
        return;
    }
    if (phase_ != Phase::Establishing && phase_ != Phase::Ready)
        return;
    if (report.term > term_) {
        // Another owner, such as an older one that was paused, has prepared the server for a later
        // term. The server rejects the log of this term.
        beginPromotion(now, "server " + server.name + " knows a higher term", actions);
    } else if (server.name == leader_ && server.reportSequence > leaderSequence_
               && !report.isPrimary) {
        beginPromotion(now, "server " + server.name + " is no longer primary", actions);
    }
}

// ---- Phases ----

void Failover::enterPhase(Instant now, Phase phase)
{
    phase_ = phase;
    phaseSince_ = now;
    for (ServerState &server : servers_) {
        server.nextCommand = now;
        if (phase == Phase::Establishing || phase == Phase::Switching)
            server.nextProbe = now;
    }
}

void Failover::step(Instant now, FailoverActions &actions)
{
    // 1. Replace a failed leader.
    const bool hasLeader = phase_ == Phase::Ready || phase_ == Phase::Establishing
        || phase_ == Phase::Promoting || phase_ == Phase::Switching;
    const ServerState *leader = hasLeader ? find(leader_) : nullptr;
    if (hasLeader && !leader) {
        beginPromotion(now, "the primary was removed from the configuration", actions);
    } else if (leader && hasFailed(now, *leader)) {
        if (!outageSince_)
            outageSince_ = leader->watch.unansweredSince();
        replacedPrimary_ = leader_;
        const bool refused = leader->watch.isRefused(now);
        beginPromotion(now, refused ? "connections are refused" : "no answer to probes", actions);
    } else if (leader && isStalled(now)) {
        replacedPrimary_ = leader_;
        replication_.onStallFailover();
        beginPromotion(now, "the primary's log does not reach the replicas", actions);
    }

    // 2. Continue the current phase.
    switch (phase_) {
    case Phase::Locating:
        locatePrimary(now, actions);
        break;
    case Phase::Switching:
        continueSwitch(now, actions);
        break;
    case Phase::Preparing:
        choosePrimary(now);
        break;
    case Phase::Establishing:
        finishEstablishing(now, actions);
        break;
    case Phase::Ready:
        replaceLeavingPrimary(now, actions);
        break;
    case Phase::Idle:
    case Phase::Promoting:
    case Phase::Superseded:
        break;
    }

    // 3. Send or repeat commands that are due.
    sendCommands(now, actions);
}

void Failover::locatePrimary(Instant now, FailoverActions &actions)
{
    std::size_t reportCount = 0;
    bool allKnown = true;
    Term newest = 0;
    const ServerState *best = nullptr;
    for (const ServerState &server : servers_) {
        if (!server.report) {
            allKnown = allKnown && hasFailed(now, server);
            continue;
        }
        ++reportCount;
        newest = std::max(newest, server.report->term);
        if (server.report->isPrimary && (!best || server.report->term > best->report->term))
            best = &server;
    }
    if (reportCount < majority())
        return;
    // For a primary of a higher term a majority was prepared, so at least one of the reports would
    // show that term.
    if (best && best->report->term == newest) {
        establish(now, best->name, newest, actions);
    } else if (allKnown || best) {
        outageSince_ = outageSince_.value_or(phaseSince_);
        beginPromotion(now, "no server is primary of the newest term", actions);
    }
}

void Failover::stopWrites(Instant now, const std::string &cause, FailoverActions &actions)
{
    if (!primary_)
        return;
    actions.push_back(PrimaryGone {*primary_, cause});
    primary_.reset();
    if (!outageSince_)
        outageSince_ = now;
}

void Failover::beginPromotion(Instant now, const std::string &cause, FailoverActions &actions)
{
    stopWrites(now, cause, actions);
    if (!outageSince_)
        outageSince_ = now;
    Term highestTerm = std::max(term_, newTerm_);
    for (const ServerState &server : servers_) {
        if (server.report)
            highestTerm = std::max(highestTerm, server.report->term);
    }
    do {
        ++termCount_;
    } while (makeTerm(epoch_, termCount_) <= highestTerm);
    newTerm_ = makeTerm(epoch_, termCount_);
    for (ServerState &server : servers_) {
        server.prepared = false;
        server.followed = false;
    }
    leader_.clear();
    replication_.reset();
    enterPhase(now, Phase::Preparing);
    sendCommands(now, actions);
}

// ---- Configuration and ticks ----

FailoverActions Failover::setServers(Instant now, std::vector<ServerName> servers,
                                     std::vector<ServerName> leaving)
{
    FailoverActions actions;
    std::vector<ServerState> next;
    for (ServerName &name : servers) {
        if (ServerState *known = find(name)) {
            next.push_back(std::move(*known));
        } else {
            next.emplace_back();
            next.back().name = std::move(name);
        }
        ServerState &state = next.back();
        state.leaving = std::find(leaving.begin(), leaving.end(), state.name) != leaving.end();
    }
    servers_ = std::move(next);
    if (phase_ != Phase::Idle)
        step(now, actions);
    return actions;
}

FailoverActions Failover::onTick(Instant now)
{
    FailoverActions actions;
    if (phase_ == Phase::Idle)
        return actions;
    if (now - lastTick_ > maxTickInterval)
        resetWatches(now);
    lastTick_ = now;
    sendProbes(now, actions);
    if (phase_ != Phase::Superseded)
        step(now, actions);
    return actions;
}

// ---- State ----

const std::optional<ServerName> &Failover::primary() const
{
    return primary_;
}

Term Failover::term() const
{
    return term_;
}

const std::vector<TermStart> &Failover::history() const
{
    return history_;
}

bool Failover::isLost(Position position) const
{
    const bool known = historyRead_ && term_ != 0 && position.term <= term_;
    return known && !isInHistory(position, term_, history_);
}

const std::optional<ServerReport> &Failover::report(const ServerName &server) const
{
    static const std::optional<ServerReport> none;
    const ServerState *state = find(server);
    return state ? state->report : none;
}

bool Failover::isResponding(Instant now, const ServerState &server) const
{
    const std::optional<Instant> last = server.watch.lastResponseAt();
    return last && now - *last < cutOffTimeout;
}

std::vector<ServerName> Failover::silentServers(Instant now) const
{
    std::vector<ServerName> silent;
    for (const ServerState &server : servers_)
        if (!isResponding(now, server))
            silent.push_back(server.name);
    return silent;
}

bool Failover::isCutOff(Instant now) const
{
    if (phase_ == Phase::Idle || now - watchedSince_ < cutOffTimeout)
        return false;
    return servers_.size() - silentServers(now).size() < majority();
}

Failover::ServerState *Failover::find(const ServerName &server)
{
    const auto found = std::find_if(servers_.begin(), servers_.end(),
                                    [&](const ServerState &s) { return s.name == server; });
    return found == servers_.end() ? nullptr : &*found;
}

const Failover::ServerState *Failover::find(const ServerName &server) const
{
    return const_cast<Failover *>(this)->find(server);
}

} // namespace kelptally::decision
