#include "decision/failover.h"

namespace kelptally::decision {

bool isInHistory(Position position, Term currentTerm, const std::vector<TermStart> &history)
{
    if (position.term == currentTerm)
        return true;
    if (position.term > currentTerm)
        return false;
    const TermStart *next = nullptr;
    for (const TermStart &entry : history) {
        const bool later = entry.term > position.term;
        if (later && (next == nullptr || entry.term < next->term))
            next = &entry;
    }
    return next != nullptr && position.offset < next->start;
}

} // namespace kelptally::decision
