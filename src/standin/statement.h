#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kelptally::standin {

enum class StatementKind {
    Empty,
    // A read or a write; known only after SQLite has compiled it.
    Query,
    Begin,
    Commit,
    Rollback,
    Set,
    Show,
    Discard,
    // SELECT kelptally_NAME(arguments).
    Control,
    // Refused by the stand-in, such as savepoints and temporary tables.
    Unsupported,
};

// Argument of a control function: parameter $n, or a literal if `parameter` is 0.
struct ControlArgument
{
    int parameter = 0;
    std::string literal;
};

// A statement's text and its classification by the leading keywords.
struct ParsedStatement
{
    std::string sql;
    StatementKind kind = StatementKind::Empty;
    // First keyword in upper case.
    std::string verb;
    // Set by BEGIN ... READ ONLY.
    bool readOnly = false;
    // Whether the statement occupies a slot for the service time. The stand-in's own functions and
    // views don't.
    bool usesServiceTime = false;
    // Name of the control function, or of the setting in SET and SHOW.
    std::string name;
    // New value in SET.
    std::string value;
    std::vector<ControlArgument> arguments;
};
using ParsedStatementPtr = std::shared_ptr<const ParsedStatement>;

ParsedStatementPtr parseStatement(const std::string &sql);

// Splits the text at semicolons outside quotes and comments. Leaves out empty statements.
std::vector<std::string> splitStatements(std::string_view text);

} // namespace kelptally::standin
