#pragma once

#include "core/clock.h"

namespace kelptally::decision {

// Whether a process can reach a backend server, judged from answers and failed attempts to connect.
//
// A single attempt may fail by packet loss while open connections work. A server that was written
// off for it would leave its slots idle, and under overload the other servers cannot make up for
// them. So an attempt counts only if nothing was received from the server since it began, and an
// unreachable server is tried again until it answers.
class ServerReach
{
public:
    // An answer arrived on an open connection.
    void onAnswer(Instant now);
    void onConnected(Instant now);
    // An attempt that began at the given time has failed. `isAbsent` means that nothing, or another
    // server, listens at the address.
    void onConnectFailed(Instant began, bool isAbsent);

    bool isUnreachable() const { return unreachable_; }
    bool isAbsent() const { return absent_; }
    // Time until the next attempt to reach an unreachable server. Doubles with each failure.
    Duration retryDelay() const;

private:
    bool unreachable_ = false;
    bool absent_ = false;
    Instant lastAnswerAt_ {};
    int failures_ = 0;
};

} // namespace kelptally::decision
