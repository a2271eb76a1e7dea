#include "decision/replicachoice.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

constexpr Duration afterReportWindow = 1s;

ReplicaState unreported(const ServerName &server)
{
    ReplicaState replica;
    replica.server = server;
    replica.endpoint = server + ":1";
    return replica;
}

ReplicaState reported(const ServerName &server, Position heldPosition)
{
    ReplicaState replica = unreported(server);
    replica.heldPosition = heldPosition;
    return replica;
}

ReplicaState asLastPrimary(ReplicaState replica)
{
    replica.isLastPrimary = true;
    return replica;
}

// Puts the replica at the address of another server.
ReplicaState atAddressOf(const ServerName &address, ReplicaState replica)
{
    replica.endpoint = address + ":1";
    return replica;
}

// A group that has lost its primary: the length of each log, the acknowledged part, and the servers
// that have reported.
struct LostPrimary
{
    // The last primary comes first.
    std::vector<LogOffset> logs;
    LogOffset acknowledged = 0;
    unsigned reportedMask = 0;
    bool primaryKnown = false;
};

ReplicaChoiceInput stateOf(const LostPrimary &lost)
{
    ReplicaChoiceInput state;
    state.waited = afterReportWindow;
    for (std::size_t i = 0; i < lost.logs.size(); ++i) {
        const ServerName server = std::to_string(i);
        const bool hasReported = (lost.reportedMask >> i & 1u) != 0;
        state.replicas.push_back(hasReported ? reported(server, {1, lost.logs[i]})
                                             : unreported(server));
    }
    state.replicas[0].isLastPrimary = lost.primaryKnown;
    return state;
}

// Visits every group with this many servers and logs of up to three commits.
template <typename Visit>
void forEachLostPrimary(std::size_t servers, Visit visit)
{
    constexpr LogOffset maxOffset = 3;
    std::size_t combinations = 1;
    for (std::size_t i = 1; i < servers; ++i)
        combinations *= maxOffset + 1;
    for (std::size_t code = 0; code < combinations; ++code) {
        LostPrimary lost;
        lost.logs.push_back(maxOffset);
        for (std::size_t i = 1, rest = code; i < servers; ++i, rest /= maxOffset + 1)
            lost.logs.push_back(rest % (maxOffset + 1));
        const LogOffset confirmed = *std::max_element(lost.logs.begin() + 1, lost.logs.end());
        for (lost.acknowledged = 0; lost.acknowledged <= confirmed; ++lost.acknowledged)
            for (lost.reportedMask = 0; lost.reportedMask < 1u << servers; ++lost.reportedMask)
                for (const bool known : {false, true}) {
                    lost.primaryKnown = known;
                    visit(lost);
                }
    }
}

} // namespace

