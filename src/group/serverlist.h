#pragma once

#include "core/eventlog.h"
#include "core/timerservice.h"
#include "group/serverport.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kelptally::group {

// The servers of all groups as the platform lists them. An entry that is missing for a moment may
// have lapsed while the platform's store was away: its server goes on first, then counts as
// leaving, and only then as gone.
class ServerList
{
public:
    using Changed =
        std::function<void(const GroupName &group, const std::vector<ListedServer> &servers)>;

    ServerList(TimerService &timers, EventLog &log, Changed changed);

    void onListed(const ListedServer &server);
    void onMissing(const ServerName &server);

    bool isEmpty() const { return servers_.empty(); }

private:
    struct Entry
    {
        ListedServer server;
        // Counts appearances, so that a late timer is told apart.
        std::uint64_t appearance = 0;
        bool missing = false;
    };

    void markLeaving(ListedServer &server);
    void tell(const GroupName &group);
    void onStillMissing(const ServerName &server, std::uint64_t appearance, bool gone);

    TimerService &timers_;
    EventLog &log_;
    const Changed changed_;
    std::map<ServerName, Entry> servers_;
};

} // namespace kelptally::group
