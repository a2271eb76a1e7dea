#pragma once

#include "core/clock.h"

#include <cstddef>
#include <optional>

namespace kelptally::decision {

// How long a session's operation (one statement, or a transaction) has taken so far from its
// caller's point of view, without the pauses that the caller makes inside a transaction.
//
// A caller that is refused tries the operation again, and its latency objective counts from the
// first attempt. Under overload, attempts that are already late would otherwise take the slots of
// statements that can still be answered in time.
class OperationAge
{
public:
    // A statement is sent; `begins` says that it is the first of an operation, and `content`
    // identifies what it does. Returns the operation's age.
    Duration onSent(Instant now, bool begins, std::size_t content);
    // The statement was answered, or refused without having run.
    void onAnswered(Instant now, bool isRefused);

private:
    Duration age_ {0};
    Instant sentAt_ {};
    std::size_t content_ = 0;
    // When the operation's last attempt was refused, if it was.
    std::optional<Instant> refusedAt_;
};

} // namespace kelptally::decision
