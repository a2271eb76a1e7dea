#pragma once

#include <string>
#include <string_view>

namespace kelptally::backend {

// What the words of one statement tell about it. Strings, quoted names and comments are skipped; no
// grammar is known, so a function that hides what it does is not seen through.
struct SqlTraits
{
    // First word in capitals; empty when there is none.
    std::string verb;
    // Text follows a semicolon.
    bool multipleStatements = false;
    // A comment, string or quoted name does not end, or a comment holds another: servers disagree
    // on where that ends.
    bool ambiguous = false;
    // Begins, ends or marks a transaction.
    bool transactionControl = false;
    // Waits for data on the connection, which a batch cannot carry.
    bool usesCopy = false;
    // Runs code that may end the transaction around it: CALL and DO.
    bool runsCode = false;
    // Leaves something in the session that its next user would see: settings, temporary tables,
    // prepared statements, cursors, listening, advisory locks; also every statement whose first
    // word is not known to leave nothing.
    bool leavesState = false;
    // Calls a function that tells what was last done on the connection, by whomever: LASTVAL,
    // CURRVAL, LAST_INSERT_ROWID, CHANGES.
    bool readsSessionState = false;
    // Names something that begins with "kelptally_": the proxy's own tables and functions.
    bool referencesInternals = false;
    // Only reads, as far as words tell.
    bool readsOnly = false;
    // An INSERT of exactly one row of values, without conflict clause and returned rows.
    bool insertsOneRow = false;
};

SqlTraits inspectSql(std::string_view sql);

// Why a caller's statement is refused before it is run: nothing, or the problem in words. Read-only
// requests may only read; a transaction is begun and ended by its own requests.
std::string findSqlProblem(const SqlTraits &traits, bool readOnly);

} // namespace kelptally::backend
