#include "group/ownership.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <functional>
#include <utility>

// Claims: how a process becomes the owner of a group.
namespace kelptally::group {

namespace {

// Upper bound of the time from reading a row to the effect of the claim that follows, also for a
// write without an answer. The previous owner may extend its lease until then. Writes without an
// answer were seen to take effect up to 6 s later.
constexpr Duration maxClaimLatency = std::chrono::seconds(7);
// Longer than a lease and the window of a quota together: all owners before the last start have
// ended, and tokens of that start are not spent in the same window as those of the next.
constexpr Duration quotaStartInterval = std::chrono::seconds(20);
// Delay before a claim is retried whose row could not be read.
constexpr Duration claimRetryDelay = std::chrono::milliseconds(250);
// Lets the hosts of a cold start come up before groups without an owner are claimed.
constexpr Duration coldStartDelay = std::chrono::milliseconds(300);
// Claims that are due within this time are written in one batch.
constexpr Duration claimBatchDelay = std::chrono::milliseconds(20);
// Longer for proactive claims, which nobody waits for, so that a batch holds more of them.
constexpr Duration proactiveBatchDelay = std::chrono::milliseconds(200);
// Hosts with capacity that are told of a suspected owner.
constexpr std::size_t maxHostsTold = 3;
// Minimum interval of these reports for one group; each statement that fails would cause one.
constexpr Duration reportInterval = std::chrono::milliseconds(200);

} // namespace

void OwnershipTable::requestOwner(const GroupName &group)
{
    if (!isReady()) {
        pendingOwnerRequests_.insert(group);
        return;
    }
    if (owner(group))
        return;
    if (ownerEnded_.count(group) != 0)
        return scheduleClaim(group, reasonOwnerRestarted, claimDelay(group));
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
                          + decision::proactiveClaimDelay(claimant(group), groups));
}

void OwnershipTable::reportOwnerUnreachable(const GroupName &group,
                                            const session::OwnerRef &suspect,
                                            const std::string &reason)
{
    const auto now = owner(group);
    if (!now || now->epoch != suspect.epoch || now->process == parts_.self)
        return;
    if (admitQuery(group))
        parts_.queryPeers(group);
    if (reason != reasonLinkDown)
        return claimSuspected(group, suspect, reason);
    // A link may break while the process lives, so check whether the process still listens.
    parts_.probe(now->process.address, [this, group, suspect](bool refused) {
        const auto current = owner(group);
        if (refused && current && current->epoch == suspect.epoch)
            claimSuspected(group, suspect, reasonNothingListens);
    });
}

// Claims the group, after hosts with capacity had the time to do so. The report goes to other
// owners, as this host has links to them.
void OwnershipTable::claimSuspected(const GroupName &group, const session::OwnerRef &suspect,
                                    const std::string &reason)
{
    Entry &entry = entries_[group];
    const Duration preference = decision::capacityPreferenceDelay(parts_.processors);
    const Instant now = parts_.timers.now();
    if (preference > Duration(0) && now >= entry.reportAfter) {
        entry.reportAfter = now + reportInterval;
        entry.isReported = false;
        const std::set<std::string> avoided {suspect.process.address, parts_.self.address};
        for (const std::string &address :
             owners_.choose(parts_.primaryZone(group), maxHostsTold, avoided)) {
            if (!owners_.hasCapacity(address))
                continue;
            inner::TakeOver report {group, suspect.epoch, std::string(), true, true};
            entry.isReported =
                parts_.links.sendTo(address, std::move(report)).ok() || entry.isReported;
        }
        parts_.log.info("owner_reported", reason)
            .with("group", group)
            .with("epoch", suspect.epoch)
            .with("owner", suspect.process.address)
            .with("sent", entry.isReported);
    }
    const Duration delay = claimDelay(group) + (entry.isReported ? preference : Duration(0));
    scheduleClaim(group, reason, delay);
}

// The row was written before the new process began, so its owner has ended. The new process may not
// reach the table service yet.
void OwnershipTable::claimFromRestarted(const ProcessId &process)
{
    const auto found = groupsByOwner_.find(process.address);
    if (found == groupsByOwner_.end())
        return;
    const std::set<GroupName> groups = found->second;
    scannedEntries_.Increment(double(groups.size()));
    for (const GroupName &group : groups) {
        const Entry &entry = entries_[group];
        const Incarnation known = entry.record.owner.incarnation;
        // The incarnation is unknown if another process has reported the owner.
        const bool hasEnded = known != 0 && known != process.incarnation;
        if (!hasEnded || !ownerEnded_.insert(group).second)
            continue;
        parts_.log.info("owner_ended", reasonOwnerRestarted)
            .with("group", group)
            .with("epoch", entry.record.epoch)
            .with("owner", process.address);
        scheduleClaim(group, reasonOwnerRestarted, claimDelay(group));
        events_.onOwnerChanged(group);
    }
}

void OwnershipTable::onOwnerSuspected(const GroupName &group, OwnerEpoch epoch)
{
    const auto current = owner(group);
    if (!current || current->epoch != epoch || current->process == parts_.self)
        return;
    scheduleClaim(group, reasonReported, claimDelay(group));
}

