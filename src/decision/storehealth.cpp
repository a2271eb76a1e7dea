#include "decision/storehealth.h"

#include <algorithm>
#include <limits>

namespace kelptally::decision {

namespace {

// A read on a connection that went silent is sent again after 500 ms; 300 more for that answer.
constexpr Duration leastPatience = std::chrono::milliseconds(800);
constexpr Duration mostPatience = std::chrono::milliseconds(3000);
// Of calls that look for the return: with 800 ms and more, 197 of 295 hosts heard the service again
// 1.4 to 1.8 s after its return. Each is a call, so they become fewer the longer it lasts.
constexpr Duration leastTrial = std::chrono::milliseconds(250);
constexpr int trialPart = 10;
// Of the slowest recent answer.
constexpr int patienceFactor = 3;
constexpr int slowestFalls = 16;
// A silent service is looked for by opening a connection, which is no call. So often for as long as
// owners act on what they know (12 s), then more and more rarely: 1,300 hosts would else open 8,700
// connections a second for as long as it lasts.
constexpr Duration shortestProbe = std::chrono::milliseconds(150);
constexpr Duration longestProbe = std::chrono::seconds(1);
constexpr int probePart = 80;
// Attempts that are refused are calls, so they become rare sooner.
constexpr Duration shortestAttempt = std::chrono::milliseconds(100);
constexpr Duration longestAttempt = std::chrono::milliseconds(800);
constexpr int mostDoublings = 3;
// Hosts that are refused again so soon share a limit: their attempts go on becoming rare, though
// some calls are answered in between.
constexpr Duration calmPeriod = std::chrono::seconds(2);
// With so many answered in a row no limit is in sight.
constexpr std::size_t fullyOpen = 64;
// Attempts are spread over this part of their pause, around it.
constexpr double spread = 0.5;

} // namespace

const char *storeStateName(StoreState state)
{
    switch (state) {
    case StoreState::Answering:
        return "answering";
    case StoreState::Silent:
        return "silent";
    case StoreState::TurnedAway:
        return "turned_away";
    }
    return "answering";
}

bool StoreHealth::enter(StoreState state, Instant now)
{
    if (state == state_)
        return false;
    if (state_ == StoreState::Answering)
        since_ = now;
    state_ = state;
    return true;
}

bool StoreHealth::onAnswer(Duration took)
{
    slowest_ = std::max(took, slowest_ - slowest_ / slowestFalls);
    if (mostOpen_ && ++*mostOpen_ >= fullyOpen)
        mostOpen_.reset();
    return enter(StoreState::Answering, since_);
}

bool StoreHealth::onSilence(Instant now)
{
    return enter(StoreState::Silent, now);
}

bool StoreHealth::onRefusal(Instant now)
{
    const bool changed = enter(StoreState::TurnedAway, now);
    if (changed && refusedAt_ && now - *refusedAt_ >= calmPeriod)
        refusals_ = 0;
    refusedAt_ = now;
    mostOpen_ = 1;
    refusals_ = std::min(refusals_ + 1, mostDoublings + 1);
    return changed;
}

Duration StoreHealth::patience() const
{
    return std::clamp(patienceFactor * slowest_, leastPatience, mostPatience);
}

Duration StoreHealth::trialPatience(Instant now) const
{
    return std::clamp((now - since_) / trialPart, leastTrial, leastPatience);
}

bool StoreHealth::onBroken(Instant now)
{
    const bool changed = enter(StoreState::TurnedAway, now);
    if (changed)
        refusals_ = 0;
    refusals_ = std::min(refusals_ + 1, mostDoublings + 1);
    return changed;
}

std::size_t StoreHealth::mostOpen() const
{
    return mostOpen_.value_or(std::numeric_limits<std::size_t>::max());
}

Duration StoreHealth::attemptPause(Instant now, double draw) const
{
    Duration pause = std::clamp((now - since_) / probePart, shortestProbe, longestProbe);
    if (state_ == StoreState::TurnedAway)
        pause = std::min(shortestAttempt * (1 << std::max(0, refusals_ - 1)), longestAttempt);
    const double factor = 1 + spread * (draw - 0.5);
    return std::chrono::duration_cast<Duration>(pause * factor);
}

} // namespace kelptally::decision
