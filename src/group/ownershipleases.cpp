#include "group/ownership.h"

#include "decision/claimorder.h"

#include <prometheus/counter.h>

#include <functional>
#include <utility>

// How ownership lasts and ends: leases, the proof that owners before have ended, and giving a group
// away.
namespace kelptally::group {

namespace {

constexpr Duration predecessorPeriod = std::chrono::milliseconds(200);
// After a loss of the service this long, owners get this time to be heard again: links were renewed
// within 0.2 s of the service's return.
constexpr Duration longLoss = std::chrono::seconds(1);
constexpr Duration linksReturn = std::chrono::milliseconds(600);
// A group is offered to hosts with room this far apart, and one group at a time.
constexpr Duration offerPeriod = std::chrono::seconds(10);
// Other processes are asked to take a group this far apart.
constexpr Duration takeOverPause = std::chrono::milliseconds(500);
// Rows whose guards can be cut gather for this long.
constexpr Duration clearTime = std::chrono::milliseconds(20);
// With less than this part of the lease left, others are asked to take the group while it is
// served: the store may turn away this process alone.
constexpr int leasePartsLeft = 3;

} // namespace

// Giving a group to whoever can do more for it

void OwnershipTable::askTakeOver(const GroupName &group, const std::string &reach,
                                 const std::string &why, bool needsRoom)
{
    Entry &entry = entries_[group];
    const Instant now = parts_.timers.now();
    // One that was asked itself does not pass the group on for the same reason.
    const bool again = !reach.empty() && entry.claimedAsked;
    if (!owns(group) || now < entry.askTakeOverAfter || again)
        return;
    entry.askTakeOverAfter = now + takeOverPause;
    parts_.log.warning("take_over_asked", why)
        .with("group", group)
        .with("epoch", entry.record.epoch)
        .with("lease_left_ms", leaseLeft(group))
        .with("reach", reach);
    parts_.tellPeers({group, entry.record.epoch, reach, needsRoom});
}

void OwnershipTable::takeOver(const GroupName &group, OwnerEpoch epoch)
{
    const Entry &entry = entries_[group];
    if (owns(group) || entry.record.epoch > epoch)
        return;
    // The row is read before; the owner asks again.
    if (entry.record.epoch < epoch)
        return refreshOwner(group);
    planClaim(group, asked, claimDelay(group));
}

bool OwnershipTable::hasRoom() const
{
    return decision::hasRoom(parts_.processors, owned().size());
}

// A host without room keeps a group only until one with room has heard of it. Only such hosts offer
// and only such take, so that no group goes to and fro; and none does in the middle of a change.
void OwnershipTable::offerWithoutRoom()
{
    if (!claiming_ || decision::hasRoom(parts_.processors, 0))
        return;
    const Instant now = parts_.timers.now();
    for (const GroupName &group : owned_) {
        Entry &entry = entries_[group];
        const bool calm =
            entry.record.candidate.empty() && !entry.writing && leaseHolds(group) && isAlone(group);
        if (!calm || now - entry.offeredAt < offerPeriod)
            continue;
        entry.offeredAt = now;
        return askTakeOver(group, std::string(), "no_room", true);
    }
}

// Leases

// A host that was cut off from the service was cut off from owners, too, and their links come back
// a moment later. Claims made at once took 11 of 20 groups from owners that were well, on the day
// of a burst.
void OwnershipTable::onStoreBack(Duration lostFor)
{
    if (lostFor >= longLoss)
        suspectAfter_ = parts_.timers.now() + linksReturn;
    // A question that was sent before it was lost proves less than one of now.
    renewing_ = false;
    renew();
}

void OwnershipTable::renew()
{
    offerWithoutRoom();
    const std::set<GroupName> groups = owned_;
    for (const GroupName &group : groups)
        if (leaseLeft(group) < lease / leasePartsLeft)
            askTakeOver(group, std::string(), "lease_runs_out");
    if (groups.size() > 1 && asOf_)
        return renewTogether();
    for (const GroupName &group : groups)
        renewOne(group);
}

// One question proves for all rows that they stand as they were: with one for each group the calls
// grew with the groups, 400 a second for 1,000.
void OwnershipTable::renewTogether()
{
    if (std::exchange(renewing_, true))
        return;
    std::map<GroupName, OwnerEpoch> held;
    for (const GroupName &group : owned_)
        held[group] = entries_[group].record.epoch;
    look([this, held = std::move(held)](const Look &seen) {
        renewing_ = false;
        if (!seen.status.ok())
            parts_.log.info("leases_unread")
                .with("groups", std::uint64_t(held.size()))
                .with("cause", seen.status.message());
        for (const auto &[group, epoch] : held) {
            if (seen.unreadable.count(group) != 0)
                continue;
            if (absl::IsOutOfRange(seen.status))
                renewOne(group);
            if (!seen.status.ok() || !owns(group) || entries_[group].record.epoch != epoch)
                continue;
            const auto changed = seen.changed.find(group);
            prolong(group, seen.sent,
                    changed == seen.changed.end() ? std::string() : changed->second);
        }
    });
}

// The row was found to name this owner, in a question that was sent then; with its tag if it has
// changed.
void OwnershipTable::prolong(const GroupName &group, Instant sent, const std::string &tag)
{
    Entry &entry = entries_[group];
    if (!entry.handingOver)
        entry.leaseUntil = std::max(entry.leaseUntil, sent + lease);
    if (!entry.writing && !tag.empty())
        entry.etag = tag;
    clearGuard(group);
}

void OwnershipTable::renewOne(const GroupName &group)
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
            static_cast<void>(apply(**row));
            return;
        }
        if (entries_[group].record.epoch != epoch)
            return;
        noteServiceTime(**row, sent);
        prolong(group, sent, (*row)->etag);
    });
}

