#pragma once

#include "core/clock.h"

#include <cstddef>
#include <optional>

namespace kelptally::decision {

enum class StoreState {
    Answering,
    // Calls time out, or no connection can be opened.
    Silent,
    // Calls are refused or their connections reset without delay; other hosts may still be served.
    Refusing,
};

const char *storeStateName(StoreState state);

// Circuit breaker of a process for the table service: combines the results of all its calls, so
// that each call need not wait out its own timeout, and paces the attempts to reach a lost service.
// When each call found out by itself, some readers asked again 2.4 to 7.2 s late after 3.5 s of
// silence, and a primary lost meanwhile was replaced 4.5 s after the service was back.
class StoreHealth
{
public:
    // Each of these four returns whether the state has changed.
    bool onAnswer(Duration took);
    bool onTimeout(Instant now);
    bool onRefusal(Instant now);
    // A connection ended before the answer came. The service need not be overloaded.
    bool onConnectionLost(Instant now);
    StoreState state() const { return state_; }
    // When the service was lost; valid only while it is not answering.
    Instant unavailableSince() const { return unavailableSince_; }

    // Timeout of a call, in addition to the time that the call asked the service to hold it. Grows
    // with the latency of the service.
    Duration callTimeout() const;
    // Timeout of a trial call to a lost service. Short, as a recovering service may accept calls
    // that it never answers; a late answer still counts.
    Duration trialTimeout(Instant now) const;
    // Maximum number of calls in flight, held calls excluded. Low at the start and after a refusal,
    // and raised by one with each answer (slow start), so that many hosts do not exceed the limit
    // of a recovering service together. When each host sent all its waiting calls after the first
    // answer, most of them were refused again.
    std::size_t maxOpenCalls() const;
    // Delay between attempts to reach a lost service. The draw is a random number from 0 to 1 for
    // the jitter, which spreads the attempts of many hosts.
    Duration retryDelay(Instant now, double draw) const;

private:
    static constexpr std::size_t initialOpenCalls = 4;

    bool changeState(StoreState state, Instant now);

    StoreState state_ = StoreState::Answering;
    Instant unavailableSince_ {};
    // Maximum latency of recent answers; decays with each faster answer.
    Duration peakLatency_ {0};
    int refusals_ = 0;
    std::optional<Instant> refusedAt_;
    // No value means unlimited.
    std::optional<std::size_t> maxOpenCalls_ = initialOpenCalls;
};

} // namespace kelptally::decision
