#include "freeport.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <set>
#include <thread>
#include <vector>

using namespace kelptally;

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

// Another test process that used the same port kept a test from listening.
TEST_CASE("An address that was taken is free whatever ports other processes use")
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    const std::string address = takeFreeAddress();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    const auto ip = boost::asio::ip::make_address(address.substr(0, address.find(':')));
    const pid_t otherProcess = ::getpid() + 1;
    const auto otherIp = boost::asio::ip::make_address(loopbackAddress(otherProcess));
    const tcp::acceptor other(context, tcp::endpoint(otherIp, port));
    CHECK_NOTHROW(tcp::acceptor(context, tcp::endpoint(ip, port)));
}

TEST_CASE("Test processes have different loopback addresses")
{
    constexpr pid_t processes = 100'000;
    std::set<std::string> addresses;
    for (pid_t process = 0; process < processes; ++process)
        addresses.insert(loopbackAddress(process));
    CHECK(addresses.size() == processes);
    CHECK(addresses.count("127.0.0.1") == 0);
}
