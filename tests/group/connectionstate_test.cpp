#include "group/connectionstate.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::group;

namespace {

inner::RunStatement statementWith(std::vector<std::string> values, const std::string &shape = "",
                                  bool writes = false)
{
    inner::RunStatement statement;
    statement.values = std::move(values);
    statement.preparedShape = shape;
    statement.arguments = "1a4";
    statement.verb = writes ? inner::SessionVerb::Write : inner::SessionVerb::Read;
    return statement;
}

std::vector<ServerCommand> prepare(PooledConnection &connection,
                                   const inner::RunStatement &statement, bool inTransaction = false)
{
    return prepareConnection(connection, statement, valuesOf(statement), inTransaction);
}

} // namespace

TEST_CASE("Preparing a connection sets exactly the session's values")
{
    PooledConnection connection;
    CHECK(prepare(connection, statementWith({})).empty());
    CHECK(prepare(connection, statementWith({"a", "1", "b", "2"})).size() == 2);
    CHECK(prepare(connection, statementWith({"a", "1", "b", "2"})).empty());
    // A changed value needs no reset.
    const auto changed = prepare(connection, statementWith({"a", "1", "b", "3"}));
    REQUIRE(changed.size() == 1);
    CHECK(changed[0].kind == CommandKind::SetValue);
    CHECK(changed[0].argument == "3");
    // A value of the previous session that this one lacks needs a reset.
    const auto reset = prepare(connection, statementWith({"a", "1"}));
    REQUIRE(reset.size() == 2);
    CHECK(reset[0].kind == CommandKind::Reset);
    CHECK(reset[1].name == "a");
    CHECK(prepare(connection, statementWith({})).front().kind == CommandKind::Reset);
}

TEST_CASE("Values are set without a reset inside a transaction")
{
    PooledConnection connection;
    prepare(connection, statementWith({"a", "1"}));
    const auto batch = prepare(connection, statementWith({"a", "2", "b", "1"}), true);
    REQUIRE(batch.size() == 2);
    for (const ServerCommand &command : batch)
        CHECK(command.kind == CommandKind::SetValue);
}

TEST_CASE("Prepared statements are shared by kind and shape and dropped by a reset")
{
    PooledConnection connection;
    const auto read = statementWith({}, "q1");
    const auto write = statementWith({}, "q1", true);
    CHECK(prepare(connection, read).size() == 1);
    CHECK(prepare(connection, read).empty());
    const auto other = prepare(connection, write);
    REQUIRE(other.size() == 1);
    CHECK(other[0].writes);
    CHECK(statementCommand(connection, read, {}).name
          != statementCommand(connection, write, {}).name);
    CHECK(statementCommand(connection, read, Position {1, 2}).after == Position {1, 2});
    prepare(connection, statementWith({"a", "1"}));
    const auto again = prepare(connection, read);
    REQUIRE(again.size() == 2);
    CHECK(again[0].kind == CommandKind::Reset);
    CHECK(again[1].kind == CommandKind::Prepare);
}
