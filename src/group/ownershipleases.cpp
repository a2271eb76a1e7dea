#include "group/ownership.h"

#include "decision/claimorder.h"

#include <prometheus/counter.h>

#include <functional>
#include <utility>

// Leases, the proof that earlier owners have ended, and requests to other processes to take over a
// group.
namespace kelptally::group {

namespace {

constexpr Duration predecessorQueryInterval = std::chrono::milliseconds(200);
// After a store outage of this length, owners have linkRecoveryTime to reconnect before they may be
// suspected. Links were renewed within 0.2 s of the store's return.
constexpr Duration longStoreOutage = std::chrono::seconds(1);
constexpr Duration linkRecoveryTime = std::chrono::milliseconds(600);
// Minimum time between two offers of a group to hosts with capacity.
constexpr Duration offerInterval = std::chrono::seconds(10);
// Minimum time between two requests to take over a group.
constexpr Duration takeOverRequestInterval = std::chrono::milliseconds(500);
// Rows whose guard time can be cleared within this time are written in one batch.
constexpr Duration guardBatchDelay = std::chrono::milliseconds(20);
// When less than 1/lowLeaseDivisor of the lease is left, others are asked to take over the group
// while this process still serves it: the store may be rejecting this process only.
constexpr int lowLeaseDivisor = 3;

} // namespace

// Take-over requests

void OwnershipTable::requestTakeOver(const GroupName &group, const std::string &requiredEndpoint,
                                     const std::string &reason, bool needsCapacity)
{
    Entry &entry = entries_[group];
    const Instant now = parts_.timers.now();
    // A group that was taken over on request is not passed on for the same reason.
    const bool isForwarded = !requiredEndpoint.empty() && entry.claimedOnRequest;
    if (!owns(group) || now < entry.requestTakeOverAfter || isForwarded)
        return;
    entry.requestTakeOverAfter = now + takeOverRequestInterval;
    parts_.log.warning("take_over_asked", reason)
        .with("group", group)
        .with("epoch", entry.record.epoch)
        .with("lease_left_ms", leaseLeft(group))
        .with("reach", requiredEndpoint);
    parts_.broadcastTakeOver({group, entry.record.epoch, requiredEndpoint, needsCapacity});
}

void OwnershipTable::onTakeOverRequested(const GroupName &group, OwnerEpoch epoch)
{
    const Entry &entry = entries_[group];
    if (owns(group) || entry.record.epoch > epoch)
        return;
    // Read the newer row first; the owner repeats its request.
    if (entry.record.epoch < epoch)
        return refreshOwner(group);
    scheduleClaim(group, reasonRequested, claimDelay(group));
}

bool OwnershipTable::hasCapacity() const
{
    return decision::hasCapacity(parts_.processors, owned().size());
}

// Offers one group to hosts with capacity if this host has none. Only hosts without capacity offer
// and only hosts with capacity accept, so no group moves back and forth. A group in the middle of a
// failover is not offered.
void OwnershipTable::offerGroupIfNoCapacity()
{
    if (!claiming_ || decision::hasCapacity(parts_.processors, 0))
        return;
    const Instant now = parts_.timers.now();
    for (const GroupName &group : owned_) {
        Entry &entry = entries_[group];
        const bool isStable = entry.record.candidate.empty() && !entry.writing && hasLease(group)
            && isSoleOwner(group);
        if (!isStable || now - entry.offeredAt < offerInterval)
            continue;
        entry.offeredAt = now;
        return requestTakeOver(group, std::string(), "no_room", true);
    }
}

// Leases

// A host that was cut off from the store was probably cut off from owners, too. Their links need a
// moment to reconnect; claims made earlier would take groups from healthy owners. Claims made at
// once took 11 of 20 groups.
void OwnershipTable::onStoreRecovered(Duration outage)
{
    storeRecoveredAt_ = parts_.timers.now();
    if (outage >= longStoreOutage)
        suspectAfter_ = parts_.timers.now() + linkRecoveryTime;
    // Claims made during the outage were postponed.
    for (const GroupName &group : ownerEnded_) {
        entries_[group].claimAfter = Instant();
        scheduleClaim(group, reasonOwnerRestarted, claimDelay(group));
    }
    // Don't wait for a query from before the outage; a new one extends the leases further.
    renewing_ = false;
    renewLeases();
}

void OwnershipTable::renewLeases()
{
    offerGroupIfNoCapacity();
    const std::set<GroupName> groups = owned_;
    for (const GroupName &group : groups)
        if (leaseLeft(group) < leaseDuration / lowLeaseDivisor)
            requestTakeOver(group, std::string(), "lease_runs_out");
    if (groups.size() > 1 && knownVersion_)
        return renewLeasesBatched();
    for (const GroupName &group : groups)
        renewLease(group);
}

// Renews all leases with a single query for changed rows, whatever the number of owned groups. With
// a query for each group, 1,000 groups took 400 calls a second.
void OwnershipTable::renewLeasesBatched()
{
    if (std::exchange(renewing_, true))
        return;
    std::map<GroupName, OwnerEpoch> held;
    for (const GroupName &group : owned_)
        held[group] = entries_[group].record.epoch;
    queryChanges([this, held = std::move(held)](const ChangeQueryResult &result) {
        renewing_ = false;
        if (!result.status.ok())
            parts_.log.info("leases_unread")
                .with("groups", std::uint64_t(held.size()))
                .with("cause", result.status.message());
        for (const auto &[group, epoch] : held) {
            if (result.unreadable.count(group) != 0)
                continue;
            if (absl::IsOutOfRange(result.status))
                renewLease(group);
            if (!result.status.ok() || !owns(group) || entries_[group].record.epoch != epoch)
                continue;
            const auto changed = result.changed.find(group);
            extendLease(group, result.sent,
                        changed == result.changed.end() ? std::string() : changed->second);
        }
    });
}

// Extends the lease after a read sent at that time found this owner in the row. The tag is the
// row's new etag, empty if the row has not changed.
void OwnershipTable::extendLease(const GroupName &group, Instant sent, const std::string &tag)
{
    Entry &entry = entries_[group];
    if (!entry.handingOver)
        entry.leaseUntil = std::max(entry.leaseUntil, sent + leaseDuration);
    if (!entry.writing && !tag.empty())
        entry.etag = tag;
    scheduleGuardClear(group);
}

void OwnershipTable::renewLease(const GroupName &group)
{
    const Instant sent = parts_.timers.now();
    const OwnerEpoch epoch = entries_[group].record.epoch;
    parts_.table.read(table, group, [this, group, epoch, sent](auto row) {
        if (!row.ok()) {
            parts_.log.info("lease_unread")
                .with("group", group)
                .with("left_ms", leaseLeft(group))
                .with("cause", row.status().message());
            return;
        }
        const auto record = *row ? decodeOwnership((*row)->value) : absl::NotFoundError("no row");
        if (!record.ok()) {
            parts_.log.warning("owner_row_invalid")
                .with("group", group)
                .with("cause", record.status().message());
            return;
        }
        if (record->owner != parts_.self || record->epoch != epoch) {
            static_cast<void>(applyRow(**row));
            return;
        }
        if (entries_[group].record.epoch != epoch)
            return;
        noteServiceTime(**row, sent);
        extendLease(group, sent, (*row)->etag);
    });
}

void OwnershipTable::queryPredecessors()
{
    queryingPredecessors_ = false;
    const Instant now = parts_.timers.now();
    std::set<std::string> queriedAddresses;
    const std::set<GroupName> groups = owned_;
    scannedEntries_.Increment(double(groups.size()));
    for (const GroupName &group : groups) {
        Entry &entry = entries_[group];
        const std::vector<decision::EarlierOwner> active = entry.earlier.active(now);
        if (active.empty())
            scheduleGuardClear(group);
        queryingPredecessors_ = queryingPredecessors_ || !active.empty();
        for (const decision::EarlierOwner &owner : active) {
            if (!owner.isNamed())
                continue;
            queriedAddresses.insert(owner.process.address);
            queryOwnershipEnd(owner, group);
        }
    }
    updateDialledPeers(queriedAddresses);
    if (queryingPredecessors_)
        parts_.timers.subscribeAfter(predecessorQueryInterval, [this] { queryPredecessors(); });
}

// Asks an earlier owner to confirm its end. Only that confirmation, a new incarnation at its
// address or the expiry of its lease proves the end. A refused connection doesn't: in a network
// partition the owner may go on serving and resume replicas that were stopped here.
void OwnershipTable::queryOwnershipEnd(const decision::EarlierOwner &owner, const GroupName &group)
{
    static_cast<void>(parts_.links.sendTo(owner.process.address,
                                          inner::OwnershipEndRequest {group, owner.epoch}));
}

void OwnershipTable::updateDialledPeers(const std::set<std::string> &addresses)
{
    for (const std::string &address : addresses)
        if (dialledPeers_.insert(address).second)
            parts_.links.connect(address);
    for (auto address = dialledPeers_.begin(); address != dialledPeers_.end();) {
        if (addresses.count(*address) != 0) {
            ++address;
            continue;
        }
        parts_.links.drop(*address);
        address = dialledPeers_.erase(address);
    }
}

void OwnershipTable::onPredecessorEnded(const GroupName &group, const std::string &address,
                                        const std::string &proof)
{
    parts_.log.info("predecessor_ended", proof)
        .with("group", group)
        .with("process", address)
        .with("alone", isSoleOwner(group));
    scheduleGuardClear(group);
}

// Whether the row's guard time is longer than needed and may be written now.
bool OwnershipTable::canClearGuard(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (!owns(group) || found == entries_.end())
        return false;
    const Entry &entry = found->second;
    const std::size_t active = entry.earlier.active(parts_.timers.now()).size();
    // The claim wrote a longer guard time to allow for taking effect late.
    const bool isTooLong =
        entry.guardLimit != Duration(0) && entry.record.guardedUntil > entry.guardLimit;
    return entry.record.guardedUntil != Duration(0) && !entry.writing
        && (active < entry.record.earlier.size() || isTooLong);
}

// Schedules a write that shortens the row's guard time, so that a next owner need not wait for
// owners that have ended. Gathers rows, as groups claimed in a batch get here together.
void OwnershipTable::scheduleGuardClear(const GroupName &group)
{
    if (!canClearGuard(group) || !guardsToClear_.insert(group).second)
        return;
    if (guardsToClear_.size() == 1)
        parts_.timers.subscribeAfter(guardBatchDelay, [this] { clearGuards(); });
}

void OwnershipTable::clearGuards()
{
    std::set<GroupName> groups;
    groups.swap(guardsToClear_);
    std::vector<RowChangePtr> changes;
    for (const GroupName &group : groups) {
        if (canClearGuard(group))
            changes.push_back(prepareChange(
                group, [](OwnershipRecord &) {}, [](const absl::Status &) {}));
        if (changes.size() == maxRowsPerWrite)
            sendBatch(std::exchange(changes, {}));
    }
    sendBatch(std::move(changes));
}

void OwnershipTable::onPeerUp(const ProcessId &process)
{
    const std::set<GroupName> groups = owned_;
    scannedEntries_.Increment(double(groups.size()));
    for (const GroupName &group : groups) {
        Entry &entry = entries_[group];
        if (entry.earlier.onRestarted(process))
            onPredecessorEnded(group, process.address, "restarted");
    }
    claimFromRestarted(process);
}

void OwnershipTable::onOwnershipEnded(const std::string &address,
                                      const inner::OwnershipEnded &ended)
{
    const auto found = entries_.find(ended.group);
    if (found != entries_.end() && found->second.earlier.onEndConfirmed(address, ended.epoch))
        onPredecessorEnded(ended.group, address, "said_so");
}

} // namespace kelptally::group
