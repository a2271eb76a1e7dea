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

TEST_CASE("Statements that were not executed are sent again, writes too")
{
    for (const ServerError error : {ServerError::Busy, ServerError::Lagging, ServerError::ReadOnly,
                                    ServerError::UnknownStatement}) {
        CHECK(onServerError(singleRead(error)).sendAgain);
        CHECK(onServerError(singleWrite(error)).sendAgain);
    }
}

TEST_CASE("Executed statements are sent again only if they are reads, with a limit")
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

// Such a write was reported as executed, though nothing is known of it.
TEST_CASE("A write that ends with an unrecognised error has an unknown outcome")
{
    const RetryDecision write = onServerError(singleWrite(ServerError::Other));
    CHECK_FALSE(write.sendAgain);
    CHECK(write.reason == Reason::Unconfirmed);
    CHECK(write.executed == Executed::Unknown);
    const RetryDecision commit = onServerError(inTransaction(ServerError::Other, true));
    CHECK(commit.executed == Executed::Unknown);
    const RetryDecision open = onServerError(inTransaction(ServerError::Other, false));
    CHECK(open.executed == Executed::No);
    CHECK(open.endsTransaction);
}

TEST_CASE("A write whose answer is lost has an unknown outcome and is never sent again")
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

TEST_CASE("In a transaction a statement is sent again only if a busy server kept it open")
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

TEST_CASE("The outcome of a failed commit is unknown only if it was executed")
{
    CHECK(onServerError(inTransaction(ServerError::TimedOut, true)).executed == Executed::Unknown);
    CHECK(onServerError(inTransaction(ServerError::Failed, true)).executed == Executed::Unknown);
    CHECK(onServerError(inTransaction(ServerError::ReadOnly, true)).executed == Executed::No);
}

TEST_CASE("The backoff of a lagging replica grows up to a bound")
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
