#pragma once

#include <string>
#include <string_view>

namespace kelptally::backend {

// Properties of a statement, found by its words alone. Strings, quoted names and comments are
// skipped. There is no SQL parser, so effects of called functions are not seen.
struct SqlTraits
{
    // First word in upper case; empty if there is none.
    std::string verb;
    // Text follows a semicolon.
    bool multipleStatements = false;
    // A comment, string or quoted name is not terminated, or comments are nested: servers disagree
    // on where such a comment ends.
    bool ambiguous = false;
    // Begins or ends a transaction or sets a savepoint.
    bool transactionControl = false;
    // COPY, which transfers data over the connection and is not supported in a batch.
    bool usesCopy = false;
    // CALL and DO, whose code may end the enclosing transaction.
    bool runsCode = false;
    // Leaves state in the session that its next user would see: settings, temporary tables,
    // prepared statements, cursors, LISTEN, advisory locks. Also set for each statement whose first
    // word is not known to leave none.
    bool leavesState = false;
    // Calls a function that returns state of the connection's earlier statements: LASTVAL, CURRVAL,
    // LAST_INSERT_ROWID, CHANGES.
    bool readsSessionState = false;
    // Refers to the proxy's own tables or functions, which begin with "kelptally_".
    bool referencesInternals = false;
    // Only reads, as far as its words show.
    bool readsOnly = false;
    // An INSERT of exactly one row of values, without a conflict clause or RETURNING.
    bool insertsOneRow = false;
};

SqlTraits inspectSql(std::string_view sql);

// Returns why a caller's statement must be refused before it runs; empty if it is allowed.
// Read-only requests may only read, and transactions are controlled by their own requests.
std::string findSqlProblem(const SqlTraits &traits, bool readOnly);

} // namespace kelptally::backend
