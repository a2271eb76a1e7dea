#include "modelregistry.h"

namespace kelptally::model {

namespace {

using namespace std::chrono_literals;

// Three renewal intervals of 1.2 s.
constexpr Duration entryLifetime = 3600ms;
// Longest time until an expired entry is listed again after the store has returned.
constexpr Duration maxReturnDelay = 2s;

// Reads of the list are delayed. A few take longer than a change of the primary.
constexpr Duration usualReadDelay = 60ms;
constexpr Duration slowReadDelay = 500ms;
constexpr Duration maxReadDelay = 2s;
constexpr double slowReadShare = 0.08;
constexpr double slowestReadShare = 0.02;

bool isSame(const group::ListedServer &a, const group::ListedServer &b)
{
    return a.run == b.run && a.endpoint == b.endpoint && a.leaving == b.leaving
        && a.primary == b.primary;
}

} // namespace

ModelRegistry::ModelRegistry(ManualTimerService &timers, ModelGroup &group, std::uint64_t seed)
    : timers_(timers), group_(group), random_(seed * 15485863 + 3)
{
    renew(true);
}

Duration ModelRegistry::randomDuration(Duration minimum, Duration maximum)
{
    return Duration(
        std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(random_));
}

Duration ModelRegistry::readDelay()
{
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    if (draw < slowestReadShare)
        return randomDuration(slowReadDelay, maxReadDelay);
    if (draw < slowestReadShare + slowReadShare)
        return randomDuration(usualReadDelay, slowReadDelay);
    return randomDuration(0ms, usualReadDelay);
}

void ModelRegistry::renew(bool storeAvailable)
{
    const Instant now = timers_.now();
    for (const group::ListedServer &server : group_.listed())
        if (group_.servers().at(server.id()).running)
            renewOne(server, storeAvailable && deniedRenewal.count(server.id()) == 0);
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const bool lapsed = now - renewals_[entry->first].last >= entryLifetime;
        entry = lapsed ? entries_.erase(entry) : std::next(entry);
    }
    for (const auto &[id, entry] : entries_)
        group_.servers().at(id).lastListedAt = now;
}

void ModelRegistry::renewOne(const group::ListedServer &server, bool reachesStore)
{
    const Instant now = timers_.now();
    const auto [renewal, isNew] = renewals_.try_emplace(server.id());
    if (isNew)
        renewal->second.last = now;
    if (!reachesStore) {
        // Drawn again until the store is available, so that entries return one by one.
        renewal->second.returnsAt = now + randomDuration(0ms, maxReturnDelay);
        return;
    }
    const auto entry = entries_.find(server.id());
    if (entry == entries_.end() && now < renewal->second.returnsAt)
        return;
    renewal->second.last = now;
    if (entry == entries_.end() || !isSame(entry->second, server))
        entries_[server.id()] = server;
}

void ModelRegistry::hide(std::size_t host, const ServerName &server, Duration time)
{
    Instant &until = readers_[host].hiddenUntil[server];
    until = std::max(until, timers_.now() + time);
}

void ModelRegistry::remove(const ServerName &server)
{
    entries_.erase(server);
}

ModelRegistry::EntryChanges ModelRegistry::read(std::size_t host)
{
    const Instant now = timers_.now();
    Reader &reader = readers_[host];
    EntryChanges entryChanges;
    if (now < reader.nextReadAt)
        return entryChanges;
    reader.nextReadAt = now + readDelay();
    Entries visible;
    for (const auto &[id, server] : entries_)
        if (now >= reader.hiddenUntil[id])
            visible[id] = server;
    for (const auto &[id, server] : visible) {
        const auto known = reader.known.find(id);
        if (known == reader.known.end() || !isSame(known->second, server))
            entryChanges.listed.push_back(server);
    }
    for (const auto &[id, server] : reader.known)
        if (visible.count(id) == 0)
            entryChanges.missing.push_back(id);
    reader.known = std::move(visible);
    return entryChanges;
}

} // namespace kelptally::model
