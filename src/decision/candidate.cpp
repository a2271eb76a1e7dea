#include "decision/candidate.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

const Candidate *bestCandidate(const std::vector<Candidate> &prepared, std::size_t majority,
                               const ServerName &preferred, bool trustedOnly)
{
    const auto preference = [&](const Candidate &c) {
        return c.server == preferred ? 2 : (c.trusted ? 1 : 0);
    };
    const Candidate *best = nullptr;
    std::size_t count = 0;
    for (const Candidate &candidate : prepared) {
        if (trustedOnly && !candidate.trusted)
            continue;
        ++count;
        const bool better = !best || best->received < candidate.received
            || (best->received == candidate.received && preference(*best) < preference(candidate));
        if (better)
            best = &candidate;
    }
    return count >= majority ? best : nullptr;
}

} // namespace

const Candidate *chooseCandidate(const std::vector<Candidate> &prepared, std::size_t majority,
                                 const ServerName &preferred)
{
    if (const Candidate *trusted = bestCandidate(prepared, majority, preferred, true))
        return trusted;
    return bestCandidate(prepared, majority, preferred, false);
}

} // namespace kelptally::decision
