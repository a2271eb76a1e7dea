#include "session/router.h"

#include "session/statementrules.h"

#include <algorithm>

namespace kelptally::session {

namespace {

// While answers are owed, owners are looked at this often.
constexpr Duration tickPeriod = std::chrono::milliseconds(40);
// An owner that was silent for this long is asked whether it is there.
constexpr Duration askAfter = std::chrono::milliseconds(120);
// And counts as gone after this long: four questions and the way of an answer between zones.
constexpr Duration silentAfter = std::chrono::milliseconds(450);
// A tick that comes later than this means that this process itself stood still.
constexpr Duration ownPause = std::chrono::milliseconds(160);
// What a caller is told to wait for an owner: about the time of a takeover.
constexpr Duration takeoverTime = std::chrono::milliseconds(500);
// What a caller of a host that stops is told to wait before it comes back through another.
constexpr Duration elsewhereSoon = std::chrono::milliseconds(20);
// Chosen, not measured: a statement that meets so many lost owners is given up.
constexpr int maxAttempts = 6;

} // namespace

Router::Router(const Parts &parts) : parts_(parts) { }

inner::RequestId Router::run(inner::RunStatement statement, DoneCallback callback)
{
    const inner::RequestId id = ++lastId_;
    Pending pending;
    pending.statement = std::move(statement);
    pending.statement.requestId = id;
    pending.callback = std::move(callback);
    pending.deadline = parts_.timers.now() + pending.statement.timeLeft;
    pending_.emplace(id, std::move(pending));
    if (!ticking_) {
        ticking_ = true;
        lastTick_ = parts_.timers.now();
        parts_.timers.subscribeAfter(tickPeriod, [this] { tick(); });
    }
    if (taking_ || continuesTransaction(pending_.at(id).statement))
        runNear(id);
    else
        refuse(id, Reason::Draining, Executed::No, "this host is being stopped", elsewhereSoon);
    return id;
}

// Tries the way without the owner first.
void Router::runNear(inner::RequestId id)
{
    const std::optional<OwnerRef> owner = parts_.owners.owner(pending_.at(id).statement.group);
    const bool ownedHere = owner && owner->process == parts_.self;
    const auto callback = [this, id](inner::StatementDone done) {
        if (pending_.count(id) == 0)
            return;
        if (done.reason == Reason::None)
            return finish(id, std::move(done));
        parts_.metrics.countRetry(done.reason);
        place(id);
    };
    if (ownedHere || !parts_.near.run(pending_.at(id).statement, callback))
        place(id);
}

void Router::cancel(inner::RequestId id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
        return;
    leavePeer(found->second);
    pending_.erase(found);
}

void Router::endTransaction(const GroupName &group, std::uint64_t session)
{
    const auto found = transactions_.find(session);
    if (found == transactions_.end())
        return;
    const std::string address = found->second;
    transactions_.erase(found);
    if (address.empty())
        return parts_.local.endTransaction(0, group, session);
    // Without a link the owner has rolled it back already.
    static_cast<void>(parts_.links.sendTo(address, inner::EndTransaction {group, session}));
}

void Router::place(inner::RequestId id)
{
    Pending &pending = pending_.at(id);
    // 1. A transaction stays where it began.
    if (continuesTransaction(pending.statement)) {
        const auto place = transactions_.find(pending.statement.session);
        if (place == transactions_.end())
            return refuse(id, Reason::TransactionEnded, Executed::No,
                          "the owner of the transaction is gone");
        if (place->second.empty())
            return runHere(id, pending);
        if (!sendTo(id, pending, {0, {place->second, 0}}))
            refuse(id, Reason::TransactionEnded, Executed::No,
                   "the owner of the transaction cannot be reached");
        return;
    }
    // 2. Anything else goes to the owner of now.
    const std::optional<OwnerRef> owner = parts_.owners.owner(pending.statement.group);
    if (!owner) {
        parts_.owners.wantOwner(pending.statement.group);
        return waitFor(id, pending);
    }
    pending.epoch = owner->epoch;
    if (owner->process == parts_.self)
        return runHere(id, pending);
    const auto peer = peers_.find(owner->process.address);
    if (peer != peers_.end() && peer->second.silent) {
        parts_.owners.suspectOwner(pending.statement.group, *owner, "silent");
        return waitFor(id, pending);
    }
    if (!sendTo(id, pending, *owner))
        waitFor(id, pending);
}

bool Router::sendTo(inner::RequestId id, Pending &pending, const OwnerRef &owner)
{
    const std::string &address = owner.process.address;
    const Instant now = parts_.timers.now();
    Peer &peer = peers_[address];
    need(peer, now);
    pending.statement.timeLeft = std::max(Duration(0), pending.deadline - now);
    const absl::Status sent = parts_.links.sendTo(address, pending.statement);
    if (absl::IsUnavailable(sent) && !peer.dialled) {
        peer.dialled = true;
        parts_.links.connect(address);
    }
    if (!sent.ok())
        return false;
    ++peer.open;
    pending.address = address;
    pending.sentAt = now;
    ++pending.attempts;
    if (pending.statement.begins != inner::TransactionMode::None)
        transactions_[pending.statement.session] = address;
    static_cast<void>(id);
    return true;
}

void Router::runHere(inner::RequestId id, Pending &pending)
{
    const Instant now = parts_.timers.now();
    pending.sentAt = now;
    ++pending.attempts;
    pending.statement.timeLeft = std::max(Duration(0), pending.deadline - now);
    if (pending.statement.begins != inner::TransactionMode::None)
        transactions_[pending.statement.session] = std::string();
    // Answers may come from within the call, and callers expect them later.
    parts_.local.run(0, pending.statement, [this, id](inner::StatementDone done) {
        done.requestId = id;
        parts_.timers.subscribeAt(parts_.timers.now(),
                                  [this, done = std::move(done)] { onDone(done); });
    });
}

void Router::waitFor(inner::RequestId id, Pending &pending)
{
    pending.address.clear();
    waiting_.push_back(id);
}

void Router::placeWaiting()
{
    std::vector<inner::RequestId> ids;
    ids.swap(waiting_);
    const Instant now = parts_.timers.now();
    for (const inner::RequestId id : ids) {
        const auto found = pending_.find(id);
        if (found == pending_.end())
            continue;
        if (now < found->second.deadline)
            place(id);
        else
            refuse(id, Reason::NoOwner, Executed::No, "no owner answered in time", takeoverTime);
    }
}

void Router::onDone(inner::StatementDone done)
{
    const auto found = pending_.find(done.requestId);
    if (found == pending_.end())
        return;
    Pending &pending = found->second;
    if (!pending.address.empty())
        parts_.near.learn(pending.statement, pending.sentAt, done);
    if (done.reason == Reason::NotOwner && done.executed == Executed::No) {
        leavePeer(pending);
        if (continuesTransaction(pending.statement))
            return refuse(done.requestId, Reason::TransactionEnded, Executed::No,
                          "the owner has given the group up");
        parts_.metrics.countRetry(Reason::NotOwner);
        const GroupName group = pending.statement.group;
        const bool news = done.ownerEpoch > pending.epoch;
        waitFor(done.requestId, pending);
        if (news)
            return parts_.owners.learnOwner(group, {done.ownerEpoch, done.owner});
        return parts_.owners.refreshOwner(group);
    }
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
    leavePeer(pending);
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

void Router::leavePeer(Pending &pending)
{
    if (pending.address.empty())
        return;
    --peers_[pending.address].open;
    pending.address.clear();
}

void Router::onHeard(const std::string &address)
{
    Peer &peer = peers_[address];
    peer.lastHeard = parts_.timers.now();
    if (!peer.silent)
        return;
    peer.silent = false;
    parts_.log.info("owner_heard_again").with("peer", address);
    placeWaiting();
}

void Router::onPeerUp(const std::string &address)
{
    onHeard(address);
    placeWaiting();
}

void Router::onPeerDown(const std::string &address)
{
    // The link that went may be the other end's; ours is gone if nothing can be sent.
    if (!absl::IsUnavailable(parts_.links.sendTo(address, inner::AliveRequest {++askSequence_})))
        return;
    onPeerLost(address, "link_down");
}

void Router::onOwnerChanged(const GroupName &)
{
    placeWaiting();
}

void Router::onPeerLost(const std::string &address, const std::string &why)
{
    std::vector<inner::RequestId> lost;
    for (const auto &[id, pending] : pending_)
        if (pending.address == address)
            lost.push_back(id);
    for (auto place = transactions_.begin(); place != transactions_.end();)
        place = place->second == address ? transactions_.erase(place) : std::next(place);
    for (const inner::RequestId id : lost)
        onAnswerLost(id, why);
}

void Router::onAnswerLost(inner::RequestId id, const std::string &why)
{
    Pending &pending = pending_.at(id);
    const GroupName group = pending.statement.group;
    const OwnerRef owner {pending.epoch, {pending.address, 0}};
    leavePeer(pending);
    parts_.log.info("owner_answer_lost", why)
        .with("id", pending.statement.statementId)
        .with("group", group)
        .with("peer", owner.process.address)
        .with("repeat", mayRepeat(pending.statement));
    if (pending.epoch != 0)
        parts_.owners.suspectOwner(group, owner, why);
    if (mayRepeat(pending.statement) && pending.attempts < maxAttempts) {
        parts_.metrics.countRetry(Reason::OwnerUnreachable);
        return waitFor(id, pending);
    }
    const bool kept =
        !pending.statement.inTransaction || pending.statement.verb == inner::SessionVerb::Commit;
    if (kept && pending.statement.verb != inner::SessionVerb::Read)
        return refuse(id, Reason::Unconfirmed, Executed::Unknown,
                      "the owner was lost with the statement");
    refuse(id, Reason::TransactionEnded, Executed::No, "the owner was lost with the transaction",
           takeoverTime);
}

void Router::tick()
{
    const Instant now = parts_.timers.now();
    const bool paused = now - lastTick_ > ownPause;
    lastTick_ = now;
    std::vector<std::string> watched;
    for (auto &[address, peer] : peers_) {
        if (paused)
            peer.lastHeard = now;
        peer.needed = peer.open > 0 || (peer.needed && !waiting_.empty());
        if (peer.needed)
            watched.push_back(address);
    }
    for (const std::string &address : watched)
        watch(address, peers_[address], now);
    placeWaiting();
    ticking_ = !pending_.empty();
    if (ticking_)
        parts_.timers.subscribeAfter(tickPeriod, [this] { tick(); });
}

void Router::need(Peer &peer, Instant now)
{
    if (!peer.needed && !peer.silent)
        peer.lastHeard = now;
    peer.needed = true;
}

void Router::watch(const std::string &address, Peer &peer, Instant now)
{
    const Duration quiet = now - peer.lastHeard;
    if (quiet >= askAfter && now - peer.lastAsked >= askAfter) {
        peer.lastAsked = now;
        static_cast<void>(parts_.links.sendTo(address, inner::AliveRequest {++askSequence_}));
    }
    if (quiet < silentAfter || peer.silent)
        return;
    peer.silent = true;
    parts_.log.warning("owner_silent").with("peer", address).with("quiet_ms", quiet);
    onPeerLost(address, "silent");
}

} // namespace kelptally::session
