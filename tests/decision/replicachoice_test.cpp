#include "decision/replicachoice.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

constexpr Duration longWait = 1s;

ReplicaState unheard(const ServerName &server)
{
    ReplicaState replica;
    replica.server = server;
    replica.endpoint = server + ":1";
    return replica;
}

ReplicaState heard(const ServerName &server, Position held)
{
    ReplicaState replica = unheard(server);
    replica.held = held;
    return replica;
}

ReplicaState lastLeader(ReplicaState replica)
{
    replica.isLastLeader = true;
    return replica;
}

// At the address of another one.
ReplicaState at(const ServerName &address, ReplicaState replica)
{
    replica.endpoint = address + ":1";
    return replica;
}

// One group at the moment at which its primary is lost: what each log holds, how much of it was
// acknowledged, and which replicas have said what they hold.
struct Lost
{
    // The last leader first.
    std::vector<LogOffset> logs;
    LogOffset acknowledged = 0;
    unsigned heardMask = 0;
    bool leaderKnown = false;
};

ChoiceState stateOf(const Lost &lost)
{
    ChoiceState state;
    state.waited = longWait;
    for (std::size_t i = 0; i < lost.logs.size(); ++i) {
        const ServerName server = std::to_string(i);
        const bool isHeard = (lost.heardMask >> i & 1u) != 0;
        state.replicas.push_back(isHeard ? heard(server, {1, lost.logs[i]}) : unheard(server));
    }
    state.replicas[0].isLastLeader = lost.leaderKnown;
    return state;
}

// Calls with every group of so many servers and logs of up to three commits.
template <typename Visit>
void forAll(std::size_t servers, Visit visit)
{
    constexpr LogOffset longest = 3;
    std::size_t combinations = 1;
    for (std::size_t i = 1; i < servers; ++i)
        combinations *= longest + 1;
    for (std::size_t code = 0; code < combinations; ++code) {
        Lost lost;
        lost.logs.push_back(longest);
        for (std::size_t i = 1, rest = code; i < servers; ++i, rest /= longest + 1)
            lost.logs.push_back(rest % (longest + 1));
        const LogOffset confirmed = *std::max_element(lost.logs.begin() + 1, lost.logs.end());
        for (lost.acknowledged = 0; lost.acknowledged <= confirmed; ++lost.acknowledged)
            for (lost.heardMask = 0; lost.heardMask < 1u << servers; ++lost.heardMask)
                for (const bool known : {false, true}) {
                    lost.leaderKnown = known;
                    visit(lost);
                }
    }
}

} // namespace

