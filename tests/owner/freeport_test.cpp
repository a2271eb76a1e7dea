#include "freeport.h"

#include <catch2/catch.hpp>

#include <set>

using namespace kelptally::owner;

// Two owners were given one port, as the first did not listen yet when the second drew: a run of
// owner_majority_test in 64 ended so, with
//   owner_started address=127.0.0.1:43971
//   can't listen on 127.0.0.1:43971: Underlying Transport Error
TEST_CASE("No free port is drawn twice")
{
    constexpr std::size_t draws = 2000;
    std::set<int> ports;
    for (std::size_t i = 0; i < draws; ++i)
        ports.insert(takeFreePort());
    CHECK(ports.size() == draws);
}
