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

// Choice of relays: the few hosts that poll the table service and forward changes to the others, so
// that calls to the service don't grow with the number of hosts. When each host polled, 295 hosts
// made 14,666 calls on a calm day of 48 s, and 1,300 hosts would use up the 2,000 reads a second of
// the service.

struct RelayCandidate
{
    std::string address;
    // Empty when unknown.
    std::string zone;
    // Whether it has the processor time and bandwidth for many subscribers.
    bool hasCapacity = false;
};

// The hosts that may be relays, in an order on which all hosts agree. Updated incrementally, as
// sorting all candidates at each change is too slow for large deployments.
class RelayOrder
{
public:
    // Adds a candidate, or replaces the one with the same address.
    void add(const RelayCandidate &candidate);
    void remove(const std::string &address);
    std::size_t size() const { return candidates_.size(); }
    // Whether the host is a candidate with capacity.
    bool hasCapacity(const std::string &address) const;

    // Returns the relays for a host in the zone: the first candidate of its own zone, then the
    // first ones of other zones, in an order specific to the zone, then any. Within a zone
    // candidates with capacity come first. As all hosts agree on the first of a zone, there is
    // about one relay per zone. A host that finds itself among them polls the service.
    // Candidates in `avoided` are skipped.
    std::vector<std::string> choose(const std::string &zone, std::size_t count,
                                    const std::set<std::string> &avoided = {}) const;

private:
    // Candidates with capacity first, then by the hash of the address.
    using Rank = std::tuple<bool, std::uint64_t, std::string>;
    using RankedCandidates = std::set<Rank>;

    static Rank rankOf(const RelayCandidate &candidate);

    // By address.
    std::map<std::string, RelayCandidate> candidates_;
    std::map<std::string, RankedCandidates> byZone_;
};

// RelayOrder::choose() for a list of candidates.
std::vector<std::string> chooseRelays(const std::vector<RelayCandidate> &candidates,
                                      const std::string &zone, std::size_t count);

// How long the service may hold a poll of a host that has to know a change within `wait`. Each
// answer confirms to a relay's subscribers that they are current, and a lost answer is noticed only
// after this time.
Duration relayPollWait(Duration wait);

// Age of its last confirmation at which a subscriber polls the service itself. Leaves time for a
// relay's poll before, and for a lost answer of the service after. `draw`, from 0 to 1, spreads
// subscribers that lose their relays at the same time.
Duration maxConfirmationAge(Duration wait, double draw);

// Whether the rest of an answer with changes is so much larger than the table that the table is
// read instead: the answer holds many versions of the same rows. Takes the bytes of the answer that
// have not arrived, and the size of the table's keys and values.
bool isLargerThanTable(std::size_t remainingBytes, std::size_t tableBytes);

// Delay before each search for a relay by a host that knows none. The first hosts to search find
// none, follow the tables themselves and claim groups; later ones find these as relays. Hosts with
// capacity search first, so that they are the ones that claim groups. When all hosts drew from the
// same range, the 18 of 295 hosts with half a core claimed 3 to 9 of 20 groups.
Duration relayDiscoveryDelay(Duration wait, double draw, bool hasCapacity);

} // namespace kelptally::decision
