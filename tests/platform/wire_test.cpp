#include "platform/wire.h"

#include <catch2/catch.hpp>

#include <random>

using namespace kelptally;
using namespace kelptally::platform;
using session::StatementKind;

namespace {

session::Statement statementOf(const std::string &text)
{
    const CallerMessage message = parseCallerMessage("QUERY 5c0e " + text);
    REQUIRE(message.kind == CallerMessage::Kind::Statement);
    CHECK(message.statement.id == "5c0e");
    CHECK(message.statement.text == text);
    return message.statement;
}

std::string answerOf(Reason reason, Executed executed)
{
    session::Answer answer;
    answer.reason = reason;
    answer.executed = executed;
    const std::string text = encodeAnswer(answer, session::SessionState::Idle);
    return text.substr(0, text.find(' ', 6));
}

} // namespace

TEST_CASE("Statements of callers are parsed and keep their text")
{
    CHECK(statementOf("BEGIN").kind == StatementKind::Begin);
    CHECK(statementOf("BEGIN READ").kind == StatementKind::BeginReadOnly);
    CHECK(statementOf("COMMIT").kind == StatementKind::Commit);
    CHECK(statementOf("ROLLBACK").kind == StatementKind::Rollback);
    CHECK(statementOf("READ 1a4").kind == StatementKind::Read);
    CHECK(statementOf("WRITE 1a4 some  data ").kind == StatementKind::Write);
    const auto set = statementOf("SET mode a b  c");
    CHECK(set.kind == StatementKind::SetValue);
    CHECK(set.name == "mode");
    CHECK(set.argument == "a b  c");
    const auto prepare = statementOf("PREPARE s1 WRITE q2c");
    CHECK(prepare.kind == StatementKind::Prepare);
    CHECK(prepare.writes);
    CHECK(prepare.argument == "q2c");
    const auto execute = statementOf("EXECUTE s1 1a4 xkqpwnzd");
    CHECK(execute.kind == StatementKind::ExecutePrepared);
    CHECK(execute.name == "s1");
    CHECK(execute.argument == "1a4 xkqpwnzd");
    CHECK(statementOf("DEALLOC s1").kind == StatementKind::Deallocate);
}

TEST_CASE("Malformed messages of callers are rejected with an error message")
{
    for (const char *line : {"",
                             " ",
                             "QUERY",
                             "QUERY ",
                             "QUERY 5c0e",
                             "QUERY 5c0e NONSENSE x",
                             "QUERY 5c0e READ",
                             "QUERY 5c0e READ a b",
                             "QUERY 5c0e BEGIN WRITE",
                             "QUERY 5c0e COMMIT now",
                             "QUERY 5c0e PREPARE s1 q2c",
                             "QUERY 5c0e PREPARE s1 DROP q2c",
                             "QUERY 5c0e EXECUTE s1",
                             "QUERY 5c0e SET",
                             "START",
                             "START ",
                             "READ 1a4",
                             "QUERY 5c0e AFTER 3.1 READ 1a4",
                             "QUERY 5c0e READ 1a4\nQUERY 5c0e WRITE 1a4 x",
                             "QUERY 5c0e STATUS",
                             "QUERY 5c0e DEMOTE 4"}) {
        INFO(line);
        const CallerMessage message = parseCallerMessage(line);
        CHECK(message.kind == CallerMessage::Kind::Malformed);
        CHECK(!message.problem.empty());
    }
}

TEST_CASE("Error codes promise that nothing was kept only if that is certain")
{
    CHECK(answerOf(Reason::QueueFull, Executed::No) == "ERROR BUSY");
    CHECK(answerOf(Reason::NoOwner, Executed::No) == "ERROR BUSY");
    CHECK(answerOf(Reason::TransactionEnded, Executed::No) == "ERROR ABORTED");
    CHECK(answerOf(Reason::Unconfirmed, Executed::Unknown) == "ERROR INDOUBT");
    CHECK(answerOf(Reason::LeaseLost, Executed::Unknown) == "ERROR INDOUBT");
    CHECK(answerOf(Reason::TransactionEnded, Executed::Unknown) == "ERROR INDOUBT");
    CHECK(answerOf(Reason::DeadlineExceeded, Executed::Unknown) == "ERROR TIMEOUT");
    CHECK(answerOf(Reason::DeadlineExceeded, Executed::No) == "ERROR BUSY");
    CHECK(answerOf(Reason::StatementFailed, Executed::Yes) == "ERROR FAILED");
    CHECK(answerOf(Reason::UnknownGroup, Executed::No) == "ERROR NODB");
    CHECK(answerOf(Reason::MalformedRequest, Executed::No) == "ERROR MALFORMED");
    CHECK(answerOf(Reason::RequestTooLarge, Executed::No) == "ERROR TOOBIG");
}

