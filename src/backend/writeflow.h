#pragma once

#include "backend/writebatch.h"

#include <functional>
#include <memory>
#include <string>

namespace kelptally::backend {

// What is known of a write at its end.
enum class WriteState {
    // Committed by this attempt. To be acknowledged once its offset is confirmed.
    Done,
    // An earlier attempt with the same key is committed; the answer is the recorded one. To be
    // acknowledged once the offset is confirmed, as the earlier attempt may not have been.
    Replayed,
    // Nothing is in force, and nothing of this attempt can come into force.
    NotRun,
    // The server refused the statement; nothing is in force.
    Failed,
    // The key stands for another request; nothing was run.
    KeyReused,
    // The key is older than records are kept and has none; nothing was run.
    KeyExpired,
    // A newer owner has raised the fence; nothing is in force.
    Fenced,
    // The server does not take writes; nothing is in force.
    NotPrimary,
    // The connection was lost after the commit was sent, or while an earlier attempt was looked up.
    Unknown,
};

struct WriteOutcome
{
    WriteState state = WriteState::NotRun;
    Rows rows;
    // The recorded answer had more rows than are kept.
    bool rowsMissing = false;
    // Log offset that holds the work, the replayed record or the void record.
    LogOffset offset = 0;
    std::string sqlState;
    std::string message;
    bool connectionLost = false;
};

using WriteCallback = std::function<void(WriteOutcome)>;

// How a write is run.
struct WriteContext
{
    std::shared_ptr<Connection> connection;
    settings::GroupStatements statements;
    // Asked again before a commit that follows an earlier answer: the owner's lease may have
    // lapsed.
    std::function<bool()> mayCommit;
};

// Runs one write on a connection to the primary that no transaction uses. With a key it runs at
// most once, whatever was lost before: it finds the record of an earlier attempt and gives its
// answer. Calls back exactly once. Afterwards the connection can be given back; the pool ends a
// transaction that is left open.
void runWrite(WriteContext context, WriteRequest request, WriteCallback callback);

// Commits the caller's transaction that is open on the connection. With a key, an earlier commit
// of the same request is replayed and this transaction is rolled back.
void runCommit(WriteContext context, WriteRequest request, WriteCallback callback);

// Settles a request with a key of which an attempt's outcome is unknown, without running it:
// Replayed when it was done; NotRun when it was not and, once the offset is confirmed, never will
// be. A later attempt with the same key may still run: its attempt number is higher.
void resolveUnknown(WriteContext context, WriteRequest request, WriteCallback callback);

} // namespace kelptally::backend
