#pragma once

#include "core/clock.h"

#include <cstddef>
#include <optional>

namespace kelptally::decision {

enum class StoreState {
    Answering,
    // Calls stay without an answer, or no connection can be opened.
    Silent,
    // Calls are refused or their connections reset, at once: the service may serve others.
    Refusing,
};

const char *storeStateName(StoreState state);

// What a process believes of the table service, learnt from any of its calls, and how it looks for
// the service's return.
//
// The fault it answers: each call found out by itself. After 3.5 s of silence some readers asked
// again 2.4 to 7.2 s late, as each waited out its own timeout on a connection that would never
// answer, and a primary lost meanwhile was replaced 4.5 s after the service was back.
class StoreHealth
{
public:
    // Each returns whether the state has changed.
    bool onAnswer(Duration took);
    bool onTimeout(Instant now);
    bool onRefusal(Instant now);
    // A connection ended without the answer: the service may be as able as before.
    bool onConnectionLost(Instant now);
    StoreState state() const { return state_; }
    // When the service was lost; meaningless while it answers.
    Instant unavailableSince() const { return unavailableSince_; }

    // A call that waits longer than this for its answer, beyond the time for which it asked to be
    // held back, means silence. Grows with the answers of a slow service.
    Duration callTimeout() const;
    // The same for a call that looks for the service's return. Short: a service may accept calls
    // and never answer those, so each has to be followed by another; late answers count all the
    // same.
    Duration trialTimeout(Instant now) const;
    // Calls that may be open at once, held ones aside. Few at the start and after the service has
    // turned this host away, and with each answer one more, which doubles them in each round trip.
    //
    // The load it answers: hundreds of hosts ask at once for more than the service allows. Each
    // sent all that waited with the first answer, and most of it was refused again, for as long as
    // anything waited.
    std::size_t maxOpenCalls() const;
    // From one attempt to reach the service to the next while it does not answer. The draw, from 0
    // to 1, spreads the attempts of many hosts.
    Duration retryDelay(Instant now, double draw) const;

private:
    static constexpr std::size_t initialOpenCalls = 4;

    bool changeState(StoreState state, Instant now);

    StoreState state_ = StoreState::Answering;
    Instant unavailableSince_ {};
    // Falls slowly towards the answers of now.
    Duration peakLatency_ {0};
    int refusals_ = 0;
    std::optional<Instant> refusedAt_;
    // Nothing: all that wait. A process that has just begun knows nothing of the limit.
    std::optional<std::size_t> maxOpenCalls_ = initialOpenCalls;
};

} // namespace kelptally::decision
