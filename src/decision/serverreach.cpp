#include "decision/serverreach.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// The first retry follows soon, as most failures are a lost packet. The maximum bounds how long a
// server that is back stays unused.
constexpr Duration minRetryDelay = std::chrono::milliseconds(100);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(800);
// Doublings from the minimum to the maximum.
constexpr int maxDoublings = 3;

} // namespace

void ServerReach::onAnswer(Instant now)
{
    lastAnswerAt_ = now;
    // Answers of a process that no longer listens may still be in transit.
    if (absent_)
        return;
    unreachable_ = false;
    failures_ = 0;
}

void ServerReach::onConnected(Instant now)
{
    absent_ = false;
    onAnswer(now);
}

void ServerReach::onConnectFailed(Instant began, bool isAbsent)
{
    const bool hasAnsweredSince = lastAnswerAt_ != Instant() && lastAnswerAt_ >= began;
    if (!isAbsent && hasAnsweredSince)
        return;
    absent_ = isAbsent;
    unreachable_ = true;
    ++failures_;
}

Duration ServerReach::retryDelay() const
{
    const int doublings = std::clamp(failures_ - 1, 0, maxDoublings);
    return std::min(maxRetryDelay, minRetryDelay * (1 << doublings));
}

} // namespace kelptally::decision
