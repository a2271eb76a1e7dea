#pragma once

#include "inner/messages.h"

// Properties of statements that follow from their kind.
namespace kelptally::session {

inline bool isRead(const inner::RunStatement &statement)
{
    return statement.verb == inner::SessionVerb::Read;
}

// Whether the statement belongs to a transaction that is already open.
inline bool continuesTransaction(const inner::RunStatement &statement)
{
    return statement.inTransaction && statement.begins == inner::TransactionMode::None;
}

// Whether the statement is a read outside a transaction, which may run repeatedly and on any
// server.
inline bool isSingleRead(const inner::RunStatement &statement)
{
    return !statement.inTransaction && isRead(statement);
}

// Whether the statement commits its effects: a COMMIT, or a write outside a transaction.
inline bool commits(const inner::RunStatement &statement)
{
    return statement.verb == inner::SessionVerb::Commit
        || (!statement.inTransaction && !isRead(statement));
}

// Whether the statement only reads, so that any server may run it.
inline bool mayRunOnReplica(const inner::RunStatement &statement)
{
    if (statement.begins == inner::TransactionMode::ReadOnly)
        return true;
    return isSingleRead(statement);
}

inline bool needsPrimary(const inner::RunStatement &statement)
{
    return !mayRunOnReplica(statement) || statement.rule == inner::ReadRule::Newest;
}

// Whether the statement may be run again after its answer was lost. The first statement of a
// transaction may, unless it is a COMMIT: the transaction is rolled back with its connection.
inline bool mayRepeat(const inner::RunStatement &statement)
{
    if (statement.begins != inner::TransactionMode::None)
        return statement.verb != inner::SessionVerb::Commit;
    return isSingleRead(statement);
}

// Whether both are one statement of one session that its entry has sent under two numbers.
inline bool isCopy(const inner::RunStatement &a, const inner::RunStatement &b)
{
    return a.session == b.session && a.statementId == b.statementId && a.verb == b.verb
        && a.begins == b.begins && a.text == b.text && a.preparedShape == b.preparedShape
        && a.arguments == b.arguments && a.values == b.values && a.organisation == b.organisation;
}

} // namespace kelptally::session