TEST_CASE("Whatever was acknowledged is in the chosen log, in every group of two to four servers")
{
    int chosen = 0;
    for (std::size_t servers = 2; servers <= 4; ++servers)
        forAll(servers, [&](const Lost &lost) {
            const ReplicaChoice choice = chooseReplica(stateOf(lost));
            if (choice.server.empty())
                return;
            ++chosen;
            const LogOffset held = lost.logs[std::stoul(choice.server)];
            if (held < lost.acknowledged) {
                CAPTURE(servers, lost.logs, lost.acknowledged, lost.heardMask, lost.leaderKnown);
                FAIL_CHECK("an acknowledged commit is missing");
            }
        });
    CHECK(chosen > 1'000);
}

TEST_CASE("One that knows every acknowledgement loses none, whoever was heard")
{
    int early = 0;
    for (std::size_t servers = 2; servers <= 4; ++servers)
        forAll(servers, [&](const Lost &lost) {
            ChoiceState state = stateOf(lost);
            state.acknowledgedAtLeast = Position {1, lost.acknowledged};
            state.acknowledgedAtMost = Position {1, lost.acknowledged};
            const ReplicaChoice choice = chooseReplica(state);
            early += choice.rule == ChoiceRule::HoldsAll ? 1 : 0;
            if (!choice.server.empty())
                CHECK(lost.logs[std::stoul(choice.server)] >= lost.acknowledged);
        });
    CHECK(early > 100);
}

TEST_CASE("All but the last leader are heard, and it is not waited for")
{
    ChoiceState state;
    state.replicas = {lastLeader(unheard("a")), heard("b", {1, 106}), unheard("c")};
    CHECK(chooseReplica(state).rule == ChoiceRule::TooFewHeard);
    state.replicas[2] = heard("c", {1, 167});
    CHECK(chooseReplica(state).server == "c");
    CHECK(chooseReplica(state).rule == ChoiceRule::AllHeard);
}

TEST_CASE("The last leader's own log holds everything, whoever else is unheard")
{
    ChoiceState state;
    state.replicas = {lastLeader(heard("a", {1, 167})), unheard("b"), unheard("c")};
    CHECK(chooseReplica(state).server == "a");
    state.replicas[0].isLastLeader = false;
    CHECK(chooseReplica(state).server.empty());
}

TEST_CASE(
    "A server at the address of another has not its log for certain, but ends the wait for it")
{
    ChoiceState state;
    state.replicas = {lastLeader(unheard("a")), heard("b", {1, 106}), unheard("c"),
                      at("c", heard("c2", {1, 167}))};
    CHECK(chooseReplica(state).rule == ChoiceRule::TooFewHeard);
    state.replicas[0] = lastLeader(heard("a", {1, 167}));
    CHECK(chooseReplica(state).server == "a");
    state.replicas[0] = lastLeader(unheard("a"));
    state.replicas.push_back(at("a", heard("a2", {1, 167})));
    CHECK(chooseReplica(state).rule == ChoiceRule::AllHeard);
}

TEST_CASE("With all missing logs lost for good the highest that is left is taken")
{
    ChoiceState state;
    state.replicas = {lastLeader(unheard("a")), at("a", heard("a2", {1, 0})), heard("b", {1, 106}),
                      unheard("c"), at("c", heard("c2", {1, 0}))};
    CHECK(chooseReplica(state).server == "b");
}

TEST_CASE("Without the last leader's log a replica must reach what its term began with")
{
    ChoiceState state;
    state.inherited = 167;
    state.replicas = {lastLeader(unheard("a")), heard("b", {1, 106}), heard("c", {2, 160})};
    CHECK(chooseReplica(state).rule == ChoiceRule::TooFewHeard);
    state.replicas[2].held = Position {2, 168};
    CHECK(chooseReplica(state).server == "c");
    // The whole log of the term before is as good as the beginning of this one.
    state.replicas[2].held = Position {1, 167};
    CHECK(chooseReplica(state).server == "c");
}

TEST_CASE("What is known to be acknowledged is never given up, also when all were heard")
{
    ChoiceState state;
    state.waited = longWait;
    state.replicas = {lastLeader(unheard("a")), heard("b", {1, 106})};
    state.acknowledgedAtLeast = Position {1, 107};
    CHECK(chooseReplica(state).rule == ChoiceRule::AcknowledgedMissing);
    CHECK(chooseReplica(state).server.empty());
    state.replicas.push_back(heard("back", {1, 107}));
    CHECK(chooseReplica(state).server == "back");
}

TEST_CASE("Those that answer in time are compared before one is taken that holds everything")
{
    ChoiceState state;
    state.acknowledgedAtMost = Position {1, 100};
    state.replicas = {lastLeader(unheard("a")), heard("b", {1, 100}), unheard("c")};
    CHECK(chooseReplica(state).server.empty());
    state.waited = 60ms;
    CHECK(chooseReplica(state).server == "b");
    CHECK(chooseReplica(state).rule == ChoiceRule::HoldsAll);
}

TEST_CASE("Of equal logs one that stays is taken, of others the one that holds more")
{
    ChoiceState state;
    state.replicas = {heard("leaving", {2, 50}), heard("stays", {2, 50}), unheard("a")};
    state.replicas[0].avoided = true;
    CHECK(chooseReplica(state).server == "stays");
    state.replicas[0].held = Position {2, 51};
    CHECK(chooseReplica(state).server == "leaving");
    // A longer log of a lower term is that of a replaced primary.
    state.replicas[0].held = Position {1, 60};
    CHECK(chooseReplica(state).server == "stays");
}
