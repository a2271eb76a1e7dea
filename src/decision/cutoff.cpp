#include "decision/cutoff.h"

namespace kelptally::decision {

const char *cutOffStepName(CutOffStep step)
{
    switch (step) {
    case CutOffStep::Serve:
        return "serve";
    case CutOffStep::HandingOver:
        return "handing_over";
    case CutOffStep::Pause:
        return "given_away_lately";
    case CutOffStep::ReadRow:
        return "row_to_be_read";
    case CutOffStep::NoSuccessor:
        return "no_successor";
    case CutOffStep::GiveAway:
        return "give_away";
    }
    return "serve";
}

CutOffStep CutOff::next(Instant now, const CutOffView &view) const
{
    if (!view.isCutOff)
        return CutOffStep::Serve;
    if (view.handOverRuns)
        return CutOffStep::HandingOver;
    if (givenAwayAt_ && now - *givenAwayAt_ < pause)
        return CutOffStep::Pause;
    if (!view.rowIsFresh)
        return CutOffStep::ReadRow;
    return view.successors == 0 ? CutOffStep::NoSuccessor : CutOffStep::GiveAway;
}

void CutOff::onGivenAway(Instant now)
{
    givenAwayAt_ = now;
}

} // namespace kelptally::decision
