#include "actions.h"
#include "modelserver.h"

#include "decision/candidate.h"

#include <algorithm>
#include <map>
#include <set>

using namespace kelptally;
using namespace kelptally::decision;

namespace {

// A Failover at epoch 3 with three model servers. They answer at once, except for dead servers,
// which refuse connections, and silent ones.
struct Group
{
    explicit Group(OwnerEpoch epoch = 3) : failover("offers", epoch, {"s0", "s1", "s2"})
    {
        for (const char *name : {"s0", "s1", "s2"})
            servers.emplace(name, ModelServer(name, std::string(name) == "s0"));
        servers.at("s1").follow("s0", 1);
        servers.at("s2").follow("s0", 1);
    }

    ModelServer &server(const ServerName &name) { return servers.at(name); }
    bool answers(const ServerName &name) const { return !dead.count(name) && !silent.count(name); }

    void start() { performAll(failover.start(now, 0, "")); }

    void run(Duration time)
    {
        const Instant end = now + time;
        while (now < end) {
            now += milliseconds(10);
            if (replicating)
                replicate();
            performAll(failover.onTick(now));
        }
    }

    void replicate()
    {
        for (auto &[name, from] : servers) {
            if (!from.takesWrites() || !answers(name))
                continue;
            for (auto &[other, to] : servers) {
                if (other != name && answers(other) && !isolated.count(other))
                    to.onReplication(from.replication());
            }
        }
    }

    void performAll(const FailoverActions &actions)
    {
        append(log, actions);
        for (const FailoverAction &action : actions)
            std::visit([this](const auto &known) { perform(known); }, action);
    }

    // Runs a command and reports a failure that Failover can notice. Returns whether it was
    // answered.
    template <typename Work>
    bool command(const ServerName &name, Work work)
    {
        if (!answers(name)) {
            if (dead.count(name))
                performAll(failover.onCommandFailed(now, name, CommandFailure::NotSent));
            return false;
        }
        const bool done = work(server(name));
        if (!done)
            performAll(failover.onCommandFailed(now, name, CommandFailure::Refused));
        return done && !loseAnswers.count(name);
    }

    void perform(const SendProbe &action)
    {
        if (dead.count(action.server))
            performAll(failover.onProbeFailed(now, action.server, action.sequence, true));
        else if (!silent.count(action.server))
            performAll(failover.onReport(now, action.server, action.sequence,
                                         server(action.server).report()));
    }
    void perform(const SendPrepare &action)
    {
        const Term term = action.term;
        if (command(action.server, [term](ModelServer &s) { return s.prepare(term); }))
            performAll(
                failover.onPrepared(now, action.server, term, server(action.server).report()));
    }
    void perform(const SendPromote &action)
    {
        if (dieOnPromote)
            dead.insert(action.server);
        const Term term = action.term;
        if (command(action.server, [term](ModelServer &s) { return s.promote(term); }))
            performAll(failover.onPromoted(now, action.server, term));
    }
    void perform(const SendFollow &action)
    {
        const auto follow = [&](ModelServer &s) { return s.follow(action.primary, action.term); };
        if (command(action.server, follow))
            performAll(failover.onFollowing(now, action.server, action.term));
    }
    void perform(const SendRaiseFence &action)
    {
        const OwnerEpoch epoch = action.epoch;
        if (command(action.server, [epoch](ModelServer &s) { return s.raiseFence(epoch); }))
            performAll(failover.onFenceRaised(now, action.server, epoch));
    }
    void perform(const SendReadHistory &action)
    {
        if (command(action.server, [](ModelServer &) { return true; }))
            performAll(failover.onHistory(now, action.server, server(action.server).history()));
    }
    void perform(const PrimaryGone &) { }
    void perform(const PrimaryReady &action) { ready.push_back(action); }

    bool isReady(const ServerName &name) const
    {
        return failover.primary() == std::optional<ServerName>(name);
    }

    void write(const ServerName &name, std::uint64_t key)
    {
        REQUIRE(server(name).write(3, key, key, false).result == WriteResult::Done);
    }

    Failover failover;
    std::map<ServerName, ModelServer> servers;
    Instant now {std::chrono::hours(1)};
    std::set<ServerName> dead;
    std::set<ServerName> silent;
    std::set<ServerName> isolated;
    std::set<ServerName> loseAnswers;
    bool replicating = true;
    bool dieOnPromote = false;
    std::vector<PrimaryReady> ready;
    FailoverActions log;
};

Candidate candidate(const ServerName &name, Term term, LogOffset offset, bool trusted = true)
{
    return {name, {term, offset}, trusted};
}

} // namespace

