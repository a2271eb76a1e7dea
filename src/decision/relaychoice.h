#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace kelptally::decision {

// Few hosts follow the tables of the table service, and tell the others what changes.
//
// The load it answers: each host asked for itself. 295 hosts made 14,666 calls on a calm day of 48
// s (a fifth of what its statements were worth), and 1,300 hosts would use up the service's 2,000
// reads a second.

// A host that may tell others.
struct RelayCandidate
{
    std::string address;
    // Empty when it is not known.
    std::string zone;
    // It has processor time and a link for many listeners.
    bool hasCapacity = false;
};

// The hosts that may be tellers, in an order that all hosts agree on. Kept up to date one by one:
// with a thousand of them a list that was sorted anew at each change cost more than all else.
class RelayOrder
{
public:
    // One that is known moves to the zone.
    void add(const RelayCandidate &candidate);
    void remove(const std::string &address);
    std::size_t size() const { return candidates_.size(); }

    // Whom a host in the zone listens to, of those with room if there are any in a zone: the first
    // of its own zone, then the first ones of other
    // zones, in an order of the zone's own, and then any. All hosts agree on the first one of a
    // zone, so that there is about one teller for each zone. A host that finds itself among them
    // asks the service. Those that are avoided count as missing.
    std::vector<std::string> choose(const std::string &zone, std::size_t count,
                                    const std::set<std::string> &avoided = {}) const;

private:
    // Those with room first, then in an order of their addresses.
    using Rank = std::tuple<bool, std::uint64_t, std::string>;
    using RankedCandidates = std::set<Rank>;

    static Rank rankOf(const RelayCandidate &candidate);

    // By address.
    std::map<std::string, RelayCandidate> candidates_;
    std::map<std::string, RankedCandidates> byZone_;
};

// The same from a list.
std::vector<std::string> chooseRelays(const std::vector<RelayCandidate> &candidates,
                                      const std::string &zone, std::size_t count);

// How long a teller's question may stay open, of the time for which a host of its own would leave
// it open: each answer proves to all listeners that nothing else has changed.
Duration relayPollWait(Duration wait);

// A listener whose newest proof is older than this asks the service itself. Leaves time for the
// teller's question and one lost message, and to the service a tenth of the time in which the
// change has to be known. The draw, from 0 to 1, spreads listeners that lose their tellers at once.
Duration maxConfirmationAge(Duration wait, double draw);

// A host that knows no teller yet looks for one after this, and once more after as long. The first
// few find nobody, follow the tables and claim groups; the others find tellers. Hosts with room for
// groups look first: when all drew alike, 3 to 9 of 20 groups were claimed by the 18 of 295 hosts
// that had half a core.
Duration relayDiscoveryDelay(Duration wait, double draw, bool hasCapacity);

} // namespace kelptally::decision
