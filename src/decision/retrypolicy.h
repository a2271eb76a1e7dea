#pragma once

#include "core/clock.h"
#include "core/reason.h"

#include <cstdint>
#include <optional>
#include <random>

namespace kelptally::decision {

// A share of successes that may be spent on retries, so that a storm of failures is not multiplied.
class RetryBudget
{
public:
    explicit RetryBudget(int percent);

    void onSuccess();
    // Takes one retry off the budget; false when it is used up. A small share of the wishes is
    // granted even then, so that a service without any success is still tried.
    bool trySpend();

private:
    const int percent_;
    // In hundredths of a retry.
    int credit_;
    int consecutiveRefusals_ = 0;
};

// What is known of a failed attempt.
struct FailedAttempt
{
    Reason reason = Reason::None;
    bool notExecuted = true;
    bool repeatable = true;
    bool hasKey = false;
    int number = 0;
    Duration deadlineLeft {0};
};

// Decides whether and when a failed attempt is made again. While no owner can be found the request
// waits for one as long as a takeover may need; every other repeat draws on the budget.
class RetryPolicy
{
public:
    RetryPolicy(int budgetPercent, std::uint64_t seed);

    void onSuccess();
    // The delay with jitter, or nothing when the failure is final.
    std::optional<Duration> retryAfter(const FailedAttempt &attempt);
    // Whether the last refusal was for the budget alone.
    bool budgetSpent() const { return budgetSpent_; }

private:
    Duration backoff(int number);

    RetryBudget budget_;
    std::mt19937_64 random_;
    bool budgetSpent_ = false;
};

} // namespace kelptally::decision
