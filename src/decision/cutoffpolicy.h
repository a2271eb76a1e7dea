#pragma once

#include "core/clock.h"

#include <cstddef>
#include <optional>

namespace kelptally::decision {

// What an owner does about servers that it does not hear.
enum class CutOffStep {
    // A majority is heard, or was a moment ago.
    Serve,
    // A hand-over is under way already.
    HandingOver,
    // The group was given away from here lately.
    Cooldown,
    // Too few are heard; the row is to be read before anything else.
    ReadRow,
    // The row was read, and lists nobody who could take the group.
    NoSuccessor,
    StartHandOver,
};

// For logs.
const char *cutOffStepName(CutOffStep step);

// What the step depends on.
struct CutOffView
{
    // Too few servers for a majority have been heard for a while.
    bool isCutOff = false;
    bool handOverInProgress = false;
    // The table service has just told the row, so that it answers and the row is what it is.
    bool rowIsFresh = false;
    std::size_t successors = 0;
};

// When an owner that hears too few of its servers gives the group to a successor, which another
// availability zone may let hear them. The fault it answers: a partition that leaves the owner
// alive and without a majority stopped the group for as long as it lasted.
class CutOffPolicy
{
public:
    CutOffStep next(Instant now, const CutOffView &view) const;
    // The group is being given away for this reason.
    void onHandOverStarted(Instant now);

    // If the servers are really gone, the next owner hears as little, and the pause keeps the group
    // from going round.
    static constexpr Duration handOverCooldown = std::chrono::seconds(30);

private:
    std::optional<Instant> handOverStartedAt_;
};

} // namespace kelptally::decision