TEST_CASE("A refusal has its retry delay, and line endings in its detail are replaced")
{
    session::Answer answer;
    answer.reason = Reason::QueueFull;
    answer.detail = "first\r\nREADY I -";
    answer.retryAfter = std::chrono::milliseconds(120);
    CHECK(encodeAnswer(answer, session::SessionState::Failed)
          == "ERROR BUSY queue_full retry-after-ms=120: first  READY I -\r\nREADY E -\r\n");
}

TEST_CASE("Answers carry rows, signature, state and position unchanged")
{
    session::Answer answer;
    answer.rows = {"qhzk", "", "a b"};
    answer.signature = "7.1f3.c";
    answer.position = Position {3, 1209};
    CHECK(encodeAnswer(answer, session::SessionState::InTransaction)
          == "DATAROW qhzk\r\nDATAROW \r\nDATAROW a b\r\nCOMPLETE 7.1f3.c\r\nREADY T 3.1209\r\n");
}

TEST_CASE("Messages and reports of servers are parsed")
{
    CHECK(parseServerMessage("DATAROW a b").text == "a b");
    CHECK(parseServerMessage("COMPLETE 7.1").text == "7.1");
    CHECK(parseServerMessage("COMPLETE -").text.empty());
    CHECK(parseServerMessage("ERROR LAGGING i-7").error == group::ServerError::Lagging);
    CHECK(parseServerMessage("ERROR MAXCONN").tooManyConnections);
    CHECK(parseServerMessage("ERROR WRONGNODE x").wrongServer);
    const ServerMessage ready = parseServerMessage("READY E 3.1209");
    CHECK(ready.state == session::SessionState::Failed);
    CHECK(ready.position == Position {3, 1209});
    CHECK(!parseServerMessage("READY I -").position);
    CHECK(parseServerMessage("READY X 3.1").kind == ServerMessage::Kind::Malformed);
    CHECK(parseServerMessage("HELLO").kind == ServerMessage::Kind::Malformed);
    const auto report = parseReport("replica 3 3.1209 4 12.5 2 17");
    REQUIRE(report);
    CHECK(!report->primary);
    CHECK(report->term == 3);
    CHECK(report->received == Position {3, 1209});
    CHECK(report->stoppedTerm == 4);
    CHECK(report->lag == std::chrono::microseconds(12500));
    CHECK(!parseReport("replica 3 - 4 12 2 17"));
    CHECK(!parseReport("leader 3 3.1 4 12 2 17"));
    CHECK(!parseReport("replica 3 3.1 0 1666666666666666666666666666666.5 2 17"));
    CHECK(!parseReport("replica 3 3.1 0 -1 2 17"));
    CHECK(!parseReport("replica 3 3.1 0 nan 2 17"));
}

TEST_CASE("Commands are encoded with the position before the statement")
{
    group::ServerCommand command;
    command.kind = group::CommandKind::Statement;
    command.id = "5c0e";
    command.text = "READ 1a4";
    command.after = Position {3, 1207};
    CHECK(encodeCommand(command) == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
    group::ServerCommand own;
    own.kind = group::CommandKind::StopReceiving;
    own.term = 5;
    CHECK(encodeCommand(own) == "QUERY - PAUSE 5\r\n");
}

TEST_CASE("The line buffer returns the same lines however the stream is split")
{
    const std::string stream = "START a b\r\nQUERY 1 READ x\r\n\r\nQUERY 2 WRITE x a\rb\r\nrest";
    const std::vector<std::string> expected = {"START a b", "QUERY 1 READ x", "",
                                               "QUERY 2 WRITE x a\rb"};
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        LineBuffer buffer;
        std::vector<std::string> lines;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t count = std::min<std::size_t>(1 + random() % 9, stream.size() - at);
            buffer.append(stream.data() + at, count);
            at += count;
            while (const auto line = buffer.next())
                lines.emplace_back(*line);
            if (random() % 2 == 0)
                buffer.compact();
        }
        CHECK(lines == expected);
        CHECK(buffer.size() == 4);
    }
}

TEST_CASE("An overlong line is detected before its ending arrives")
{
    LineBuffer buffer;
    const std::string part(1u << 16, 'x');
    for (int i = 0; i < 16; ++i) {
        buffer.append(part.data(), part.size());
        CHECK(!buffer.next());
    }
    CHECK(!buffer.overflows());
    buffer.append("x", 1);
    CHECK(buffer.overflows());
}
