#pragma once

#include "inner/messages.h"

// What follows from the kind of a statement alone.
namespace kelptally::session {

inline bool isRead(const inner::RunStatement &statement)
{
    return statement.verb == inner::SessionVerb::Read;
}

// Belongs to a transaction that is open already.
inline bool continuesTransaction(const inner::RunStatement &statement)
{
    return statement.inTransaction && statement.begins == inner::TransactionMode::None;
}

// A read that belongs to no transaction: it leaves nothing behind, wherever and however often it
// runs.
inline bool isSingleRead(const inner::RunStatement &statement)
{
    return !statement.inTransaction && isRead(statement);
}

// Its effect, if it has one, stays when it is done: a commit, or a write on its own.
inline bool commits(const inner::RunStatement &statement)
{
    return statement.verb == inner::SessionVerb::Commit
        || (!statement.inTransaction && !isRead(statement));
}

// Nothing but reading is asked, so that any server may do it.
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

// Running it again after its answer was lost changes nothing: what a transaction has done is gone
// with its connection unless its commit was sent.
inline bool mayRepeat(const inner::RunStatement &statement)
{
    if (statement.begins != inner::TransactionMode::None)
        return statement.verb != inner::SessionVerb::Commit;
    return isSingleRead(statement);
}

} // namespace kelptally::session
