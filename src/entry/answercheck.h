#pragma once

#include "core/clock.h"
#include "core/reason.h"
#include "inner/messages.h"

#include <optional>

namespace kelptally::entry {

// The times of one attempt as the entry sees them.
struct AttemptTimes
{
    // From sending the request to having its answer.
    Duration elapsed {0};
    // Still to come: from this entry to the caller.
    Duration callerTransit {0};
};

// What an owner's answer is worth to the caller.
struct AnswerVerdict
{
    // Reason::None: it may be passed on. ReplicaTooStale: it is past the stated age by the time
    // that it reaches the caller. Internal: it is not whole.
    Reason reason = Reason::None;
    // Upper bound of the data's age at the caller, for reads.
    std::optional<Duration> age;
    // Time under way.
    Duration transit {0};
};

// Checks an answer's counts against its rows, and the age of what it read, the time under way
// included: elapsed less the owner's own time, all of which may have followed the owner's reading.
AnswerVerdict checkAnswer(const inner::ExecuteResult &result, bool readOnly,
                          const std::optional<Duration> &statedAge, const AttemptTimes &times);

// The age that an owner is told, which takes the usual way and the caller's transit off it: the
// stated one, less the way of an earlier attempt that proved too long. Nothing when that alone
// takes all of it, so that only the newest data can do.
std::optional<Duration> ageLimitForOwner(const std::optional<Duration> &statedAge,
                                         Duration excessTransit);

} // namespace kelptally::entry
