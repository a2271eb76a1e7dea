#include "group/ownership.h"

#include <functional>
#include <utility>

// Who becomes the owner of a group.
namespace kelptally::group {

namespace {

// From the reading of a row to the effect of the write that follows it. Writes without an answer
// were seen to take effect up to 6 s later, and the owner before finds its row unchanged, and its
// lease made longer, until then.
constexpr Duration maxClaimLatency = std::chrono::seconds(7);
// A claim that the store did not even let read its row is tried again after this pause.
constexpr Duration claimRetryDelay = std::chrono::milliseconds(250);
// At a cold start hosts come up within some hundred ms of each other.
constexpr Duration coldStartDelay = std::chrono::milliseconds(300);
// Claims that come within this time are made together, so many rows in one write.
constexpr Duration claimBatchDelay = std::chrono::milliseconds(20);
// Nobody waits for those that are ahead of need: each look and each write serves more of them.
constexpr Duration proactiveBatchDelay = std::chrono::milliseconds(200);

} // namespace

void OwnershipTable::wantOwner(const GroupName &group)
{
    if (!isReady()) {
        wantedGroups_.insert(group);
        return;
    }
    if (!owner(group))
        scheduleClaim(group, reasonUnowned, coldStartDelay + 2 * claimDelay(group));
}

void OwnershipTable::claimProactively(const GroupName &group, std::size_t groups)
{
    if (!isReady()) {
        pendingProactiveClaims_[group] = groups;
        return;
    }
    if (!owner(group))
        scheduleClaim(group, reasonProactive,
                      coldStartDelay + 2 * claimDelay(group)
                          + decision::claimAhead(claimant(group), groups));
}

void OwnershipTable::suspectOwner(const GroupName &group, const session::OwnerRef &suspect,
                                  const std::string &reason)
{
    const auto now = owner(group);
    if (!now || now->epoch != suspect.epoch || now->process == parts_.self)
        return;
    if (admitQuery(group))
        parts_.queryPeers(group);
    if (reason != reasonLinkDown)
        return scheduleClaim(group, reason, claimDelay(group));
    // A link may end while its processes live; nothing listens where the process has ended.
    parts_.probe(now->process.address, [this, group, epoch = suspect.epoch](bool refused) {
        const auto current = owner(group);
        if (refused && current && current->epoch == epoch)
            scheduleClaim(group, reasonNothingListens, claimDelay(group));
    });
}

decision::Claimant OwnershipTable::claimant(const GroupName &group) const
{
    constexpr std::size_t steps = 64;
    const std::size_t hash = std::hash<std::string>()(group + "/" + parts_.self.address);
    decision::Claimant claimant;
    claimant.draw = static_cast<double>(hash % steps) / static_cast<double>(steps);
    claimant.nearPrimary = parts_.primaryZone(group) == parts_.zone;
    claimant.owned = owned().size();
    claimant.processors = parts_.processors;
    return claimant;
}

Duration OwnershipTable::claimDelay(const GroupName &group) const
{
    return decision::claimDelay(claimant(group));
}

void OwnershipTable::scheduleClaim(const GroupName &group, const std::string &reason,
                                   Duration delay)
{
    Entry &entry = entries_[group];
    if (!claiming_ || entry.claimPlanned || entry.writing || parts_.timers.now() < entry.claimAfter)
        return;
    entry.claimPlanned = true;
    const OwnerEpoch seen = entry.record.epoch;
    parts_.timers.subscribeAfter(delay, [this, group, seen, reason] {
        entries_[group].claimPlanned = false;
        claim(group, seen, reason);
    });
}

void OwnershipTable::claim(const GroupName &group, OwnerEpoch seen, const std::string &reason)
{
    Entry &entry = entries_[group];
    if (!claiming_ || entry.writing || entry.record.epoch != seen)
        return;
    // Planned before the service came back.
    const bool isProven = reason == reasonRequested || reason == reasonRestarted
        || reason == reasonUnowned || reason == reasonProactive || reason == reasonNothingListens;
    if (!isProven && parts_.timers.now() < suspectAfter_) {
        entry.claimAfter = suspectAfter_;
        return;
    }
    // A claim that can't succeed costs a call, and made late it takes the group from whoever
    // serves: 2,497 were made by 187 hosts in six seconds without the store.
    if (parts_.isStoreUnavailable()) {
        entry.claimAfter = parts_.timers.now() + claimRetryDelay;
        return retryClaim(group, reason);
    }
    entry.writing = true;
    // Of many groups at one moment: at a start, and from an owner that the store turns away.
    const bool mayGather = reason == reasonUnowned || reason == reasonProactive
        || reason == reasonRestarted || reason == reasonRequested;
    if (mayGather && knownVersion_ && (!entry.known || !entry.etag.empty()))
        return addToClaimBatch({group, seen, reason});
    claimSingle(group, seen, reason);
}

void OwnershipTable::claimSingle(const GroupName &group, OwnerEpoch seen, const std::string &reason)
{
    const Instant sent = parts_.timers.now();
    parts_.table.read(table, group, [this, group, seen, reason, sent](auto row) {
        Entry &entry = entries_[group];
        if (row.ok() && *row)
            noteServiceTime(**row, sent);
        if (!row.ok())
            return onClaimReadFailed(group, reason, row.status());
        // Over a row that can't be read nothing is claimed: its epoch must not go back.
        const bool isReadable = !*row || applyRow(**row);
        if (!isReadable || entry.record.epoch != seen) {
            entry.writing = false;
            return;
        }
        const Duration serviceTime =
            *row && (*row)->serviceTime ? *(*row)->serviceTime : Duration(0);
        entry.etag = *row ? (*row)->etag : std::string();
        send(prepareClaim(group, serviceTime, reason));
    });
}

// Claims that come at one moment are made with one look at the table and one write. When all hosts
// had come back at once, a read and a write for each of 1,000 groups took the store seconds, as it
// does one write to the table after the other.
void OwnershipTable::addToClaimBatch(const Claim &claim)
{
    const bool isAhead = claim.reason == reasonProactive;
    std::vector<Claim> &batch = isAhead ? proactiveClaimBatch_ : claimBatch_;
    batch.push_back(claim);
    if (batch.size() > 1)
        return;
    parts_.timers.subscribeAfter(isAhead ? proactiveBatchDelay : claimBatchDelay, [this, &batch] {
        std::vector<Claim> claims;
        claims.swap(batch);
        if (claims.size() == 1)
            return claimSingle(claims[0].group, claims[0].seen, claims[0].reason);
        queryChanges([this, claims = std::move(claims)](const ChangeQueryResult &seen) {
            claimBatch(claims, seen);
        });
    });
}

void OwnershipTable::claimBatch(const std::vector<Claim> &claims, const ChangeQueryResult &seen)
{
    std::vector<RowChangePtr> changes;
    for (const Claim &claim : claims) {
        Entry &entry = entries_[claim.group];
        if (!seen.status.ok()) {
            onClaimReadFailed(claim.group, claim.reason, seen.status);
            continue;
        }
        const bool isTaken =
            entry.record.epoch != claim.seen || seen.unreadable.count(claim.group) != 0;
        if (isTaken || !claiming_) {
            entry.writing = false;
            continue;
        }
        changes.push_back(prepareClaim(claim.group, seen.serviceTime, claim.reason));
        changes.back()->batchedClaim = claim;
        if (changes.size() == maxRowsPerWrite)
            sendBatch(std::exchange(changes, {}));
    }
    sendBatch(std::move(changes));
}

// Another host has changed one of the rows. Of claims, what is left after the next look is made
// again, and at last one by one.
void OwnershipTable::onBatchConflict(const std::vector<RowChangePtr> &changes)
{
    for (const RowChangePtr &change : changes) {
        Claim claim = change->batchedClaim;
        if (!claim.group.empty() && --claim.triesLeft > 0)
            addToClaimBatch(claim);
        else
            send(change);
    }
}

void OwnershipTable::onClaimReadFailed(const GroupName &group, const std::string &reason,
                                       const absl::Status &status)
{
    Entry &entry = entries_[group];
    entry.writing = false;
    entry.claimAfter = parts_.timers.now() + claimRetryDelay;
    parts_.log.warning("claim_unread").with("group", group).with("cause", status.message());
    retryClaim(group, reason);
}

// Whoever wanted an owner for a group without one does not ask again, nor does the row of an
// earlier run come again.
void OwnershipTable::retryClaim(const GroupName &group, const std::string &reason)
{
    if (reason == reasonUnowned || reason == reasonProactive || reason == reasonRestarted)
        parts_.timers.subscribeAfter(claimRetryDelay, [this, group] { wantOwner(group); });
}

// Over the row as it is known; the service's time is that of its reading.
OwnershipTable::RowChangePtr OwnershipTable::prepareClaim(const GroupName &group,
                                                          Duration serviceTime,
                                                          const std::string &reason)
{
    const Entry &entry = entries_[group];
    const OwnershipRecord previous = entry.record;
    OwnershipRecord record = previous;
    record.epoch = previous.epoch + 1;
    record.owner = parts_.self;
    record.zone = parts_.zone;
    record.hasRoom = decision::hasRoom(parts_.processors, 0);
    const bool isOwnEarlierRun = previous.owner.address == parts_.self.address;
    if (!previous.owner.address.empty() && !isOwnEarlierRun) {
        const bool isGuarded = previous.guardedUntil > serviceTime;
        const std::vector<decision::EarlierOwner> unnamed(1);
        const auto &listed = previous.earlier.empty() ? unnamed : previous.earlier;
        setEarlierOwners(record, isGuarded ? listed : std::vector<decision::EarlierOwner>(),
                         {previous.owner, previous.epoch}, serviceTime + maxClaimLatency);
    }
    entries_[group].claimedOnRequest = reason == reasonRequested;
    parts_.log.info("claim", reason)
        .with("group", group)
        .with("epoch", record.epoch)
        .with("from", previous.owner.address);
    return prepareWrite(group, record, entry.etag, !entry.etag.empty(),
                        [this, group, record, previous, serviceTime, reason](absl::Status written) {
                            Entry &entry = entries_[group];
                            if (!written.ok()) {
                                parts_.log.info("claim_failed")
                                    .with("group", group)
                                    .with("cause", written.message());
                                if (!absl::IsFailedPrecondition(written))
                                    retryClaim(group, reason);
                                return;
                            }
                            if (entry.record.epoch <= record.epoch && !owns(group)) {
                                setRecord(group, entry, record);
                                acquire(group, record, entry.etag, previous, serviceTime);
                                events_.onOwnerChanged(group);
                            }
                        });
}

} // namespace kelptally::group