decision::Claimant OwnershipTable::claimant(const GroupName &group) const
{
    constexpr std::size_t steps = 64;
    const std::size_t hash = std::hash<std::string>()(group + "/" + parts_.self.address);
    decision::Claimant claimant;
    claimant.jitter = static_cast<double>(hash % steps) / static_cast<double>(steps);
    claimant.inPrimaryZone = parts_.primaryZone(group) == parts_.zone;
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
    // Ignore suspicions from a store outage, in which owners may have been unreachable, too.
    const bool isProven = reason == reasonRequested || reason == reasonRestarted
        || reason == reasonOwnerRestarted || reason == reasonUnowned || reason == reasonProactive
        || reason == reasonNothingListens;
    // Hosts without capacity wait longer, as the first of many claims wins when the store is back.
    const Duration preference =
        entry.isReported ? decision::capacityPreferenceDelay(parts_.processors) : Duration(0);
    const Instant suspectAfter = std::max(suspectAfter_, storeRecoveredAt_ + preference);
    if (!isProven && parts_.timers.now() < suspectAfter) {
        entry.claimAfter = suspectAfter;
        return;
    }
    // During an outage of the store a claim can't succeed, and if it takes effect late, it takes
    // the group from an owner that serves. In six seconds without the store 187 hosts made 2,497
    // such claims.
    if (parts_.isStoreUnavailable()) {
        entry.claimAfter = parts_.timers.now() + claimRetryDelay;
        return retryClaim(group, reason);
    }
    entry.writing = true;
    // These reasons arise for many groups at once: at a start, or when the store rejects an owner.
    const bool mayBatch = reason == reasonUnowned || reason == reasonProactive
        || reason == reasonRestarted || reason == reasonOwnerRestarted || reason == reasonRequested;
    if (mayBatch && knownVersion_ && (!entry.known || !entry.etag.empty()))
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
        // A row that can't be decoded is not overwritten, as its epoch must not decrease.
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

// Gathers claims, so that a batch takes one read and one write. The store executes the writes to a
// table one after the other: single claims of 1,000 groups, when all hosts came back at once, took
// it seconds.
void OwnershipTable::addToClaimBatch(const Claim &claim)
{
    const bool isProactive = claim.reason == reasonProactive;
    std::vector<Claim> &batch = isProactive ? proactiveClaimBatch_ : claimBatch_;
    batch.push_back(claim);
    if (batch.size() > 1)
        return;
    parts_.timers.subscribeAfter(
        isProactive ? proactiveBatchDelay : claimBatchDelay, [this, &batch] {
            std::vector<Claim> claims;
            claims.swap(batch);
            if (claims.size() == 1)
                return claimSingle(claims[0].group, claims[0].seen, claims[0].reason);
            queryChanges([this, claims = std::move(claims)](const ChangeQueryResult &result) {
                claimBatch(claims, result);
            });
        });
}

void OwnershipTable::claimBatch(const std::vector<Claim> &claims, const ChangeQueryResult &result)
{
    std::vector<RowChangePtr> changes;
    for (const Claim &claim : claims) {
        Entry &entry = entries_[claim.group];
        if (!result.status.ok()) {
            onClaimReadFailed(claim.group, claim.reason, result.status);
            continue;
        }
        const bool isTaken =
            entry.record.epoch != claim.seen || result.unreadable.count(claim.group) != 0;
        if (isTaken || !claiming_) {
            entry.writing = false;
            continue;
        }
        changes.push_back(prepareClaim(claim.group, result.serviceTime, claim.reason));
        changes.back()->batchedClaim = claim;
        if (changes.size() == maxRowsPerWrite)
            sendBatch(std::exchange(changes, {}));
    }
    sendBatch(std::move(changes));
}

// A batch was rejected as another host had changed one of its rows. Claims are retried in batches
// after the next read and finally sent one by one, other changes at once.
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

// Retries claims that nothing else triggers again.
void OwnershipTable::retryClaim(const GroupName &group, const std::string &reason)
{
    const bool isUnowned = reason == reasonUnowned || reason == reasonProactive
        || reason == reasonRestarted || reason == reasonOwnerRestarted;
    if (isUnowned)
        parts_.timers.subscribeAfter(claimRetryDelay, [this, group] { requestOwner(group); });
}

// Prepares a claim that replaces the known row, which was read at serviceTime.
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
    record.hasCapacity = decision::hasCapacity(parts_.processors, 0);
    const bool mayStartQuotas = previous.quotasStartedAt == Duration(0)
        || serviceTime - previous.quotasStartedAt >= quotaStartInterval;
    if (mayStartQuotas)
        record.quotasStartedAt = serviceTime;
    const bool isOwnEarlierRun = previous.owner.address == parts_.self.address;
    if (!previous.owner.address.empty() && !isOwnEarlierRun) {
        const bool isGuarded = previous.guardedUntil > serviceTime;
        const std::vector<decision::EarlierOwner> unnamed(1);
        const auto &listed = previous.earlier.empty() ? unnamed : previous.earlier;
        setEarlierOwners(record, isGuarded ? listed : std::vector<decision::EarlierOwner>(),
                         {previous.owner, previous.epoch}, serviceTime + maxClaimLatency);
    }
    entries_[group].claimedOnRequest = reason == reasonRequested;
    entries_[group].claimedEpoch = record.epoch;
    entries_[group].claimedFrom = previous;
    entries_[group].claimedAt = serviceTime;
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
