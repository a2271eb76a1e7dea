#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "settings/inventory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kelptally::decision {

// One owner process as this process sees it.
struct Member
{
    ProcessId process;
    HostName host;
    ZoneName zone;
    bool reachable = false;
    bool leaving = false;
};

// Stable number of a name: the same in every process and build.
std::uint64_t stableHash(const std::string &name);

// Which owner processes there are, from the configuration's hosts, the platform's lagging list and
// the links, and which of them should own or succeed a group.
class Membership
{
public:
    // Absence from the platform's list counts only after this long: the list lags.
    static constexpr Duration absenceTimeout = std::chrono::seconds(30);

    // Hosts of the configuration; each has one owner process. What is known of those that stay is
    // kept.
    void setHosts(const std::vector<settings::Host> &hosts);
    // A process was heard; the process that asks counts itself as heard.
    void onPeerUp(Instant now, const ProcessId &process);
    void onPeerDown(Instant now, const ProcessId &process);
    // The platform's list as just fetched: hosts that are live or leaving by name.
    void onHostList(Instant now, const std::vector<HostName> &live,
                    const std::vector<HostName> &leaving);

    // Processes proven dead since the last call: a newer incarnation was heard at their address,
    // or their host is gone from the list.
    std::vector<ProcessId> takeDeadProcesses(Instant now);

    // Best owner for a group without one: rendezvous hashing over reachable processes, those in
    // another zone than the primary first.
    std::optional<ProcessId> preferredOwner(const GroupName &group,
                                            const ZoneName &primaryZone) const;
    // Fit successors, best first: one of each other zone than the owner's, then the rest of those,
    // then the owner's own zone; within each by hash.
    std::vector<ProcessId> successorChoice(const GroupName &group, const ProcessId &owner) const;

    // Addresses of the first hosts for a group by the same hash, whether reachable or not: the
    // processes that keep links to each other for it. Leaving hosts are left out.
    std::vector<std::string> candidates(const GroupName &group, std::size_t count) const;

    std::vector<Member> members() const;

private:
    struct HostRecord
    {
        Member member;
        std::uint64_t hash = 0;
        // The host as the platform lists it.
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
