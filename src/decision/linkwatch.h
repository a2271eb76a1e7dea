#pragma once

#include "core/clock.h"

namespace kelptally::decision {

// When a link to another process is pinged, and when it is given up as silent. Time counts in looks
// at the link, so that a process that stood still gives nothing up when it goes on.
//
// The load it answers: with a thousand hosts an owner has a link from each of them, and a host one
// to each owner that it has ever needed. Hardly any carries a message in a second, and pings
// several times a second on all of them took a tenth of what a small host may use. Who waits for an
// answer asks for a sign of life by itself (session/router), and learns of a dead link sooner than
// from pings. So only links that were used a moment ago are pinged often.
class LinkWatch
{
public:
    // With the time between two looks, and that after which a link in use counts as silent.
    LinkWatch(Duration checkPeriod, Duration silenceTimeout);

    // Anything at all came from the other end.
    void onReceived() { received_ = true; }
    // A message of the processes' own was sent or came.
    void onMessage();

    enum class Step {
        Nothing,
        Ping,
        Close,
    };
    Step check();

private:
    const Duration checkPeriod_;
    const Duration silenceTimeout_;
    bool received_ = false;
    // Looks since anything was heard, and since the last message.
    int silentChecks_ = 0;
    int idleChecks_ = 0;
};

} // namespace kelptally::decision
