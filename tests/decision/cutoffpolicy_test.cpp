#include "decision/cutoffpolicy.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

const Instant start {std::chrono::hours(1)};

CutOffView cutOffWithSuccessor()
{
    CutOffView view;
    view.isCutOff = true;
    view.rowIsFresh = true;
    view.successors = 1;
    return view;
}

} // namespace

TEST_CASE("Each condition that prevents a hand-over has its own step")
{
    CutOffPolicy cutOff;
    CutOffView view = cutOffWithSuccessor();
    CHECK(cutOff.next(start, view) == CutOffStep::StartHandOver);
    view.successors = 0;
    CHECK(cutOff.next(start, view) == CutOffStep::NoSuccessor);
    view.rowIsFresh = false;
    CHECK(cutOff.next(start, view) == CutOffStep::ReadRow);
    cutOff.onHandOverStarted(start);
    CHECK(cutOff.next(start, view) == CutOffStep::Cooldown);
    view.handOverInProgress = true;
    CHECK(cutOff.next(start, view) == CutOffStep::HandingOver);
    view.isCutOff = false;
    CHECK(cutOff.next(start, view) == CutOffStep::Serve);
}

TEST_CASE("A group is handed over again only after the cooldown")
{
    CutOffPolicy cutOff;
    const CutOffView view = cutOffWithSuccessor();
    cutOff.onHandOverStarted(start);
    CHECK(cutOff.next(start + CutOffPolicy::handOverCooldown - 1ms, view) == CutOffStep::Cooldown);
    CHECK(cutOff.next(start + CutOffPolicy::handOverCooldown, view) == CutOffStep::StartHandOver);
}

TEST_CASE("Two processes without a majority hand a group over at most four times a minute")
{
    // Each new owner counts as cut off after two seconds.
    constexpr Duration untilCutOff = 2s;
    CutOffPolicy processes[2];
    int holder = 0;
    int changes = 0;
    Instant since = start;
    for (Instant now = start; now < start + 60s; now += 20ms) {
        CutOffView view = cutOffWithSuccessor();
        view.isCutOff = now - since >= untilCutOff;
        if (processes[holder].next(now, view) != CutOffStep::StartHandOver)
            continue;
        processes[holder].onHandOverStarted(now);
        holder = 1 - holder;
        since = now;
        ++changes;
    }
    CHECK(changes == 4);
}
