#include "freeport.h"

#include <catch2/catch.hpp>

#include <set>

using namespace kelptally::owner;

// A port must not be returned again before its first user listens on it.
TEST_CASE("takeFreePort() never returns the same port twice")
{
    constexpr std::size_t draws = 2000;
    std::set<int> ports;
    for (std::size_t i = 0; i < draws; ++i)
        ports.insert(takeFreePort());
    CHECK(ports.size() == draws);
}
