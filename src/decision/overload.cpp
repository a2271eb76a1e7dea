#include "decision/overload.h"

#include <algorithm>
#include <cmath>

namespace kelptally::decision {

namespace {

// A queue that empties within this time is a burst of ordinary size.
constexpr Duration detectionTime = std::chrono::milliseconds(100);
// Time constant of the slot time asked for and received. With 1 s the guarantee takes effect so
// early in an overload that other kinds lose more than the guaranteed one gains.
constexpr Duration shareMemory = std::chrono::seconds(3);
// A kind gets at least 1/guaranteeDivisor of its proportional share.
constexpr double guaranteeDivisor = 2;
// Charge of a statement without an estimate of its service time.
constexpr Duration minServiceTime = std::chrono::milliseconds(1);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(100);

} // namespace

OverloadWatch::Change OverloadWatch::update(bool statementsWait, bool anyLate, Instant now)
{
    if (!statementsWait) {
        const bool left = overloadedSince_.has_value();
        waitingSince_.reset();
        overloadedSince_.reset();
        lateSeen_ = false;
        return left ? Change::Left : Change::None;
    }
    if (!waitingSince_)
        waitingSince_ = now;
    lateSeen_ = lateSeen_ || anyLate;
    if (overloadedSince_ || !lateSeen_ || now - *waitingSince_ < detectionTime)
        return Change::None;
    overloadedSince_ = now;
    lastStart_ = now;
    started_ = 0;
    refused_ = 0;
    return Change::Entered;
}

// A caller makes up to three attempts, so with a share r of them refused it makes 1 + r + r^2.
double KindShares::SlotTime::askedAtFirst() const
{
    const double all = started + refused;
    const double share = all > 0 ? refused / all : 0;
    return asked / (1 + share + share * share);
}

void KindShares::decay(Instant now)
{
    if (now <= decayedAt_)
        return;
    const double factor = std::exp(-toMilliseconds(now - decayedAt_) / toMilliseconds(shareMemory));
    decayedAt_ = now;
    for (auto &[kind, time] : kinds_) {
        time.asked *= factor;
        time.received *= factor;
        time.started *= factor;
        time.refused *= factor;
    }
}

void KindShares::onArrival(StatementKind kind, Duration service, Instant now)
{
    decay(now);
    kinds_[kind].asked += toMilliseconds(std::max(service, minServiceTime));
}

void KindShares::onStart(StatementKind kind, Duration service, Instant now)
{
    decay(now);
    SlotTime &time = kinds_[kind];
    time.received += toMilliseconds(std::max(service, minServiceTime));
    ++time.started;
}

void KindShares::onRefused(StatementKind kind, Instant now)
{
    decay(now);
    ++kinds_[kind].refused;
}

bool KindShares::isBehind(StatementKind kind) const
{
    const auto found = kinds_.find(kind);
    if (found == kinds_.end())
        return false;
    double allAsked = 0;
    double allReceived = 0;
    for (const auto &[other, time] : kinds_) {
        if (other.second != kind.second)
            continue;
        allAsked += time.askedAtFirst();
        allReceived += time.received;
    }
    return guaranteeDivisor * found->second.received * allAsked
        < found->second.askedAtFirst() * allReceived;
}

Duration overloadRetryDelay(double random)
{
    const double part = 1 - std::clamp(random, 0.0, 1.0) / 2;
    return std::chrono::duration_cast<Duration>(maxRetryDelay * part);
}

} // namespace kelptally::decision