TEST_CASE("The candidate is the server with the highest position of a majority", "[failover]")
{
    const auto choice = [](const std::vector<Candidate> &prepared,
                           const ServerName &preferred = "") {
        const Candidate *chosen = chooseCandidate(prepared, 2, preferred);
        return chosen ? chosen->server : ServerName("none");
    };
    CHECK(choice({candidate("a", 2, 9)}) == "none");
    CHECK(choice({candidate("a", 2, 9), candidate("b", 2, 10)}) == "b");
    // A longer log of a lower term loses.
    CHECK(choice({candidate("a", 1, 50), candidate("b", 2, 10)}) == "b");
    // An untrusted server is passed over only if the others are a majority.
    CHECK(choice({candidate("a", 2, 12, false), candidate("b", 2, 10)}) == "a");
    CHECK(choice({candidate("a", 2, 12, false), candidate("b", 2, 10), candidate("c", 2, 11)})
          == "c");
    CHECK(choice({candidate("a", 2, 10), candidate("b", 2, 10)}, "b") == "b");
    CHECK(choice({candidate("a", 2, 11), candidate("b", 2, 10)}, "b") == "a");
}

TEST_CASE("A new owner keeps a healthy primary after raising the fence", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(100));
    REQUIRE(group.ready.size() == 1);
    CHECK(group.ready[0].server == "s0");
    CHECK(group.ready[0].term == 1);
    CHECK(group.ready[0].gap == Duration {0});
    CHECK(group.server("s0").fence() == 3);
    CHECK(findAll<SendPrepare>(group.log).empty());
}

TEST_CASE("A refused connection needs one confirmation", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    SECTION("a single refusal changes nothing")
    {
        group.dead = {"s0"};
        group.performAll(group.failover.onConnectionLost(group.now, "s0"));
        group.dead.clear();
        group.run(seconds(2));
        CHECK(group.ready.size() == 1);
        CHECK(findAll<PrimaryGone>(group.log).empty());
    }
    SECTION("a dead primary is replaced at once")
    {
        group.dead = {"s0"};
        group.performAll(group.failover.onConnectionLost(group.now, "s0"));
        group.run(milliseconds(150));
        REQUIRE(group.ready.size() == 2);
        CHECK(group.ready[1].term == makeTerm(3, 1));
        CHECK(group.ready[1].server != "s0");
        CHECK(group.ready[1].gap > Duration {0});
        CHECK(group.ready[1].gap < milliseconds(150));
    }
}

TEST_CASE("A silent primary is replaced only after a timeout and an answer of another server",
          "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    group.silent = {"s0"};
    SECTION("a few lost answers are no failure")
    {
        group.run(milliseconds(300));
        group.silent.clear();
        group.run(seconds(1));
        CHECK(findAll<PrimaryGone>(group.log).empty());
    }
    SECTION("traffic counts as an answer")
    {
        for (int i = 0; i < 20; ++i) {
            group.run(milliseconds(100));
            group.failover.onTraffic(group.now, "s0");
        }
        CHECK(findAll<PrimaryGone>(group.log).empty());
    }
    SECTION("a hung primary is replaced")
    {
        group.run(milliseconds(600));
        CHECK_FALSE(group.isReady("s0"));
        CHECK(group.ready.size() == 2);
    }
    SECTION("when all servers are silent this process is cut off")
    {
        group.silent = {"s0", "s1", "s2"};
        group.run(seconds(5));
        CHECK(findAll<PrimaryGone>(group.log).empty());
    }
    SECTION("a pause of this process does not count as silence")
    {
        group.silent.clear();
        group.now += seconds(3);
        group.run(seconds(1));
        CHECK(findAll<PrimaryGone>(group.log).empty());
    }
}

TEST_CASE("A promotion whose answer was lost is repeated", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    group.dead = {"s0"};
    group.loseAnswers = {"s1", "s2"};
    group.run(milliseconds(300));
    CHECK(group.ready.size() == 1);
    group.loseAnswers.clear();
    group.run(milliseconds(400));
    REQUIRE(group.ready.size() == 2);
    const ServerName primary = group.ready[1].server;
    CHECK(group.server(primary).takesWrites());
    const auto &history = group.server(primary).history();
    CHECK(history.back().term == group.ready[1].term);
}

TEST_CASE("If the candidate dies during promotion another one is promoted in a new term",
          "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    group.silent = {"s0"};
    group.dieOnPromote = true;
    group.run(milliseconds(520));
    REQUIRE(group.dead.size() == 1);
    const ServerName candidate = *group.dead.begin();
    group.dieOnPromote = false;
    group.silent.clear();
    group.run(milliseconds(500));
    REQUIRE(group.ready.size() == 2);
    CHECK(group.ready[1].server != candidate);
    CHECK(group.ready[1].term >= makeTerm(3, 2));
}

