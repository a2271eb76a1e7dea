#pragma once

#include "core/rows.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace kelptally::standin {

// An error as PostgreSQL's protocol reports it: a five-letter SQLSTATE and a message.
struct SqlError
{
    std::string sqlState;
    std::string message;
};

// How the text of a parameter is bound; other types of PostgreSQL are bound as text.
enum class ParameterType {
    Text,
    Integer,
    Real,
};

struct Parameter
{
    Value value;
    ParameterType type = ParameterType::Text;
};

// One column of a result, with the type's object id in PostgreSQL.
struct Column
{
    std::string name;
    int typeOid = 0;
};

// Receives the values of one row, valid during the call only.
using RowSink = std::function<void(const std::vector<std::optional<std::string_view>> &)>;

// A compiled statement, kept by its database.
class SqlStatement
{
public:
    explicit SqlStatement(sqlite3_stmt *statement);
    ~SqlStatement();
    SqlStatement(const SqlStatement &) = delete;
    SqlStatement &operator=(const SqlStatement &) = delete;

    bool readOnly() const { return readOnly_; }
    // Number of the highest $n.
    int parameterCount() const { return parameterCount_; }
    std::vector<Column> columns() const;

private:
    friend class SqliteDatabase;

    sqlite3_stmt *const statement_;
    const bool readOnly_;
    int parameterCount_ = 0;
    // For each parameter of SQLite the number n of its $n.
    std::vector<int> parameterNumbers_;
};

// One in-memory SQLite database that takes PostgreSQL's $n parameters. Used on one thread.
class SqliteDatabase
{
public:
    SqliteDatabase();
    ~SqliteDatabase();
    SqliteDatabase(const SqliteDatabase &) = delete;
    SqliteDatabase &operator=(const SqliteDatabase &) = delete;

    // Gives nothing, and sets the error, when the text is not a statement for this schema.
    SqlStatement *prepare(const std::string &sql, SqlError &error);

    // Runs to the end. The changed rows are counted in `affected`.
    bool run(SqlStatement &statement, const std::vector<Parameter> &parameters, const RowSink &sink,
             std::size_t &affected, SqlError &error);

    // Prepares and runs, without rows.
    bool execute(const std::string &sql, const std::vector<Parameter> &parameters, SqlError &error);
    // Several statements without parameters.
    bool executeScript(const std::string &sql, SqlError &error);

    // Becomes a copy of the other database.
    void copyFrom(const SqliteDatabase &other);

    // A function kelptally_fact(name) for the views of the server's own state.
    using StateLookup = std::function<std::string(std::string_view)>;
    void setStateLookup(StateLookup stateLookup);
    const StateLookup &stateLookup() const { return stateLookup_; }

private:
    void bind(SqlStatement &statement, const std::vector<Parameter> &parameters);
    SqlError lastError() const;

    sqlite3 *database_ = nullptr;
    StateLookup stateLookup_;
    std::unordered_map<std::string, std::unique_ptr<SqlStatement>> statements_;
    std::vector<std::optional<std::string_view>> row_;
};

} // namespace kelptally::standin
