#include "decision/relaychoice.h"

#include <algorithm>
#include <tuple>

namespace kelptally::decision {

namespace {

// Fractions of the time within which a host has to know a change. A relay's confirmation, at most
// relayWaitFraction old, is published within another eighth, before its subscribers poll. After
// minAgeFraction + ageFractionSpread there is time to notice that the answer to such a poll is
// lost, to repeat it on a new connection, and to receive and install the rows.
constexpr double relayWaitFraction = 0.3;
constexpr double minAgeFraction = 0.55;
constexpr double ageFractionSpread = 0.15;
constexpr double maxDelayFraction = 1.2;
constexpr double minDelayFraction = 0.5;
constexpr double maxCapacityDelayFraction = 0.7;
constexpr Duration maxDiscoveryWait = std::chrono::seconds(5);
constexpr Duration minPollWait = std::chrono::milliseconds(500);

// An answer is larger than the rows in it, as they are encoded as text: by about a third.
constexpr std::size_t minAnswerToTable = 2;
// A smaller answer may be a single row that has grown.
constexpr std::size_t minRefusedBytes = 512u << 10;

// FNV-1a: unlike std::hash, the same in every build.
std::uint64_t hashOf(const std::string &text)
{
    std::uint64_t hash = 14695981039346656037ull;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
    // Mixes the bits, as addresses that differ in the last digit have similar hashes.
    return hash ^ hash >> 29;
}

Duration scaled(Duration wait, double factor)
{
    return std::chrono::duration_cast<Duration>(wait * factor);
}

} // namespace

RelayOrder::Rank RelayOrder::rankOf(const RelayCandidate &candidate)
{
    return {!candidate.hasCapacity, hashOf(candidate.address), candidate.address};
}

void RelayOrder::add(const RelayCandidate &candidate)
{
    remove(candidate.address);
    candidates_[candidate.address] = candidate;
    byZone_[candidate.zone].insert(rankOf(candidate));
}

bool RelayOrder::hasCapacity(const std::string &address) const
{
    const auto known = candidates_.find(address);
    return known != candidates_.end() && known->second.hasCapacity;
}

void RelayOrder::remove(const std::string &address)
{
    const auto known = candidates_.find(address);
    if (known == candidates_.end())
        return;
    const auto zone = byZone_.find(known->second.zone);
    zone->second.erase(rankOf(known->second));
    if (zone->second.empty())
        byZone_.erase(zone);
    candidates_.erase(known);
}

std::vector<std::string> RelayOrder::choose(const std::string &zone, std::size_t count,
                                            const std::set<std::string> &avoided) const
{
    // 1. The first `count` candidates of each zone.
    struct Candidate
    {
        std::tuple<bool, bool, std::uint64_t> rank;
        std::string address;
    };
    std::vector<Candidate> candidates;
    for (const auto &[name, ranked] : byZone_) {
        std::size_t taken = 0;
        for (auto each = ranked.begin(); each != ranked.end() && taken < count; ++each) {
            const std::string &address = std::get<2>(*each);
            if (avoided.count(address) != 0)
                continue;
            const bool isFirst = ++taken == 1 && !name.empty();
            candidates.push_back({{!isFirst, name != zone, hashOf(zone + "/" + address)}, address});
        }
    }
    // 2. Of these the first `count` in the order for this zone.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tie(a.rank, a.address) < std::tie(b.rank, b.address);
    });
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i)
        chosen.push_back(std::move(candidates[i].address));
    return chosen;
}

std::vector<std::string> chooseRelays(const std::vector<RelayCandidate> &candidates,
                                      const std::string &zone, std::size_t count)
{
    RelayOrder order;
    for (const RelayCandidate &candidate : candidates)
        order.add(candidate);
    return order.choose(zone, count);
}

Duration relayPollWait(Duration wait)
{
    return std::max(std::min(wait, minPollWait), scaled(wait, relayWaitFraction));
}

Duration maxConfirmationAge(Duration wait, double draw)
{
    return scaled(wait, minAgeFraction + ageFractionSpread * draw);
}

bool isLargerThanTable(std::size_t remainingBytes, std::size_t tableBytes)
{
    return remainingBytes >= minRefusedBytes && remainingBytes > minAnswerToTable * tableBytes;
}

Duration relayDiscoveryDelay(Duration wait, double draw, bool hasCapacity)
{
    const double factor = hasCapacity
        ? maxCapacityDelayFraction * draw
        : minDelayFraction + (maxDelayFraction - minDelayFraction) * draw;
    return scaled(std::min(wait, maxDiscoveryWait), factor);
}

} // namespace kelptally::decision
