#include "decision/ownersuspicion.h"

namespace kelptally::decision {

bool isOwnerSuspect(Instant sentAt, std::optional<Instant> lastAnswerAt)
{
    return !lastAnswerAt || *lastAnswerAt < sentAt;
}

} // namespace kelptally::decision
