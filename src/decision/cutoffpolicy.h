#pragma once

#include "core/clock.h"

#include <cstddef>
#include <optional>

namespace kelptally::decision {

// What an owner does when it may have lost contact with a majority of its servers.
enum class CutOffStep {
    // A majority responds, or did so recently.
    Serve,
    // A hand-over is already in progress.
    HandingOver,
    // This process handed the group over recently.
    Cooldown,
    // No majority responds; the ownership row must be read before a hand-over.
    ReadRow,
    // The row was read and lists no successor.
    NoSuccessor,
    StartHandOver,
};

// Returns the name of the step for logs.
const char *cutOffStepName(CutOffStep step);

// Inputs of the decision.
struct CutOffView
{
    // Fewer servers than a majority have responded for a while.
    bool isCutOff = false;
    bool handOverInProgress = false;
    // The row was just read from the table service, so the service is reachable and the row
    // current.
    bool rowIsFresh = false;
    std::size_t successors = 0;
};

// Decides when an owner without a majority of its servers hands the group to a successor, which may
// reach them from another availability zone. Without this, a partition between an owner and its
// servers would stop the group for as long as it lasts.
class CutOffPolicy
{
public:
    CutOffStep next(Instant now, const CutOffView &view) const;
    // A hand-over was started because of StartHandOver.
    void onHandOverStarted(Instant now);

    // Minimum time between hand-overs by this process: if the servers have failed, no successor
    // reaches them either, and the group would keep changing owners.
    static constexpr Duration handOverCooldown = std::chrono::seconds(30);

private:
    std::optional<Instant> handOverStartedAt_;
};

} // namespace kelptally::decision
