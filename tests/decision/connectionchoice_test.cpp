#include "decision/connectionchoice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

constexpr Instant start {1000s};

ServerConnections server(int total, int share)
{
    ServerConnections state;
    state.total = total;
    state.share = share;
    state.slots = 3;
    return state;
}

IdleConnection idle(bool sameOrganisation, Duration age = 0s, bool hasSessionValues = false)
{
    return {sameOrganisation, hasSessionValues, start - age};
}

} // namespace

TEST_CASE("An idle connection of the organisation is used, preferably with the session's values")
{
    const auto first = chooseConnection({idle(false), idle(true), idle(true, 0s, true), idle(true)},
                                        server(4, 4), start);
    CHECK(first.action == ConnectionAction::Use);
    CHECK(first.index == 2);
    // Otherwise the most recently used.
    const auto last =
        chooseConnection({idle(true, 3s), idle(true, 1s), idle(false)}, server(3, 4), start);
    CHECK(last.action == ConnectionAction::Use);
    CHECK(last.index == 1);
}

TEST_CASE("A connection is opened within the share, otherwise the least recently used is replaced")
{
    CHECK(chooseConnection({idle(false)}, server(3, 4), start).action == ConnectionAction::Open);
    const auto full = chooseConnection({idle(false, 3s), idle(false, 1s)}, server(4, 4), start);
    CHECK(full.action == ConnectionAction::Replace);
    CHECK(full.index == 0);
    CHECK(chooseConnection({}, server(4, 4), start).action == ConnectionAction::WaitForIdle);
    // Connections idle for less than minIdleTime are not replaced.
    ServerConnections recentlyUsed = server(4, 4);
    recentlyUsed.minIdleTime = 5s;
    CHECK(chooseConnection({idle(false, 3s)}, recentlyUsed, start).action
          == ConnectionAction::WaitForIdle);
    recentlyUsed.minIdleTime = 2s;
    CHECK(chooseConnection({idle(false, 3s)}, recentlyUsed, start).action
          == ConnectionAction::Replace);
}

TEST_CASE("Connections idle in a transaction are added to the owner's share, up to a bound")
{
    const OwnerShare share {60, 85};
    CHECK(maxOwnerConnections(39, 0, share) == 23);
    CHECK(maxOwnerConnections(39, 5, share) == 28);
    CHECK(maxOwnerConnections(39, 17, share) == 33);
    CHECK(maxOwnerConnections(39, 17, {60, 60}) == 23);
    CHECK(maxOwnerConnections(2, 0, share) == 3);
}

TEST_CASE("Opening connections leave a slot free, and each organisation opens one at a time")
{
    ServerConnections state = server(1, 10);
    state.opening = 1;
    CHECK(chooseConnection({}, state, start).action == ConnectionAction::Open);
    state.openingForOrganisation = 1;
    CHECK(chooseConnection({}, state, start).action == ConnectionAction::WaitForOpening);
    state.openingForOrganisation = 0;
    state.opening = 2;
    CHECK(chooseConnection({}, state, start).action == ConnectionAction::WaitForOpening);
    state.slots = 1;
    state.opening = 0;
    CHECK(chooseConnection({}, state, start).action == ConnectionAction::Open);
    state.mayOpen = false;
    CHECK(chooseConnection({}, state, start).action == ConnectionAction::WaitForServer);
    CHECK(chooseConnection({idle(true)}, state, start).action == ConnectionAction::Use);
}

namespace {

// Simulates one owner's connections to one server in steps of a millisecond. Opening a connection
// takes 12 ms and a slot; some connections are idle in a transaction all the time.
struct ConnectionSimulation
{
    int organisations = 72;
    int share = 23;
    int slots = 3;
    // Statements per second of all organisations, with a skewed distribution.
    double rate = 60;
    // Multiplies the load of the largest organisation.
    double loadFactor = 1;
    int inTransaction = 0;
    Duration length = 30s;

    struct Statement
    {
        int organisation = 0;
        Instant arrived;
    };
    struct Connection
    {
        int organisation = 0;
        Instant lastUsedAt;
        // End of the statement or of the opening; the epoch: idle.
        Instant busyUntil;
        bool opening = false;
        bool inTransaction = false;
    };

