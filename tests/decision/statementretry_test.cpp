#include "decision/statementretry.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::decision;
using namespace std::chrono_literals;

namespace {

FailedStatement singleRead(ServerError error)
{
    FailedStatement statement;
    statement.error = error;
    statement.read = true;
    statement.autocommit = true;
    statement.attempts = 1;
    return statement;
}

FailedStatement singleWrite(ServerError error)
{
    FailedStatement statement = singleRead(error);
    statement.read = false;
    return statement;
}

FailedStatement inTransaction(ServerError error, bool commit)
{
    FailedStatement statement;
    statement.error = error;
    statement.commit = commit;
    statement.inTransaction = true;
    statement.attempts = 1;
    return statement;
}

} // namespace

TEST_CASE("What did not run is sent again, a write too")
{
    for (const ServerError error : {ServerError::Busy, ServerError::Lagging, ServerError::ReadOnly,
                                    ServerError::UnknownStatement}) {
        CHECK(onServerError(singleRead(error)).sendAgain);
        CHECK(onServerError(singleWrite(error)).sendAgain);
    }
}

TEST_CASE("What ran is sent again only if it reads, and not for ever")
{
    for (const ServerError error :
         {ServerError::Failed, ServerError::TimedOut, ServerError::Other}) {
        CHECK(onServerError(singleRead(error)).sendAgain);
        CHECK_FALSE(onServerError(singleWrite(error)).sendAgain);
        FailedStatement often = singleRead(error);
        often.attempts = 100;
        CHECK_FALSE(onServerError(often).sendAgain);
    }
    CHECK(onServerError(singleWrite(ServerError::TimedOut)).executed == Executed::Unknown);
    CHECK(onServerError(singleWrite(ServerError::Failed)).executed == Executed::Yes);
}

TEST_CASE("A write whose answer is lost is in doubt and never sent again")
{
    CHECK(onAnswerLost(singleRead(ServerError::None)).sendAgain);
    const RetryDecision write = onAnswerLost(singleWrite(ServerError::None));
    CHECK_FALSE(write.sendAgain);
    CHECK(write.executed == Executed::Unknown);
    const RetryDecision commit = onAnswerLost(inTransaction(ServerError::None, true));
    CHECK_FALSE(commit.sendAgain);
    CHECK(commit.executed == Executed::Unknown);
    const RetryDecision open = onAnswerLost(inTransaction(ServerError::None, false));
    CHECK_FALSE(open.sendAgain);
    CHECK(open.executed == Executed::No);
    FailedStatement begin = inTransaction(ServerError::None, false);
    begin.inTransaction = false;
    begin.begins = true;
    CHECK(onAnswerLost(begin).sendAgain);
}

TEST_CASE("In a transaction only a busy server that keeps it open is asked again")
{
    FailedStatement busy = inTransaction(ServerError::Busy, false);
    CHECK_FALSE(onServerError(busy).sendAgain);
    CHECK(onServerError(busy).endsTransaction);
    busy.transactionStillOpen = true;
    CHECK(onServerError(busy).sendAgain);
    CHECK_FALSE(onServerError(busy).endsTransaction);
    for (const ServerError error : {ServerError::ReadOnly, ServerError::Failed}) {
        const RetryDecision result = onServerError(inTransaction(error, false));
        CHECK_FALSE(result.sendAgain);
        CHECK(result.endsTransaction);
        CHECK(result.executed == Executed::No);
    }
}

TEST_CASE("A commit that ran and failed is in doubt; one that was not run is not")
{
    CHECK(onServerError(inTransaction(ServerError::TimedOut, true)).executed == Executed::Unknown);
    CHECK(onServerError(inTransaction(ServerError::Failed, true)).executed == Executed::Unknown);
    CHECK(onServerError(inTransaction(ServerError::ReadOnly, true)).executed == Executed::No);
}

TEST_CASE("A replica that goes on refusing is asked less and less, and soon after its lag again")
{
    Duration delay {0};
    for (int i = 0; i < 10; ++i) {
        const Duration next = nextLaggingBackoff(delay);
        CHECK(next >= delay);
        delay = next;
    }
    CHECK(delay <= 200ms);
    CHECK(busyBackoff() < delay);
}
