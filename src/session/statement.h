#pragma once

#include "core/reason.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

// Statements of callers and the answers to them.
namespace kelptally::session {

enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    ExecutePrepared,
    Deallocate,
};

// One statement of a caller. The id and the text are passed to the server unchanged.
struct Statement
{
    StatementKind kind = StatementKind::Read;
    std::string id;
    std::string text;
    // Name of the session value or the prepared statement.
    std::string name;
    // The value, the shape to prepare, or the arguments of a prepared statement.
    std::string argument;
    // Whether the prepared statement writes.
    bool writes = false;
};

// Transaction state of a session after an answer.
enum class SessionState {
    Idle,
    InTransaction,
    // The transaction failed; only COMMIT and ROLLBACK are accepted.
    Failed,
};

// The result of a statement.
struct Answer
{
    Reason reason = Reason::None;
    Executed executed = Executed::No;
    std::string detail;
    std::vector<std::string> rows;
    // The server's signature; empty if no server was involved.
    std::string signature;
    std::optional<Position> position;
    // Delay after which a refused statement may be retried; 0 if none is given.
    Duration retryAfter {0};
};

} // namespace kelptally::session
