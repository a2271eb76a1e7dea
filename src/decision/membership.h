#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "settings/inventory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kelptally::decision {

// State of one host's owner process as seen by this process.
struct Member
{
    ProcessId process;
    HostName host;
    ZoneName zone;
    bool reachable = false;
    bool leaving = false;
};

// Hash of a name that is the same in every process and build.
std::uint64_t stableHash(const std::string &name);

// Tracks the owner processes from the configuration's hosts, the platform's host list and the links
// between processes, and ranks them as owners and successors of each group. The host list lags.
class Membership
{
public:
    // A host absent from the platform's list for this long counts as gone.
    static constexpr Duration absenceTimeout = std::chrono::seconds(30);

    // Sets the hosts of the configuration, each with one owner process. Keeps the state of hosts
    // that are still configured.
    void setHosts(const std::vector<settings::Host> &hosts);
    // A link to the process is up. The caller also reports its own process here.
    void onPeerUp(Instant now, const ProcessId &process);
    void onPeerDown(Instant now, const ProcessId &process);
    // Takes the names of live and leaving hosts from the platform's list as just fetched.
    void onHostList(Instant now, const std::vector<HostName> &live,
                    const std::vector<HostName> &leaving);

    // Returns the processes proven dead since the last call: a newer incarnation runs at their
    // address, or their host has been absent from the list for the timeout.
    std::vector<ProcessId> takeDeadProcesses(Instant now);

    // Returns the best owner for a group without one, by rendezvous hashing over the reachable
    // processes. Prefers processes in other zones than the primary's.
    std::optional<ProcessId> preferredOwner(const GroupName &group,
                                            const ZoneName &primaryZone) const;
    // Returns the eligible successors, best first: one process from each zone other than the
    // owner's, then the remaining processes of those zones, then those of the owner's zone. Each
    // part is ordered by hash.
    std::vector<ProcessId> successorCandidates(const GroupName &group,
                                               const ProcessId &owner) const;

    // Returns the addresses of the first processes for a group by the same hash, reachable or not.
    // These processes keep links to each other for the group. Leaving hosts are excluded.
    std::vector<std::string> candidates(const GroupName &group, std::size_t count) const;

    std::vector<Member> members() const;

private:
    struct HostRecord
    {
        Member member;
        std::uint64_t hash = 0;
        // State of the host on the platform's list.
        bool everListed = false;
        std::optional<Instant> absentSince;
        bool reportedDead = false;
        bool leavingByConfig = false;
        bool leavingByList = false;
    };

    HostRecord *find(const std::string &address);
    struct WeightedHost
    {
        std::uint64_t weight;
        const HostRecord *record;
    };
    static bool isBefore(const WeightedHost &a, const WeightedHost &b);
    std::vector<WeightedHost> weightedHosts(const GroupName &group, bool onlyReachable) const;
    std::vector<const HostRecord *> rankedHosts(const GroupName &group) const;

    std::vector<HostRecord> records_;
    std::vector<ProcessId> deadProcesses_;
};

} // namespace kelptally::decision
