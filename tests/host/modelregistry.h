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

    struct EntryChanges
    {
        std::vector<group::ListedServer> listed;
        std::vector<ServerName> missing;
    };

    ModelRegistry(ManualTimerService &timers, ModelGroup &group, std::uint64_t seed);

    // Servers renew their entries; to be called often.
    void renew(bool storeAvailable);
    // What the host has not read yet; nothing while it waits for its next reading.
    EntryChanges read(std::size_t host);
    // The host starts again and has read nothing.
    void resetReader(std::size_t host) { readers_[host] = {}; }
    // For the host the server's entry is not there for so long.
    void hide(std::size_t host, const ServerName &server, Duration time);
    // The server has left: its entry is removed at once.
    void remove(const ServerName &server);

    const Entries &entries() const { return entries_; }

    // Servers that the store does not let renew their entries.
    std::set<ServerName> deniedRenewal;

private:
    struct Renewal
    {
        Instant last {};
        // An entry that lapsed is back only then.
        Instant returnsAt {};
    };
    struct Reader
    {
        Entries known;
        Instant nextReadAt {};
        std::map<ServerName, Instant> hiddenUntil;
    };

    void renewOne(const group::ListedServer &server, bool reachesStore);
    Duration readDelay();
    Duration randomDuration(Duration minimum, Duration maximum);

    ManualTimerService &timers_;
    ModelGroup &group_;
    std::mt19937_64 random_;
    Entries entries_;
    std::map<ServerName, Renewal> renewals_;
    std::map<std::size_t, Reader> readers_;
};

} // namespace kelptally::model
