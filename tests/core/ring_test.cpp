#include "core/ring.h"

#include <catch2/catch.hpp>

using namespace kelptally;

TEST_CASE("a push to a full ring fails and keeps the queued items")
{
    int wakes = 0;
    Ring<int> ring(2, [&] { ++wakes; });
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(wakes == 1);

    std::vector<int> taken;
    ring.takeAll(taken);
    CHECK(taken == std::vector<int> {1, 2});
    CHECK(ring.tryPush(4));
    CHECK(wakes == 2);
}
