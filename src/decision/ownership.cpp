#include "decision/ownership.h"

#include <algorithm>
#include <utility>

namespace kelptally::decision {

using std::chrono::milliseconds;

namespace {

// Delay before a failed read or write of the row is retried.
constexpr Duration storeRetryDelay = milliseconds(250);
// How often the preferred owner reads the row while it does not own the group.
constexpr Duration pollPeriod = std::chrono::seconds(5);
// How long a process must have been the preferred owner before it creates the row. Prevents the
// first of many starting processes from claiming all groups before it knows the others.
constexpr Duration preferredOwnerDelay = milliseconds(500);
// Delays the claim of an unlisted process, so that listed successors claim first.
constexpr Duration unlistedClaimDelay = milliseconds(600);

} // namespace

Ownership::Ownership(GroupName group, ProcessId self, std::uint64_t seed, OwnershipChecks checks)
    : group_(std::move(group)), self_(std::move(self)), checks_(checks), random_(seed),
      lease_(checks.incarnation)
{
    minLiveIncarnation_[self_.address] = self_.incarnation;
}

// ---- Row ----

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
    // 1. Outcome of the pending write.
    if (change_ && resolveChange(now, row, actions))
        return;

    // 2. A deleted row, or an answer older than the known row.
    const OwnerEpoch previousEpoch = epoch();
    rowAbsent_ = !row;
    if (!row) {
        row_.reset();
        if (owner_)
            stopServing("the ownership row does not exist", actions);
    } else if (row_ && row->row.epoch < row_->row.epoch) {
        return;
    } else {
        adoptRow(now, *row);
    }

    // 3. Start or stop serving.
    const bool named = row_ && isSameProcess(row_->row.owner, self_);
    if (owner_ && !named)
        stopServing("the ownership row names another owner", actions);
    // Another process owned the group in between and handed it back. Lease, term and fence of the
    // old epoch are void.
    else if (owner_ && epoch() != previousEpoch)
        stopServing("ownership was lost and regained", actions);
    if (!owner_ && named)
        becomeOwner(now, std::nullopt, actions);

    // 4. Claim.
    if (!owner_ && !change_ && shouldClaim(now))
        claim(now, actions);
}

// Compares the row read with the pending write. Returns false if another process has changed the
// row, which means that the write has failed for good.
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
        // An earlier attempt may still take effect, so the same write is repeated.
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
    // The new owner's lease counts from the time when it sent its claim, which is before this read.
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
    // A pending claim or hand-over may still succeed and would break the promise.
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

OwnershipActions Ownership::onIncarnation(Instant now, const ProcessId &process)
{
    OwnershipActions actions;
    recordDeath(now, process.address, process.incarnation);
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

// ---- Ticks and settings ----

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
