#include "backend/sqltraits.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <unordered_map>

namespace kelptally::backend {

namespace {

// Meanings of a word, as bits.
enum WordMeaning : unsigned {
    // As the first word: begins or ends a transaction or sets a savepoint.
    TransactionVerb = 1u << 0,
    // As the first word: leaves no state in the session, unless another word does. The pool detects
    // an open transaction itself.
    CleanVerb = 1u << 1,
    // As the first word: reads.
    ReadVerb = 1u << 2,
    // Anywhere, also as a quoted name: leaves state in the session.
    LeavesState = 1u << 3,
    // Function whose result depends on earlier statements of the connection.
    SessionFunction = 1u << 4,
    // The statement writes, whatever its first word.
    Writes = 1u << 5,
    // After FOR: takes row locks.
    LocksAfterFor = 1u << 6,
    // An INSERT with this word may insert any number of rows or return rows.
    ManyRows = 1u << 7,
};

const std::unordered_map<std::string_view, unsigned> &knownWords()
{
    static const std::unordered_map<std::string_view, unsigned> words = {
        {"BEGIN", TransactionVerb | CleanVerb},
        {"START", TransactionVerb | CleanVerb},
        {"COMMIT", TransactionVerb | CleanVerb},
        {"END", TransactionVerb | CleanVerb},
        {"ROLLBACK", TransactionVerb | CleanVerb},
        {"SAVEPOINT", TransactionVerb | CleanVerb},
        {"RELEASE", TransactionVerb | CleanVerb},
        {"ABORT", TransactionVerb | CleanVerb},
        {"PREPARE", TransactionVerb},
        {"SELECT", CleanVerb | ReadVerb | ManyRows},
        {"VALUES", CleanVerb | ReadVerb},
        {"TABLE", CleanVerb | ReadVerb},
        {"SHOW", CleanVerb | ReadVerb},
        {"WITH", CleanVerb | ReadVerb},
        {"EXPLAIN", CleanVerb | ReadVerb},
        {"INSERT", CleanVerb | Writes},
        {"UPDATE", CleanVerb | Writes},
        {"DELETE", CleanVerb | Writes},
        {"MERGE", CleanVerb | Writes},
        {"REPLACE", CleanVerb | Writes},
        {"CREATE", CleanVerb},
        {"DROP", CleanVerb},
        {"ALTER", CleanVerb},
        {"GRANT", CleanVerb},
        {"REVOKE", CleanVerb},
        {"NOTIFY", CleanVerb},
        {"TRUNCATE", CleanVerb},
        {"LOCK", CleanVerb},
        {"COMMENT", CleanVerb},
        {"CALL", CleanVerb},
        {"DO", CleanVerb},
        {"INTO", Writes},
        {"ANALYZE", Writes},
        {"SHARE", LocksAfterFor},
        {"KEY", LocksAfterFor},
        {"NO", LocksAfterFor},
        {"CONFLICT", ManyRows},
        {"RETURNING", ManyRows},
        {"DEFAULT", ManyRows},
        {"TEMP", LeavesState},
        {"TEMPORARY", LeavesState},
        {"SET_CONFIG", LeavesState},
        {"PG_ADVISORY_LOCK", LeavesState},
        {"PG_ADVISORY_LOCK_SHARED", LeavesState},
        {"PG_TRY_ADVISORY_LOCK", LeavesState},
        {"PG_TRY_ADVISORY_LOCK_SHARED", LeavesState},
        {"DBLINK_CONNECT", LeavesState},
        {"SETSEED", LeavesState},
        {"LASTVAL", SessionFunction},
        {"CURRVAL", SessionFunction},
        {"LAST_INSERT_ROWID", SessionFunction},
        {"CHANGES", SessionFunction},
        {"TOTAL_CHANGES", SessionFunction},
    };
    return words;
}

constexpr std::string_view internalPrefix = "KELPTALLY_";

// All known words are shorter.
constexpr std::size_t maxWordLength = 32;

char toUpper(char c)
{
    return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
}

// Lengths of the known words as bits, by first letter: rules out most other words without a
// look-up.
std::array<std::uint32_t, 26> lengthsOfKnownWords()
{
    std::array<std::uint32_t, 26> lengths {};
    for (const auto &[word, meaning] : knownWords())
        lengths[static_cast<std::size_t>(word.front() - 'A')] |= 1u << word.size();
    return lengths;
}

unsigned meaningOf(std::string_view word)
{
    static const std::array<std::uint32_t, 26> lengths = lengthsOfKnownWords();
    std::array<char, maxWordLength> upper;
    if (word.empty() || word.size() >= upper.size())
        return 0;
    const char first = toUpper(word.front());
    const bool isLetter = first >= 'A' && first <= 'Z';
    if (!isLetter || (lengths[static_cast<std::size_t>(first - 'A')] >> word.size() & 1u) == 0)
        return 0;
    std::transform(word.begin(), word.end(), upper.begin(), toUpper);
    const auto found = knownWords().find(std::string_view(upper.data(), word.size()));
    return found == knownWords().end() ? 0 : found->second;
}

bool equalsIgnoreCase(std::string_view text, std::string_view upper)
{
    return text.size() == upper.size()
        && std::equal(text.begin(), text.end(), upper.begin(),
                      [](char a, char b) { return toUpper(a) == b; });
}

bool isWordStart(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || (c & 0x80) != 0;
}

bool isWordPart(char c)
{
    return isWordStart(c) || (c >= '0' && c <= '9') || c == '$';
}

// A word, a quoted name without its quotes, or a single character. A string is represented by the
// character '.
struct Token
{
    std::string_view text;
    bool quoted = false;
    bool word = false;
};

// Splits a statement into tokens.
class Scanner
{
public:
    explicit Scanner(std::string_view sql) : sql_(sql) { }

