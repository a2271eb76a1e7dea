#include "decision/retrypolicy.h"

#include <algorithm>

namespace kelptally::decision {

using namespace std::chrono_literals;

namespace {

constexpr int creditPerRetry = 100;
// Retries that may be saved up while all goes well. Chosen, not measured.
constexpr int maxSavedRetries = 20;
constexpr int initialRetries = 3;
// With the budget spent, one wish in so many is granted: at most 2% more load.
constexpr int exhaustedRetryInterval = 50;

constexpr int maxAttempts = 6;
// Searches for an owner: with the delays below, 2 to 4 s. A takeover takes 1.6 s at most (measured,
// docs/design/owner.md), so by then it is not coming soon, and the caller is told at once.
constexpr int maxOwnerLookups = 24;
// First delay and longest delay; they double in between. Short, since a failover is over within a
// second and a retry that oversleeps adds to its gap. Chosen, not measured.
constexpr Duration initialBackoff = 10ms;
constexpr Duration maxBackoff = 200ms;
// What an attempt needs at least once its delay is over.
constexpr Duration minAttemptTime = 2ms;

// The request reached nobody who could work on it: asking for the owner again loads no server, so
// it goes on for longer and costs no budget.
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

// Half of the delay is fixed and half is drawn, so that those who failed together come back apart.
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

    // 1. A repeat must not be able to do the work twice.
    const bool safe = attempt.notExecuted || attempt.repeatable || attempt.hasKey;
    if (!safe || !reasonInfo(attempt.reason).retryable)
        return std::nullopt;

    // 2. It must be able to help.
    const bool ownerLookup = isOwnerLookup(attempt);
    if (attempt.number >= (ownerLookup ? maxOwnerLookups : maxAttempts))
        return std::nullopt;
    const Duration delay = backoff(attempt.number);
    if (delay + minAttemptTime > attempt.deadlineLeft)
        return std::nullopt;

    // 3. It must not multiply a storm.
    budgetSpent_ = !ownerLookup && !budget_.trySpend();
    if (budgetSpent_)
        return std::nullopt;
    return delay;
}

} // namespace kelptally::decision
