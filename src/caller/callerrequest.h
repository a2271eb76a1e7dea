#pragma once

#include "caller/httpmessage.h"
#include "caller/problem.h"
#include "core/clock.h"
#include "core/rows.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

// Typed requests and answers of the callers' HTTP interface, see docs/CALLERS.md.
namespace kelptally::caller {

enum class CallerOperation {
    // POST /v1/statement
    Statement,
    // POST /v1/transactions
    Begin,
    // POST /v1/transactions/{id}/statements
    TransactionStatement,
    // POST /v1/transactions/{id}/commit
    Commit,
    // POST /v1/transactions/{id}/rollback
    Rollback,
};

struct CallerRequest
{
    CallerOperation operation = CallerOperation::Statement;
    ConnectionId connection = 0;
    // From the Authorization header, without "Bearer "; empty without the header.
    std::string apiKey;
    std::string idempotencyKey;
    std::string sessionToken;
    // Transaction id in the path, for operations on an open transaction.
    std::string transaction;
    // For Statement and Begin.
    GroupName group;
    KindName kind;
    // For Statement and TransactionStatement.
    std::string sql;
    std::vector<Value> parameters;
    // Maximum age of the data read, for Statement.
    std::optional<Duration> statedAge;
    // Relative to the arrival of the request.
    std::optional<Duration> deadline;
};

// A parsed request, or the problem to answer with.
struct ParsedRequest
{
    CallerRequest request;
    // Set when the request is invalid; lists every mistake found.
    std::optional<Problem> problem;
};

// Parses a request. Unknown and duplicate fields and fields of a wrong type are findings.
ParsedRequest parseCallerRequest(HttpRequest request);

// The result of a request that was executed.
struct CallerAnswer
{
    Rows rows;
    // Upper bound of the data's age, for reads.
    std::optional<Duration> age;
    bool fromReplica = false;
    bool replayed = false;
    // Id of a transaction that Begin started.
    std::string transaction;
    // Value of the Kelptally-Session header; omitted when empty.
    std::string sessionToken;
};

HttpResponse answerResponse(const CallerAnswer &answer);

} // namespace kelptally::caller