    // Returns false at the end.
    bool next(Token &token)
    {
        skipBlanks();
        if (position_ >= sql_.size())
            return false;
        const char first = sql_[position_];
        token = {};
        if (isWordStart(first))
            readWord(token);
        else if (first == '"')
            readQuotedName(token);
        else if (first == '\'')
            readString(token, false);
        else if (first == '$' && readDollarString())
            token.text = "'";
        else
            token.text = sql_.substr(position_++, 1);
        return true;
    }

    bool ambiguous() const { return ambiguous_; }

private:
    bool startsWith(std::string_view text) const
    {
        return sql_.substr(position_, text.size()) == text;
    }

    void skipBlanks()
    {
        while (position_ < sql_.size()) {
            if (std::isspace(static_cast<unsigned char>(sql_[position_])) != 0)
                ++position_;
            else if (startsWith("--"))
                position_ = std::min(sql_.size(), sql_.find('\n', position_));
            else if (startsWith("/*"))
                skipComment();
            else
                return;
        }
    }

    void skipComment()
    {
        const std::size_t end = sql_.find("*/", position_ + 2);
        const std::size_t inner = sql_.find("/*", position_ + 2);
        if (end == std::string_view::npos || inner < end)
            ambiguous_ = true;
        position_ = end == std::string_view::npos ? sql_.size() : end + 2;
    }

    // A string E'...' has backslash escapes.
    void readWord(Token &token)
    {
        const std::size_t start = position_;
        while (position_ < sql_.size() && isWordPart(sql_[position_]))
            ++position_;
        token.text = sql_.substr(start, position_ - start);
        token.word = true;
        if (equalsIgnoreCase(token.text, "E") && position_ < sql_.size() && sql_[position_] == '\'')
            readString(token, true);
    }

    void readQuotedName(Token &token)
    {
        const std::size_t end = sql_.find('"', position_ + 1);
        ambiguous_ |= end == std::string_view::npos;
        const std::size_t last = std::min(sql_.size(), end);
        token.text = sql_.substr(position_ + 1, last - position_ - 1);
        token.quoted = true;
        position_ = std::min(sql_.size(), last + 1);
    }

    // A doubled quote ends one string and starts the next, which is equivalent here.
    void readString(Token &token, bool backslashEscapes)
    {
        token = {"'", false, false};
        ++position_;
        while (position_ < sql_.size() && sql_[position_] != '\'') {
            const bool escape = backslashEscapes && sql_[position_] == '\\';
            position_ += escape ? 2 : 1;
        }
        ambiguous_ |= position_ >= sql_.size();
        position_ = std::min(sql_.size(), position_ + 1);
    }

    // Reads $tag$ ... $tag$; returns false for a parameter such as $1.
    bool readDollarString()
    {
        std::size_t end = position_ + 1;
        while (end < sql_.size() && isWordPart(sql_[end]) && sql_[end] != '$')
            ++end;
        const bool isParameter = end >= sql_.size() || sql_[end] != '$'
            || std::isdigit(static_cast<unsigned char>(sql_[position_ + 1])) != 0;
        if (isParameter)
            return false;
        const std::string_view delimiter = sql_.substr(position_, end + 1 - position_);
        const std::size_t close = sql_.find(delimiter, end + 1);
        ambiguous_ |= close == std::string_view::npos;
        position_ = close == std::string_view::npos ? sql_.size() : close + delimiter.size();
        return true;
    }

