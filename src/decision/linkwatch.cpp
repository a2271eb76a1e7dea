#include "decision/linkwatch.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// A link without a message for this long is idle.
constexpr Duration idleAfter = std::chrono::seconds(3);
// Silence after which a link is pinged, once for each such span.
constexpr Duration activePingInterval = std::chrono::milliseconds(400);
constexpr Duration idlePingInterval = std::chrono::seconds(2);
// An idle link is given up after so many times the silence of one in use: three pings.
constexpr int idleTimeoutFactor = 4;

} // namespace

LinkWatch::LinkWatch(Duration checkPeriod, Duration silenceTimeout)
    : checkPeriod_(checkPeriod), silenceTimeout_(silenceTimeout)
{ }

// What an idle link owes was asked for long ago: its silence counts anew from now.
void LinkWatch::onMessage()
{
    if (idleChecks_ * checkPeriod_ >= idleAfter)
        silentChecks_ = 0;
    idleChecks_ = 0;
}

LinkWatch::Step LinkWatch::check()
{
    silentChecks_ = received_ ? 0 : silentChecks_ + 1;
    received_ = false;
    ++idleChecks_;
    const bool isIdle = idleChecks_ * checkPeriod_ >= idleAfter;
    const Duration timeout = silenceTimeout_ * (isIdle ? idleTimeoutFactor : 1);
    if (silentChecks_ * checkPeriod_ >= timeout)
        return Step::Close;
    const Duration pingInterval =
        std::min(isIdle ? idlePingInterval : activePingInterval, timeout / 2);
    const int checksPerPing = std::max(1, static_cast<int>(pingInterval / checkPeriod_));
    return silentChecks_ != 0 && silentChecks_ % checksPerPing == 0 ? Step::Ping : Step::Nothing;
}

} // namespace kelptally::decision
