#pragma once

#include "core/clock.h"
#include "core/reason.h"
#include "inner/messages.h"

#include <optional>

namespace kelptally::entry {

// Durations of one attempt as measured by the entry.
struct AttemptTimes
{
    // From sending the request to receiving its answer.
    Duration elapsed {0};
    // Estimate for the answer's transit from this entry to the caller.
    Duration callerTransit {0};
};

// Result of checking an owner's answer.
struct AnswerVerdict
{
    // None: the answer may be forwarded. ReplicaTooStale: its data will exceed the stated age when
    // it reaches the caller. Internal: the answer is incomplete.
    Reason reason = Reason::None;
    // Upper bound of the data's age when it reaches the caller, for reads.
    std::optional<Duration> age;
    // Time that the request and its answer spent between the entry and the owner.
    Duration transit {0};
};

// Checks an answer's counts against its rows, and the age of its data including the transit time.
// The whole transit time is added, as all of it may have passed after the data was read.
AnswerVerdict checkAnswer(const inner::ExecuteResult &result, bool readOnly,
                          const std::optional<Duration> &statedAge, const AttemptTimes &times);

// Returns the age limit to send to the owner: the stated age less the transit time of an earlier
// attempt whose answer arrived too old. The owner itself subtracts the usual transit times. Returns
// nullopt, which asks for the newest data, when nothing is left.
std::optional<Duration> ageLimitForOwner(const std::optional<Duration> &statedAge,
                                         Duration excessTransit);

} // namespace kelptally::entry
