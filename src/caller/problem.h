#pragma once

#include "caller/httpmessage.h"
#include "core/clock.h"
#include "core/reason.h"

#include <optional>
#include <string>
#include <vector>

namespace kelptally::caller {

// A mistake in a received document and its location.
struct ProblemFinding
{
    // JSON pointer (RFC 6901) into the body, a header's name, or "line N: section/key" of a
    // configuration.
    std::string place;
    std::string problem;
};

// The content of a problem document (RFC 9457).
struct Problem
{
    Reason reason = Reason::Internal;
    // Overrides the value that belongs to the reason.
    std::optional<Executed> executed;
    std::string detail;
    // 0: defaultRetryAfter() of the reason.
    Duration retryAfter {0};
    std::vector<ProblemFinding> findings;
};

Problem makeProblem(Reason reason, std::string detail = {});

// Returns a response with status, Retry-After (in whole seconds, rounded up) and the body {type,
// title, status, reason, executed, retryable, detail?, retryAfterMs?, findings?}.
HttpResponse problemResponse(const Problem &problem);

// Returns the Retry-After of a reason; 0 if it is not retryable.
Duration defaultRetryAfter(Reason reason);

} // namespace kelptally::caller
