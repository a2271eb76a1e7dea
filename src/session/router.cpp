#include "session/router.h"

#include "decision/ownersuspicion.h"
#include "session/statementrules.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace kelptally::session {

namespace {

// Interval at which owners are checked while statements are in flight.
constexpr Duration tickPeriod = std::chrono::milliseconds(40);
// An owner that is silent for this long is probed.
constexpr Duration probeAfter = std::chrono::milliseconds(120);
// After this long, a second link is dialled beside the one that may be broken.
constexpr Duration redialAfter = std::chrono::milliseconds(200);
// After this long the owner counts as lost. Covers several probes and a round trip between zones.
constexpr Duration silentAfter = std::chrono::milliseconds(450);
// A longer interval between ticks means that this process itself was stalled.
constexpr Duration stallThreshold = std::chrono::milliseconds(160);
// How long a lost link may take to come back. Statements that may not be repeated wait for it
// before they are given up.
constexpr Duration resumeTime = std::chrono::milliseconds(300);
// EndTransaction messages up to this age are sent again on the next link. Must cover the time in
// which a broken link is detected.
constexpr Duration endResendWindow = std::chrono::milliseconds(2500);
constexpr std::size_t maxResentEnds = 256;
// Retry delay for callers when a group has no owner: about the time of a takeover.
constexpr Duration takeoverTime = std::chrono::milliseconds(500);
// Maximum number of times that one statement is sent.
constexpr int maxAttempts = 6;
// An answer that has not arrived this long after the deadline is considered lost.
constexpr Duration answerGracePeriod = std::chrono::milliseconds(500);
const std::string linkDown = "link_down";
const std::string answerLate = "late";

} // namespace

Router::Router(const Parts &parts)
    : parts_(parts),
      renewals_(parts.metrics.counter("kelptally_link_renewals_total",
                                      "Second links dialled because the first one was silent")),
      cancelledRenewals_(
          parts.metrics.counter("kelptally_link_renewals_cancelled_total",
                                "Second links given up because the first one answered"))
{ }

inner::RequestId Router::run(inner::RunStatement statement, DoneCallback callback)
{
    const inner::RequestId id = ++lastId_;
    Pending pending;
    pending.statement = std::move(statement);
    pending.statement.requestId = id;
    pending.callback = std::move(callback);
    pending.arrived = parts_.timers.now();
    pending.deadline = pending.arrived + pending.statement.timeLeft;
    pending_.emplace(id, std::move(pending));
    if (!ticking_) {
        ticking_ = true;
        lastTick_ = parts_.timers.now();
        parts_.timers.subscribeAfter(tickPeriod, [this] { tick(); });
    }
    if (limitToStop(pending_.at(id)))
        tryLocalRead(id);
    else
        refuseForStop(id);
    return id;
}

bool Router::refusesTransactions() const
{
    return stop_ && parts_.timers.now() - stop_->began >= stop_->plan.beginUntil();
}

bool Router::limitToStop(Pending &pending) const
{
    if (!stop_)
        return true;
    const std::optional<Duration> limit =
        stop_->plan.timeLimit(pending.arrived - stop_->began, pending.statement.timeLeft,
                              continuesTransaction(pending.statement));
    if (!limit)
        return false;
    pending.statement.timeLeft = *limit;
    pending.deadline = pending.arrived + *limit;
    return true;
}

// Refuses a statement that has not been sent to a server. Its transaction could not commit any
// more, and is rolled back.
void Router::refuseForStop(inner::RequestId id)
{
    const inner::RunStatement &statement = pending_.at(id).statement;
    if (!continuesTransaction(statement))
        return refuse(id, Reason::Draining, Executed::No, "this host is being stopped",
                      drainRetryAfter);
    endTransaction(statement.group, statement.session);
    refuse(id, Reason::TransactionEnded, Executed::No, "this host is being stopped",
           drainRetryAfter);
}

void Router::abandonAll()
{
    std::vector<inner::RequestId> ids;
    ids.reserve(pending_.size());
    for (const auto &[id, pending] : pending_)
        ids.push_back(id);
    for (const inner::RequestId id : ids)
        abandon(id);
}

