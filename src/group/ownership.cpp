#include "group/ownership.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <functional>

namespace kelptally::group {

namespace {

// Longest that one question for changes of owners stays open. Owners are also learnt on the way.
constexpr Duration feedWait = std::chrono::seconds(20);
// The row is read this often, so that a lost answer or two leave most of the lease.
constexpr Duration renewPeriod = std::chrono::milliseconds(2500);
// After a claim its guard is cut to what is needed. Owners before mostly say within 0.2 s that they
// have ended, and then one write serves for both.
constexpr Duration guardCut = std::chrono::milliseconds(300);
// Questions about one group, to the store or to peers, are this far apart.
constexpr Duration askPause = std::chrono::milliseconds(150);

} // namespace

OwnershipTable::OwnershipTable(const Parts &parts, OwnershipEvents &events)
    : parts_(parts), visits_(parts.metrics.visits("owners")), events_(events),
      follower_({parts.timers, parts.feed, parts.log}, table, feedWait,
                {[this](const services::TableRow &row) { apply(row); },
                 [this](const std::string &key) { unreadable_.insert(key); }, [this] { onRead(); }})
{ }

void OwnershipTable::start()
{
    follower_.start();
    parts_.timers.subscribeEvery(renewPeriod, [this] { renew(); });
}

// Knowing the rows

void OwnershipTable::onRead()
{
    asOf_ = follower_.position();
    const std::set<GroupName> wanted = std::move(wanted_);
    wanted_.clear();
    for (const GroupName &group : wanted)
        wantOwner(group);
    const std::map<GroupName, std::size_t> prepared = std::move(prepared_);
    prepared_.clear();
    for (const auto &[group, groups] : prepared)
        prepareOwner(group, groups);
}

// The owner that was asked is none: the feed is late or hears nothing.
void OwnershipTable::refreshOwner(const GroupName &group)
{
    if (!mayAsk(group))
        return;
    parts_.askPeers(group);
    parts_.table.read(table, group, [this](auto row) {
        if (row.ok() && *row)
            apply(**row);
    });
}

// One question to the service itself for whatever has changed since the last one.
void OwnershipTable::look(std::function<void(const Look &)> callback)
{
    const Instant sent = parts_.timers.now();
    parts_.direct.changes(table, asOf_.value_or(0), Duration(0),
                          [this, sent, callback = std::move(callback)](const auto &changes) {
                              Look seen;
                              seen.sent = sent;
                              seen.status = changes.status();
                              // Without the history in between nothing is proven; the next snapshot
                              // begins anew.
                              if (absl::IsOutOfRange(changes.status()))
                                  asOf_.reset();
                              if (!changes.ok())
                                  return callback(seen);
                              for (const services::RowChange &change : changes->changes) {
                                  if (change.removed)
                                      unreadable_.insert(change.row.key);
                                  else if (apply(change.row))
                                      seen.changed[change.row.key] = change.row.etag;
                              }
                              seen.unreadable = unreadable_;
                              if (asOf_)
                                  asOf_ = std::max(*asOf_, changes->next);
                              seen.serviceTime = changes->serviceTime.value_or(Duration(0));
                              if (changes->serviceTime) {
                                  serviceTime_ = changes->serviceTime;
                                  serviceTimeAsked_ = sent;
                              }
                              callback(seen);
                          });
}

bool OwnershipTable::mayAsk(const GroupName &group)
{
    Entry &entry = entries_[group];
    const Instant now = parts_.timers.now();
    if (now < entry.askAfter)
        return false;
    entry.askAfter = now + askPause;
    return true;
}

void OwnershipTable::learnOwner(const GroupName &group, const session::OwnerRef &owner)
{
    Entry &entry = entries_[group];
    if (owner.process.address.empty() || (entry.known && owner.epoch <= entry.record.epoch))
        return;
    OwnershipRecord record = entry.record;
    record.epoch = owner.epoch;
    record.owner = owner.process;
    record.zone.clear();
    record.hasRoom = false;
    // Only its own reading of the row makes this process an owner.
    if (owner.process.address == parts_.self.address)
        return refreshOwner(group);
    applyRecord(group, record, std::string());
}

// False when the row can't be read; then what was known before stays.
bool OwnershipTable::apply(const services::TableRow &row)
{
    const auto record = decodeOwnership(row.value);
    if (!record.ok()) {
        parts_.log.warning("owner_row_invalid")
            .with("group", row.key)
            .with("cause", record.status().message());
        unreadable_.insert(row.key);
        return false;
    }
    unreadable_.erase(row.key);
    applyRecord(row.key, *record, row.etag);
    return true;
}

// All that is known of an owner is kept here, so that nothing has to look for it in all rows.
void OwnershipTable::setRecord(const GroupName &group, Entry &entry, const OwnershipRecord &record)
{
    if (entry.known)
        countOwner(entry.record, -1);
    entry.known = true;
    entry.record = record;
    countOwner(record, 1);
    if (record.owner == parts_.self)
        owned_.insert(group);
    else
        owned_.erase(group);
}

void OwnershipTable::countOwner(const OwnershipRecord &record, int change)
{
    const std::string &address = record.owner.address;
    if (address.empty())
        return;
    const int groups = ownedBy_[address] += change;
    if (groups == 0) {
        ownedBy_.erase(address);
        owners_.remove(address);
        return;
    }
    // Who tells of an owner on the way does not know its zone.
    if (change > 0 && (groups == 1 || !record.zone.empty()))
        owners_.add({address, record.zone, record.hasRoom});
}

// Takes over what a row says; older news are ignored.
void OwnershipTable::applyRecord(const GroupName &group, const OwnershipRecord &record,
                                 const std::string &etag)
{
    Entry &entry = entries_[group];
    if (entry.known && record.epoch < entry.record.epoch)
        return;
    const bool owned = owns(group);
    const bool changed =
        !entry.known || record.epoch != entry.record.epoch || record.owner != entry.record.owner;
    // The own row is changed by this process alone, which knows what it wrote.
    if (owned && !changed)
        return;
    const OwnershipRecord before = entry.record;
    setRecord(group, entry, record);
    entry.etag = etag;
    if (!changed)
        return;
    parts_.log.info("owner_changed")
        .with("group", group)
        .with("epoch", record.epoch)
        .with("owner", record.owner.address);
    if (owned) {
        parts_.log.warning("ownership_lost").with("group", group).with("epoch", before.epoch);
        events_.onLost(group);
    }
    // Also right after the loss of an earlier epoch: the row of the owner between may never have
    // been seen here, and while the row names this process nobody else claims the group.
    if (record.owner == parts_.self) {
        // A hand-over, or a claim whose answer was lost: how old the news are is not known, so the
        // lease begins with the next read.
        entry.leaseUntil = Instant();
        OwnershipRecord earlier = before;
        earlier.guardedUntil = record.guardedUntil;
        earlier.earlier = record.earlier;
        acquire(group, record, etag, earlier, {});
    }
    events_.onOwnerChanged(group);
    // A row of an earlier run of this very process: that run is dead.
    if (record.owner.address == parts_.self.address && record.owner != parts_.self)
        planClaim(group, restarted, Duration(0));
}

std::optional<session::OwnerRef> OwnershipTable::owner(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (found == entries_.end() || !found->second.known
        || found->second.record.owner.address.empty())
        return std::nullopt;
    const OwnershipRecord &record = found->second.record;
    // An earlier run of this process answers nobody.
    if (record.owner.address == parts_.self.address && record.owner != parts_.self)
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

bool OwnershipTable::leaseHolds(const GroupName &group) const
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

bool OwnershipTable::isAlone(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (found == entries_.end())
        return false;
    return !found->second.earlier.mayAct(parts_.timers.now());
}

// Owners before the next one, and until when they may act.
void OwnershipTable::nameEarlier(OwnershipRecord &record,
                                 const std::vector<decision::EarlierOwner> &open,
                                 const decision::EarlierOwner &before, Duration lastRenewal)
{
    record.earlier = decision::EarlierOwners::listForNextOwner(open, !open.empty(), before);
    record.guardedUntil = lastRenewal + lease + clockMargin;
}

void OwnershipTable::noteServiceTime(const services::TableRow &row, Instant asked)
{
    if (!row.serviceTime)
        return;
    serviceTime_ = *row.serviceTime;
    serviceTimeAsked_ = asked;
}

std::optional<Duration> OwnershipTable::serviceTime() const
{
    if (!serviceTime_)
        return std::nullopt;
    return *serviceTime_ + (parts_.timers.now() - serviceTimeAsked_);
}

// Leases count from now on; the time of the claim itself is on the safe side for those before.
void OwnershipTable::acquire(const GroupName &group, const OwnershipRecord &record,
                             const std::string &etag, const OwnershipRecord &before,
                             Duration serviceTime)
{
    Entry &entry = entries_[group];
    const Instant now = parts_.timers.now();
    entry.etag = etag;
    entry.inheritedGuard = before.guardedUntil;
    const bool guarded = before.guardedUntil != Duration(0);
    const std::optional<Duration> told = this->serviceTime();
    entry.latestGuard = told ? *told + lease + clockMargin : Duration(0);
    const bool timeKnown = serviceTime != Duration(0);
    const Duration guard = timeKnown ? before.guardedUntil - serviceTime : lease + clockMargin;
    entry.earlier.begin(now, before.earlier, guarded ? guard : Duration(0), parts_.self);
    entry.before = {before.owner, before.epoch};
    const bool other = !before.owner.address.empty() && before.owner.address != parts_.self.address;
    if (other)
        entry.earlier.add(entry.before, now + lease + clockMargin);
    parts_.log.info("ownership_won")
        .with("group", group)
        .with("epoch", record.epoch)
        .with("before", before.owner.address)
        .with("earlier", std::uint64_t(entry.earlier.open(now).size()))
        .with("guard_ms", guarded ? std::max(Duration(0), guard) : Duration(0));
    if (!leaseHolds(group))
        renewOne(group);
    parts_.timers.subscribeAfter(guardCut, [this, group] { clearGuard(group); });
    if (entry.earlier.mayAct(now) && !asking_) {
        asking_ = true;
        askPredecessors();
    }
    events_.onAcquired(group);
}

} // namespace kelptally::group