TEST_CASE("The chosen log holds every acknowledged commit, for all groups of two to four servers")
{
    int chosen = 0;
    for (std::size_t servers = 2; servers <= 4; ++servers)
        forEachLostPrimary(servers, [&](const LostPrimary &lost) {
            const ReplicaChoice choice = chooseReplica(stateOf(lost));
            if (choice.server.empty())
                return;
            ++chosen;
            const LogOffset heldPosition = lost.logs[std::stoul(choice.server)];
            if (heldPosition < lost.acknowledged) {
                CAPTURE(servers, lost.logs, lost.acknowledged, lost.reportedMask,
                        lost.primaryKnown);
                FAIL_CHECK("an acknowledged commit is missing");
            }
        });
    CHECK(chosen > 1'000);
}

TEST_CASE("With exact acknowledgement bounds no commit is lost, whichever servers report")
{
    int early = 0;
    for (std::size_t servers = 2; servers <= 4; ++servers)
        forEachLostPrimary(servers, [&](const LostPrimary &lost) {
            ReplicaChoiceInput state = stateOf(lost);
            state.acknowledgedAtLeast = Position {1, lost.acknowledged};
            state.acknowledgedAtMost = Position {1, lost.acknowledged};
            const ReplicaChoice choice = chooseReplica(state);
            early += choice.rule == ChoiceRule::HoldsAllAcknowledged ? 1 : 0;
            if (!choice.server.empty())
                CHECK(lost.logs[std::stoul(choice.server)] >= lost.acknowledged);
        });
    CHECK(early > 100);
}

TEST_CASE("The last primary is not waited for once all other servers have reported")
{
    ReplicaChoiceInput state;
    state.replicas = {asLastPrimary(unreported("a")), reported("b", {1, 106}), unreported("c")};
    CHECK(chooseReplica(state).rule == ChoiceRule::TooFewReported);
    state.replicas[2] = reported("c", {1, 167});
    CHECK(chooseReplica(state).server == "c");
    CHECK(chooseReplica(state).rule == ChoiceRule::AllReported);
}

TEST_CASE("The last primary's log suffices without any other report")
{
    ReplicaChoiceInput state;
    state.replicas = {asLastPrimary(reported("a", {1, 167})), unreported("b"), unreported("c")};
    CHECK(chooseReplica(state).server == "a");
    state.replicas[0].isLastPrimary = false;
    CHECK(chooseReplica(state).server.empty());
}

TEST_CASE("A server at the address of a missing one ends the wait but need not have its log")
{
    ReplicaChoiceInput state;
    state.replicas = {asLastPrimary(unreported("a")), reported("b", {1, 106}), unreported("c"),
                      atAddressOf("c", reported("c2", {1, 167}))};
    CHECK(chooseReplica(state).rule == ChoiceRule::TooFewReported);
    state.replicas[0] = asLastPrimary(reported("a", {1, 167}));
    CHECK(chooseReplica(state).server == "a");
    state.replicas[0] = asLastPrimary(unreported("a"));
    state.replicas.push_back(atAddressOf("a", reported("a2", {1, 167})));
    CHECK(chooseReplica(state).rule == ChoiceRule::AllReported);
}

TEST_CASE("The highest remaining log is chosen if all missing logs are lost permanently")
{
    ReplicaChoiceInput state;
    state.replicas = {asLastPrimary(unreported("a")), atAddressOf("a", reported("a2", {1, 0})),
                      reported("b", {1, 106}), unreported("c"),
                      atAddressOf("c", reported("c2", {1, 0}))};
    CHECK(chooseReplica(state).server == "b");
}

TEST_CASE("Without the last primary's log a replica must reach the start of its term")
{
    ReplicaChoiceInput state;
    state.inheritedOffset = 167;
    state.replicas = {asLastPrimary(unreported("a")), reported("b", {1, 106}),
                      reported("c", {2, 160})};
    CHECK(chooseReplica(state).rule == ChoiceRule::TooFewReported);
    state.replicas[2].heldPosition = Position {2, 168};
    CHECK(chooseReplica(state).server == "c");
    // The complete log of the previous term is equivalent to the start of this one.
    state.replicas[2].heldPosition = Position {1, 167};
    CHECK(chooseReplica(state).server == "c");
}

TEST_CASE("A known acknowledged commit is never given up, even if all servers have reported")
{
    ReplicaChoiceInput state;
    state.waited = afterReportWindow;
    state.replicas = {asLastPrimary(unreported("a")), reported("b", {1, 106})};
    state.acknowledgedAtLeast = Position {1, 107};
    CHECK(chooseReplica(state).rule == ChoiceRule::AcknowledgedMissing);
    CHECK(chooseReplica(state).server.empty());
    state.replicas.push_back(reported("back", {1, 107}));
    CHECK(chooseReplica(state).server == "back");
}

TEST_CASE("No replica is chosen before the report window ends while reports are missing")
{
    ReplicaChoiceInput state;
    state.acknowledgedAtMost = Position {1, 100};
    state.replicas = {asLastPrimary(unreported("a")), reported("b", {1, 100}), unreported("c")};
    CHECK(chooseReplica(state).server.empty());
    state.waited = 60ms;
    CHECK(chooseReplica(state).server == "b");
    CHECK(chooseReplica(state).rule == ChoiceRule::HoldsAllAcknowledged);
}

TEST_CASE("The longest log is chosen; among equal logs one that is not leaving")
{
    ReplicaChoiceInput state;
    state.replicas = {reported("leaving", {2, 50}), reported("stays", {2, 50}), unreported("a")};
    state.replicas[0].deprioritised = true;
    CHECK(chooseReplica(state).server == "stays");
    state.replicas[0].heldPosition = Position {2, 51};
    CHECK(chooseReplica(state).server == "leaving");
    // A longer log of a lower term comes from a replaced primary.
    state.replicas[0].heldPosition = Position {1, 60};
    CHECK(chooseReplica(state).server == "stays");
}