void Router::abandon(inner::RequestId id)
{
    const Pending &pending = pending_.at(id);
    const inner::RunStatement &statement = pending.statement;
    const bool mayRun = !pending.address.empty() || pending.runsHere;
    parts_.log.info("statement_abandoned", mayRun ? "running" : "waiting")
        .with("id", statement.statementId)
        .with("group", statement.group)
        .with("waited_ms", parts_.timers.now() - pending.arrived);
    if (mayRun && commits(statement))
        return refuse(id, Reason::Unconfirmed, Executed::Unknown,
                      "this host was stopped before the answer arrived");
    if (!mayRun && pending.attempts == 0)
        return refuseForStop(id);
    // Nothing is kept of a read, or of a transaction that is rolled back.
    if (statement.inTransaction)
        endTransaction(statement.group, statement.session);
    refuse(id, Reason::TransactionEnded, Executed::No,
           "this host was stopped before the answer arrived", drainRetryAfter);
}

// Tries a read in the same zone first, and falls back to the owner.
void Router::tryLocalRead(inner::RequestId id)
{
    const std::optional<OwnerRef> owner = parts_.owners.owner(pending_.at(id).statement.group);
    const bool ownedHere = owner && owner->process == parts_.self;
    const auto callback = [this, id](inner::StatementDone done) {
        if (pending_.count(id) == 0)
            return;
        if (done.reason == Reason::None)
            return finish(id, std::move(done));
        parts_.metrics.countRetry(done.reason);
        dispatch(id);
    };
    pending_.at(id).runsHere =
        !ownedHere && parts_.localReads.run(pending_.at(id).statement, callback);
    if (!pending_.at(id).runsHere)
        dispatch(id);
}

void Router::cancel(inner::RequestId id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
        return;
    detachFromPeer(found->second);
    pending_.erase(found);
}

void Router::endTransaction(const GroupName &group, std::uint64_t session)
{
    const auto found = transactions_.find(session);
    if (found == transactions_.end())
        return;
    const std::string address = found->second.address;
    transactions_.erase(found);
    if (address.empty())
        return parts_.local.endTransaction(0, makeEndTransaction(group, session));
    sendEnd(address, makeEndTransaction(group, session));
}

inner::EndTransaction Router::makeEndTransaction(const GroupName &group,
                                                 std::uint64_t session) const
{
    return {group, session, lastSent_};
}

// Sends the message now, and again on the next link.
void Router::sendEnd(const std::string &address, const inner::EndTransaction &end)
{
    static_cast<void>(parts_.links.sendTo(address, end));
    recordEnd(peers_[address], end);
}

// Keeps the message for resending. The owner rolls back by itself if the link stays down.
void Router::recordEnd(Peer &peer, const inner::EndTransaction &end)
{
    const Instant now = parts_.timers.now();
    peer.recentEnds.emplace_back(now, end);
    while (peer.recentEnds.size() > maxResentEnds
           || now - peer.recentEnds.front().first > endResendWindow)
        peer.recentEnds.pop_front();
}

void Router::dispatch(inner::RequestId id)
{
    Pending &pending = pending_.at(id);
    pending.runsHere = false;
    // 1. Statements of an open transaction go to the process where it began.
    if (continuesTransaction(pending.statement)) {
        const auto location = transactions_.find(pending.statement.session);
        if (location == transactions_.end())
            return refuse(id, Reason::TransactionEnded, Executed::No,
                          "the owner of the transaction is gone");
        const std::string &address = location->second.address;
        if (address.empty())
            return runLocally(id, pending);
        if (sendTo(id, pending, {0, {address, 0}}))
            return;
        if (mayReconnect(peers_[address]))
            return awaitOwner(id, pending);
        refuse(id, Reason::TransactionEnded, Executed::No,
               "the owner of the transaction cannot be reached");
        return;
    }
    // 2. All others go to the current owner.
    const std::optional<OwnerRef> owner = parts_.owners.owner(pending.statement.group);
    if (!owner) {
        parts_.owners.requestOwner(pending.statement.group);
        return awaitOwner(id, pending);
    }
    pending.epoch = owner->epoch;
    if (owner->process == parts_.self)
        return runLocally(id, pending);
    const auto peer = peers_.find(owner->process.address);
    if (peer != peers_.end() && peer->second.silent) {
        parts_.owners.reportOwnerUnreachable(pending.statement.group, *owner, "silent");
        return awaitOwner(id, pending);
    }
    if (!sendTo(id, pending, *owner))
        awaitOwner(id, pending);
}

