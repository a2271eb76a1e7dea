#include "standin/sqlitedatabase.h"

#include <glog/logging.h>
#include <sqlite3.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>

namespace kelptally::standin {

namespace {

// Limit of the statement cache; the cache is cleared when it is reached.
constexpr std::size_t maxCachedStatements = 1000;

// PostgreSQL type OIDs (pg_type).
constexpr int int8Oid = 20;
constexpr int textOid = 25;
constexpr int float8Oid = 701;

int oidOfDeclaredType(const char *declared)
{
    if (declared == nullptr)
        return textOid;
    const std::string_view type(declared);
    if (type.find("INT") != std::string_view::npos || type.find("int") != std::string_view::npos)
        return int8Oid;
    if (type == "REAL" || type == "DOUBLE PRECISION" || type == "double precision")
        return float8Oid;
    return textOid;
}

// Maps an SQLite error to an SQLSTATE code of PostgreSQL (appendix A of its documentation).
std::string sqlStateOf(int extendedCode, std::string_view message)
{
    switch (extendedCode) {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
        return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
        return "23502";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
        return "23503";
    case SQLITE_CONSTRAINT_CHECK:
        return "23514";
    default:
        break;
    }
    if (message.find("no such table") != std::string_view::npos)
        return "42P01";
    if (message.find("no such column") != std::string_view::npos)
        return "42703";
    if (message.find("no such function") != std::string_view::npos)
        return "42883";
    if (message.find("syntax error") != std::string_view::npos
        || message.find("incomplete input") != std::string_view::npos)
        return "42601";
    return (extendedCode & 0xff) == SQLITE_ERROR ? "42000" : "XX000";
}

void callStateLookup(sqlite3_context *context, int, sqlite3_value **arguments)
{
    const auto *database = static_cast<const SqliteDatabase *>(sqlite3_user_data(context));
    const auto *name = reinterpret_cast<const char *>(sqlite3_value_text(arguments[0]));
    const std::string value = database->stateLookup()(name ? name : "");
    const bool number = !value.empty()
        && std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (number)
        sqlite3_result_int64(context, std::strtoll(value.c_str(), nullptr, 10));
    else
        sqlite3_result_text(context, value.data(), int(value.size()), SQLITE_TRANSIENT);
}

} // namespace

SqlStatement::SqlStatement(sqlite3_stmt *statement)
    : statement_(statement), readOnly_(sqlite3_stmt_readonly(statement) != 0)
{
    const int count = sqlite3_bind_parameter_count(statement);
    for (int i = 1; i <= count; ++i) {
        // SQLite reads "$1::text" as one parameter name; atoi() stops after the number.
        const char *name = sqlite3_bind_parameter_name(statement, i);
        const int number = name ? std::atoi(name + 1) : 0;
        parameterNumbers_.push_back(number);
        parameterCount_ = std::max(parameterCount_, number);
    }
}

SqlStatement::~SqlStatement()
{
    sqlite3_finalize(statement_);
}

std::vector<Column> SqlStatement::columns() const
{
    std::vector<Column> columns;
    const int count = sqlite3_column_count(statement_);
    for (int i = 0; i < count; ++i) {
        columns.push_back({sqlite3_column_name(statement_, i),
                           oidOfDeclaredType(sqlite3_column_decltype(statement_, i))});
    }
    return columns;
}

SqliteDatabase::SqliteDatabase()
{
    const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_MEMORY
        | SQLITE_OPEN_NOMUTEX | SQLITE_OPEN_PRIVATECACHE;
    CHECK_EQ(sqlite3_open_v2(":memory:", &database_, flags, nullptr), SQLITE_OK);
    sqlite3_extended_result_codes(database_, 1);
    sqlite3_create_function(database_, "kelptally_fact", 1, SQLITE_UTF8, this, callStateLookup,
                            nullptr, nullptr);
}

SqliteDatabase::~SqliteDatabase()
{
    statements_.clear();
    sqlite3_close(database_);
}

SqlStatement *SqliteDatabase::prepare(const std::string &sql, SqlError &error)
{
    const auto found = statements_.find(sql);
    if (found != statements_.end())
        return found->second.get();
    sqlite3_stmt *statement = nullptr;
    const char *tail = nullptr;
    const int code = sqlite3_prepare_v3(database_, sql.data(), int(sql.size()),
                                        SQLITE_PREPARE_PERSISTENT, &statement, &tail);
    if (code != SQLITE_OK) {
        error = lastError();
        return nullptr;
    }
    if (statement == nullptr) {
        error = {"42601", "the text contains no statement"};
        return nullptr;
    }
    if (statements_.size() >= maxCachedStatements)
        statements_.clear();
    return statements_.emplace(sql, std::make_unique<SqlStatement>(statement)).first->second.get();
}

void SqliteDatabase::bind(SqlStatement &statement, const std::vector<Parameter> &parameters)
{
    for (std::size_t i = 0; i < statement.parameterNumbers_.size(); ++i) {
        const int index = int(i) + 1;
        const std::size_t number = std::size_t(statement.parameterNumbers_[i]);
        if (number == 0 || number > parameters.size() || !parameters[number - 1].value) {
            sqlite3_bind_null(statement.statement_, index);
            continue;
        }
        const Parameter &parameter = parameters[number - 1];
        const std::string &text = *parameter.value;
        if (parameter.type == ParameterType::Integer)
            sqlite3_bind_int64(statement.statement_, index,
                               std::strtoll(text.c_str(), nullptr, 10));
        else if (parameter.type == ParameterType::Real)
            sqlite3_bind_double(statement.statement_, index, std::strtod(text.c_str(), nullptr));
        else
            sqlite3_bind_text(statement.statement_, index, text.data(), int(text.size()),
                              SQLITE_STATIC);
    }
}

bool SqliteDatabase::run(SqlStatement &statement, const std::vector<Parameter> &parameters,
                         const RowSink &sink, std::size_t &affected, SqlError &error)
{
    bind(statement, parameters);
    sqlite3_stmt *const raw = statement.statement_;
    const int totalBefore = sqlite3_total_changes(database_);
    int code = sqlite3_step(raw);
    std::size_t rows = 0;
    for (; code == SQLITE_ROW; code = sqlite3_step(raw), ++rows) {
        if (!sink)
            continue;
        row_.resize(std::size_t(sqlite3_column_count(raw)));
        for (std::size_t i = 0; i < row_.size(); ++i) {
            const auto *text = reinterpret_cast<const char *>(sqlite3_column_text(raw, int(i)));
            const auto size = std::size_t(sqlite3_column_bytes(raw, int(i)));
            row_[i] = text ? std::make_optional(std::string_view(text, size)) : std::nullopt;
        }
        sink(row_);
    }
    const bool done = code == SQLITE_DONE;
    if (!done)
        error = lastError();
    if (statement.readOnly())
        affected = rows;
    else if (sqlite3_total_changes(database_) == totalBefore)
        affected = 0;
    else
        affected = std::size_t(sqlite3_changes(database_));
    sqlite3_reset(raw);
    sqlite3_clear_bindings(raw);
    return done;
}

bool SqliteDatabase::execute(const std::string &sql, const std::vector<Parameter> &parameters,
                             SqlError &error)
{
    SqlStatement *statement = prepare(sql, error);
    std::size_t affected = 0;
    return statement != nullptr && run(*statement, parameters, nullptr, affected, error);
}

bool SqliteDatabase::executeScript(const std::string &sql, SqlError &error)
{
    if (sqlite3_exec(database_, sql.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK)
        return true;
    error = lastError();
    return false;
}

void SqliteDatabase::copyFrom(const SqliteDatabase &other)
{
    statements_.clear();
    sqlite3_backup *backup = sqlite3_backup_init(database_, "main", other.database_, "main");
    CHECK(backup != nullptr) << sqlite3_errmsg(database_);
    CHECK_EQ(sqlite3_backup_step(backup, -1), SQLITE_DONE);
    sqlite3_backup_finish(backup);
}

void SqliteDatabase::setStateLookup(StateLookup stateLookup)
{
    stateLookup_ = std::move(stateLookup);
}

SqlError SqliteDatabase::lastError() const
{
    const std::string message = sqlite3_errmsg(database_);
    return {sqlStateOf(sqlite3_extended_errcode(database_), message), message};
}

} // namespace kelptally::standin
