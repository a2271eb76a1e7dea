#pragma once

#include "core/clock.h"

#include <cstddef>
#include <optional>

namespace kelptally::decision {

// The phases of a graceful stop. All follow from the grace period, after which the process is
// killed. Times count from the stop request.
class StopPlan
{
public:
    explicit StopPlan(Duration gracePeriod);

    // The load balancer may send new callers until then; after it, idle sessions are closed.
    Duration acceptUntil() const;
    // New transactions are refused from then on, as they might not have time to commit.
    Duration beginUntil() const;
    // New operations are refused from then on, so that sessions that are never idle end, too.
    Duration operationsUntil() const;
    // Statements still in progress get their final answers then.
    Duration answerAt() const;
    // The process ends then in any case.
    Duration exitAt() const;

    // Returns the time limit of a statement that arrives `passed` after the stop request, or
    // nothing if it is refused. In the first half of the grace period a statement may get less than
    // its route's limit; later ones are accepted only if all of it lies before the final answers.
    std::optional<Duration> timeLimit(Duration passed, Duration wanted,
                                      bool continuesTransaction) const;

    // Returns how many of the open sessions may be closed now, if they are idle, so that all end in
    // time without their callers reconnecting at once. Called again after each period.
    std::size_t maxClosed(Duration passed, std::size_t open, Duration period) const;

private:
    Duration gracePeriod_;
    // Time between the final answers and the kill.
    Duration reserve_;
};

} // namespace kelptally::decision
