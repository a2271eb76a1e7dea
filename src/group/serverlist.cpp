#include "group/serverlist.h"

#include <prometheus/counter.h>

#include <algorithm>

namespace kelptally::group {

namespace {

// Exceeds the time in which expired entries reappear after the store has recovered.
constexpr Duration missingTimeout = std::chrono::milliseconds(2500);
// Time for which a server that is still missing counts as leaving before its removal. Below the
// time that operators allow to leaving servers.
constexpr Duration leavingTimeout = std::chrono::milliseconds(3000);
// Number of earlier runs to remember per server, whose delayed updates may still arrive.
constexpr std::size_t maxEarlierRuns = 8;

} // namespace

std::string startText(const std::optional<ServerStart> &start)
{
    return start ? std::to_string(start->time_since_epoch().count()) : std::string("-");
}

ServerList::ServerList(TimerService &timers, EventLog &log, Metrics &metrics,
                       ChangedCallback changed)
    : timers_(timers), log_(log), scannedEntries_(metrics.scannedEntries("servers")),
      changed_(std::move(changed))
{ }

bool ServerList::isOutdated(const Entry &entry, const ListedServer &server) const
{
    if (entry.generation == 0 || !server.run.start)
        return false;
    if (server.run == entry.server.run)
        return server.sequence < entry.server.sequence;
    return std::find(entry.earlierRuns.begin(), entry.earlierRuns.end(), *server.run.start)
        != entry.earlierRuns.end();
}

// Records a change of the server's run.
void ServerList::recordRun(Entry &entry, const ListedServer &server)
{
    if (entry.generation == 0 || entry.server.run == server.run)
        return;
    log_.warning("server_restarted")
        .with("server", server.id())
        .with("group", server.group)
        .with("run", startText(server.run.start))
        .with("before", startText(entry.server.run.start));
    if (entry.server.run.start)
        entry.earlierRuns.push_back(*entry.server.run.start);
    if (entry.earlierRuns.size() > maxEarlierRuns)
        entry.earlierRuns.erase(entry.earlierRuns.begin());
}

void ServerList::onListed(const ListedServer &server)
{
    Entry &entry = servers_[server.id()];
    if (isOutdated(entry, server)) {
        log_.info("server_update_outdated")
            .with("server", server.id())
            .with("run", startText(server.run.start))
            .with("sequence", server.sequence)
            .with("known", entry.server.sequence);
        return;
    }
    // A server that has reported its start always does; this entry has another writer.
    if (entry.generation != 0 && entry.server.run.start && !server.run.start)
        return onMissing(server.id());
    recordRun(entry, server);
    const bool changed = entry.generation == 0 || entry.missing
        || entry.server.endpoint != server.endpoint || entry.server.leaving != server.leaving
        || entry.server.primary != server.primary || entry.server.slots != server.slots
        || entry.server.group != server.group || entry.server.run != server.run;
    const GroupName before = entry.server.group;
    const bool wasLeaving =
        entry.generation != 0 && entry.server.leaving && entry.server.run == server.run;
    const Instant leavingSince = wasLeaving ? entry.server.leavingSince : server.leavingSince;
    entry.server = server;
    move(server.id(), before, server.group);
    if (server.leaving)
        entry.server.leavingSince = std::min(leavingSince, timers_.now());
    entry.missing = false;
    ++entry.generation;
    if (!changed)
        return;
    log_.info("server_listed")
        .with("server", server.id())
        .with("run", startText(server.run.start))
        .with("group", server.group)
        .with("endpoint", server.endpoint)
        .with("zone", server.zone)
        .with("leaving", server.leaving)
        .with("primary", server.primary);
    if (!before.empty() && before != server.group)
        publish(before);
    publish(server.group);
}

void ServerList::onMissing(const ServerName &server)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.missing)
        return;
    found->second.missing = true;
    const std::uint64_t generation = found->second.generation;
    log_.info("server_missing").with("server", server);
    found->second.server.missing = true;
    publish(found->second.server.group);
    timers_.subscribeAfter(missingTimeout, [this, server, generation] {
        onMissingTimeout(server, generation, false);
    });
    timers_.subscribeAfter(missingTimeout + leavingTimeout, [this, server, generation] {
        onMissingTimeout(server, generation, true);
    });
}

void ServerList::onMissingTimeout(const ServerName &server, std::uint64_t generation,
                                  bool isRemoval)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.generation != generation || !found->second.missing)
        return;
    log_.info(isRemoval ? "server_gone" : "server_still_missing").with("server", server);
    const GroupName group = found->second.server.group;
    if (isRemoval) {
        servers_.erase(found);
        move(server, group, GroupName());
    } else {
        markLeaving(found->second.server);
    }
    publish(group);
}

void ServerList::markLeaving(ListedServer &server)
{
    if (!server.leaving)
        server.leavingSince = timers_.now();
    server.leaving = true;
}

// Moves the server between the groups' indexes; an empty name stands for no group.
void ServerList::move(const ServerName &server, const GroupName &from, const GroupName &to)
{
    if (from == to)
        return;
    const auto left = byGroup_.find(from);
    if (left != byGroup_.end() && left->second.erase(server) != 0 && left->second.empty())
        byGroup_.erase(left);
    if (!to.empty())
        byGroup_[to].insert(server);
}

void ServerList::publish(const GroupName &group)
{
    std::vector<ListedServer> servers;
    const auto members = byGroup_.find(group);
    if (members != byGroup_.end())
        for (const ServerName &id : members->second)
            servers.push_back(servers_.at(id).server);
    scannedEntries_.Increment(double(servers.size()));
    changed_(group, servers);
}

} // namespace kelptally::group
