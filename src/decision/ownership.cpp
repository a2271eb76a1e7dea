#include "decision/ownership.h"

#include <algorithm>
#include <utility>

namespace kelptally::decision {

using std::chrono::milliseconds;

namespace {

// Pause after a read or write of the row that failed.
constexpr Duration storeRetryDelay = milliseconds(250);
// A process that should own the group but does not looks at the row this often.
constexpr Duration pollPeriod = std::chrono::seconds(5);
// A group without a row is claimed by a process that has been wanted for so long: at a start of
// many the first would else take all groups before it has heard the others.
constexpr Duration preferredOwnerDelay = milliseconds(500);
// Listed successors go before a process that is not listed.
constexpr Duration unlistedClaimDelay = milliseconds(600);

} // namespace

Ownership::Ownership(GroupName group, ProcessId self, std::uint64_t seed, OwnershipChecks checks)
    : group_(std::move(group)), self_(std::move(self)), checks_(checks), random_(seed),
      lease_(checks.incarnation)
{
    minLiveIncarnation_[self_.address] = self_.incarnation;
}

// ---- The row ----

OwnershipActions Ownership::onRow(Instant now, const std::optional<TaggedRow> &row)
{
    OwnershipActions actions;
    reading_ = false;
    nextPoll_ = now + pollPeriod;
    if (std::exchange(staleRead_, false))
        return actions;
    needRead_ = false;
    if (now >= mayClaimFrom_)
        promised_ = false;
    processRow(now, row, actions);
    if (std::exchange(readAgain_, false))
        requestRead(now, actions);
    return actions;
}

OwnershipActions Ownership::onRowReadFailed(Instant now)
{
    reading_ = false;
    staleRead_ = false;
    nextRead_ = now + storeRetryDelay;
    return {};
}

void Ownership::requestRead(Instant now, OwnershipActions &actions)
{
    needRead_ = true;
    if (reading_) {
        readAgain_ = true;
        return;
    }
    reading_ = true;
    nextRead_ = now + storeRetryDelay;
    actions.push_back(ReadRow {});
}

void Ownership::processRow(Instant now, const std::optional<TaggedRow> &row,
                           OwnershipActions &actions)
{
    // 1. The outcome of a write of our own.
    if (change_ && resolveChange(now, row, actions))
        return;

    // 2. A row that was taken away, or an answer older than what is known.
    const OwnerEpoch previousEpoch = epoch();
    rowAbsent_ = !row;
    if (!row) {
        row_.reset();
        if (owner_)
            stopServing("the row is gone", actions);
    } else if (row_ && row->row.epoch < row_->row.epoch) {
        return;
    } else {
        adoptRow(now, *row);
    }

    // 3. Who owns the group now.
    const bool named = row_ && isSameProcess(row_->row.owner, self_);
    if (owner_ && !named)
        stopServing("another owner is in the row", actions);
    // Somebody owned it in between and gave it back, unseen here. Leases, terms and the fence of
    // the old epoch count for nothing any more.
    else if (owner_ && epoch() != previousEpoch)
        stopServing("it was lost and is back", actions);
    if (!owner_ && named)
        becomeOwner(now, std::nullopt, actions);

    // 4. Whether to claim it.
    if (!owner_ && !change_ && shouldClaim(now))
        claim(now, actions);
}

// True when the row read says no more than that our write has not landed yet, or that it has.
bool Ownership::resolveChange(Instant now, const std::optional<TaggedRow> &row,
                              OwnershipActions &actions)
{
    if (row && row->row.changeId == change_->row.changeId) {
        finishChange(now, row->etag, actions);
        return true;
    }
    const bool unchanged =
        row ? change_->expectedEtag == row->etag : !change_->expectedEtag.has_value();
    if (unchanged) {
        // It may still land: only the same write again can tell.
        if (!change_->inFlight && now >= change_->lastSent + storeRetryDelay)
            sendChange(now, actions);
        return true;
    }
    change_.reset();
    nextChange_ = now;
    return false;
}

void Ownership::adoptRow(Instant now, const TaggedRow &row)
{
    // A new epoch was not there when its claim was sent, so counting from here is on the safe side
    // of the new owner's lease, which counts from the claim.
    if (!row_ || row.row.epoch > row_->row.epoch)
        mayClaimFrom_ = std::max(mayClaimFrom_, now + Lease::promiseDuration);
    const bool newOwner = !row_ || row_->row.owner != row.row.owner;
    row_ = row;
    rowAbsent_ = false;
    highestEpoch_ = std::max(highestEpoch_, row.row.epoch);
    if (newOwner)
        ownerDeadSince_.reset();
    if (isDead(row.row.owner) && !ownerDeadSince_)
        ownerDeadSince_ = now;
    if (owner_)
        trackListedSuccessors();
}

void Ownership::startChange(Instant now, ChangeKind kind, OwnershipRow row,
                            OwnershipActions &actions)
{
    row.term = std::max(row.term, term_);
    if (term_ != 0 && row.term == term_)
        row.primary = primary_;
    row.changeId = self_.address + "/" + std::to_string(random_());
    change_ = Change();
    change_->kind = kind;
    change_->row = std::move(row);
    if (row_)
        change_->expectedEtag = row_->etag;
    change_->firstSent = now;
    sendChange(now, actions);
}

void Ownership::sendChange(Instant now, OwnershipActions &actions)
{
    change_->inFlight = true;
    change_->lastSent = now;
    actions.push_back(WriteRow {change_->row, change_->expectedEtag});
}

OwnershipActions Ownership::onWriteOutcome(Instant now, const std::string &changeId,
                                           WriteOutcome outcome, const std::string &etag)
{
    OwnershipActions actions;
    if (!change_ || change_->row.changeId != changeId)
        return actions;
    change_->inFlight = false;
    switch (outcome) {
    case WriteOutcome::Done:
        finishChange(now, etag, actions);
        break;
    case WriteOutcome::NotSent:
        if (!change_->maybeSent) {
            change_.reset();
            nextChange_ = now + storeRetryDelay;
        }
        nextRead_ = now + storeRetryDelay;
        break;
    case WriteOutcome::Conflict:
    case WriteOutcome::Unknown:
        change_->maybeSent = true;
        requestRead(now, actions);
        break;
    }
    return actions;
}

void Ownership::finishChange(Instant now, const std::string &etag, OwnershipActions &actions)
{
    const Change change = std::move(*change_);
    change_.reset();
    nextChange_ = now;
    staleRead_ = reading_;
    adoptRow(now, {change.row, etag});
    switch (change.kind) {
    case ChangeKind::Claim:
        becomeOwner(now, change.firstSent, actions);
        break;
    case ChangeKind::Successors:
        break;
    case ChangeKind::HandOver:
        stopServing("handed over", actions);
        actions.push_back(SendHandOver {change.row.owner, change.row.epoch});
        break;
    }
}

// ---- Successors and claims ----

std::optional<LeaseAnswer> Ownership::onLeaseRequest(Instant now, const LeaseRequest &request,
                                                     OwnershipActions &actions)
{
    const OwnerEpoch known = std::max(epoch(), promisedEpoch_);
    if (request.epoch > epoch())
        requestRead(now, actions);
    // A claim or a hand-over whose outcome is open could make a promise a lie.
    if (change_ || (owner_ && request.epoch >= epoch()))
        return std::nullopt;

    LeaseAnswer answer {self_, request.epoch, request.sequence, false, known};
    const bool wrongOwner =
        row_ && request.epoch == epoch() && !isSameProcess(request.owner, row_->row.owner);
    if (request.epoch < known || wrongOwner || isDead(request.owner))
        return answer;

    mayClaimFrom_ = std::max(mayClaimFrom_, now + Lease::promiseDuration);
    promisedEpoch_ = request.epoch;
    promised_ = true;
    answer.promised = true;
    return answer;
}

bool Ownership::shouldClaim(Instant now) const
{
    if (!row_)
        return rowAbsent_ && preferredSince_ && now >= *preferredSince_ + preferredOwnerDelay;
    if (!isDead(row_->row.owner))
        return isListed() && now >= mayClaimFrom_;
    if (isListed() || row_->row.owner.address == self_.address)
        return true;
    if (!isPreferredOwner_)
        return false;
    const auto &listed = row_->row.successors;
    const bool othersFirst = std::any_of(listed.begin(), listed.end(),
                                         [this](const ProcessId &p) { return isEligible(p); });
    return !othersFirst || now >= ownerDeadSince_.value_or(now) + unlistedClaimDelay;
}

void Ownership::claim(Instant now, OwnershipActions &actions)
{
    OwnershipRow next;
    const ProcessId oldOwner = row_ ? row_->row.owner : ProcessId {};
    if (row_)
        next = row_->row;
    next.epoch = std::max(epoch(), highestEpoch_) + 1;
    next.owner = self_;
    next.successors.clear();
    const auto add = [&](const ProcessId &process) {
        if (next.successors.size() < maxSuccessors && process.address != self_.address
            && process != oldOwner && isEligible(process) && !contains(next.successors, process))
            next.successors.push_back(process);
    };
    if (row_)
        std::for_each(row_->row.successors.begin(), row_->row.successors.end(), add);
    std::for_each(successorCandidates_.begin(), successorCandidates_.end(), add);
    startChange(now, ChangeKind::Claim, std::move(next), actions);
}

OwnershipActions Ownership::onIncarnation(Instant now, const ProcessId &heard)
{
    OwnershipActions actions;
    recordDeath(now, heard.address, heard.incarnation);
    if (!owner_ && !change_ && row_ && shouldClaim(now) && !reading_)
        requestRead(now, actions);
    return actions;
}

OwnershipActions Ownership::onProcessGone(Instant now, const ProcessId &process)
{
    return onIncarnation(now, {process.address, process.incarnation + 1});
}

void Ownership::recordDeath(Instant now, const std::string &address, Incarnation below)
{
    Incarnation &bound = minLiveIncarnation_[address];
    if (below <= bound)
        return;
    bound = below;
    if (row_ && isDead(row_->row.owner) && !ownerDeadSince_)
        ownerDeadSince_ = now;
    lease_.markDead(now, [this](const ProcessId &process) { return isDead(process); });
}

OwnershipActions Ownership::refresh(Instant now)
{
    OwnershipActions actions;
    requestRead(now, actions);
    return actions;
}

OwnershipActions Ownership::onHandOver(Instant now, OwnerEpoch newEpoch)
{
    OwnershipActions actions;
    if (newEpoch > epoch())
        requestRead(now, actions);
    return actions;
}

// ---- Time and settings ----

OwnershipActions Ownership::onTick(Instant now)
{
    OwnershipActions actions;
    if (!isPreferredOwner_)
        preferredSince_.reset();
    else if (!preferredSince_)
        preferredSince_ = now;
    const bool mayRead = !reading_ && now >= nextRead_;
    if (needRead_ && mayRead) {
        requestRead(now, actions);
    } else if (change_) {
        if (!change_->inFlight && mayRead)
            requestRead(now, actions);
    } else if (!owner_) {
        const bool poll = isPreferredOwner_ && now >= nextPoll_;
        const bool ended = promised_ && now >= mayClaimFrom_;
        if (mayRead && (poll || ended || shouldClaim(now)))
            requestRead(now, actions);
    }
    if (owner_) {
        tryHandOver(now, actions);
        updateSuccessors(now, actions);
        if (now >= nextHeartbeat_)
            sendHeartbeats(now, actions);
    }
    return actions;
}

void Ownership::setSuccessorCandidates(SuccessorCandidates candidates)
{
    successorCandidates_ = std::move(candidates);
}

void Ownership::setPreferredOwner(bool isPreferred)
{
    if (isPreferred && !isPreferredOwner_)
        nextPoll_ = Instant {};
    isPreferredOwner_ = isPreferred;
}

void Ownership::setPrimary(Term term, const ServerName &primary)
{
    term_ = term;
    primary_ = primary;
}

OwnershipRole Ownership::role() const
{
    if (owner_)
        return OwnershipRole::Owner;
    return isListed() ? OwnershipRole::Successor : OwnershipRole::Unlisted;
}

OwnerEpoch Ownership::epoch() const
{
    return row_ ? row_->row.epoch : 0;
}

// ---- Helpers ----

bool Ownership::isSameProcess(const ProcessId &a, const ProcessId &b) const
{
    return checks_.incarnation ? a == b : a.address == b.address;
}

bool Ownership::contains(const std::vector<ProcessId> &list, const ProcessId &process) const
{
    return std::any_of(list.begin(), list.end(),
                       [&](const ProcessId &p) { return isSameProcess(p, process); });
}

bool Ownership::isDead(const ProcessId &process) const
{
    const auto bound = minLiveIncarnation_.find(process.address);
    return bound != minLiveIncarnation_.end() && process.incarnation < bound->second;
}

bool Ownership::isListed() const
{
    return row_ && contains(row_->row.successors, self_);
}

bool Ownership::isEligible(const ProcessId &process) const
{
    return !isDead(process)
        && std::find(successorCandidates_.begin(), successorCandidates_.end(), process)
        != successorCandidates_.end();
}

bool Ownership::isBanned(Instant now, const ProcessId &process) const
{
    return std::any_of(banned_.begin(), banned_.end(), [&](const BannedProcess &banned) {
        return banned.process == process && now < banned.until;
    });
}

void Ownership::trackListedSuccessors()
{
    lease_.keepOnly(row_->row.successors);
    for (const ProcessId &listed : row_->row.successors)
        lease_.add(listed, std::nullopt);
}

} // namespace kelptally::decision