bool Router::sendTo(inner::RequestId id, Pending &pending, const OwnerRef &owner)
{
    const std::string &address = owner.process.address;
    const Instant now = parts_.timers.now();
    Peer &peer = peers_[address];
    startMonitoring(peer, now);
    pending.statement.timeLeft = std::max(Duration(0), pending.deadline - now);
    // The answer to the first copy of a read is only as recent as that copy.
    if (!isSentAgain(pending, address, peer)) {
        pending.statement.requestId = ++lastSent_;
        pending.sentAt = now;
    }
    const absl::Status sent = parts_.links.sendTo(address, pending.statement);
    if (absl::IsUnavailable(sent) && !peer.dialled) {
        peer.dialled = true;
        parts_.links.connect(address);
    }
    if (absl::IsUnavailable(sent) && peer.downSince == Instant())
        peer.downSince = now;
    if (!sent.ok())
        return false;
    ++peer.inFlight;
    sent_[pending.statement.requestId] = id;
    pending.address = address;
    pending.sentTo = peer.incarnation;
    pending.unansweredBy.clear();
    ++pending.attempts;
    if (pending.statement.begins != inner::TransactionMode::None)
        transactions_[pending.statement.session] = {address, pending.statement.group};
    return true;
}

bool Router::isSentAgain(const Pending &pending, const std::string &address, const Peer &peer)
{
    return isSingleRead(pending.statement) && pending.unansweredBy == address && pending.sentTo != 0
        && pending.sentTo == peer.incarnation;
}

void Router::runLocally(inner::RequestId id, Pending &pending)
{
    const Instant now = parts_.timers.now();
    pending.sentAt = now;
    pending.runsHere = true;
    ++pending.attempts;
    pending.statement.timeLeft = std::max(Duration(0), pending.deadline - now);
    pending.statement.requestId = ++lastSent_;
    if (pending.statement.begins != inner::TransactionMode::None)
        transactions_[pending.statement.session] = {std::string(), pending.statement.group};
    // The executor may call back at once, but run() must not call back from within the call.
    parts_.local.run(0, pending.statement, [this, id](inner::StatementDone done) {
        done.requestId = id;
        parts_.timers.subscribeAt(parts_.timers.now(),
                                  [this, done = std::move(done)] { onDone(done); });
    });
}

void Router::awaitOwner(inner::RequestId id, Pending &pending)
{
    pending.address.clear();
    pending.runsHere = false;
    waiting_.push_back(id);
    searches_[pending.statement.group].onStatementWaiting(parts_.timers.now());
}

// Statements of an open transaction wait until their deadline, as no other owner can run them.
bool Router::shouldAbandon(const Pending &pending, Instant now) const
{
    if (now >= pending.deadline)
        return true;
    const auto search = searches_.find(pending.statement.group);
    return !continuesTransaction(pending.statement) && search != searches_.end()
        && now >= search->second.giveUpAt(pending.arrived);
}

void Router::dispatchWaiting()
{
    std::vector<inner::RequestId> ids;
    ids.swap(waiting_);
    const Instant now = parts_.timers.now();
    for (const inner::RequestId id : ids) {
        const auto found = pending_.find(id);
        if (found == pending_.end())
            continue;
        if (shouldAbandon(found->second, now))
            refuse(id, Reason::NoOwner, Executed::No, "no owner answered in time", takeoverTime);
        else
            dispatch(id);
    }
}

void Router::onAnswer(inner::StatementDone done)
{
    const auto found = sent_.find(done.requestId);
    if (found == sent_.end())
        return;
    done.requestId = found->second;
    onDone(std::move(done));
}

