#include "decision/stopplan.h"

#include <algorithm>

namespace kelptally::decision {

namespace {

// Time until the balancer has seen the host as not ready twice and sends it no more callers.
constexpr Duration balancerDetectionTime = std::chrono::milliseconds(2300);
// Time in which most sessions are idle once and can be closed between two operations.
constexpr Duration sessionEndTime = std::chrono::milliseconds(1400);
// Time for the final answers to be written, including delays of a host with little processor time.
constexpr Duration maxReserve = std::chrono::milliseconds(700);
// A short grace period is divided in the same proportions.
constexpr int reserveDivisor = 8;
// Part of the reserve that is left between the end of the process and the kill.
constexpr int exitDivisor = 3;
// Time for the answer of a statement that ran into its limit to arrive from another host.
constexpr Duration maxAnswerTime = std::chrono::milliseconds(100);
constexpr int answerTimeDivisor = 20;
// Number of sessions that may be closed in one step on hosts with few sessions.
constexpr std::size_t minClosedPerStep = 20;

} // namespace

StopPlan::StopPlan(Duration gracePeriod)
    : gracePeriod_(gracePeriod), reserve_(std::min(maxReserve, gracePeriod / reserveDivisor))
{ }

Duration StopPlan::acceptUntil() const
{
    return std::min(balancerDetectionTime, gracePeriod_ / 2);
}

Duration StopPlan::beginUntil() const
{
    return std::clamp(answerAt() - gracePeriod_ / 2, Duration(0), operationsUntil());
}

Duration StopPlan::operationsUntil() const
{
    return std::min(acceptUntil() + sessionEndTime, answerAt());
}

Duration StopPlan::answerAt() const
{
    return gracePeriod_ - reserve_;
}

Duration StopPlan::exitAt() const
{
    return gracePeriod_ - reserve_ / exitDivisor;
}

std::optional<Duration> StopPlan::timeLimit(Duration passed, Duration wanted,
                                            bool continuesTransaction) const
{
    if (!continuesTransaction && passed >= operationsUntil())
        return std::nullopt;
    const Duration left =
        answerAt() - std::min(maxAnswerTime, gracePeriod_ / answerTimeDivisor) - passed;
    if (left <= Duration(0))
        return std::nullopt;
    if (passed < gracePeriod_ / 2)
        return std::min(wanted, left);
    return wanted <= left ? std::optional<Duration>(wanted) : std::nullopt;
}

std::size_t StopPlan::maxClosed(Duration passed, std::size_t open, Duration period) const
{
    const Duration left = (answerAt() - passed) / 2;
    const auto steps = static_cast<std::size_t>(std::max<Duration::rep>(1, left / period));
    return std::max(minClosedPerStep, (open + steps - 1) / steps);
}

} // namespace kelptally::decision