TEST_CASE("Loss of the majority stops writes until a majority is available again", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    group.dead = {"s0", "s1"};
    group.run(seconds(10));
    CHECK(group.ready.size() == 1);
    CHECK_FALSE(group.failover.primary());
    SECTION("a majority is available again")
    {
        group.dead = {"s0"};
        group.run(milliseconds(700));
        REQUIRE(group.ready.size() == 2);
        CHECK_FALSE(group.ready[1].lostAfter);
    }
    SECTION("an operator accepts data loss, which is reported")
    {
        group.performAll(group.failover.promote(group.now, "s2", false));
        group.run(seconds(2));
        CHECK(group.ready.size() == 1);
        group.performAll(group.failover.promote(group.now, "s2", true));
        const Position end = group.server("s2").end();
        group.run(seconds(1));
        REQUIRE(group.ready.size() == 2);
        CHECK(group.ready[1].server == "s2");
        REQUIRE(group.ready[1].lostAfter);
        CHECK(*group.ready[1].lostAfter == end);
    }
}

TEST_CASE("Without a majority for two seconds the owner counts as cut off", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(500));
    CHECK_FALSE(group.failover.isCutOff(group.now));
    group.silent = {"s1", "s2"};
    group.run(milliseconds(1900));
    CHECK_FALSE(group.failover.isCutOff(group.now));
    group.run(milliseconds(400));
    CHECK(group.failover.isCutOff(group.now));

    // One more server is a majority.
    group.silent = {"s2"};
    group.run(milliseconds(300));
    CHECK_FALSE(group.failover.isCutOff(group.now));

    // A pause of this process does not count.
    group.now += std::chrono::seconds(10);
    group.run(milliseconds(20));
    CHECK_FALSE(group.failover.isCutOff(group.now));
}

TEST_CASE("An old primary that returns becomes a replica and drops unconfirmed records",
          "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    group.isolated = {"s0", "s1", "s2"};
    group.write("s0", 7);
    group.silent = {"s0"};
    group.run(milliseconds(600));
    group.isolated.clear();
    group.run(milliseconds(300));
    REQUIRE(group.ready.size() == 2);
    const ServerName primary = group.ready[1].server;
    group.write(primary, 8);
    group.silent.clear();
    group.run(milliseconds(500));
    CHECK_FALSE(group.server("s0").takesWrites());
    CHECK(group.server("s0").end() == group.server(primary).end());
    const Log &log = group.server("s0").log();
    CHECK(std::none_of(log.begin(), log.end(), [](const Record &r) { return r.key == 7; }));
    CHECK(group.ready.size() == 2);
}

TEST_CASE("Writes resume only when a majority holds a record of the new term", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    group.dead = {"s0"};
    group.replicating = false;
    group.run(seconds(1));
    CHECK_FALSE(group.failover.primary());
    group.replicating = true;
    group.run(milliseconds(50));
    CHECK(group.failover.primary());
}

TEST_CASE("A newer owner's term or fence stops the older owner", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    SECTION("term")
    {
        group.server("s1").prepare(makeTerm(4, 1));
    }
    SECTION("fence")
    {
        group.server("s0").raiseFence(4);
    }
    group.run(milliseconds(200));
    CHECK_FALSE(group.failover.primary());
    const std::size_t before = findAll<SendPrepare>(group.log).size();
    group.run(seconds(2));
    CHECK(findAll<SendPrepare>(group.log).size() == before);
}

TEST_CASE("A replica prepared by a paused older owner causes a promotion in a new term",
          "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    group.server("s1").prepare(makeTerm(2, 9));
    group.run(milliseconds(300));
    REQUIRE(group.ready.size() == 2);
    CHECK(group.ready[1].term == makeTerm(3, 1));
}

TEST_CASE("A new owner completes an interrupted promotion", "[failover]")
{
    Group group;
    group.server("s1").prepare(makeTerm(2, 1));
    group.server("s2").prepare(makeTerm(2, 1));
    SECTION("prepared only")
    {
        group.start();
        group.run(milliseconds(300));
        REQUIRE(group.ready.size() == 1);
        CHECK(group.ready[0].term == makeTerm(3, 1));
    }
    SECTION("promoted, while the old primary does not answer")
    {
        group.server("s1").promote(makeTerm(2, 1));
        group.silent = {"s0"};
        group.start();
        group.run(milliseconds(300));
        REQUIRE(group.ready.size() == 1);
        CHECK(group.ready[0].server == "s1");
        CHECK(group.ready[0].term == makeTerm(2, 1));
    }
}

