#pragma once

#include "core/reason.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

// What callers with a connection of their own say, and what they are answered.
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

// One statement of a caller. What a server will see of it, id and text, stays as it came.
struct Statement
{
    StatementKind kind = StatementKind::Read;
    std::string id;
    std::string text;
    // Name of the value or the prepared statement.
    std::string name;
    // The value, the shape to prepare, or what follows the name of a prepared statement.
    std::string argument;
    // Whether the shape to prepare writes.
    bool writes = false;
};

// Where a session stands after an answer.
enum class SessionState {
    Idle,
    InTransaction,
    // The transaction failed: nothing but its end is accepted.
    Failed,
};

struct Answer
{
    Reason reason = Reason::None;
    Executed executed = Executed::No;
    std::string detail;
    std::vector<std::string> rows;
    // The server's signature; empty when no server was asked.
    std::string signature;
    std::optional<Position> position;
    // When a refused statement may be sent again.
    Duration retryAfter {0};
};

} // namespace kelptally::session
