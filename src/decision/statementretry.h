#pragma once

#include "core/clock.h"
#include "core/reason.h"

// Decides whether a statement is sent again after a server error or a lost answer, or refused with
// what is known of its outcome. Writes that may have been executed are never sent again.
namespace kelptally::decision {

enum class ServerError {
    None,
    // Not executed.
    Busy,
    Lagging,
    ReadOnly,
    UnknownStatement,
    // Executed.
    Failed,
    TimedOut,
    // Any other error. The statement may have been executed.
    Other,
};

// Whether the error promises that the statement was not executed.
bool isNotExecuted(ServerError error);

struct FailedStatement
{
    ServerError error = ServerError::None;
    bool read = false;
    bool commit = false;
    // Outside a transaction.
    bool autocommit = false;
    // First statement of a transaction.
    bool begins = false;
    // A transaction was open at the server, begun by this statement or an earlier one.
    bool inTransaction = false;
    // The server reports that it is still open.
    bool transactionStillOpen = false;
    // Number of times it was sent.
    int attempts = 0;
};

struct RetryDecision
{
    bool sendAgain = false;
    // Reason of the retry or of the refusal.
    Reason reason = Reason::None;
    // Delay before the statement is sent again.
    Duration delay {0};
    // For a refusal: whether the statement was executed.
    Executed executed = Executed::No;
    // The open transaction ends.
    bool endsTransaction = false;
};

RetryDecision onServerError(const FailedStatement &statement);

// The connection was lost before the answer arrived.
RetryDecision onAnswerLost(const FailedStatement &statement);

// Returns how long no statements are sent to a server that was busy, and to a lagging replica. The
// latter doubles from its last value.
Duration busyBackoff();
Duration nextLaggingBackoff(Duration last);

} // namespace kelptally::decision
