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

// The servers of all groups as the platform lists them. An entry that is missing for a moment may
// have lapsed while the platform's store was away: its server goes on first, then counts as
// leaving, and only then as gone. So does one whose entry was overwritten by something that can't
// be understood: if it lives, its next report mends the entry.
//
// A server that starts again under its id is told as another run. Late news of an earlier run, or
// older ones of the same, are left out.
class ServerList
{
public:
    using ChangedCallback =
        std::function<void(const GroupName &group, const std::vector<ListedServer> &servers)>;

    ServerList(TimerService &timers, EventLog &log, Metrics &metrics, ChangedCallback changed);

    void onListed(const ListedServer &server);
    void onMissing(const ServerName &server);

    // Tells the group's servers once more, for whoever had no use for them until now.
    void republish(const GroupName &group) { publish(group); }

    bool isEmpty() const { return servers_.empty(); }

private:
    struct Entry
    {
        ListedServer server;
        // Starts of earlier runs, the newest last.
        std::vector<ServerStart> earlierRuns;
        // Counts appearances, so that a late timer is told apart.
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
    prometheus::Counter &visits_;
    const ChangedCallback changed_;
    std::map<ServerName, Entry> servers_;
    std::map<GroupName, std::set<ServerName>> byGroup_;
};

} // namespace kelptally::group
