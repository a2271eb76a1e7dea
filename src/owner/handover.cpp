#include "owner/handover.h"

namespace kelptally::owner {

namespace {

// Maximum duration of the phases; what is still in progress then is aborted.
constexpr Duration maxTransactionWait = std::chrono::seconds(3);
constexpr Duration maxStatementWait = std::chrono::seconds(1);

} // namespace

void HandOver::begin(Instant now)
{
    phase_ = Phase::DrainTransactions;
    phaseStartedAt_ = now;
    step(now);
}

void HandOver::step(Instant now)
{
    if (phase_ == Phase::DrainTransactions) {
        if (group_.openTransactions() > 0 && now - phaseStartedAt_ < maxTransactionWait)
            return;
        phase_ = Phase::DrainStatements;
        phaseStartedAt_ = now;
    }
    if (phase_ == Phase::DrainStatements) {
        if (group_.requestsInProgress() > 0 && now - phaseStartedAt_ < maxStatementWait)
            return;
        phase_ = Phase::Transfer;
        group_.transferOwnership();
    }
}

bool HandOver::mustHold(inner::StatementStep step) const
{
    switch (phase_) {
    case Phase::None:
        return false;
    case Phase::DrainTransactions:
        return step == inner::StatementStep::Begin;
    case Phase::DrainStatements:
    case Phase::Transfer:
        return true;
    }
    return false;
}

} // namespace kelptally::owner
