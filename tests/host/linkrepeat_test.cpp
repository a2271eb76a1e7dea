#include "modelcluster.h"

#include <catch2/catch.hpp>

// Messages delayed on an old link may arrive after the session has continued on a new one. They
// must not affect the session's current transaction.
using namespace kelptally;
using namespace kelptally::model;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t sessionNumber = 9001;

void waitUntilReady(ModelCluster &cluster)
{
    REQUIRE(cluster.timeToWrite(0, 5s));
    REQUIRE(cluster.runUntil(10s, [&] { return cluster.allHostsKnowOwner(); }));
    cluster.run(500ms);
}

std::size_t hostOtherThan(int host)
{
    return host == 0 ? 1 : 0;
}

bool isServed(ModelCluster &cluster, const ModelCluster::OutcomePtr &outcome)
{
    return cluster.runUntil(700ms, [&] { return outcome->done; })
        && outcome->result.reason == Reason::None;
}

// Separates the entry host until its statement times out, then lets it connect by new links.
void partitionUntilTimeout(ModelCluster &cluster, std::size_t entry,
                           const ModelCluster::OutcomePtr &sent)
{
    const int owner = cluster.owner();
    cluster.partition(entry, true);
    cluster.run(200ms);
    // The entry dials the owner again while a statement waits for it.
    const auto waiting = cluster.read(entry, inner::ReadRule::Newest);
    cluster.run(650ms);
    REQUIRE(sent->done);
    REQUIRE(sent->result.reason != Reason::None);
    cluster.partition(entry, false);
    REQUIRE(isServed(cluster, waiting));
    REQUIRE(cluster.owner() == owner);
}

// Commits the session's transaction and checks that it consists of its own statements only.
void checkCommittedAlone(ModelCluster &cluster, std::size_t entry,
                         const ModelCluster::OutcomePtr &begun)
{
    const auto committed = cluster.commit(entry, sessionNumber);
    REQUIRE(isServed(cluster, committed));
    CHECK(cluster.group.statementsByCommit[committed->result.signature]
          == std::vector<std::string> {begun->result.signature});
}

void checkNoViolations(ModelCluster &cluster)
{
    cluster.checkStatementResults();
    CHECK(cluster.violations.all == std::vector<std::string>());
    CHECK(cluster.group.openTransactionCount() == 0);
}

} // namespace

TEST_CASE("A delayed begin that timed out does not replace the session's transaction")
{
    ModelCluster cluster(40);
    waitUntilReady(cluster);
    const std::size_t entry = hostOtherThan(cluster.owner());
    cluster.delayLinks();
    partitionUntilTimeout(cluster, entry, cluster.begin(entry, sessionNumber));
    const auto begun = cluster.begin(entry, sessionNumber);
    REQUIRE(isServed(cluster, begun));
    cluster.deliverDelayed();
    cluster.run(100ms);
    checkCommittedAlone(cluster, entry, begun);
    cluster.run(1s);
    checkNoViolations(cluster);
}

TEST_CASE("A delayed begin after the end of its transaction opens no transaction")
{
    ModelCluster cluster(41);
    waitUntilReady(cluster);
    const std::size_t entry = hostOtherThan(cluster.owner());
    cluster.delayLinks();
    partitionUntilTimeout(cluster, entry, cluster.begin(entry, sessionNumber));
    cluster.deliverDelayed();
    cluster.run(100ms);
    CHECK(cluster.group.openTransactionCount() == 0);
    const auto begun = cluster.begin(entry, sessionNumber);
    REQUIRE(isServed(cluster, begun));
    checkCommittedAlone(cluster, entry, begun);
    cluster.run(1s);
    checkNoViolations(cluster);
}

TEST_CASE("A delayed commit that timed out does not commit the session's transaction")
{
    ModelCluster cluster(42);
    waitUntilReady(cluster);
    const std::size_t entry = hostOtherThan(cluster.owner());
    REQUIRE(isServed(cluster, cluster.begin(entry, sessionNumber)));
    cluster.delayLinks();
    partitionUntilTimeout(cluster, entry, cluster.commit(entry, sessionNumber));
    const auto begun = cluster.begin(entry, sessionNumber);
    REQUIRE(isServed(cluster, begun));
    const int commits = cluster.group.commits;
    cluster.deliverDelayed();
    cluster.run(100ms);
    CHECK(cluster.group.commits == commits);
    checkCommittedAlone(cluster, entry, begun);
    cluster.run(1s);
    checkNoViolations(cluster);
}

