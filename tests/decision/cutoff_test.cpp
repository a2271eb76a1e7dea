#include "decision/cutoff.h"

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

TEST_CASE("Each condition of giving a group away names itself")
{
    CutOff cutOff;
    CutOffView view = cutOffWithSuccessor();
    CHECK(cutOff.next(start, view) == CutOffStep::GiveAway);
    view.successors = 0;
    CHECK(cutOff.next(start, view) == CutOffStep::NoSuccessor);
    view.rowIsFresh = false;
    CHECK(cutOff.next(start, view) == CutOffStep::ReadRow);
    cutOff.onGivenAway(start);
    CHECK(cutOff.next(start, view) == CutOffStep::Pause);
    view.handOverRuns = true;
    CHECK(cutOff.next(start, view) == CutOffStep::HandingOver);
    view.isCutOff = false;
    CHECK(cutOff.next(start, view) == CutOffStep::Serve);
}

TEST_CASE("A group is given away again once the pause is over, and not before")
{
    CutOff cutOff;
    const CutOffView view = cutOffWithSuccessor();
    cutOff.onGivenAway(start);
    CHECK(cutOff.next(start + CutOff::pause - 1ms, view) == CutOffStep::Pause);
    CHECK(cutOff.next(start + CutOff::pause, view) == CutOffStep::GiveAway);
}

TEST_CASE("Two processes that hear no majority pass a group on four times a minute at most")
{
    // Each new owner counts as cut off after two seconds.
    constexpr Duration untilCutOff = 2s;
    CutOff processes[2];
    int holder = 0;
    int changes = 0;
    Instant since = start;
    for (Instant now = start; now < start + 60s; now += 20ms) {
        CutOffView view = cutOffWithSuccessor();
        view.isCutOff = now - since >= untilCutOff;
        if (processes[holder].next(now, view) != CutOffStep::GiveAway)
            continue;
        processes[holder].onGivenAway(now);
        holder = 1 - holder;
        since = now;
        ++changes;
    }
    CHECK(changes == 4);
}