void OwnershipTable::askPredecessors()
{
    asking_ = false;
    const Instant now = parts_.timers.now();
    std::set<std::string> asked;
    const std::set<GroupName> groups = owned_;
    visits_.Increment(double(groups.size()));
    for (const GroupName &group : groups) {
        Entry &entry = entries_[group];
        const std::vector<decision::EarlierOwner> open = entry.earlier.open(now);
        if (open.empty())
            clearGuard(group);
        asking_ = asking_ || !open.empty();
        for (const decision::EarlierOwner &owner : open) {
            if (!owner.isNamed())
                continue;
            asked.insert(owner.process.address);
            askWhetherEnded(owner, group);
        }
    }
    keepDialled(asked);
    if (asking_)
        parts_.timers.subscribeAfter(predecessorPeriod, [this] { askPredecessors(); });
}

// Its own word is a proof of its end, or another run at its address, or its lease. A refused
// connection is none: a cut may refuse, and behind it the owner serves on and lets replicas receive
// again that were stopped here.
void OwnershipTable::askWhetherEnded(const decision::EarlierOwner &owner, const GroupName &group)
{
    static_cast<void>(parts_.links.sendTo(owner.process.address,
                                          inner::OwnershipEndRequest {group, owner.epoch}));
}

void OwnershipTable::keepDialled(const std::set<std::string> &addresses)
{
    for (const std::string &address : addresses)
        if (dialled_.insert(address).second)
            parts_.links.connect(address);
    for (auto address = dialled_.begin(); address != dialled_.end();) {
        if (addresses.count(*address) != 0) {
            ++address;
            continue;
        }
        parts_.links.drop(*address);
        address = dialled_.erase(address);
    }
}

void OwnershipTable::onEarlierEnded(const GroupName &group, const std::string &address,
                                    const std::string &proof)
{
    parts_.log.info("predecessor_ended", proof)
        .with("group", group)
        .with("process", address)
        .with("alone", isAlone(group));
    clearGuard(group);
}

// The row guards more than it needs to.
bool OwnershipTable::mayClearGuard(const GroupName &group) const
{
    const auto found = entries_.find(group);
    if (!owns(group) || found == entries_.end())
        return false;
    const Entry &entry = found->second;
    const std::size_t open = entry.earlier.open(parts_.timers.now()).size();
    // The claim wrote a longer guard than it needs, should it have taken effect late.
    const bool isTooLong =
        entry.latestGuard != Duration(0) && entry.record.guardedUntil > entry.latestGuard;
    return entry.record.guardedUntil != Duration(0) && !entry.writing
        && (open < entry.record.earlier.size() || isTooLong);
}

// The next owner learns from the row that nobody before this one is left. Groups that were claimed
// together get there together.
void OwnershipTable::clearGuard(const GroupName &group)
{
    if (!mayClearGuard(group) || !guardsToClear_.insert(group).second)
        return;
    if (guardsToClear_.size() == 1)
        parts_.timers.subscribeAfter(clearTime, [this] { clearGuards(); });
}

void OwnershipTable::clearGuards()
{
    std::set<GroupName> groups;
    groups.swap(guardsToClear_);
    std::vector<RowChangePtr> changes;
    for (const GroupName &group : groups) {
        if (mayClearGuard(group))
            changes.push_back(prepareChange(
                group, [](OwnershipRecord &) {}, [](const absl::Status &) {}));
        if (changes.size() == mostTogether)
            sendTogether(std::exchange(changes, {}));
    }
    sendTogether(std::move(changes));
}

void OwnershipTable::onPeerUp(const ProcessId &process)
{
    const std::set<GroupName> groups = owned_;
    visits_.Increment(double(groups.size()));
    for (const GroupName &group : groups) {
        Entry &entry = entries_[group];
        if (entry.earlier.onRestarted(process))
            onEarlierEnded(group, process.address, "restarted");
    }
}

void OwnershipTable::onEnded(const std::string &address, const inner::OwnershipEnded &ended)
{
    const auto found = entries_.find(ended.group);
    if (found != entries_.end() && found->second.earlier.onEndConfirmed(address, ended.epoch))
        onEarlierEnded(ended.group, address, "said_so");
}

} // namespace kelptally::group