    std::string_view sql_;
    std::size_t position_ = 0;
    bool ambiguous_ = false;
};

// Derives the traits of a statement from its tokens.
class TraitsParser
{
public:
    explicit TraitsParser(SqlTraits &traits) : traits_(traits) { }

    void process(const Token &token)
    {
        traits_.multipleStatements |= ended_;
        ended_ |= !token.quoted && token.text == ";";
        if (ended_)
            return;
        const bool name = token.word || token.quoted;
        const unsigned meaning = name ? meaningOf(token.text) : 0;
        traits_.leavesState |= (meaning & LeavesState) != 0;
        traits_.referencesInternals |=
            name && equalsIgnoreCase(token.text.substr(0, internalPrefix.size()), internalPrefix);
        traits_.readsSessionState |= afterSessionFunction_ && !token.quoted && token.text == "(";
        afterSessionFunction_ = (meaning & SessionFunction) != 0;
        if (token.word)
            readWord(token.text, meaning);
        else if (!token.quoted)
            readSymbol(token.text.front());
        afterFor_ = token.word && equalsIgnoreCase(token.text, "FOR");
        afterInsert_ = token.word && equalsIgnoreCase(token.text, "INSERT");
    }

    void finish()
    {
        const std::string &verb = traits_.verb;
        traits_.transactionControl = (verbMeaning_ & TransactionVerb) != 0;
        traits_.usesCopy = verb == "COPY";
        traits_.runsCode = verb == "CALL" || verb == "DO";
        traits_.leavesState |= !verb.empty() && (verbMeaning_ & CleanVerb) == 0;
        traits_.readsOnly = (verbMeaning_ & ReadVerb) != 0 && !writes_;
        traits_.insertsOneRow = verb == "INSERT" && valuesLists_ == 1 && !manyRows_;
    }

private:
    void readWord(std::string_view word, unsigned meaning)
    {
        if (traits_.verb.empty()) {
            traits_.verb.resize(word.size());
            std::transform(word.begin(), word.end(), traits_.verb.begin(), toUpper);
            verbMeaning_ = meaning;
        }
        writes_ |= (meaning & Writes) != 0;
        writes_ |= afterFor_ && (meaning & LocksAfterFor) != 0;
        manyRows_ |= (meaning & ManyRows) != 0 || (afterInsert_ && equalsIgnoreCase(word, "OR"));
        afterValues_ |= equalsIgnoreCase(word, "VALUES");
    }

    void readSymbol(char symbol)
    {
        depth_ += symbol == '(' ? 1 : symbol == ')' ? -1 : 0;
        if (afterValues_ && depth_ == 1 && symbol == '(')
            ++valuesLists_;
    }

    SqlTraits &traits_;
    unsigned verbMeaning_ = 0;
    // About the previous token.
    bool afterSessionFunction_ = false;
    bool afterFor_ = false;
    bool afterInsert_ = false;

    bool ended_ = false;
    bool writes_ = false;
    bool manyRows_ = false;
    bool afterValues_ = false;
    int depth_ = 0;
    int valuesLists_ = 0;
};

} // namespace

SqlTraits inspectSql(std::string_view sql)
{
    SqlTraits traits;
    TraitsParser reader(traits);
    Scanner scanner(sql);
    Token token;
    while (scanner.next(token))
        reader.process(token);
    reader.finish();
    traits.ambiguous = scanner.ambiguous();
    return traits;
}

std::string findSqlProblem(const SqlTraits &traits, bool readOnly)
{
    if (traits.ambiguous)
        return "unterminated comment, string or quoted name, or nested comment";
    if (traits.verb.empty())
        return "the statement is empty";
    if (traits.multipleStatements)
        return "only one statement is allowed in a request";
    if (traits.transactionControl)
        return traits.verb + " is not allowed: use the transaction requests";
    if (traits.usesCopy)
        return "COPY is not supported";
    if (traits.readsSessionState)
        return "functions that return session state are not allowed: use RETURNING";
    if (traits.referencesInternals)
        return "access to kelptally's own tables and functions is not allowed";
    if (readOnly && !traits.readsOnly)
        return "a read-only request may only read";
    return {};
}

} // namespace kelptally::backend