TEST_CASE("A leaving primary is replaced by a replica that has caught up", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    group.write("s0", 5);
    group.run(milliseconds(100));
    group.write("s0", 6);
    group.performAll(group.failover.setServers(group.now, {"s0", "s1", "s2"}, {"s0"}));
    group.run(milliseconds(500));
    REQUIRE(group.ready.size() == 2);
    const Log &log = group.server(group.ready[1].server).log();
    CHECK(group.ready[1].server != "s0");
    CHECK(std::count_if(log.begin(), log.end(), [](const Record &r) { return r.key >= 5; }) == 2);
    // No switch back while the server is leaving.
    group.run(seconds(2));
    CHECK(group.ready.size() == 2);
}

TEST_CASE("An operator's switch promotes the named server", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(200));
    group.performAll(group.failover.promote(group.now, "s2", false));
    group.run(milliseconds(500));
    CHECK(group.isReady("s2"));
    CHECK_FALSE(group.ready.back().lostAfter);
}

TEST_CASE("A primary whose log does not reach the replicas is replaced", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(500));
    REQUIRE(group.isReady("s0"));
    group.isolated = {"s0", "s1", "s2"};
    group.write("s0", 1);
    group.run(ReplicationWatch::minStallTimeout - milliseconds(100));
    CHECK(group.isReady("s0"));
    group.run(milliseconds(400));
    // The replicas lack the write, which was never confirmed.
    CHECK_FALSE(group.isReady("s0"));
    group.isolated = {"s0"};
    group.run(milliseconds(500));
    CHECK((group.isReady("s1") || group.isReady("s2")));
}

TEST_CASE("A primary that cannot replicate stays while no majority exists without it", "[failover]")
{
    Group group;
    group.start();
    group.run(milliseconds(500));
    group.isolated = {"s1", "s2"};
    group.dead = {"s2"};
    group.write("s0", 1);
    group.run(milliseconds(5000));
    CHECK(group.isReady("s0"));
}

TEST_CASE("Slow replication is not a stall and repeated stalls have a longer limit", "[failover]")
{
    const Instant start {std::chrono::hours(1)};
    constexpr std::size_t majority = 2;
    ReplicationWatch watch;
    const auto reportPositions = [&](Instant now, LogOffset primary, LogOffset replicas) {
        watch.onPrimaryPosition(now, {1, primary});
        watch.onReplicaPosition(now, "b", {1, replicas}, majority);
        watch.onReplicaPosition(now, "c", {1, replicas}, majority);
    };
    Instant now = start;
    // Always behind but advancing.
    for (LogOffset i = 1; i < 50; ++i, now += milliseconds(100)) {
        reportPositions(now, 1000 + i, i);
        REQUIRE_FALSE(watch.isStalled(now, majority));
    }
    const auto stallLength = [&] {
        const Instant begin = now;
        for (; !watch.isStalled(now, majority); now += milliseconds(100))
            reportPositions(now, 2000, 60);
        return now - begin;
    };
    CHECK(stallLength() >= ReplicationWatch::minStallTimeout);
    watch.onStallFailover();
    watch.reset();
    CHECK(stallLength() >= 2 * ReplicationWatch::minStallTimeout);
    reportPositions(now, 2000, 2000);
    watch.reset();
    CHECK(stallLength() < 2 * ReplicationWatch::minStallTimeout);
}

TEST_CASE("A session's position does not count as lost before the history of the term is read")
{
    const Instant now {std::chrono::hours(1)};
    const Term term = makeTerm(2, 1);
    Failover failover("offers", 3, {"s0", "s1", "s2"});
    const auto probes = failover.start(now, 0, "");
    for (const FailoverAction &action : probes) {
        if (const auto *probe = std::get_if<SendProbe>(&action)) {
            const bool primary = probe->server == "s0";
            const Position end {term, 20};
            failover.onReport(now, probe->server, probe->sequence, {term, primary, end, end, 2});
        }
    }
    REQUIRE(failover.term() == term);
    REQUIRE(failover.history().empty());
    CHECK_FALSE(failover.isLost({1, 9}));

    failover.onHistory(now, "s0", {{1, 1}, {term, 10}});
    CHECK_FALSE(failover.isLost({1, 9}));
    CHECK(failover.isLost({1, 10}));
    CHECK_FALSE(failover.isLost({term, 30}));
    CHECK_FALSE(failover.isLost({term + 1, 30}));
}
