#include "decision/slotwindow.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// The smallest round trip of this period counts, as the others include delays at either end.
constexpr Duration minimumPeriod = std::chrono::seconds(10);
// Bounds the memory; older minima are then forgotten early, which makes the estimate larger only.
constexpr std::size_t maxSamples = 64;
// Reciprocal of the smoothing factor of the mean.
constexpr int meanDivisor = 16;
// After a refusal the window is as small as the slots for the time of several statements.
constexpr Duration shrinkTime = std::chrono::milliseconds(100);

} // namespace

void SlotWindow::onRoundTrip(Instant now, Duration time)
{
    while (!minima_.empty() && minima_.back().time >= time)
        minima_.pop_back();
    minima_.push_back({now, time});
    while (now - minima_.front().at > minimumPeriod || minima_.size() > maxSamples)
        minima_.pop_front();
}

void SlotWindow::onAnswered(Duration answerTime)
{
    if (!meanAnswerTime_)
        meanAnswerTime_ = answerTime;
    else
        *meanAnswerTime_ += (answerTime - *meanAnswerTime_) / meanDivisor;
}

void SlotWindow::onBusy(Instant now)
{
    shrunkUntil_ = now + shrinkTime;
}

Duration SlotWindow::roundTrip(Instant now) const
{
    const auto valid = std::find_if(minima_.begin(), minima_.end(), [now](const Sample &sample) {
        return now - sample.at <= minimumPeriod;
    });
    return valid == minima_.end() ? Duration(0) : valid->time;
}

// The slots are busy all the time if slots x roundTrip / service statements travel (Little's law).
// Rounded to the nearest number: in the same zone nothing is added.
int SlotWindow::size(int slots, Instant now) const
{
    if (!meanAnswerTime_ || now < shrunkUntil_)
        return slots;
    const Duration travelTime = roundTrip(now);
    const Duration service = *meanAnswerTime_ - travelTime;
    if (service <= Duration(0))
        return slots;
    const auto travelling = (slots * travelTime + service / 2) / service;
    const int added = static_cast<int>(std::min<Duration::rep>(travelling, slots));
    return std::min(slots + added, maxSize(slots));
}

} // namespace kelptally::decision
