#include "entry/ownerdirectory.h"

#include <glog/logging.h>

#include <algorithm>

namespace kelptally::entry {

namespace {

bool isDue(const std::optional<Instant> &last, Duration interval, Instant now)
{
    return !last || now - *last >= interval;
}

} // namespace

OwnerDirectory::OwnerDirectory(TimerService &timers, OwnershipRowReader &rows, OwnerLinks &links)
    : timers_(timers), rows_(rows), links_(links)
{ }

std::optional<std::string> OwnerDirectory::owner(const GroupName &group) const
{
    const auto found = cache_.find(group);
    if (found == cache_.end() || found->second.suspected || found->second.owner.empty())
        return std::nullopt;
    return found->second.owner;
}

void OwnerDirectory::resolve(const GroupName &group, Callback callback)
{
    if (const auto cached = owner(group))
        return callback(cached);
    Lookup &lookup = lookups_[group];
    lookup.callbacks.push_back(std::move(callback));
    if (lookup.callbacks.size() > 1)
        return;
    lookup.timeoutTimer =
        timers_.subscribeAfter(lookupTimeout, [this, group] { finish(group, std::nullopt); });
    lookup.retryTimer = timers_.subscribeEvery(locateInterval, [this, group] { lookUp(group); });
    lookUp(group);
}

void OwnerDirectory::lookUp(const GroupName &group)
{
    const Instant now = timers_.now();
    if (isDue(lookups_[group].locateSentAt, locateInterval, now))
        sendLocate(group);
    if (isDue(lookups_[group].rowReadAt, rowReadInterval, now))
        readRow(group);
}

void OwnerDirectory::readRow(const GroupName &group)
{
    lookups_[group].rowReadAt = timers_.now();
    rows_.read(group, [this, group](auto read) {
        if (!read.ok()) {
            LOG_EVERY_N(WARNING, 100) << "event=owner_row_unread group=" << group << " cause=\""
                                      << read.status().message() << '"';
            return;
        }
        if (!*read)
            return;
        const decision::OwnershipRow &row = **read;
        CachedOwner &cached = cache_[group];
        if (row.epoch >= cached.epoch) {
            cached.successors.clear();
            for (const ProcessId &successor : row.successors)
                cached.successors.push_back(successor.address);
        }
        updateOwner(group, row.owner.address, row.epoch);
    });
}

// Returns the cached successors and owner, filled up with other processes in round-robin order.
std::vector<std::string> OwnerDirectory::locateTargets(const GroupName &group)
{
    std::vector<std::string> targets;
    const auto found = cache_.find(group);
    if (found != cache_.end()) {
        targets = found->second.successors;
        targets.push_back(found->second.owner);
    }
    const std::vector<std::string> &all = links_.addresses();
    for (std::size_t i = 0; targets.size() < minLocateTargets && i < all.size(); ++i) {
        const std::string &next = all[nextTarget_++ % all.size()];
        if (std::find(targets.begin(), targets.end(), next) == targets.end())
            targets.push_back(next);
    }
    return targets;
}

void OwnerDirectory::sendLocate(const GroupName &group)
{
    lookups_[group].locateSentAt = timers_.now();
    for (const std::string &address : locateTargets(group)) {
        const auto link = links_.findOrDial(address);
        if (link)
            links_.send(*link, inner::Locate {++lastLocate_, group}).IgnoreError();
    }
}

void OwnerDirectory::onLocateAnswer(const inner::LocateAnswer &answer)
{
    updateOwner(answer.group, answer.owner, answer.epoch);
}

void OwnerDirectory::onHint(const GroupName &group, const std::string &owner)
{
    updateOwner(group, owner, cache_[group].epoch);
}

// Ignores older epochs and unknown processes. Clears a suspicion of the same owner: a link can
// break while the process at its other end goes on.
void OwnerDirectory::updateOwner(const GroupName &group, const std::string &owner, OwnerEpoch epoch)
{
    CachedOwner &cached = cache_[group];
    if (owner.empty() || epoch < cached.epoch || !links_.isOwnerProcess(owner))
        return;
    cached.owner = owner;
    cached.epoch = epoch;
    cached.suspected = false;
    finish(group, owner);
}

void OwnerDirectory::suspect(const GroupName &group, const std::string &address)
{
    const auto found = cache_.find(group);
    if (found != cache_.end() && found->second.owner == address)
        found->second.suspected = true;
}

void OwnerDirectory::suspectAll(const std::string &address)
{
    for (auto &[group, cached] : cache_)
        cached.suspected = cached.suspected || cached.owner == address;
}

void OwnerDirectory::finish(const GroupName &group, const std::optional<std::string> &owner)
{
    const auto found = lookups_.find(group);
    if (found == lookups_.end() || found->second.callbacks.empty())
        return;
    timers_.cancel(found->second.timeoutTimer);
    timers_.cancel(found->second.retryTimer);
    std::vector<Callback> callbacks;
    callbacks.swap(found->second.callbacks);
    for (const Callback &callback : callbacks)
        callback(owner);
}

} // namespace kelptally::entry
