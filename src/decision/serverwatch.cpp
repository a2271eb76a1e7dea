#include "decision/serverwatch.h"

namespace kelptally::decision {

void ServerWatch::onProbeSent(Instant now, std::uint64_t sequence)
{
    lastProbeSequence_ = sequence;
    lastProbeAt_ = now;
    ++unansweredProbes_;
    if (!unansweredSince_)
        unansweredSince_ = now;
}

void ServerWatch::onResponse(Instant now)
{
    reset();
    lastResponseAt_ = now;
}

void ServerWatch::onRefused(Instant now)
{
    if (refusals_++ == 0)
        firstRefusalAt_ = now;
}

void ServerWatch::reset()
{
    unansweredProbes_ = 0;
    unansweredSince_.reset();
    refusals_ = 0;
}

bool ServerWatch::isRefused(Instant now) const
{
    return refusals_ >= 2 && now - firstRefusalAt_ >= refusalConfirmationDelay;
}

bool ServerWatch::isSilent(Instant now) const
{
    return unansweredSince_ && unansweredProbes_ >= minUnansweredProbes
        && now - *unansweredSince_ >= silenceTimeout;
}

} // namespace kelptally::decision
