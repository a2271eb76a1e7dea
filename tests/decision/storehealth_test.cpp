#include "decision/storehealth.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

TEST_CASE("The state follows the newest sign, and only news are told")
{
    StoreHealth health;
    const Instant start {};
    CHECK(!health.onAnswer(4ms));
    CHECK(health.onSilence(start + 1s));
    CHECK(!health.onSilence(start + 2s));
    CHECK(health.since() == start + 1s);
    CHECK(health.onRefusal(start + 3s));
    CHECK(health.state() == StoreState::TurnedAway);
    // Lost since the first sign.
    CHECK(health.since() == start + 1s);
    CHECK(health.onAnswer(4ms));
    CHECK(!health.onAnswer(4ms));
    CHECK(health.state() == StoreState::Answering);
}

TEST_CASE("A slow service is given more time, and less again when it recovers")
{
    StoreHealth health;
    const Duration usual = health.patience();
    CHECK(usual >= 600ms);
    health.onAnswer(700ms);
    CHECK(health.patience() >= 2s);
    for (int i = 0; i < 60; ++i)
        health.onAnswer(4ms);
    CHECK(health.patience() == usual);
    health.onAnswer(1h);
    CHECK(health.patience() <= 3s);
    health.onSilence(Instant());
    CHECK(health.trialPatience(Instant() + 1s) == 250ms);
    CHECK(health.trialPatience(Instant() + 4s) == 400ms);
    CHECK(health.trialPatience(Instant() + 1h) == 800ms);
}

TEST_CASE(
    "A silent service is looked for often enough to be found within 200 ms, spread over hosts")
{
    StoreHealth health;
    const Instant start {};
    health.onSilence(start);
    for (const Duration age : {0s, 3s, 9s, 12s}) {
        CHECK(health.attemptPause(start + age, 0) >= 100ms);
        CHECK(health.attemptPause(start + age, 1) <= 200ms);
        CHECK(health.attemptPause(start + age, 0) < health.attemptPause(start + age, 1));
    }
    // An outage of minutes costs little.
    CHECK(health.attemptPause(start + 10min, 0.5) == 1s);
}

TEST_CASE("Attempts that are refused become rare, and begin anew with the next loss")
{
    StoreHealth health;
    const Instant start {};
    std::vector<Duration> pauses;
    for (int i = 0; i < 6; ++i) {
        health.onRefusal(start + i * 1s);
        pauses.push_back(health.attemptPause(start + i * 1s, 0.5));
    }
    CHECK(pauses == std::vector<Duration> {100ms, 200ms, 400ms, 800ms, 800ms, 800ms});
    health.onAnswer(4ms);
    health.onRefusal(start + 20s);
    CHECK(health.attemptPause(start + 20s, 0.5) == 100ms);
}

TEST_CASE("After a refusal calls return as answers come, and after a broken connection all at once")
{
    StoreHealth health;
    const Instant start {};
    for (int i = 0; i < 100; ++i)
        health.onAnswer(4ms);
    const std::size_t all = health.mostOpen();
    health.onBroken(start);
    health.onAnswer(4ms);
    CHECK(health.mostOpen() == all);
    health.onRefusal(start + 1s);
    CHECK(health.mostOpen() == 1);
    health.onAnswer(4ms);
    health.onAnswer(4ms);
    CHECK(health.mostOpen() == 3);
    for (int i = 0; i < 100; ++i)
        health.onAnswer(4ms);
    CHECK(health.mostOpen() == all);
}

TEST_CASE("Attempts of a host that is refused again and again stay rare, though some are answered")
{
    StoreHealth health;
    const Instant start {};
    for (int i = 0; i < 4; ++i) {
        health.onRefusal(start + i * 500ms);
        health.onAnswer(4ms);
    }
    health.onRefusal(start + 2s);
    CHECK(health.attemptPause(start + 2s, 0.5) == 800ms);
    health.onAnswer(4ms);
    // Lost answers are no limit: their next attempt is soon.
    health.onBroken(start + 3s);
    CHECK(health.attemptPause(start + 3s, 0.5) == 100ms);
}