void Router::onDone(inner::StatementDone done)
{
    const auto found = pending_.find(done.requestId);
    if (found == pending_.end())
        return;
    Pending &pending = found->second;
    if (!pending.address.empty()) {
        parts_.times.addOwner(parts_.timers.now() - pending.sentAt);
        parts_.localReads.onOwnerAnswer(pending.statement, pending.sentAt, done);
    }
    if (done.reason == Reason::NotOwner && done.executed == Executed::No) {
        detachFromPeer(pending);
        if (continuesTransaction(pending.statement))
            return refuse(done.requestId, Reason::TransactionEnded, Executed::No,
                          "the owner has released the group");
        parts_.metrics.countRetry(Reason::NotOwner);
        const GroupName group = pending.statement.group;
        const bool ownerIsNewer = done.ownerEpoch > pending.epoch;
        awaitOwner(done.requestId, pending);
        if (ownerIsNewer)
            return parts_.owners.applyReportedOwner(group, {done.ownerEpoch, done.owner});
        return parts_.owners.refreshOwner(group);
    }
    searches_[pending.statement.group].onOwnerAnswered();
    lastAnswerAt_[pending.statement.group] = parts_.timers.now();
    const inner::RequestId id = done.requestId;
    finish(id, std::move(done));
}

void Router::finish(inner::RequestId id, inner::StatementDone done)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
        return;
    Pending pending = std::move(found->second);
    pending_.erase(found);
    detachFromPeer(pending);
    parts_.times.addStatement(pending.statement.rule, parts_.timers.now() - pending.arrived);
    const bool ends =
        pending.statement.verb == inner::SessionVerb::Commit || done.reason != Reason::None;
    if (pending.statement.inTransaction && ends)
        transactions_.erase(pending.statement.session);
    pending.callback(std::move(done));
}

void Router::refuse(inner::RequestId id, Reason reason, Executed executed,
                    const std::string &detail, Duration retryAfter)
{
    inner::StatementDone done;
    done.requestId = id;
    done.reason = reason;
    done.executed = executed;
    done.detail = detail;
    done.retryAfter = retryAfter;
    parts_.timers.subscribeAt(parts_.timers.now(), [this, id, done] { finish(id, done); });
}

void Router::detachFromPeer(Pending &pending)
{
    if (pending.address.empty())
        return;
    --peers_[pending.address].inFlight;
    sent_.erase(pending.statement.requestId);
    pending.address.clear();
}

void Router::onPeerResponse(const std::string &address)
{
    Peer &peer = peers_[address];
    if (std::exchange(peer.renewing, false)) {
        parts_.log.info("link_responsive")
            .with("peer", address)
            .with("silent_ms", parts_.timers.now() - peer.lastResponseAt);
        cancelledRenewals_.Increment();
        parts_.links.cancelRenewal(address);
    }
    peer.lastResponseAt = parts_.timers.now();
    if (!peer.silent)
        return;
    peer.silent = false;
    parts_.log.info("owner_responsive").with("peer", address);
    dispatchWaiting();
    // Follows the statements that are sent again: an end ahead of them would cancel the copies that
    // they replace.
    resendEnds(address, peer);
}

void Router::onLinkUp(const ProcessId &process)
{
    Peer &peer = peers_[process.address];
    const bool restarted = peer.incarnation != 0 && peer.incarnation != process.incarnation;
    peer.incarnation = process.incarnation;
    if (restarted)
        onPeerLost(process.address, "restarted");
    onPeerResponse(process.address);
    // Also after a renewal that opened shortly after the link it replaces: what was sent on that
    // link in between may be lost with it.
    if (peer.resend || peer.downSince != Instant() || peer.inFlight > 0)
        resumeLink(process.address, peer);
    dispatchWaiting();
}

// Resends everything unanswered after the link to the same incarnation has come back.
void Router::resumeLink(const std::string &address, Peer &peer)
{
    peer.resend = false;
    peer.downSince = Instant();
    const Instant now = parts_.timers.now();
    resendEnds(address, peer);
    std::size_t count = 0;
    for (auto &[id, pending] : pending_) {
        // The peer may have discarded the answer by now; tick() gives the statement up.
        if (pending.address != address || now >= pending.deadline)
            continue;
        ++count;
        pending.statement.timeLeft = std::max(Duration(0), pending.deadline - now);
        static_cast<void>(parts_.links.sendTo(address, pending.statement));
    }
    parts_.log.info("link_resumed").with("peer", address).with("statements", std::uint64_t(count));
}

