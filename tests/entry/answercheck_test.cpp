#include "entry/answercheck.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::entry;
using namespace std::chrono_literals;

namespace {

inner::ExecuteResult replicaRead()
{
    inner::ExecuteResult result;
    result.rows.values = {{Value("abc"), std::nullopt}};
    result.rowCount = 1;
    result.byteLength = 3;
    result.fromReplica = true;
    result.age = 100ms;
    result.ownerTime = 5ms;
    return result;
}

constexpr AttemptTimes times {12ms, 10ms};

} // namespace

TEST_CASE("An incomplete answer is rejected")
{
    inner::ExecuteResult result = replicaRead();
    CHECK(checkAnswer(result, true, Duration(1s), times).reason == Reason::None);
    result.rowCount = 2;
    CHECK(checkAnswer(result, true, Duration(1s), times).reason == Reason::Internal);
    result = replicaRead();
    result.byteLength = 4;
    CHECK(checkAnswer(result, false, std::nullopt, times).reason == Reason::Internal);
}

TEST_CASE("The transit time is added to the age of the data")
{
    // 100 ms at the owner, 12 - 5 ms in transit, 10 ms to the caller.
    const AnswerVerdict verdict = checkAnswer(replicaRead(), true, Duration(117ms), times);
    CHECK(verdict.reason == Reason::None);
    CHECK(verdict.age == Duration(117ms));
    CHECK(verdict.transit == Duration(7ms));
    CHECK(checkAnswer(replicaRead(), true, Duration(117ms) - 1ns, times).reason
          == Reason::ReplicaTooStale);

    // An owner time beyond the elapsed time does not make the data younger.
    inner::ExecuteResult result = replicaRead();
    result.ownerTime = 1h;
    CHECK(checkAnswer(result, true, Duration(1s), times).age == Duration(110ms));
    result.ownerTime = -1h;
    CHECK(checkAnswer(result, true, Duration(1s), times).age == Duration(122ms));
}

TEST_CASE("A read at the primary is as old as the attempt; a replica read without age is too stale")
{
    inner::ExecuteResult result = replicaRead();
    result.age.reset();
    CHECK(checkAnswer(result, true, Duration(1s), times).reason == Reason::ReplicaTooStale);
    result.fromReplica = false;
    CHECK(checkAnswer(result, true, Duration(1s), times).age == Duration(22ms));
    CHECK(checkAnswer(result, true, Duration(20ms), times).reason == Reason::ReplicaTooStale);
    CHECK(checkAnswer(result, true, std::nullopt, times).reason == Reason::None);
}

TEST_CASE("The owner's age limit is the stated age less the excess transit time")
{
    CHECK_FALSE(ageLimitForOwner(std::nullopt, Duration(0)));
    CHECK(ageLimitForOwner(Duration(1s), Duration(0)) == Duration(1s));
    CHECK(ageLimitForOwner(Duration(1s), 30ms) == Duration(970ms));
    CHECK_FALSE(ageLimitForOwner(Duration(30ms), 30ms));
}
