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

// An error of a statement: five-character SQLSTATE and message.
struct SqlError
{
    std::string sqlState;
    std::string message;
};

// SQLite type that a parameter's text is bound as. All other PostgreSQL types are bound as text.
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

// A result column with its PostgreSQL type OID.
struct Column
{
    std::string name;
    int typeOid = 0;
};

// Receives one row. The values are valid only during the call.
using RowSink = std::function<void(const std::vector<std::optional<std::string_view>> &)>;

// A compiled statement, owned by its database.
class SqlStatement
{
public:
    explicit SqlStatement(sqlite3_stmt *statement);
    ~SqlStatement();
    SqlStatement(const SqlStatement &) = delete;
    SqlStatement &operator=(const SqlStatement &) = delete;

    bool readOnly() const { return readOnly_; }
    // Highest n of the parameters $n.
    int parameterCount() const { return parameterCount_; }
    std::vector<Column> columns() const;

private:
    friend class SqliteDatabase;

    sqlite3_stmt *const statement_;
    const bool readOnly_;
    int parameterCount_ = 0;
    // Maps each SQLite parameter index (from 0) to the n of its $n.
    std::vector<int> parameterNumbers_;
};

// In-memory SQLite database that accepts PostgreSQL's $n parameters. Used on one thread only.
class SqliteDatabase
{
public:
    SqliteDatabase();
    ~SqliteDatabase();
    SqliteDatabase(const SqliteDatabase &) = delete;
    SqliteDatabase &operator=(const SqliteDatabase &) = delete;

    // Returns the compiled statement, or nullptr and sets `error` if it doesn't compile. The
    // pointer is valid until the next prepare() or copyFrom().
    SqlStatement *prepare(const std::string &sql, SqlError &error);

    // Runs the statement to completion. `affected` is the number of returned or changed rows.
    bool run(SqlStatement &statement, const std::vector<Parameter> &parameters, const RowSink &sink,
             std::size_t &affected, SqlError &error);

    // Prepares and runs a statement, and ignores its rows.
    bool execute(const std::string &sql, const std::vector<Parameter> &parameters, SqlError &error);
    // Runs several statements without parameters.
    bool executeScript(const std::string &sql, SqlError &error);

    // Replaces the content by a copy of the other database.
    void copyFrom(const SqliteDatabase &other);

    // Sets the implementation of the SQL function kelptally_fact(name), which the views of the
    // server state use.
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