void Router::resendEnds(const std::string &address, const Peer &peer)
{
    for (const auto &[when, end] : peer.recentEnds)
        static_cast<void>(parts_.links.sendTo(address, end));
}

bool Router::mayReconnect(const Peer &peer) const
{
    return peer.downSince != Instant() && parts_.timers.now() - peer.downSince < resumeTime;
}

void Router::onLinkDown(const std::string &address)
{
    // The lost link may have been an incoming one, or one that has already been replaced.
    if (parts_.links.linkTo(address) != 0)
        return;
    // Statements wait for the link to come back, as the process may still run them.
    Peer &peer = peers_[address];
    peer.resend = true;
    if (peer.downSince == Instant())
        peer.downSince = parts_.timers.now();
    std::map<GroupName, OwnerRef> suspects;
    for (const auto &[id, pending] : pending_)
        if (pending.address == address && pending.epoch != 0)
            suspects[pending.statement.group] = {pending.epoch, {address, 0}};
    for (const auto &[group, owner] : suspects)
        parts_.owners.reportOwnerUnreachable(group, owner, linkDown);
}

void Router::onOwnerChanged(const GroupName &group)
{
    lastAnswerAt_.erase(group);
    // Repeatable statements need not wait for the link to a former owner.
    const std::optional<OwnerRef> owner = parts_.owners.owner(group);
    if (owner)
        reinstatePeer(owner->process.address);
    std::vector<inner::RequestId> repeatable;
    for (const auto &[id, pending] : pending_) {
        const bool ownerMoved = !owner || owner->process.address != pending.address;
        if (pending.statement.group == group && !pending.address.empty() && ownerMoved
            && mayRepeat(pending.statement) && peers_[pending.address].downSince != Instant())
            repeatable.push_back(id);
    }
    for (const inner::RequestId id : repeatable)
        onAnswerLost(id, "followed");
    dispatchWaiting();
}

// Clears the suspicion against a process that has just become an owner, so that hosts that lost
// contact do not claim a group from each other in turn.
void Router::reinstatePeer(const std::string &address)
{
    const auto found = peers_.find(address);
    if (found == peers_.end())
        return;
    Peer &peer = found->second;
    const bool disconnected = parts_.links.linkTo(address) == 0;
    if (peer.silent || disconnected)
        parts_.links.renew(address);
    if (!peer.silent)
        return;
    peer.silent = false;
    peer.resend = true;
    peer.lastResponseAt = parts_.timers.now();
}

void Router::onPeerLost(const std::string &address, const std::string &cause)
{
    std::vector<inner::RequestId> lost;
    std::set<std::uint64_t> awaiting;
    for (const auto &[id, pending] : pending_) {
        if (pending.address != address)
            continue;
        lost.push_back(id);
        awaiting.insert(pending.statement.session);
    }
    // If the process is still alive, it must not keep these transactions open.
    for (auto location = transactions_.begin(); location != transactions_.end();) {
        if (location->second.address != address || awaiting.count(location->first) != 0) {
            ++location;
            continue;
        }
        sendEnd(address, makeEndTransaction(location->second.group, location->first));
        location = transactions_.erase(location);
    }
    for (const inner::RequestId id : lost)
        onAnswerLost(id, cause);
}

