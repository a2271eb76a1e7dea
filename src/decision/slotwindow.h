#pragma once

#include "core/clock.h"

#include <deque>
#include <optional>

namespace kelptally::decision {

// Number of statements that an owner keeps under way at one backend server.
//
// With as many as the server has slots, a slot of a distant server is idle while an answer and the
// next statement travel: 9 of 25 ms between availability zones 4.4 ms apart. Under overload this is
// lost capacity. So the window exceeds the slots by what travels. It exceeds them by no more, as
// statements that queue at the server can no longer be reordered or refused.
class SlotWindow
{
public:
    // The server answered a command that takes no slot, such as the begin of a transaction.
    void onRoundTrip(Instant now, Duration time);
    // An answer arrived this long after its statement was sent.
    void onAnswered(Duration answerTime);
    // The server refused a statement because its slots were busy.
    void onBusy(Instant now);

    // Returns the number of statements that may be under way at a server with this many slots.
    int size(int slots, Instant now) const;

    // Returns the largest window of any owner of a server with this many slots.
    static int maxSize(int slots) { return 2 * slots; }

    // Time in which a message travels to the server and back; zero if it is not known.
    Duration roundTrip(Instant now) const;

private:
    struct Sample
    {
        Instant at;
        Duration time;
    };
    // The round trips from which the minimum is taken: each is smaller than all later ones.
    std::deque<Sample> minima_;
    std::optional<Duration> meanAnswerTime_;
    Instant shrunkUntil_ {};
};

} // namespace kelptally::decision
