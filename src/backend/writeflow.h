#pragma once

#include "backend/writebatch.h"

#include <functional>
#include <memory>
#include <string>

namespace kelptally::backend {

// Final state of a write.
enum class WriteState {
    // Committed by this attempt. Must not be acknowledged before its offset is confirmed.
    Done,
    // An earlier attempt with the same key is committed; the answer is the recorded one. Must not
    // be acknowledged before the offset is confirmed.
    Replayed,
    // Nothing took effect, and nothing of this attempt can.
    NotRun,
    // The server refused the statement; nothing took effect.
    Failed,
    // The key belongs to another request; nothing ran.
    KeyReused,
    // The key is older than the retention and has no record; nothing ran.
    KeyExpired,
    // A newer owner has raised the fence; nothing took effect.
    Fenced,
    // The server does not accept writes; nothing took effect.
    NotPrimary,
    // The connection was lost after the commit was sent, or while an earlier attempt was looked up.
    Unknown,
};

struct WriteOutcome
{
    WriteState state = WriteState::NotRun;
    Rows rows;
    // The answer's rows were too large to be recorded.
    bool rowsMissing = false;
    // Log offset that covers the work, the replayed record or the void record.
    LogOffset offset = 0;
    std::string sqlState;
    std::string message;
    bool connectionLost = false;
};

using WriteCallback = std::function<void(WriteOutcome)>;

// Connection and settings for a write.
struct WriteContext
{
    std::shared_ptr<Connection> connection;
    settings::GroupStatements statements;
    // Checked before a commit in a second batch, as the owner's lease may have expired since.
    std::function<bool()> mayCommit;
};

// Runs a write on a connection to the primary with no open transaction. With a key it runs at most
// once, also after lost answers: it returns the answer recorded by an earlier attempt. Calls back
// exactly once. The connection can be released afterwards; the pool rolls back an open transaction.
void runWrite(WriteContext context, WriteRequest request, WriteCallback callback);

// Commits the caller's open transaction on the connection. With a key, an earlier commit of the
// same request is replayed and this transaction is rolled back.
void runCommit(WriteContext context, WriteRequest request, WriteCallback callback);

// Resolves a request with a key and an unknown outcome without running it: Replayed if it was
// committed, otherwise NotRun; once the offset is confirmed, earlier attempts can no longer commit.
// A later attempt with the same key, which has a higher number, may still run.
void resolveUnknown(WriteContext context, WriteRequest request, WriteCallback callback);

} // namespace kelptally::backend