void Router::onAnswerLost(inner::RequestId id, const std::string &cause)
{
    Pending &pending = pending_.at(id);
    const GroupName group = pending.statement.group;
    const OwnerRef owner {pending.epoch, {pending.address, 0}};
    const bool isRepeatable = mayRepeat(pending.statement) && pending.attempts < maxAttempts;
    if (pending.statement.inTransaction && transactions_.erase(pending.statement.session) != 0) {
        const inner::EndTransaction end = makeEndTransaction(group, pending.statement.session);
        // The owner runs a copy that it has until the next one replaces it.
        if (isRepeatable && parts_.timers.now() < pending.deadline)
            recordEnd(peers_[pending.address], end);
        else
            sendEnd(pending.address, end);
    }
    pending.unansweredBy = pending.address;
    detachFromPeer(pending);
    parts_.log.info("owner_answer_lost", cause)
        .with("id", pending.statement.statementId)
        .with("group", group)
        .with("peer", owner.process.address)
        .with("repeat", mayRepeat(pending.statement));
    if (pending.epoch != 0 && (cause != answerLate || isOwnerSuspect(pending)))
        parts_.owners.reportOwnerUnreachable(group, owner, cause);
    if (isRepeatable) {
        parts_.metrics.countRetry(Reason::OwnerUnreachable);
        return awaitOwner(id, pending);
    }
    const bool mayBeCommitted =
        !pending.statement.inTransaction || pending.statement.verb == inner::SessionVerb::Commit;
    if (mayBeCommitted && pending.statement.verb != inner::SessionVerb::Read)
        return refuse(id, Reason::Unconfirmed, Executed::Unknown,
                      "the owner was lost with the statement");
    refuse(id, Reason::TransactionEnded, Executed::No, "the owner was lost with the transaction",
           takeoverTime);
}

bool Router::isOwnerSuspect(const Pending &pending) const
{
    const auto answered = lastAnswerAt_.find(pending.statement.group);
    return decision::isOwnerSuspect(
        pending.sentAt,
        answered == lastAnswerAt_.end() ? std::nullopt : std::optional<Instant>(answered->second));
}

void Router::tick()
{
    const Instant now = parts_.timers.now();
    const bool stalled = now - lastTick_ > stallThreshold;
    lastTick_ = now;
    std::vector<inner::RequestId> late;
    for (const auto &[id, pending] : pending_)
        if (!pending.address.empty() && now >= pending.deadline + answerGracePeriod)
            late.push_back(id);
    for (const inner::RequestId id : late)
        onAnswerLost(id, answerLate);
    std::vector<std::string> monitoredPeers;
    std::vector<std::string> lost;
    for (auto &[address, peer] : peers_) {
        if (stalled && peer.downSince != Instant())
            peer.downSince = now;
        if (peer.downSince != Instant() && !mayReconnect(peer) && peer.inFlight > 0)
            lost.push_back(address);
        if (stalled)
            peer.lastResponseAt = now;
        peer.monitored = peer.inFlight > 0 || (peer.monitored && !waiting_.empty());
        if (peer.monitored)
            monitoredPeers.push_back(address);
    }
    for (const std::string &address : lost)
        onPeerLost(address, linkDown);
    for (const std::string &address : monitoredPeers)
        checkPeer(address, peers_[address], now);
    dispatchWaiting();
    ticking_ = !pending_.empty();
    if (ticking_)
        parts_.timers.subscribeAfter(tickPeriod, [this] { tick(); });
}

void Router::startMonitoring(Peer &peer, Instant now)
{
    if (!peer.monitored && !peer.silent)
        peer.lastResponseAt = now;
    peer.monitored = true;
}

void Router::checkPeer(const std::string &address, Peer &peer, Instant now)
{
    const Duration silence = now - peer.lastResponseAt;
    if (silence >= probeAfter && now - peer.lastProbedAt >= probeAfter) {
        peer.lastProbedAt = now;
        static_cast<void>(parts_.links.sendTo(address, inner::AliveRequest {++probeSequence_}));
    }
    if (silence >= redialAfter) {
        if (!std::exchange(peer.renewing, true)) {
            renewals_.Increment();
            parts_.log.info("link_renewal")
                .with("peer", address)
                .with("silent_ms", silence)
                .with("probed_ms", now - peer.lastProbedAt)
                .with("in_flight", peer.inFlight);
        }
        peer.resend = peer.resend || peer.downSince == Instant();
        parts_.links.renew(address);
    }
    if (silence < silentAfter || peer.silent)
        return;
    peer.silent = true;
    parts_.log.warning("owner_silent").with("peer", address).with("silent_ms", silence);
    onPeerLost(address, "silent");
}

} // namespace kelptally::session
