#include "soak.h"

#include <catch2/catch.hpp>

using namespace kelptally;

// Long runs are soak_checker's; these seeds are the same at every run.
TEST_CASE("Random faults break no promise, and service is back after them")
{
    int promotions = 0;
    int acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        const model::SoakResult result = model::soak(seed);
        INFO("seed " << seed);
        CHECK(result.violations == std::vector<std::string>());
        CHECK(result.recovered);
        promotions += result.promotions;
        acknowledged += result.acknowledged;
    }
    // The schedules reach what they are for.
    CHECK(promotions > 50);
    CHECK(acknowledged > 10'000);
}