// A busy owner may process the copy that was sent on a renewed link before the first copy, which is
// still buffered on the old link.
TEST_CASE("A write sent again on a renewed link is answered although its first copy arrives last")
{
    constexpr auto silence = 200ms;
    constexpr auto renewalTime = 80ms;
    for (auto delay = silence; delay < silence + renewalTime; delay += 2ms) {
        CAPTURE(delay.count());
        ModelCluster cluster(43);
        waitUntilReady(cluster);
        const std::size_t entry = hostOtherThan(cluster.owner());
        cluster.delayLinks();
        const auto written = cluster.write(entry);
        cluster.run(delay);
        cluster.deliverDelayed();
        CHECK(isServed(cluster, written));
        cluster.run(1s);
        checkNoViolations(cluster);
    }
}

// The copy has the same number, or a newer one after the owner has counted as lost.
TEST_CASE("A first statement sent again on a renewed link leaves its session one transaction")
{
    const auto shortest = GENERATE(200ms, 440ms);
    constexpr auto span = 80ms;
    for (auto delay = shortest; delay < shortest + span; delay += 2ms) {
        CAPTURE(delay.count());
        ModelCluster cluster(44);
        waitUntilReady(cluster);
        const std::size_t entry = hostOtherThan(cluster.owner());
        cluster.delayLinks();
        const auto begun = cluster.begin(entry, sessionNumber);
        cluster.run(delay);
        cluster.deliverDelayed();
        REQUIRE(isServed(cluster, begun));
        CHECK(cluster.group.openTransactionCount() == 1);
        cluster.run(100ms);
        checkCommittedAlone(cluster, entry, begun);
        cluster.run(1s);
        checkNoViolations(cluster);
        CHECK(cluster.connectionErrors() == 0);
    }
}

namespace {

// Returns how often the last read of the cluster has run.
int runsOfLastRead(const ModelCluster &cluster)
{
    return cluster.group.readRuns.empty() ? 0 : cluster.group.readRuns.rbegin()->second;
}

// Delays the answers of all servers to the owner.
void delayServerAnswers(ModelCluster &cluster, Duration delay)
{
    const std::string owner = cluster.address(std::size_t(cluster.owner()));
    for (const auto &[id, server] : cluster.group.servers())
        cluster.group.answerDelays[{owner, id}] = delay;
}

} // namespace

// Under load, links are renewed while the owner runs what was sent on them; a second run of each
// read makes the load worse.
TEST_CASE("A read sent again on a renewed link runs once")
{
    constexpr auto silence = 200ms;
    constexpr auto renewalTime = 80ms;
    for (auto delay = silence; delay < silence + renewalTime; delay += 2ms) {
        CAPTURE(delay.count());
        ModelCluster cluster(44);
        waitUntilReady(cluster);
        const std::size_t entry = hostOtherThan(cluster.owner());
        cluster.group.readRuns.clear();
        cluster.delayLinks();
        const auto read = cluster.read(entry, inner::ReadRule::Newest);
        cluster.run(delay);
        cluster.deliverDelayed();
        CHECK(isServed(cluster, read));
        cluster.run(1s);
        CHECK(runsOfLastRead(cluster) == 1);
        checkNoViolations(cluster);
    }
}

TEST_CASE("A read whose link is reset while it runs is not run again")
{
    for (const auto resetAt : {1ms, 20ms, 100ms, 190ms, 299ms, 301ms, 305ms}) {
        CAPTURE(resetAt.count());
        ModelCluster cluster(45);
        waitUntilReady(cluster);
        const std::size_t entry = hostOtherThan(cluster.owner());
        delayServerAnswers(cluster, 300ms);
        cluster.group.readRuns.clear();
        const auto read = cluster.read(entry, inner::ReadRule::Newest);
        cluster.run(resetAt);
        cluster.resetLinks();
        CHECK(isServed(cluster, read));
        cluster.run(1s);
        CHECK(runsOfLastRead(cluster) == 1);
        checkNoViolations(cluster);
    }
}

// Its links were replaced, and what was in transit on them was lost.
TEST_CASE("An owner that answers late keeps its links")
{
    for (const auto pause : {200ms, 220ms, 240ms, 260ms, 280ms}) {
        CAPTURE(pause.count());
        ModelCluster cluster(46);
        waitUntilReady(cluster);
        const auto owner = std::size_t(cluster.owner());
        const std::size_t entry = hostOtherThan(cluster.owner());
        const inner::LinkId link = cluster.linkBetween(entry, owner);
        REQUIRE(link != 0);
        cluster.group.readRuns.clear();
        cluster.freeze(owner, pause);
        const auto read = cluster.read(entry, inner::ReadRule::Newest);
        CHECK(isServed(cluster, read));
        cluster.run(1s);
        CHECK(cluster.linkBetween(entry, owner) == link);
        CHECK(runsOfLastRead(cluster) == 1);
        checkNoViolations(cluster);
    }
}
