#include "backend/sqltraits.h"

#include <catch2/catch.hpp>

#include <string>

using namespace kelptally::backend;

namespace {

bool isAllowed(const std::string &sql, bool readOnly = false)
{
    return findSqlProblem(inspectSql(sql), readOnly).empty();
}

} // namespace

TEST_CASE("statements that control the enclosing transaction are refused")
{
    for (const char *sql :
         {"COMMIT", "  begin", "-- x\nROLLBACK", "/* x */ end", "savepoint a", "START TRANSACTION",
          "prepare transaction 'a'", ";COMMIT", "SELECT 1; COMMIT", "SELECT 1; -- x\n SELECT 2",
          "COPY a FROM STDIN", "", "-- only", "/* a /* b */ COMMIT */", "SELECT 'a", "SELECT \"a",
          "SELECT $x$ a", "/* a"}) {
        INFO(sql);
        CHECK_FALSE(isAllowed(sql));
    }
}

TEST_CASE("separators within strings, names and comments are allowed")
{
    for (const char *sql :
         {"SELECT 1;", "SELECT 1; -- end", "SELECT ';COMMIT'", "SELECT 'it''s; --'",
          "SELECT \"a;b\" FROM c", "SELECT $$ a; b $$", "SELECT $x$ $$; $x$", "SELECT $1 || ';'",
          "SELECT E'a\\';b'", "UPDATE a SET b = 'COMMIT'", "SELECT changes FROM log",
          "SELECT 1 /* ; COMMIT */"}) {
        INFO(sql);
        CHECK(isAllowed(sql));
    }
}

TEST_CASE("read-only requests may only read")
{
    for (const char *sql : {"SELECT 1", "(SELECT 1) UNION SELECT 2", "VALUES (1)", "TABLE a",
                            "WITH a AS (SELECT 'UPDATE') SELECT * FROM a", "EXPLAIN SELECT 1"}) {
        INFO(sql);
        CHECK(isAllowed(sql, true));
    }
    for (const char *sql :
         {"INSERT INTO a VALUES (1)", "UPDATE a SET b = 1", "SELECT * INTO b FROM a",
          "WITH a AS (DELETE FROM b RETURNING *) SELECT * FROM a", "SELECT * FROM a FOR UPDATE",
          "SELECT * FROM a FOR SHARE", "EXPLAIN ANALYZE DELETE FROM a", "CALL f()", "SET a = 1",
          "DO $$ x $$"}) {
        INFO(sql);
        CHECK_FALSE(isAllowed(sql, true));
        CHECK(isAllowed(sql, false));
    }
}

TEST_CASE("statements that change the session are detected")
{
    for (const char *sql :
         {"SET a = 1", "set local a = 1", "RESET a", "LISTEN a", "DECLARE a CURSOR FOR SELECT 1",
          "CREATE TEMP TABLE a (b int)", "SELECT 1 INTO TEMPORARY a", "DISCARD ALL", "LOAD 'a'",
          "SELECT pg_advisory_lock(1)", "SELECT \"pg_advisory_lock\"(1)", "PRAGMA a",
          "SELECT set_config('a', 'b', false)", "DEALLOCATE a", "SOMETHING new"}) {
        INFO(sql);
        CHECK(inspectSql(sql).leavesState);
    }
    for (const char *sql :
         {"SELECT 'SET TEMP'", "INSERT INTO a VALUES (1) -- TEMP", "BEGIN",
          "CREATE TABLE a (b int)", "SELECT pg_advisory_xact_lock(1)", "DELETE FROM a"}) {
        INFO(sql);
        CHECK_FALSE(inspectSql(sql).leavesState);
    }
    CHECK_FALSE(isAllowed("SELECT lastval()"));
    CHECK_FALSE(isAllowed("SELECT \"currval\" ('a')"));
}

TEST_CASE("callers cannot access the proxy's own tables and functions")
{
    for (const char *sql :
         {"SELECT kelptally_raise_fence(9)", "DELETE FROM Kelptally_Request",
          "UPDATE \"kelptally_fence\" SET epoch = 9", "SELECT * FROM public.kelptally_status"}) {
        INFO(sql);
        CHECK_FALSE(isAllowed(sql));
    }
    CHECK(isAllowed("SELECT 'kelptally_fence' FROM kelptally"));
}

TEST_CASE("an insert of exactly one row is detected")
{
    CHECK(inspectSql("INSERT INTO a (b, c) VALUES ($1, lower($2))").insertsOneRow);
    for (const char *sql :
         {"INSERT INTO a VALUES (1), (2)", "INSERT INTO a SELECT 1",
          "INSERT INTO a VALUES (1) ON CONFLICT DO NOTHING", "INSERT INTO a VALUES (1) RETURNING b",
          "INSERT OR IGNORE INTO a VALUES (1)", "UPDATE a SET b = 1",
          "INSERT INTO a DEFAULT VALUES"}) {
        INFO(sql);
        CHECK_FALSE(inspectSql(sql).insertsOneRow);
    }
}
