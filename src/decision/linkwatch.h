#pragma once

#include "core/clock.h"

#include <cstddef>

namespace kelptally::decision {

// Keepalive of a link to another process: decides when to ping it and when to close it as silent.
// Time is counted in calls of check(), so a process that was paused does not close its links when
// it resumes. Idle links are pinged rarely, as a large installation has many of them. With a
// thousand hosts, pings several times a second on all links took a tenth of the processor time that
// a small host may use.
class LinkWatch
{
public:
    // Takes the time between two checks, and the silence after which a link in use is closed.
    LinkWatch(Duration checkPeriod, Duration silenceTimeout);

    // Any data arrived from the peer, pings and pongs included.
    void onReceived() { received_ = true; }
    // An application message was sent or received.
    void onMessage();
    // Bytes of a message that has not arrived completely.
    void onPartReceived(std::size_t bytes) { partBytes_ += bytes; }

    enum class Step {
        Nothing,
        Ping,
        // Tells the peer that its message is arriving: pings of the peer wait behind the message.
        Pong,
        Close,
    };
    // Called once per check period; returns what to do with the link.
    Step check();

private:
    const Duration checkPeriod_;
    const Duration silenceTimeout_;
    bool received_ = false;
    // Bytes of parts since data last counted as received.
    std::size_t partBytes_ = 0;
    // Number of checks since data last arrived, and since the last application message.
    int silentChecks_ = 0;
    int idleChecks_ = 0;
};

} // namespace kelptally::decision
