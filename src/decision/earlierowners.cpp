#include "decision/earlierowners.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Limits the size of a row. A longer list is replaced by one unnamed owner, which is only dropped
// when its lease expires.
constexpr std::size_t maxListed = 8;

} // namespace

void EarlierOwners::begin(Instant now, const std::vector<EarlierOwner> &listed, Duration remaining,
                          const ProcessId &self)
{
    entries_.clear();
    if (remaining <= Duration(0))
        return;
    for (const EarlierOwner &owner : listed)
        if (owner.process.address != self.address)
            entries_.push_back({owner, now + remaining});
    if (listed.empty())
        entries_.push_back({EarlierOwner(), now + remaining});
}

void EarlierOwners::add(const EarlierOwner &owner, Instant until)
{
    entries_.push_back({owner, until});
}

bool EarlierOwners::mayAct(Instant now) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [now](const Entry &entry) { return now < entry.until; });
}

bool EarlierOwners::mayAct(const EarlierOwner &owner, Instant now) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const Entry &entry) {
        return now < entry.until && entry.owner.epoch == owner.epoch
            && entry.owner.process == owner.process;
    });
}

std::vector<EarlierOwner> EarlierOwners::active(Instant now) const
{
    std::vector<EarlierOwner> owners;
    for (const Entry &entry : entries_)
        if (now < entry.until)
            owners.push_back(entry.owner);
    return owners;
}

template <typename Predicate>
bool EarlierOwners::remove(Predicate predicate)
{
    const auto kept = std::remove_if(entries_.begin(), entries_.end(), [&](const Entry &entry) {
        return entry.owner.isNamed() && predicate(entry.owner);
    });
    const bool any = kept != entries_.end();
    entries_.erase(kept, entries_.end());
    return any;
}

bool EarlierOwners::onRestarted(const ProcessId &process)
{
    return remove([&](const EarlierOwner &owner) {
        return owner.process.address == process.address && owner.process != process;
    });
}

bool EarlierOwners::onEndConfirmed(const std::string &address, OwnerEpoch epoch)
{
    return remove([&](const EarlierOwner &owner) {
        return owner.process.address == address && owner.epoch <= epoch;
    });
}

std::vector<EarlierOwner> EarlierOwners::listForNextOwner(std::vector<EarlierOwner> listed,
                                                          bool isGuarded,
                                                          const EarlierOwner &predecessor)
{
    if (!isGuarded)
        listed.clear();
    else if (listed.empty() || listed.size() >= maxListed)
        listed.assign(1, EarlierOwner());
    listed.push_back(predecessor);
    return listed;
}

} // namespace kelptally::decision
