#include "freeport.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <set>
#include <thread>
#include <vector>

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

// Many threads create entries at once; a race in the helper crashed or hung the tests.
TEST_CASE("takeFreePort() may be called by many threads at once")
{
    constexpr std::size_t threads = 30;
    constexpr std::size_t drawsPerThread = 50;
    std::atomic<bool> go {false};
    std::vector<std::vector<int>> drawn(threads);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < threads; ++i) {
        callers.emplace_back([&go, &mine = drawn[i]] {
            while (!go)
                std::this_thread::yield();
            for (std::size_t draw = 0; draw < drawsPerThread; ++draw)
                mine.push_back(takeFreePort());
        });
    }
    go = true;
    for (std::thread &caller : callers)
        caller.join();
    std::set<int> ports;
    for (const std::vector<int> &mine : drawn)
        ports.insert(mine.begin(), mine.end());
    CHECK(ports.size() == threads * drawsPerThread);
}
