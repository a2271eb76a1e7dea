#include "group/ownership.h"

#include <functional>
#include <utility>

// Who becomes the owner of a group.
namespace kelptally::group {

namespace {

// From the reading of a row to the effect of the write that follows it. Writes without an answer
// were seen to take effect up to 6 s later, and the owner before finds its row unchanged, and its
// lease made longer, until then.
constexpr Duration claimTime = std::chrono::seconds(7);
// A claim that the store did not even let read its row is tried again after this pause.
constexpr Duration claimPause = std::chrono::milliseconds(250);
// At a cold start hosts come up within some hundred ms of each other.
constexpr Duration coldStartDelay = std::chrono::milliseconds(300);
// Claims that come within this time are made together, so many rows in one write.
constexpr Duration gatherTime = std::chrono::milliseconds(20);
// Nobody waits for those that are ahead of need: each look and each write serves more of them.
constexpr Duration gatherAhead = std::chrono::milliseconds(200);

} // namespace

void OwnershipTable::wantOwner(const GroupName &group)
{
    if (!isReady()) {
        wanted_.insert(group);
        return;
    }
    if (!owner(group))
        planClaim(group, unowned, coldStartDelay + 2 * claimDelay(group));
}

void OwnershipTable::prepareOwner(const GroupName &group, std::size_t groups)
{
    if (!isReady()) {
        prepared_[group] = groups;
        return;
    }
    if (!owner(group))
        planClaim(group, ahead,
                  coldStartDelay + 2 * claimDelay(group)
                      + decision::proactiveClaimDelay(claimant(group), groups));
}

void OwnershipTable::suspectOwner(const GroupName &group, const session::OwnerRef &suspect,
                                  const std::string &why)
{
    const auto now = owner(group);
    if (!now || now->epoch != suspect.epoch || now->process == parts_.self)
        return;
    if (mayAsk(group))
        parts_.askPeers(group);
    if (why != linkDown)
        return planClaim(group, why, claimDelay(group));
    // A link may end while its processes live; nothing listens where the process has ended.
    parts_.probe(now->process.address, [this, group, epoch = suspect.epoch](bool refused) {
        const auto still = owner(group);
        if (refused && still && still->epoch == epoch)
            planClaim(group, nothingListens, claimDelay(group));
    });
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

void OwnershipTable::planClaim(const GroupName &group, const std::string &why, Duration delay)
{
    Entry &entry = entries_[group];
    if (!claiming_ || entry.claimPlanned || entry.writing || parts_.timers.now() < entry.claimAfter)
        return;
    entry.claimPlanned = true;
    const OwnerEpoch seen = entry.record.epoch;
    parts_.timers.subscribeAfter(delay, [this, group, seen, why] {
        entries_[group].claimPlanned = false;
        claim(group, seen, why);
    });
}

void OwnershipTable::claim(const GroupName &group, OwnerEpoch seen, const std::string &why)
{
    Entry &entry = entries_[group];
    if (!claiming_ || entry.writing || entry.record.epoch != seen)
        return;
    // Planned before the service came back.
    const bool isProven =
        why == asked || why == restarted || why == unowned || why == ahead || why == nothingListens;
    if (!isProven && parts_.timers.now() < suspectAfter_) {
        entry.claimAfter = suspectAfter_;
        return;
    }
    // A claim that can't succeed costs a call, and made late it takes the group from whoever
    // serves: 2,497 were made by 187 hosts in six seconds without the store.
    if (parts_.storeIsSilent()) {
        entry.claimAfter = parts_.timers.now() + claimPause;
        return claimAgain(group, why);
    }
    entry.writing = true;
    // Of many groups at one moment: at a start, and from an owner that the store turns away.
    const bool mayGather = why == unowned || why == ahead || why == restarted || why == asked;
    if (mayGather && asOf_ && (!entry.known || !entry.etag.empty()))
        return claimTogether({group, seen, why});
    claimAlone(group, seen, why);
}

void OwnershipTable::claimAlone(const GroupName &group, OwnerEpoch seen, const std::string &why)
{
    const Instant sent = parts_.timers.now();
    parts_.table.read(table, group, [this, group, seen, why, sent](auto row) {
        Entry &entry = entries_[group];
        if (row.ok() && *row)
            noteServiceTime(**row, sent);
        if (!row.ok())
            return onClaimUnread(group, why, row.status());
        // Over a row that can't be read nothing is claimed: its epoch must not go back.
        const bool isReadable = !*row || apply(**row);
        if (!isReadable || entry.record.epoch != seen) {
            entry.writing = false;
            return;
        }
        const Duration serviceTime =
            *row && (*row)->serviceTime ? *(*row)->serviceTime : Duration(0);
        entry.etag = *row ? (*row)->etag : std::string();
        send(prepareClaim(group, serviceTime, why));
    });
}

// Claims that come at one moment are made with one look at the table and one write. When all hosts
// had come back at once, a read and a write for each of 1,000 groups took the store seconds, as it
// does one write to the table after the other.
void OwnershipTable::claimTogether(const Claim &claim)
{
    const bool isAhead = claim.why == ahead;
    std::vector<Claim> &due = isAhead ? aheadClaims_ : dueClaims_;
    due.push_back(claim);
    if (due.size() > 1)
        return;
    parts_.timers.subscribeAfter(isAhead ? gatherAhead : gatherTime, [this, &due] {
        std::vector<Claim> claims;
        claims.swap(due);
        if (claims.size() == 1)
            return claimAlone(claims[0].group, claims[0].seen, claims[0].why);
        look([this, claims = std::move(claims)](const Look &seen) { claimAll(claims, seen); });
    });
}

void OwnershipTable::claimAll(const std::vector<Claim> &claims, const Look &seen)
{
    std::vector<RowChangePtr> changes;
    for (const Claim &claim : claims) {
        Entry &entry = entries_[claim.group];
        if (!seen.status.ok()) {
            onClaimUnread(claim.group, claim.why, seen.status);
            continue;
        }
        const bool isTaken =
            entry.record.epoch != claim.seen || seen.unreadable.count(claim.group) != 0;
        if (isTaken || !claiming_) {
            entry.writing = false;
            continue;
        }
        changes.push_back(prepareClaim(claim.group, seen.serviceTime, claim.why));
        changes.back()->claimed = claim;
        if (changes.size() == mostTogether)
            sendTogether(std::exchange(changes, {}));
    }
    sendTogether(std::move(changes));
}

// Another host has changed one of the rows. Of claims, what is left after the next look is made
// again, and at last one by one.
void OwnershipTable::onContended(const std::vector<RowChangePtr> &changes)
{
    for (const RowChangePtr &change : changes) {
        Claim claim = change->claimed;
        if (!claim.group.empty() && --claim.triesLeft > 0)
            claimTogether(claim);
        else
            send(change);
    }
}

void OwnershipTable::onClaimUnread(const GroupName &group, const std::string &why,
                                   const absl::Status &status)
{
    Entry &entry = entries_[group];
    entry.writing = false;
    entry.claimAfter = parts_.timers.now() + claimPause;
    parts_.log.warning("claim_unread").with("group", group).with("cause", status.message());
    claimAgain(group, why);
}

// Whoever wanted an owner for a group without one does not ask again, nor does the row of an
// earlier run come again.
void OwnershipTable::claimAgain(const GroupName &group, const std::string &why)
{
    if (why == unowned || why == ahead || why == restarted)
        parts_.timers.subscribeAfter(claimPause, [this, group] { wantOwner(group); });
}

// Over the row as it is known; the service's time is that of its reading.
OwnershipTable::RowChangePtr
OwnershipTable::prepareClaim(const GroupName &group, Duration serviceTime, const std::string &why)
{
    const Entry &entry = entries_[group];
    const OwnershipRecord before = entry.record;
    OwnershipRecord record = before;
    record.epoch = before.epoch + 1;
    record.owner = parts_.self;
    record.zone = parts_.zone;
    record.hasRoom = decision::hasRoom(parts_.processors, 0);
    const bool deadRun = before.owner.address == parts_.self.address;
    if (!before.owner.address.empty() && !deadRun) {
        const bool isGuarded = before.guardedUntil > serviceTime;
        const std::vector<decision::EarlierOwner> unnamed(1);
        const auto &listed = before.earlier.empty() ? unnamed : before.earlier;
        nameEarlier(record, isGuarded ? listed : std::vector<decision::EarlierOwner>(),
                    {before.owner, before.epoch}, serviceTime + claimTime);
    }
    entries_[group].claimedAsked = why == asked;
    parts_.log.info("claim", why)
        .with("group", group)
        .with("epoch", record.epoch)
        .with("from", before.owner.address);
    return prepare(group, record, entry.etag, !entry.etag.empty(),
                   [this, group, record, before, serviceTime, why](absl::Status written) {
                       Entry &entry = entries_[group];
                       if (!written.ok()) {
                           parts_.log.info("claim_failed")
                               .with("group", group)
                               .with("cause", written.message());
                           if (!absl::IsFailedPrecondition(written))
                               claimAgain(group, why);
                           return;
                       }
                       if (entry.record.epoch <= record.epoch && !owns(group)) {
                           setRecord(group, entry, record);
                           acquire(group, record, entry.etag, before, serviceTime);
                           events_.onOwnerChanged(group);
                       }
                   });
}

} // namespace kelptally::group
