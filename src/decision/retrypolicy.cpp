#include "decision/retrypolicy.h"

#include <algorithm>

namespace kelptally::decision {

using namespace std::chrono_literals;

namespace {

constexpr int creditPerRetry = 100;
constexpr int maxSavedRetries = 20;
constexpr int initialRetries = 3;
// While the budget is spent, one of this many retries is allowed.
constexpr int exhaustedRetryInterval = 50;

constexpr int maxAttempts = 6;
// With the delays below, 2 to 4 s: longer than a failover, which takes 1.6 s at most
// (docs/design/owner.md).
constexpr int maxOwnerLookups = 24;
// Exponential backoff. Short, as each delay may prolong the outage that a failover causes.
constexpr Duration initialBackoff = 10ms;
constexpr Duration maxBackoff = 200ms;
// No retry if less time would be left until the deadline.
constexpr Duration minAttemptTime = 2ms;

// Whether the request reached no owner. Retrying it puts no load on a server, so it is retried for
// longer and without the budget.
bool isOwnerLookup(const FailedAttempt &attempt)
{
    const Reason reason = attempt.reason;
    const bool ownerLookup = reason == Reason::NoOwner || reason == Reason::NotOwner
        || reason == Reason::OwnerUnreachable || reason == Reason::LeaseLost;
    return ownerLookup && attempt.notExecuted;
}

} // namespace

RetryBudget::RetryBudget(int percent)
    : percent_(std::clamp(percent, 0, 100)),
      credit_(percent_ > 0 ? initialRetries * creditPerRetry : 0)
{ }

void RetryBudget::onSuccess()
{
    credit_ = std::min(credit_ + percent_, maxSavedRetries * creditPerRetry);
}

bool RetryBudget::trySpend()
{
    if (credit_ >= creditPerRetry) {
        credit_ -= creditPerRetry;
        consecutiveRefusals_ = 0;
        return true;
    }
    if (percent_ == 0 || ++consecutiveRefusals_ < exhaustedRetryInterval)
        return false;
    consecutiveRefusals_ = 0;
    return true;
}

RetryPolicy::RetryPolicy(int budgetPercent, std::uint64_t seed)
    : budget_(budgetPercent), random_(seed)
{ }

void RetryPolicy::onSuccess()
{
    budget_.onSuccess();
}

// Half of the delay is random, so that requests that failed together aren't retried together.
Duration RetryPolicy::backoff(int number)
{
    Duration full = initialBackoff;
    for (int i = 0; i < number && full < maxBackoff; ++i)
        full *= 2;
    full = std::min(full, maxBackoff);
    const auto half = static_cast<std::uint64_t>((full / 2).count());
    return full / 2 + Duration(static_cast<Duration::rep>(random_() % (half + 1)));
}

std::optional<Duration> RetryPolicy::retryAfter(const FailedAttempt &attempt)
{
    budgetSpent_ = false;

    // 1. A retry must not execute the request twice.
    const bool safe = attempt.notExecuted || attempt.repeatable || attempt.hasKey;
    if (!safe || !reasonInfo(attempt.reason).retryable)
        return std::nullopt;

    // 2. It must have a chance to succeed.
    const bool ownerLookup = isOwnerLookup(attempt);
    if (attempt.number >= (ownerLookup ? maxOwnerLookups : maxAttempts))
        return std::nullopt;
    const Duration delay = backoff(attempt.number);
    if (delay + minAttemptTime > attempt.deadlineLeft)
        return std::nullopt;

    // 3. It must not amplify an overload.
    budgetSpent_ = !ownerLookup && !budget_.trySpend();
    if (budgetSpent_)
        return std::nullopt;
    return delay;
}

} // namespace kelptally::decision
