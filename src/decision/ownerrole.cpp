#include "decision/ownership.h"

#include <algorithm>
#include <utility>

// The owner's side of Ownership: lease, successors and hand-over.
namespace kelptally::decision {

using std::chrono::milliseconds;

namespace {

// A successor that leaves a request unanswered for this long is replaced. The remaining 700 ms of
// the lease are left for the write that removes it from the row.
constexpr Duration silenceTimeout = milliseconds(450);
// How long a process that did not answer is not considered as a successor.
constexpr Duration banPeriod = std::chrono::seconds(3);
// A candidate is listed only if at least this much of its promise remains.
constexpr Duration minRemainingPromise = milliseconds(500);

} // namespace

void Ownership::becomeOwner(Instant now, std::optional<Instant> claimSent,
                            OwnershipActions &actions)
{
    owner_ = true;
    handOverWanted_ = false;
    banned_.clear();
    lease_.clear();
    for (const ProcessId &successor : row_->row.successors)
        lease_.add(successor, claimSent);
    actions.push_back(StartServing {row_->row.epoch, row_->row.term, row_->row.primary});
    sendHeartbeats(now, actions);
}

void Ownership::stopServing(std::string reason, OwnershipActions &actions)
{
    owner_ = false;
    handOverWanted_ = false;
    lease_.clear();
    actions.push_back(StopServing {std::move(reason)});
}

OwnershipActions Ownership::onLeaseAnswer(Instant now, const LeaseAnswer &answer)
{
    OwnershipActions actions;
    recordDeath(now, answer.from.address, answer.from.incarnation);
    if (!owner_)
        return actions;
    if (answer.knownEpoch > epoch())
        requestRead(now, actions);
    if (answer.promised && answer.epoch == epoch())
        lease_.onPromise(answer.from, answer.sequence);
    return actions;
}

void Ownership::sendHeartbeats(Instant now, OwnershipActions &actions)
{
    nextHeartbeat_ = now + heartbeatPeriod;
    const std::uint64_t sequence = ++lastSequence_;
    for (const ProcessId &process : lease_.beginRound(now, sequence))
        actions.push_back(SendLeaseRequest {process, {epoch(), self_, sequence}});
}

Instant Ownership::leaseEnd() const
{
    if (!owner_ || (change_ && change_->kind == ChangeKind::HandOver))
        return Instant::min();
    const Instant end = lease_.end(row_->row.successors);
    // While a write is pending, either list of successors may be in effect.
    return change_ ? std::min(end, lease_.end(change_->row.successors)) : end;
}

bool Ownership::holdsLease(Instant now) const
{
    if (!owner_ || (change_ && change_->kind == ChangeKind::HandOver))
        return false;
    return !checks_.lease || now < leaseEnd();
}

bool Ownership::isSilent(Instant now, const ProcessId &process) const
{
    return isDead(process) || lease_.isSilent(now, process, silenceTimeout);
}

// Removes candidates that do not answer or are not eligible any more.
void Ownership::dropStaleCandidates(Instant now)
{
    for (const ProcessId &process : lease_.processes()) {
        const bool listed = contains(row_->row.successors, process);
        if (listed || (!isSilent(now, process) && isEligible(process)))
            continue;
        lease_.remove(process);
        banned_.push_back({process, now + banPeriod});
    }
    const auto isExpired = [now](const BannedProcess &banned) { return now >= banned.until; };
    banned_.erase(std::remove_if(banned_.begin(), banned_.end(), isExpired), banned_.end());
}

// Adds the best candidates for the free places to the lease, so that heartbeats request their
// promise, and returns those that have given it. A process is listed only with a valid promise.
std::vector<ProcessId> Ownership::readyCandidates(Instant now, const std::vector<ProcessId> &kept)
{
    std::vector<ProcessId> ready;
    std::size_t requested = 0;
    for (const ProcessId &process : successorCandidates_) {
        if (requested == maxSuccessors - kept.size())
            break;
        if (process.address == self_.address || contains(kept, process) || isDead(process)
            || isBanned(now, process) || contains(row_->row.successors, process))
            continue;
        ++requested;
        lease_.add(process, std::nullopt);
        if (now + minRemainingPromise < lease_.end(process))
            ready.push_back(process);
    }
    return ready;
}

void Ownership::updateSuccessors(Instant now, OwnershipActions &actions)
{
    if (change_ || now < nextChange_)
        return;
    dropStaleCandidates(now);

    // 1. Keep successors that answer. Of those no longer eligible, for example as their host
    // leaves, replace one at a time.
    std::vector<ProcessId> next;
    for (const ProcessId &listed : row_->row.successors) {
        if (!isSilent(now, listed))
            next.push_back(listed);
        else if (!isBanned(now, listed))
            banned_.push_back({listed, now + banPeriod});
    }
    const auto ineligible = std::find_if(next.begin(), next.end(),
                                         [this](const ProcessId &p) { return !isEligible(p); });
    std::vector<ProcessId> kept = next;
    if (ineligible != next.end())
        kept.erase(kept.begin() + (ineligible - next.begin()));

    // 2. Fill free places with candidates that have given their promise.
    const std::vector<ProcessId> ready = readyCandidates(now, kept);
    if (!ready.empty()) {
        next = kept;
        next.insert(next.end(), ready.begin(), ready.end());
    }
    if (next == row_->row.successors)
        return;
    OwnershipRow row = row_->row;
    row.successors = std::move(next);
    startChange(now, ChangeKind::Successors, std::move(row), actions);
}

OwnershipActions Ownership::beginHandOver(Instant now)
{
    OwnershipActions actions;
    handOverWanted_ = owner_;
    tryHandOver(now, actions);
    return actions;
}

const char *handOverWaitName(HandOverWait wait)
{
    switch (wait) {
    case HandOverWait::None:
        return "none";
    case HandOverWait::ChangeUnderWay:
        return "change_under_way";
    case HandOverWait::NoEligibleSuccessor:
        return "nobody_fit";
    }
    return "none";
}

HandOverWait Ownership::handOverWait(Instant now) const
{
    const bool isWritten = change_ && change_->kind == ChangeKind::HandOver;
    if (!handOverWanted_ || isWritten)
        return HandOverWait::None;
    if (change_ || now < nextChange_)
        return HandOverWait::ChangeUnderWay;
    return handOverCandidates(now).empty() ? HandOverWait::NoEligibleSuccessor : HandOverWait::None;
}

std::vector<ProcessId> Ownership::handOverCandidates(Instant now) const
{
    std::vector<ProcessId> alive;
    for (const ProcessId &listed : row_->row.successors) {
        if (!isSilent(now, listed) && isEligible(listed))
            alive.push_back(listed);
    }
    for (const ProcessId &process : successorCandidates_) {
        if (process.address != self_.address && !contains(alive, process) && !isDead(process)
            && !contains(row_->row.successors, process))
            alive.push_back(process);
    }
    return alive;
}

void Ownership::tryHandOver(Instant now, OwnershipActions &actions)
{
    if (!handOverWanted_ || change_ || handOverWait(now) != HandOverWait::None)
        return;
    std::vector<ProcessId> alive = handOverCandidates(now);
    OwnershipRow row = row_->row;
    row.epoch += 1;
    row.owner = alive.front();
    alive.erase(alive.begin());
    if (alive.size() > maxSuccessors)
        alive.resize(maxSuccessors);
    row.successors = std::move(alive);
    startChange(now, ChangeKind::HandOver, std::move(row), actions);
}

} // namespace kelptally::decision
