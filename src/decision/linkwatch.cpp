#include "decision/linkwatch.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// A link without a message for this long is idle.
constexpr Duration idleAfter = std::chrono::seconds(3);
// Silence after which a link is pinged, once for each such span.
constexpr Duration pingUsed = std::chrono::milliseconds(400);
constexpr Duration pingIdle = std::chrono::seconds(2);
// An idle link is given up after so many times the silence of one in use: three pings.
constexpr int idleTimeouts = 4;

} // namespace

LinkWatch::LinkWatch(Duration lookPeriod, Duration silenceTimeout)
    : lookPeriod_(lookPeriod), silenceTimeout_(silenceTimeout)
{ }

// What an idle link owes was asked for long ago: its silence counts anew from now.
void LinkWatch::onMessage()
{
    if (idleLooks_ * lookPeriod_ >= idleAfter)
        silentLooks_ = 0;
    idleLooks_ = 0;
}

LinkWatch::Step LinkWatch::look()
{
    silentLooks_ = heard_ ? 0 : silentLooks_ + 1;
    heard_ = false;
    ++idleLooks_;
    const bool isIdle = idleLooks_ * lookPeriod_ >= idleAfter;
    const Duration timeout = silenceTimeout_ * (isIdle ? idleTimeouts : 1);
    if (silentLooks_ * lookPeriod_ >= timeout)
        return Step::GiveUp;
    const Duration pause = std::min(isIdle ? pingIdle : pingUsed, timeout / 2);
    const int looks = std::max(1, static_cast<int>(pause / lookPeriod_));
    return silentLooks_ != 0 && silentLooks_ % looks == 0 ? Step::Ping : Step::Nothing;
}

} // namespace kelptally::decision
