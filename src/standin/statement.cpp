#include "standin/statement.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace kelptally::standin {

namespace {

bool isWordCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '.';
}

// Splits SQL text into words, quoted strings and single characters; skips comments.
class Scanner
{
public:
    explicit Scanner(std::string_view text) : text_(text) { }

    bool atEnd()
    {
        skipBlanks();
        return position_ >= text_.size();
    }

    std::string next()
    {
        if (atEnd())
            return {};
        const std::size_t start = position_;
        const char first = text_[position_++];
        if (first == '\'' || first == '"') {
            while (position_ < text_.size() && text_[position_++] != first) { }
        } else if (isWordCharacter(first) || first == '$') {
            while (position_ < text_.size() && isWordCharacter(text_[position_]))
                ++position_;
        }
        return std::string(text_.substr(start, position_ - start));
    }

    std::string nextUpper()
    {
        std::string word = next();
        std::transform(word.begin(), word.end(), word.begin(),
                       [](unsigned char c) { return char(std::toupper(c)); });
        return word;
    }

    std::size_t position() const { return position_; }

private:
    void skipBlanks()
    {
        while (position_ < text_.size()) {
            const std::string_view remaining = text_.substr(position_);
            if (std::isspace(static_cast<unsigned char>(remaining[0])) != 0)
                ++position_;
            else if (remaining.substr(0, 2) == "--")
                skipPast("\n");
            else if (remaining.substr(0, 2) == "/*")
                skipPast("*/");
            else
                return;
        }
    }

    void skipPast(std::string_view delimiter)
    {
        const std::size_t found = text_.find(delimiter, position_);
        position_ = found == std::string_view::npos ? text_.size() : found + delimiter.size();
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

std::string withoutQuotes(const std::string &word)
{
    const bool quoted = word.size() >= 2 && (word.front() == '\'' || word.front() == '"');
    return quoted ? word.substr(1, word.size() - 2) : word;
}

bool isControlFunction(const std::string &name)
{
    static const char *const names[] = {"kelptally_prepare",     "kelptally_promote",
                                        "kelptally_follow",      "kelptally_raise_fence",
                                        "kelptally_check_fence", "kelptally_write_offset"};
    return std::find(std::begin(names), std::end(names), name) != std::end(names);
}

// Parses a control function and its arguments after "SELECT". Leaves `statement` unchanged if
// another expression follows.
void parseControl(Scanner &scanner, ParsedStatement &statement)
{
    std::string name = scanner.next();
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return char(std::tolower(c)); });
    if (!isControlFunction(name) || scanner.next() != "(")
        return;
    statement.kind = StatementKind::Control;
    statement.name = name;
    while (!scanner.atEnd()) {
        const std::string word = scanner.next();
        if (word == ")")
            return;
        if (word[0] == '$')
            statement.arguments.push_back({std::atoi(word.c_str() + 1), {}});
        else if (isWordCharacter(word[0]) || word[0] == '\'')
            statement.arguments.push_back({0, withoutQuotes(word)});
    }
}

// Parses the rest of "SET [SESSION|LOCAL] name {=|TO} value".
void parseSet(Scanner &scanner, ParsedStatement &statement)
{
    statement.kind = StatementKind::Set;
    std::string word = scanner.next();
    if (word == "SESSION" || word == "session" || word == "LOCAL" || word == "local")
        word = scanner.next();
    statement.name = word;
    scanner.next();
    statement.value = withoutQuotes(scanner.next());
}

bool containsWord(Scanner &scanner, const std::string &wanted)
{
    while (!scanner.atEnd())
        if (scanner.nextUpper() == wanted)
            return true;
    return false;
}

StatementKind kindOf(const std::string &verb)
{
    if (verb.empty())
        return StatementKind::Empty;
    if (verb == "BEGIN" || verb == "START")
        return StatementKind::Begin;
    if (verb == "COMMIT" || verb == "END")
        return StatementKind::Commit;
    if (verb == "ROLLBACK" || verb == "ABORT")
        return StatementKind::Rollback;
    if (verb == "SET" || verb == "RESET")
        return StatementKind::Set;
    if (verb == "SHOW")
        return StatementKind::Show;
    if (verb == "DISCARD")
        return StatementKind::Discard;
    for (const char *refused : {"PRAGMA", "ATTACH", "DETACH", "VACUUM", "SAVEPOINT", "RELEASE"})
        if (verb == refused)
            return StatementKind::Unsupported;
    return StatementKind::Query;
}

} // namespace

ParsedStatementPtr parseStatement(const std::string &sql)
{
    auto statement = std::make_shared<ParsedStatement>();
    statement->sql = sql;
    Scanner scanner(sql);
    statement->verb = scanner.nextUpper();
    statement->kind = kindOf(statement->verb);
    switch (statement->kind) {
    case StatementKind::Query:
        if (statement->verb == "SELECT")
            parseControl(scanner, *statement);
        else if (statement->verb == "CREATE" && scanner.nextUpper().substr(0, 4) == "TEMP")
            statement->kind = StatementKind::Unsupported;
        break;
    case StatementKind::Begin:
        statement->readOnly = containsWord(scanner, "ONLY");
        break;
    case StatementKind::Rollback:
        if (scanner.nextUpper() == "TO")
            statement->kind = StatementKind::Unsupported;
        break;
    case StatementKind::Set:
        if (statement->verb == "SET")
            parseSet(scanner, *statement);
        else
            statement->name = scanner.next();
        break;
    case StatementKind::Show:
        statement->name = scanner.next();
        break;
    default:
        break;
    }
    const bool isServerView = sql.find("kelptally_status") != std::string::npos
        || sql.find("kelptally_history") != std::string::npos;
    statement->usesServiceTime = statement->kind == StatementKind::Query && !isServerView;
    return statement;
}

std::vector<std::string> splitStatements(std::string_view text)
{
    std::vector<std::string> parts;
    Scanner scanner(text);
    std::size_t start = 0;
    bool blank = true;
    while (!scanner.atEnd()) {
        if (scanner.next() != ";") {
            blank = false;
            continue;
        }
        if (!blank)
            parts.emplace_back(text.substr(start, scanner.position() - 1 - start));
        start = scanner.position();
        blank = true;
    }
    if (!blank)
        parts.emplace_back(text.substr(start));
    return parts;
}

} // namespace kelptally::standin
