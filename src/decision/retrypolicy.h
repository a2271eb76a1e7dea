#pragma once

#include "core/clock.h"
#include "core/reason.h"

#include <cstdint>
#include <optional>
#include <random>

namespace kelptally::decision {

// Limits retries to a percentage of the successes, so that a wave of failures isn't amplified.
class RetryBudget
{
public:
    explicit RetryBudget(int percent);

    void onSuccess();
    // Takes one retry from the budget; returns false if it is spent. A few retries are allowed even
    // then, so that a service without any success is still tried.
    bool trySpend();

private:
    const int percent_;
    // In hundredths of a retry.
    int credit_;
    int consecutiveRefusals_ = 0;
};

struct FailedAttempt
{
    Reason reason = Reason::None;
    bool notExecuted = true;
    bool repeatable = true;
    bool hasKey = false;
    int number = 0;
    Duration deadlineLeft {0};
};

// Decides whether and when a failed attempt is retried. Lookups of the owner are retried for as
// long as a failover may take, outside the budget; other retries are charged to it.
class RetryPolicy
{
public:
    RetryPolicy(int budgetPercent, std::uint64_t seed);

    void onSuccess();
    // Returns the backoff with jitter, or nothing if the failure is final.
    std::optional<Duration> retryAfter(const FailedAttempt &attempt);
    // Whether the last attempt would have been retried but for the budget.
    bool budgetSpent() const { return budgetSpent_; }

private:
    Duration backoff(int number);

    RetryBudget budget_;
    std::mt19937_64 random_;
    bool budgetSpent_ = false;
};

} // namespace kelptally::decision
