#pragma once

#include "modelservers.h"

#include <random>

namespace kelptally::model {

// The platform's list of servers, and what each host has read of it.
// A running server renews its entry. The entry expires when it has not been renewed for three
// intervals; after the store was unavailable it returns within two seconds.
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

    // Renews the entries of the running servers. Must be called often.
    void renew(bool storeAvailable);
    // Returns the changes since the host's last read; none before its next read is due.
    EntryChanges read(std::size_t host);
    // Makes a restarted host read all entries again.
    void resetReader(std::size_t host) { readers_[host] = {}; }
    // Hides the server's entry from the host for the time.
    void hide(std::size_t host, const ServerName &server, Duration time);
    // Removes the entry of a server that has left.
    void remove(const ServerName &server);

    const Entries &entries() const { return entries_; }

    // Servers whose renewals the store rejects.
    std::set<ServerName> deniedRenewal;

private:
    struct Renewal
    {
        Instant last {};
        // When an expired entry may be listed again.
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
