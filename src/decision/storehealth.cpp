#include "decision/storehealth.h"

#include <algorithm>
#include <limits>

namespace kelptally::decision {

namespace {

// The minimum leaves time for a read to be resent on another connection after 500 ms, and 300 ms
// for its answer.
constexpr Duration minCallTimeout = std::chrono::milliseconds(800);
constexpr Duration maxCallTimeout = std::chrono::milliseconds(3000);
// The timeout of a trial call grows with the length of the outage, so that a long outage causes
// fewer trial calls. With 800 ms and more, 197 of 295 hosts reached the service only 1.4 to 1.8 s
// after its return.
constexpr Duration minTrialTimeout = std::chrono::milliseconds(250);
constexpr int trialTimeoutDivisor = 10;
// Timeout of a call as a multiple of the peak latency.
constexpr int callTimeoutFactor = 3;
constexpr int peakDecayDivisor = 16;
// A silent service is probed by opening a connection. The delay grows with the length of the
// outage, to limit the connections that many hosts open together. It stays at the minimum for 12 s,
// as long as owners act on what they know; 1,300 hosts open 8,700 connections a second meanwhile.
constexpr Duration minProbeDelay = std::chrono::milliseconds(150);
constexpr Duration maxProbeDelay = std::chrono::seconds(1);
constexpr int probeDelayDivisor = 80;
// A refusing service is tried with calls, so their delay doubles with each refusal.
constexpr Duration minAttemptDelay = std::chrono::milliseconds(100);
constexpr Duration maxAttemptDelay = std::chrono::milliseconds(800);
constexpr int maxDoublings = 3;
// A refusal this long after the previous one restarts the backoff. Sooner, the backoff continues
// even if calls were answered in between, as hosts that share a limit may still exceed it.
constexpr Duration backoffResetAfter = std::chrono::seconds(2);
// The limit on calls in flight is removed when it reaches this number.
constexpr std::size_t openCallsUnlimitedAt = 64;
// Width of the jitter as a share of the delay, centred on the delay.
constexpr double jitterShare = 0.5;

} // namespace

const char *storeStateName(StoreState state)
{
    switch (state) {
    case StoreState::Answering:
        return "answering";
    case StoreState::Silent:
        return "silent";
    case StoreState::Refusing:
        return "turned_away";
    }
    return "answering";
}

bool StoreHealth::changeState(StoreState state, Instant now)
{
    if (state == state_)
        return false;
    if (state_ == StoreState::Answering)
        unavailableSince_ = now;
    state_ = state;
    return true;
}

bool StoreHealth::onAnswer(Duration took)
{
    peakLatency_ = std::max(took, peakLatency_ - peakLatency_ / peakDecayDivisor);
    if (maxOpenCalls_ && ++*maxOpenCalls_ >= openCallsUnlimitedAt)
        maxOpenCalls_.reset();
    return changeState(StoreState::Answering, unavailableSince_);
}

bool StoreHealth::onTimeout(Instant now)
{
    return changeState(StoreState::Silent, now);
}

bool StoreHealth::onRefusal(Instant now)
{
    const bool changed = changeState(StoreState::Refusing, now);
    if (changed && refusedAt_ && now - *refusedAt_ >= backoffResetAfter)
        refusals_ = 0;
    refusedAt_ = now;
    maxOpenCalls_ = 1;
    refusals_ = std::min(refusals_ + 1, maxDoublings + 1);
    return changed;
}

Duration StoreHealth::callTimeout() const
{
    return std::clamp(callTimeoutFactor * peakLatency_, minCallTimeout, maxCallTimeout);
}

Duration StoreHealth::trialTimeout(Instant now) const
{
    return std::clamp((now - unavailableSince_) / trialTimeoutDivisor, minTrialTimeout,
                      minCallTimeout);
}

bool StoreHealth::onConnectionLost(Instant now)
{
    const bool changed = changeState(StoreState::Refusing, now);
    if (changed)
        refusals_ = 0;
    refusals_ = std::min(refusals_ + 1, maxDoublings + 1);
    return changed;
}

std::size_t StoreHealth::maxOpenCalls() const
{
    return maxOpenCalls_.value_or(std::numeric_limits<std::size_t>::max());
}

Duration StoreHealth::retryDelay(Instant now, double draw) const
{
    Duration delay =
        std::clamp((now - unavailableSince_) / probeDelayDivisor, minProbeDelay, maxProbeDelay);
    if (state_ == StoreState::Refusing)
        delay = std::min(minAttemptDelay * (1 << std::max(0, refusals_ - 1)), maxAttemptDelay);
    const double factor = 1 + jitterShare * (draw - 0.5);
    return std::chrono::duration_cast<Duration>(delay * factor);
}

} // namespace kelptally::decision
