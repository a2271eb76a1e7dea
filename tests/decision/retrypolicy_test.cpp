#include "decision/retrypolicy.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

FailedAttempt attemptOf(Reason reason)
{
    FailedAttempt attempt;
    attempt.reason = reason;
    attempt.deadlineLeft = 5s;
    return attempt;
}

} // namespace

TEST_CASE("a request is only retried if it can't be executed twice")
{
    RetryPolicy policy(10, 1);
    FailedAttempt attempt = attemptOf(Reason::OwnerUnreachable);
    attempt.notExecuted = false;
    attempt.repeatable = false;
    CHECK_FALSE(policy.retryAfter(attempt));
    CHECK_FALSE(policy.budgetSpent());
    attempt.hasKey = true;
    CHECK(policy.retryAfter(attempt));
    attempt.hasKey = false;
    attempt.repeatable = true;
    CHECK(policy.retryAfter(attempt));
    attempt.repeatable = false;
    attempt.notExecuted = true;
    CHECK(policy.retryAfter(attempt));
}

TEST_CASE("failures that aren't retryable are final")
{
    RetryPolicy policy(10, 1);
    for (const ReasonInfo &info : allReasons())
        if (!info.retryable)
            CHECK_FALSE(policy.retryAfter(attemptOf(info.reason)));
}

TEST_CASE("the backoff is exponential with jitter, within bounds and the deadline")
{
    RetryPolicy policy(100, 7);
    Duration previousMax {0};
    for (int number = 0; number < 6; ++number) {
        Duration minDelay = 1h;
        Duration maxDelay {0};
        for (int i = 0; i < 100; ++i) {
            policy.onSuccess();
            FailedAttempt attempt = attemptOf(Reason::NoPrimary);
            attempt.number = number;
            const auto delay = policy.retryAfter(attempt);
            REQUIRE(delay);
            minDelay = std::min(minDelay, *delay);
            maxDelay = std::max(maxDelay, *delay);
        }
        CHECK(maxDelay <= 2 * minDelay);
        CHECK(maxDelay > minDelay);
        CHECK(maxDelay > previousMax / 2);
        CHECK(maxDelay <= 200ms);
        previousMax = maxDelay;
    }
    FailedAttempt attempt = attemptOf(Reason::NoPrimary);
    attempt.deadlineLeft = 5ms;
    CHECK_FALSE(policy.retryAfter(attempt));
    CHECK_FALSE(policy.budgetSpent());
    attempt.deadlineLeft = 1s;
    attempt.number = 6;
    CHECK_FALSE(policy.retryAfter(attempt));
}

TEST_CASE("only a small share of a wave of failures is retried")
{
    RetryPolicy policy(10, 1);
    for (int i = 0; i < 10000; ++i)
        policy.onSuccess();
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        if (policy.retryAfter(attemptOf(Reason::QueueFull)))
            ++retries;
        else
            CHECK(policy.budgetSpent());
    }
    CHECK(retries >= 200);
    CHECK(retries <= 230);
}

TEST_CASE("owner lookups are retried for the duration of a failover, outside the budget")
{
    const auto waitForOwner = [](Duration deadlineLeft, std::uint64_t seed) {
        RetryPolicy policy(0, seed);
        FailedAttempt attempt = attemptOf(Reason::NoOwner);
        attempt.deadlineLeft = deadlineLeft;
        Duration waited {0};
        while (const auto delay = policy.retryAfter(attempt)) {
            CHECK(*delay > 0ms);
            waited += *delay;
            attempt.deadlineLeft -= *delay;
            ++attempt.number;
        }
        return waited;
    };
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        // Longer than a failover takes, but bounded.
        const Duration longDeadline = waitForOwner(30s, seed);
        CHECK(longDeadline > 1900ms);
        CHECK(longDeadline < 4s);
        const Duration shortDeadline = waitForOwner(1s, seed);
        CHECK(shortDeadline > 700ms);
        CHECK(shortDeadline <= 1s);
    }

    RetryPolicy policy(0, 1);
    FailedAttempt attempt = attemptOf(Reason::NoOwner);
    // A request that may have been executed is charged to the budget.
    attempt = attemptOf(Reason::OwnerUnreachable);
    attempt.notExecuted = false;
    CHECK_FALSE(policy.retryAfter(attempt));
    CHECK(policy.budgetSpent());
}

TEST_CASE("with mixed results the retries keep to the budget")
{
    RetryBudget budget(10);
    int spent = 0;
    for (int i = 0; i < 10000; ++i) {
        if (i % 2 == 0)
            budget.onSuccess();
        else
            spent += budget.trySpend() ? 1 : 0;
    }
    CHECK(spent > 450);
    CHECK(spent < 620);
}

TEST_CASE("a budget of zero allows no retries")
{
    RetryBudget budget(0);
    for (int i = 0; i < 1000; ++i) {
        budget.onSuccess();
        CHECK_FALSE(budget.trySpend());
    }
}
