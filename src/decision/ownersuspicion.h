#pragma once

#include "core/clock.h"

#include <optional>

namespace kelptally::decision {

// Whether an answer that is overdue is evidence against the owner of the group. Guards against
// overload: an answer can be lost with its link, or be late because the owner is short of processor
// time, and each change of owner ends transactions and reopens connections in the busiest seconds.
// An owner that has answered another statement of the group since this one was sent still serves
// the group; lastAnswerAt is empty if it has answered none. A lost owner is recognised by its
// silence instead.
bool isOwnerSuspect(Instant sentAt, std::optional<Instant> lastAnswerAt);

} // namespace kelptally::decision
