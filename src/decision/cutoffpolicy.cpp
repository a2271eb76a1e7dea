#include "decision/cutoffpolicy.h"

namespace kelptally::decision {

const char *cutOffStepName(CutOffStep step)
{
    switch (step) {
    case CutOffStep::Serve:
        return "serve";
    case CutOffStep::HandingOver:
        return "handing_over";
    case CutOffStep::Cooldown:
        return "given_away_lately";
    case CutOffStep::ReadRow:
        return "row_to_be_read";
    case CutOffStep::NoSuccessor:
        return "no_successor";
    case CutOffStep::StartHandOver:
        return "give_away";
    }
    return "serve";
}

CutOffStep CutOffPolicy::next(Instant now, const CutOffView &view) const
{
    if (!view.isCutOff)
        return CutOffStep::Serve;
    if (view.handOverInProgress)
        return CutOffStep::HandingOver;
    if (handOverStartedAt_ && now - *handOverStartedAt_ < handOverCooldown)
        return CutOffStep::Cooldown;
    if (!view.rowIsFresh)
        return CutOffStep::ReadRow;
    return view.successors == 0 ? CutOffStep::NoSuccessor : CutOffStep::StartHandOver;
}

void CutOffPolicy::onHandOverStarted(Instant now)
{
    handOverStartedAt_ = now;
}

} // namespace kelptally::decision
