#include "decision/storehealth.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

TEST_CASE("The state follows the latest event, and only changes are reported")
{
    StoreHealth health;
    const Instant start {};
    CHECK(!health.onAnswer(4ms));
    CHECK(health.onTimeout(start + 1s));
    CHECK(!health.onTimeout(start + 2s));
    CHECK(health.unavailableSince() == start + 1s);
    CHECK(health.onRefusal(start + 3s));
    CHECK(health.state() == StoreState::Refusing);
    // The outage began with the first failure.
    CHECK(health.unavailableSince() == start + 1s);
    CHECK(health.onAnswer(4ms));
    CHECK(!health.onAnswer(4ms));
    CHECK(health.state() == StoreState::Answering);
}

TEST_CASE("The call timeout grows with a slow service and shrinks when it recovers")
{
    StoreHealth health;
    const Duration usual = health.callTimeout();
    CHECK(usual >= 600ms);
    health.onAnswer(700ms);
    CHECK(health.callTimeout() >= 2s);
    for (int i = 0; i < 60; ++i)
        health.onAnswer(4ms);
    CHECK(health.callTimeout() == usual);
    health.onAnswer(1h);
    CHECK(health.callTimeout() <= 3s);
    health.onTimeout(Instant());
    CHECK(health.trialTimeout(Instant() + 1s) == 250ms);
    CHECK(health.trialTimeout(Instant() + 4s) == 400ms);
    CHECK(health.trialTimeout(Instant() + 1h) == 800ms);
}

TEST_CASE("A silent service is probed at least every 200 ms at first, with jitter")
{
    StoreHealth health;
    const Instant start {};
    health.onTimeout(start);
    for (const Duration age : {0s, 3s, 9s, 12s}) {
        CHECK(health.retryDelay(start + age, 0) >= 100ms);
        CHECK(health.retryDelay(start + age, 1) <= 200ms);
        CHECK(health.retryDelay(start + age, 0) < health.retryDelay(start + age, 1));
    }
    // Probes are rare in a long outage.
    CHECK(health.retryDelay(start + 10min, 0.5) == 1s);
}

TEST_CASE("The delay doubles with each refusal, and restarts with the next outage")
{
    StoreHealth health;
    const Instant start {};
    std::vector<Duration> delays;
    for (int i = 0; i < 6; ++i) {
        health.onRefusal(start + i * 1s);
        delays.push_back(health.retryDelay(start + i * 1s, 0.5));
    }
    CHECK(delays == std::vector<Duration> {100ms, 200ms, 400ms, 800ms, 800ms, 800ms});
    health.onAnswer(4ms);
    health.onRefusal(start + 20s);
    CHECK(health.retryDelay(start + 20s, 0.5) == 100ms);
}

TEST_CASE("A refusal limits the calls in flight, a lost connection does not")
{
    StoreHealth health;
    const Instant start {};
    for (int i = 0; i < 100; ++i)
        health.onAnswer(4ms);
    const std::size_t all = health.maxOpenCalls();
    health.onConnectionLost(start);
    health.onAnswer(4ms);
    CHECK(health.maxOpenCalls() == all);
    health.onRefusal(start + 1s);
    CHECK(health.maxOpenCalls() == 1);
    health.onAnswer(4ms);
    health.onAnswer(4ms);
    CHECK(health.maxOpenCalls() == 3);
    for (int i = 0; i < 100; ++i)
        health.onAnswer(4ms);
    CHECK(health.maxOpenCalls() == all);
}

TEST_CASE("Repeated refusals keep the backoff, even if calls are answered in between")
{
    StoreHealth health;
    const Instant start {};
    for (int i = 0; i < 4; ++i) {
        health.onRefusal(start + i * 500ms);
        health.onAnswer(4ms);
    }
    health.onRefusal(start + 2s);
    CHECK(health.retryDelay(start + 2s, 0.5) == 800ms);
    health.onAnswer(4ms);
    // A lost connection is no refusal and restarts the backoff.
    health.onConnectionLost(start + 3s);
    CHECK(health.retryDelay(start + 3s, 0.5) == 100ms);
}
