#pragma once

#include "core/clock.h"
#include "core/reason.h"

// What follows when a server refused a statement, or its answer was lost: sent again, or refused
// with what is known of its outcome. Writes that may have run are never sent again.
namespace kelptally::decision {

enum class ServerError {
    None,
    // These did not run.
    Busy,
    Lagging,
    ReadOnly,
    UnknownStatement,
    // These ran.
    Failed,
    TimedOut,
    // Anything else, by its text.
    Other,
};

// What is known of a statement that failed.
struct FailedStatement
{
    ServerError error = ServerError::None;
    // Only reads.
    bool read = false;
    bool commit = false;
    // A single statement, or one that begins a transaction, leaves nothing open.
    bool autocommit = false;
    bool begins = false;
    // A transaction is open at the server, by this statement or one before it.
    bool inTransaction = false;
    // The server says that it still is.
    bool transactionStillOpen = false;
    // How often it was sent.
    int attempts = 0;
};

struct RetryDecision
{
    bool sendAgain = false;
    // Why it is sent again, or the reason of the refusal.
    Reason reason = Reason::None;
    // Before it is sent again.
    Duration delay {0};
    // Of a refusal.
    Executed executed = Executed::No;
    // What was open ends with it.
    bool endsTransaction = false;
};

RetryDecision onServerError(const FailedStatement &statement);

// The connection ended before the answer came.
RetryDecision onAnswerLost(const FailedStatement &statement);

// How long a server that refused work is left alone, and a replica that was behind, by its last
// pause: it grows while it goes on refusing.
Duration busyBackoff();
Duration nextLaggingBackoff(Duration last);

} // namespace kelptally::decision
