#include "decision/linkwatch.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// A link without a message for this long is idle.
constexpr Duration idleAfter = std::chrono::seconds(3);
// Silence after which a link is pinged, and the time between further pings.
constexpr Duration activePingInterval = std::chrono::milliseconds(400);
constexpr Duration idlePingInterval = std::chrono::seconds(2);
// Multiplies the silence timeout of an idle link, so that three pings fit in it.
constexpr int idleTimeoutFactor = 4;
// Bytes of a partly received message that count as data. Slower transfers end as silent.
constexpr std::size_t minPartBytes = 4096;

} // namespace

LinkWatch::LinkWatch(Duration checkPeriod, Duration silenceTimeout)
    : checkPeriod_(checkPeriod), silenceTimeout_(silenceTimeout)
{ }

// Restarts the silence timeout of an idle link, as its last ping may be old.
void LinkWatch::onMessage()
{
    if (idleChecks_ * checkPeriod_ >= idleAfter)
        silentChecks_ = 0;
    idleChecks_ = 0;
}

LinkWatch::Step LinkWatch::check()
{
    const bool isArriving = !received_ && partBytes_ >= minPartBytes;
    if (received_ || isArriving)
        partBytes_ = 0;
    received_ = received_ || isArriving;
    silentChecks_ = received_ ? 0 : silentChecks_ + 1;
    received_ = false;
    ++idleChecks_;
    if (isArriving)
        return Step::Pong;
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
