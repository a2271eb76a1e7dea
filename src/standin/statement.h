#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kelptally::standin {

enum class StatementKind {
    Empty,
    // Reads and writes are told apart when SQLite has compiled them.
    Query,
    Begin,
    Commit,
    Rollback,
    Set,
    Show,
    Discard,
    // SELECT kelptally_NAME(arguments).
    Control,
    // What the stand-in refuses, such as savepoints and temporary tables.
    Unsupported,
};

// An argument of a control function: $n, or a literal when n is 0.
struct ControlArgument
{
    int parameter = 0;
    std::string literal;
};

// A statement's text, told apart by its first words.
struct ParsedStatement
{
    std::string sql;
    StatementKind kind = StatementKind::Empty;
    // First word in capitals.
    std::string verb;
    // BEGIN ... READ ONLY.
    bool readOnly = false;
    // Whether it takes the server's service time; the server's own functions and views do not.
    bool usesServiceTime = false;
    // Function of a control statement, setting of SET and SHOW.
    std::string name;
    // Value of SET.
    std::string value;
    std::vector<ControlArgument> arguments;
};
using ParsedStatementPtr = std::shared_ptr<const ParsedStatement>;

ParsedStatementPtr parseStatement(const std::string &sql);

// Parts of a text at the semicolons outside quotes and comments; empty parts are left out.
std::vector<std::string> splitStatements(std::string_view text);

} // namespace kelptally::standin
