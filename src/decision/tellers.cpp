#include "decision/tellers.h"

#include <algorithm>
#include <tuple>

namespace kelptally::decision {

namespace {

// Parts of the time for which a question of a host of its own stays open. A teller's news are 0.4
// of it old at most, and a listener's 0.9 before it asks; the whole time is known to hold the
// bounds.
constexpr double tellerPart = 0.4;
constexpr double limitPart = 0.65;
constexpr double limitSpread = 0.25;
constexpr double firstPart = 1.2;
constexpr double laterFirstPart = 0.5;
constexpr double roomFirstPart = 0.7;
constexpr Duration longestFirst = std::chrono::seconds(5);
constexpr Duration shortestWait = std::chrono::milliseconds(500);

// FNV-1a: the same on every host, whatever it was built with.
std::uint64_t hashOf(const std::string &text)
{
    std::uint64_t hash = 14695981039346656037ull;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
    // Its low bits alone differ little between addresses that differ in their last digit.
    return hash ^ hash >> 29;
}

Duration part(Duration wait, double factor)
{
    return std::chrono::duration_cast<Duration>(wait * factor);
}

} // namespace

TellerOrder::Rank TellerOrder::rankOf(const Teller &teller)
{
    return {!teller.hasRoom, hashOf(teller.address), teller.address};
}

void TellerOrder::add(const Teller &teller)
{
    remove(teller.address);
    tellers_[teller.address] = teller;
    byZone_[teller.zone].insert(rankOf(teller));
}

void TellerOrder::remove(const std::string &address)
{
    const auto known = tellers_.find(address);
    if (known == tellers_.end())
        return;
    const auto zone = byZone_.find(known->second.zone);
    zone->second.erase(rankOf(known->second));
    if (zone->second.empty())
        byZone_.erase(zone);
    tellers_.erase(known);
}

std::vector<std::string> TellerOrder::choose(const std::string &zone, std::size_t count,
                                             const std::set<std::string> &avoided) const
{
    // 1. The first ones of each zone, no more than are wanted.
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
    // 2. Of these the first ones for this zone.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tie(a.rank, a.address) < std::tie(b.rank, b.address);
    });
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i)
        chosen.push_back(std::move(candidates[i].address));
    return chosen;
}

std::vector<std::string> chooseTellers(const std::vector<Teller> &candidates,
                                       const std::string &zone, std::size_t count)
{
    TellerOrder order;
    for (const Teller &teller : candidates)
        order.add(teller);
    return order.choose(zone, count);
}

Duration tellerWait(Duration wait)
{
    return std::max(std::min(wait, shortestWait), part(wait, tellerPart));
}

Duration proofLimit(Duration wait, double draw)
{
    return part(wait, limitPart + limitSpread * draw);
}

Duration firstAsk(Duration wait, double draw, bool hasRoom)
{
    const double factor =
        hasRoom ? roomFirstPart * draw : laterFirstPart + (firstPart - laterFirstPart) * draw;
    return part(std::min(wait, longestFirst), factor);
}

} // namespace kelptally::decision
