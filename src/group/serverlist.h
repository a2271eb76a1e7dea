#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "group/serverinterface.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kelptally::group {

// The servers of all groups as listed by the platform. A missing or unreadable entry may have
// expired during an outage of the platform's store, so its server stays at first, then counts as
// leaving, and is removed last.
//
// A server that restarts under its id is reported as another run. Outdated updates, of an earlier
// run or of the same one, are ignored.
class ServerList
{
public:
    using ChangedCallback =
        std::function<void(const GroupName &group, const std::vector<ListedServer> &servers)>;

    ServerList(TimerService &timers, EventLog &log, Metrics &metrics, ChangedCallback changed);

    void onListed(const ListedServer &server);
    void onMissing(const ServerName &server);

    // Repeats the callback for the group.
    void republish(const GroupName &group) { publish(group); }

    bool isEmpty() const { return servers_.empty(); }

private:
    struct Entry
    {
        ListedServer server;
        // Start times of earlier runs, the newest last.
        std::vector<ServerStart> earlierRuns;
        // Incremented by each update; invalidates pending timers.
        std::uint64_t generation = 0;
        bool missing = false;
    };

    bool isOutdated(const Entry &entry, const ListedServer &server) const;
    void recordRun(Entry &entry, const ListedServer &server);
    void markLeaving(ListedServer &server);
    void move(const ServerName &server, const GroupName &from, const GroupName &to);
    void publish(const GroupName &group);
    void onMissingTimeout(const ServerName &server, std::uint64_t generation, bool isRemoval);

    TimerService &timers_;
    EventLog &log_;
    prometheus::Counter &scannedEntries_;
    const ChangedCallback changed_;
    std::map<ServerName, Entry> servers_;
    std::map<GroupName, std::set<ServerName>> byGroup_;
};

} // namespace kelptally::group