    int openings = 0;
    int served = 0;
    std::map<int, Duration> maxWait;

    double weight(int organisation) const
    {
        return (organisation == 0 ? loadFactor : 1) / (organisation + 3.0);
    }

    void run(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<double> weights;
        double baseWeight = 0;
        for (int i = 0; i < organisations; ++i) {
            weights.push_back(weight(i));
            baseWeight += 1 / (i + 3.0);
        }
        double totalWeight = 0;
        for (const double each : weights)
            totalWeight += each;
        std::discrete_distribution<int> organisationOf(weights.begin(), weights.end());
        std::uniform_real_distribution<double> chance(0, 1);
        std::uniform_int_distribution<int> workMs(4, 24);
        std::vector<Statement> queue;
        std::vector<Connection> connections;
        for (int i = 0; i < inTransaction; ++i)
            connections.push_back({i, start, Instant::max(), false, true});
        for (Instant now = start; now < start + length; now += 1ms) {
            if (chance(random) < rate * totalWeight / baseWeight / 1000)
                queue.push_back({organisationOf(random), now});
            for (Connection &each : connections) {
                if (each.inTransaction || each.busyUntil > now || each.busyUntil == Instant())
                    continue;
                each.busyUntil = Instant();
                each.lastUsedAt = now;
                each.opening = false;
            }
            for (auto at = queue.begin(); at != queue.end();)
                at = tryStart(*at, now, connections, workMs(random)) ? queue.erase(at) : at + 1;
        }
        for (const Statement &left : queue)
            recordWait(left, start + length);
    }

    void recordWait(const Statement &statement, Instant now)
    {
        Duration &longest = maxWait[statement.organisation];
        longest = std::max(longest, now - statement.arrived);
    }

    bool tryStart(const Statement &statement, Instant now, std::vector<Connection> &connections,
                  int workMs)
    {
        const auto busy = [](const Connection &each) {
            return !each.inTransaction && each.busyUntil != Instant();
        };
        if (std::count_if(connections.begin(), connections.end(), busy) >= slots)
            return false;
        std::sort(connections.begin(), connections.end(),
                  [](const auto &a, const auto &b) { return a.lastUsedAt < b.lastUsedAt; });
        std::vector<IdleConnection> free;
        std::vector<std::size_t> at;
        ServerConnections state;
        state.total = static_cast<int>(connections.size());
        state.share = share;
        state.slots = slots;
        for (std::size_t i = 0; i < connections.size(); ++i) {
            const Connection &each = connections[i];
            state.opening += each.opening;
            state.openingForOrganisation +=
                each.opening && each.organisation == statement.organisation;
            if (each.inTransaction || each.busyUntil != Instant())
                continue;
            free.push_back({each.organisation == statement.organisation, false, each.lastUsedAt});
            at.push_back(i);
        }
        const ConnectionChoice choice = chooseConnection(free, state, now);
        switch (choice.action) {
        case ConnectionAction::Use:
            connections[at[choice.index]].busyUntil = now + std::chrono::milliseconds(workMs);
            ++served;
            recordWait(statement, now);
            return true;
        case ConnectionAction::Replace:
            connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(at[choice.index]));
            [[fallthrough]];
        case ConnectionAction::Open:
            ++openings;
            connections.push_back({statement.organisation, now, now + 12ms, true, false});
            return false;
        default:
            return false;
        }
    }
};

} // namespace

TEST_CASE("72 organisations share 23 connections with few openings and bounded waits")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        ConnectionSimulation simulation;
        simulation.run(seed);
        CHECK(simulation.served > 1600);
        // Guards against a new connection for nearly every statement.
        CHECK(simulation.openings < simulation.served * 6 / 10);
        for (const auto &[organisation, wait] : simulation.maxWait) {
            CAPTURE(organisation);
            CHECK(wait < 250ms);
        }
    }
}

TEST_CASE("Waits stay bounded beside an overloading organisation and idle transactions")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        ConnectionSimulation simulation;
        simulation.loadFactor = 8;
        simulation.inTransaction = 18;
        simulation.run(seed);
        CHECK(simulation.served > 1600);
        for (const auto &[organisation, wait] : simulation.maxWait) {
            CAPTURE(organisation);
            CHECK(wait < 1000ms);
        }
    }
}
