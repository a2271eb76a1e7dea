#include "bench/checker.h"
#include "bench/replay.h"
#include "bench/trace.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace kelptally;
using namespace kelptally::bench;
using namespace std::chrono_literals;

namespace {

Trace shippedTrace(const std::string &name)
{
    const auto all = shippedTraces();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&name](const Trace &trace) { return trace.name == name; });
    REQUIRE(found != all.end());
    return *found;
}

Figures replayFigures(const std::string &trace, const std::string &policy)
{
    const auto figures = replay(shippedTrace(trace), policy);
    REQUIRE(figures.ok());
    return *figures;
}

TraceRequest requestOf(RequestId id, bool write)
{
    TraceRequest request;
    request.id = id;
    request.write = write;
    request.group = "g";
    request.repeatable = false;
    return request;
}

Answer doneAt(RequestId id, Position position)
{
    return {id, Executed::Yes, Reason::None, position, "a", true};
}

} // namespace

TEST_CASE("kelptally violates no guarantee under each kind of fault")
{
    for (const std::string name : {"agency-failover", "lagon-rolling-restart",
                                   "agency-store-outage", "lagon-session-moves"}) {
        INFO(name);
        const Figures figures = replayFigures(name, "kelptally");
        CHECK(figures.violations.all() == 0);
        CHECK(figures.unexpectedOutcomes == 0);
        CHECK(figures.requests > 10000);
        CHECK(figures.done == figures.requests);
        CHECK(figures.replicaReads * 100 >= figures.replicaEligibleReads * 98);
    }
}

TEST_CASE("the checker detects violations of the baseline policies")
{
    const Figures partition = replayFigures("agency-partition", "primary-only");
    CHECK(partition.violations.lostWrites > 0);
    const Figures lag = replayFigures("lagon-lag", "round-robin");
    CHECK(lag.violations.statedAge > 0);
    CHECK(lag.violations.readYourWrites > 0);
    const Figures failover = replayFigures("agency-failover", "primary-only");
    CHECK(failover.unexpectedOutcomes > 0);
    REQUIRE_FALSE(failover.gaps.empty());
    CHECK(*std::max_element(failover.gaps.begin(), failover.gaps.end()) > 3s);
}

TEST_CASE("a replay is deterministic")
{
    const Figures first = replayFigures("lagon-host-crash", "kelptally");
    const Figures second = replayFigures("lagon-host-crash", "kelptally");
    CHECK(first.replicaReads == second.replicaReads);
    CHECK(first.gaps == second.gaps);
    CHECK(first.writeLatency == second.writeLatency);
}

TEST_CASE("an unknown policy is an error")
{
    CHECK(absl::IsInvalidArgument(replay(shippedTrace("agency-failover"), "best").status()));
}

TEST_CASE("the checker counts each kind of violation")
{
    GroupLogs logs;
    Checker checker([&logs](const GroupName &) -> const GroupLogs & { return logs; });
    const Instant start {1h};
    const Position begin = logs.beginTerm(1, {}, start);
    const Position one = logs.append(1, 11, start + 1ms);
    const Position two = logs.append(1, 12, start + 2ms);
    logs.append(1, 12, start + 3ms);
    logs.append(1, 13, start + 4ms);

    for (const RequestId id : {11, 12, 13, 14}) {
        checker.onSent(requestOf(id, true), start);
    }
    checker.onAnswer(requestOf(11, true), doneAt(11, one), start + 5ms);
    checker.onAnswer(requestOf(12, true), doneAt(12, two), start + 5ms);
    checker.onAnswer(requestOf(13, true), {13, Executed::No, Reason::QueueFull, {}, "", false},
                     start + 5ms);

    // A read that misses the writes of its own session, answered with another request's id.
    TraceRequest read = requestOf(20, false);
    read.statedAge = 1s;
    checker.onSent(read, start + 10ms);
    checker.onAnswer(read, doneAt(21, begin), start + 20ms);
    CHECK(checker.figures().violations.readYourWrites == 1);
    CHECK(checker.figures().violations.misdirectedAnswers == 1);
    CHECK(checker.figures().violations.statedAge == 0);

    // A read by another session that misses writes older than its stated age.
    read.id = 22;
    read.session = 9;
    checker.onSent(read, start + 2s);
    checker.onAnswer(read, doneAt(22, begin), start + 2s);
    CHECK(checker.figures().violations.statedAge == 1);
    CHECK(checker.figures().violations.readYourWrites == 1);

    checker.onStatementOnLeavingServer(1s);
    checker.onStatementOnLeavingServer(3s);
    CHECK(checker.figures().violations.statementsOnLeavingServer == 1);
    checker.onRequestsAborted(2);
    CHECK(checker.figures().violations.abortedRequests == 2);

    // The log of a new primary ends after the first write, so the second is lost.
    logs.beginTerm(2, one, start + 3s);
    checker.checkFinalLog("g", 2);
    CHECK(checker.figures().violations.lostWrites == 1);
    CHECK(checker.figures().violations.executedDespiteRefusal == 0);
    checker.checkFinalLog("g", 1);
    CHECK(checker.figures().violations.duplicateWrites == 1);
    CHECK(checker.figures().violations.executedDespiteRefusal == 1);
}
