#pragma once

#include "modelservers.h"

#include <random>

namespace kelptally::model {

// The platform's list of servers as its entries come and go, and what each host has read of it.
//
// A running server renews its entry; one that is silent loses it after three intervals, and one
// that could not reach the store has it back within two seconds.
class ModelRegistry
{
public:
    using Entries = std::map<ServerName, group::ListedServer>;

    struct News
    {
        std::vector<group::ListedServer> listed;
        std::vector<ServerName> missing;
    };

    ModelRegistry(ManualTimerService &timers, ModelGroup &group, std::uint64_t seed);

    // Servers renew their entries; to be called often.
    void renew(bool storeServes);
    // What the host has not read yet; nothing while it waits for its next reading.
    News read(std::size_t host);
    // The host starts again and has read nothing.
    void forget(std::size_t host) { readers_[host] = {}; }
    // For the host the server's entry is not there for so long.
    void hide(std::size_t host, const ServerName &server, Duration time);
    // The server has left: its entry is removed at once.
    void remove(const ServerName &server);

    const Entries &entries() const { return entries_; }

    // Servers that the store does not let renew their entries.
    std::set<ServerName> turnedAway;

private:
    struct Renewal
    {
        Instant last {};
        // An entry that lapsed is back only then.
        Instant backAt {};
    };
    struct Reader
    {
        Entries known;
        Instant next {};
        std::map<ServerName, Instant> hiddenUntil;
    };

    void renewOne(const group::ListedServer &server, bool reachesStore);
    Duration readDelay();
    Duration between(Duration least, Duration most);

    ManualTimerService &timers_;
    ModelGroup &group_;
    std::mt19937_64 random_;
    Entries entries_;
    std::map<ServerName, Renewal> renewals_;
    std::map<std::size_t, Reader> readers_;
};

} // namespace kelptally::model
