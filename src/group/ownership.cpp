#include "group/ownership.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <functional>

namespace kelptally::group {

namespace {

// Longest time that a long poll for changed rows stays open. Owners are also learned from peers.
constexpr Duration feedPollTimeout = std::chrono::seconds(20);
// Short enough that one or two lost answers leave most of the lease.
constexpr Duration renewInterval = std::chrono::milliseconds(2500);
// Time from a claim to shortening its guard time. Earlier owners mostly confirm their end within
// 0.2 s, so that a single write covers both.
constexpr Duration guardClearDelay = std::chrono::milliseconds(300);
// Minimum time between two queries about one group, to the store or to peers.
constexpr Duration queryInterval = std::chrono::milliseconds(150);
// A claim that takes effect later doesn't start quotas.
constexpr Duration maxQuotaStartDelay = std::chrono::seconds(1);

} // namespace

OwnershipTable::OwnershipTable(const Parts &parts, OwnershipEvents &events)
    : parts_(parts), scannedEntries_(parts.metrics.scannedEntries("owners")), events_(events),
      follower_({parts.timers, parts.feed, parts.log}, table, feedPollTimeout,
                {[this](const services::TableRow &row) { applyRow(row); },
                 [this](const std::string &key) { unreadableRows_.insert(key); },
                 [this] { onTableRead(); }})
{ }

void OwnershipTable::start()
{
    follower_.start();
    parts_.timers.subscribeEvery(renewInterval, [this] { renewLeases(); });
}

// Reading the rows

void OwnershipTable::onTableRead()
{
    knownVersion_ = follower_.position();
    const std::set<GroupName> ownerRequests = std::move(pendingOwnerRequests_);
    pendingOwnerRequests_.clear();
    for (const GroupName &group : ownerRequests)
        requestOwner(group);
    const std::map<GroupName, std::size_t> proactiveClaims = std::move(pendingProactiveClaims_);
    pendingProactiveClaims_.clear();
    for (const auto &[group, groups] : proactiveClaims)
        claimProactively(group, groups);
}

// The process taken for the owner has denied it, so the feed may be late or disconnected.
void OwnershipTable::refreshOwner(const GroupName &group)
{
    if (!admitQuery(group))
        return;
    parts_.queryPeers(group);
    parts_.table.read(table, group, [this](auto row) {
        if (row.ok() && *row)
            applyRow(**row);
    });
}

// Reads all changes since the previous query from the table service itself.
void OwnershipTable::queryChanges(std::function<void(const ChangeQueryResult &)> callback)
{
    const Instant sent = parts_.timers.now();
    parts_.directFeed.changes(table, knownVersion_.value_or(0), Duration(0),
                              [this, sent, callback = std::move(callback)](const auto &changes) {
                                  ChangeQueryResult result;
                                  result.sent = sent;
                                  result.status = changes.status();
                                  // The changes since knownVersion_ are no longer available; wait
                                  // for the next snapshot.
                                  if (absl::IsOutOfRange(changes.status()))
                                      knownVersion_.reset();
                                  if (!changes.ok())
                                      return callback(result);
                                  for (const services::RowChange &change : changes->changes) {
                                      if (change.removed)
                                          unreadableRows_.insert(change.row.key);
                                      else if (applyRow(change.row))
                                          result.changed[change.row.key] = change.row.etag;
                                  }
                                  result.unreadable = unreadableRows_;
                                  if (knownVersion_)
                                      knownVersion_ = std::max(*knownVersion_, changes->next);
                                  result.serviceTime = changes->serviceTime.value_or(Duration(0));
                                  if (changes->serviceTime) {
                                      serviceTime_ = changes->serviceTime;
                                      serviceTimeQueriedAt_ = sent;
                                  }
                                  callback(result);
                              });
}

bool OwnershipTable::admitQuery(const GroupName &group)
{
    Entry &entry = entries_[group];
    const Instant now = parts_.timers.now();
    if (now < entry.queryAfter)
        return false;
    entry.queryAfter = now + queryInterval;
    return true;
}

void OwnershipTable::applyReportedOwner(const GroupName &group, const session::OwnerRef &owner)
{
    Entry &entry = entries_[group];
    if (owner.process.address.empty() || (entry.known && owner.epoch <= entry.record.epoch))
        return;
    OwnershipRecord record = entry.record;
    record.epoch = owner.epoch;
    record.owner = owner.process;
    record.zone.clear();
    record.hasCapacity = false;
    // This process becomes an owner only by reading the row itself.
    if (owner.process.address == parts_.self.address)
        return refreshOwner(group);
    applyRecord(group, record, std::string());
}

// Returns false, and keeps the record known so far, if the row can't be decoded.
bool OwnershipTable::applyRow(const services::TableRow &row)
{
    const auto record = decodeOwnership(row.value);
    if (!record.ok()) {
        parts_.log.warning("owner_row_invalid")
            .with("group", row.key)
            .with("cause", record.status().message());
        unreadableRows_.insert(row.key);
        return false;
    }
    unreadableRows_.erase(row.key);
    applyRecord(row.key, *record, row.etag);
    return true;
}

// Also updates owned_ and the groups of the owners, which avoids scans of all entries.
void OwnershipTable::setRecord(const GroupName &group, Entry &entry, const OwnershipRecord &record)
{
    if (entry.known)
        removeOwner(group, entry.record);
    if (record.epoch != entry.record.epoch || record.owner != entry.record.owner)
        ownerEnded_.erase(group);
    entry.known = true;
    entry.record = record;
    addOwner(group, record);
    if (record.owner == parts_.self)
        owned_.insert(group);
    else
        owned_.erase(group);
}

void OwnershipTable::addOwner(const GroupName &group, const OwnershipRecord &record)
{
    const std::string &address = record.owner.address;
    if (address.empty())
        return;
    std::set<GroupName> &groups = groupsByOwner_[address];
    groups.insert(group);
    // An owner learned from a peer comes without its zone.
    if (groups.size() == 1 || !record.zone.empty())
        owners_.add({address, record.zone, record.hasCapacity});
}

void OwnershipTable::removeOwner(const GroupName &group, const OwnershipRecord &record)
{
    const auto found = groupsByOwner_.find(record.owner.address);
    if (found == groupsByOwner_.end())
        return;
    found->second.erase(group);
    if (!found->second.empty())
        return;
    owners_.remove(record.owner.address);
    groupsByOwner_.erase(found);
}

// Applies a row unless its epoch is older than the known one.
void OwnershipTable::applyRecord(const GroupName &group, const OwnershipRecord &record,
                                 const std::string &etag)
{
    Entry &entry = entries_[group];
    if (entry.known && record.epoch < entry.record.epoch)
        return;
    const bool owned = owns(group);
    const bool changed =
        !entry.known || record.epoch != entry.record.epoch || record.owner != entry.record.owner;
    // Only the owner writes its row, so its copy is current.
    if (owned && !changed)
        return;
    const OwnershipRecord previous = entry.record;
    setRecord(group, entry, record);
    entry.etag = etag;
    if (!changed)
        return;
    parts_.log.info("owner_changed")
        .with("group", group)
        .with("epoch", record.epoch)
        .with("owner", record.owner.address);
    if (owned) {
        parts_.log.warning("ownership_lost").with("group", group).with("epoch", previous.epoch);
        events_.onLost(group);
    }
    // Also right after the loss of an earlier epoch: this process may have missed the row of the
    // owner in between, and nobody else claims a group whose row names this process.
    if (record.owner == parts_.self) {
        // After a hand-over, or a claim whose answer was lost, the age of the row is unknown, so
        // the lease starts with the next read.
        entry.leaseUntil = Instant();
        OwnershipRecord earlier = previous;
        earlier.guardedUntil = record.guardedUntil;
        earlier.earlier = record.earlier;
        // The row may arrive before the answer to the claim.
        const bool isClaim = record.epoch == entry.claimedEpoch;
        acquire(group, record, etag, isClaim ? entry.claimedFrom : earlier,
                isClaim ? entry.claimedAt : Duration(0));
    }
    events_.onOwnerChanged(group);
    // The row names an earlier incarnation of this process, which has ended.
    if (record.owner.address == parts_.self.address && record.owner != parts_.self)
        scheduleClaim(group, reasonRestarted, Duration(0));
}

std::optional<session::OwnerRef> OwnershipTable::owner(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (found == entries_.end() || !found->second.known
        || found->second.record.owner.address.empty())
        return std::nullopt;
    const OwnershipRecord &record = found->second.record;
    // An earlier incarnation of this process has ended.
    if (record.owner.address == parts_.self.address && record.owner != parts_.self)
        return std::nullopt;
    if (ownerEnded_.count(group) != 0)
        return std::nullopt;
    return session::OwnerRef {record.epoch, record.owner};
}

bool OwnershipTable::owns(const GroupName &group) const
{
    return owned_.count(group) != 0;
}

const OwnershipRecord *OwnershipTable::record(const GroupName &group) const
{
    const auto found = entries_.find(group);
    return found == entries_.end() || !found->second.known ? nullptr : &found->second.record;
}

bool OwnershipTable::hasLease(const GroupName &group) const
{
    return leaseLeft(group) > Duration(0);
}

Duration OwnershipTable::leaseLeft(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (found == entries_.end())
        return Duration(0);
    return found->second.leaseUntil - parts_.timers.now();
}

bool OwnershipTable::isSoleOwner(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (found == entries_.end())
        return false;
    return !found->second.earlier.mayAct(parts_.timers.now());
}

bool OwnershipTable::mayStartQuotas(const GroupName &group) const
{
    const auto found = entries_.find(group);
    return found != entries_.end() && found->second.mayStartQuotas;
}

bool OwnershipTable::startsQuotas(const OwnershipRecord &record, Duration claimedAt) const
{
    const std::optional<Duration> now = serviceTime();
    return claimedAt != Duration(0) && record.quotasStartedAt == claimedAt && now
        && *now - claimedAt <= maxQuotaStartDelay;
}

std::vector<decision::EarlierOwner>
OwnershipTable::activeEarlierOwners(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (found == entries_.end())
        return {};
    return found->second.earlier.active(parts_.timers.now());
}

// Records the earlier owners of the next one, and until when they may act.
void OwnershipTable::setEarlierOwners(OwnershipRecord &record,
                                      const std::vector<decision::EarlierOwner> &active,
                                      const decision::EarlierOwner &previous, Duration lastRenewal)
{
    record.earlier = decision::EarlierOwners::listForNextOwner(active, !active.empty(), previous);
    record.guardedUntil = lastRenewal + leaseDuration + clockMargin;
}

void OwnershipTable::noteServiceTime(const services::TableRow &row, Instant queriedAt)
{
    if (!row.serviceTime)
        return;
    serviceTime_ = *row.serviceTime;
    serviceTimeQueriedAt_ = queriedAt;
}

std::optional<Duration> OwnershipTable::serviceTime() const
{
    if (!serviceTime_)
        return std::nullopt;
    return *serviceTime_ + (parts_.timers.now() - serviceTimeQueriedAt_);
}

// Starts the ownership. The leases of earlier owners are counted from now, which is later than the
// claim took effect.
void OwnershipTable::acquire(const GroupName &group, const OwnershipRecord &record,
                             const std::string &etag, const OwnershipRecord &previous,
                             Duration serviceTime)
{
    Entry &entry = entries_[group];
    const Instant now = parts_.timers.now();
    entry.etag = etag;
    entry.inheritedGuard = previous.guardedUntil;
    const bool guarded = previous.guardedUntil != Duration(0);
    const std::optional<Duration> knownTime = this->serviceTime();
    entry.guardLimit = knownTime ? *knownTime + leaseDuration + clockMargin : Duration(0);
    const bool timeKnown = serviceTime != Duration(0);
    const Duration guard =
        timeKnown ? previous.guardedUntil - serviceTime : leaseDuration + clockMargin;
    entry.earlier.begin(now, previous.earlier, guarded ? guard : Duration(0), parts_.self);
    entry.previous = {previous.owner, previous.epoch};
    entry.mayStartQuotas =
        record.epoch == entry.claimedEpoch && startsQuotas(record, entry.claimedAt);
    const bool hasPredecessor =
        !previous.owner.address.empty() && previous.owner.address != parts_.self.address;
    if (hasPredecessor)
        entry.earlier.add(entry.previous, now + leaseDuration + clockMargin);
    parts_.log.info("ownership_won")
        .with("group", group)
        .with("epoch", record.epoch)
        .with("before", previous.owner.address)
        .with("earlier", std::uint64_t(entry.earlier.active(now).size()))
        .with("guard_ms", guarded ? std::max(Duration(0), guard) : Duration(0))
        .with("starts_quotas", entry.mayStartQuotas);
    if (!hasLease(group))
        renewLease(group);
    parts_.timers.subscribeAfter(guardClearDelay, [this, group] { scheduleGuardClear(group); });
    if (entry.earlier.mayAct(now) && !queryingPredecessors_) {
        queryingPredecessors_ = true;
        queryPredecessors();
    }
    events_.onAcquired(group);
}

} // namespace kelptally::group
