#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <deque>
#include <optional>

namespace kelptally::decision {

// Log positions reported by a group's primary, each with the time at which the probe was sent. The
// log up to a position contains every write acknowledged before its probe was sent.
class PositionLog
{
public:
    // Adds a reported position. Ignores one below the newest, since answers may arrive out of
    // order.
    void add(Instant sentAt, Position position);

    // Returns a position that covers every write acknowledged up to the instant, or nothing if the
    // primary has not been probed since.
    std::optional<Position> positionCovering(Instant instant) const;

    // Returns the highest reported position, if any.
    std::optional<Position> newest() const;
    // Returns when the probe that reported the newest position was sent; Instant() if there is
    // none.
    Instant newestProbeTime() const
    {
        return samples_.empty() ? Instant() : samples_.back().sentAt;
    }

    // Returns when the first known probe that reported this position or a higher one was sent, or
    // nothing if there was none.
    std::optional<Instant> firstSeen(Position position) const;

    void clear() { samples_.clear(); }

private:
    struct Sample
    {
        Instant sentAt;
        Position position;
    };

    // Ascending by time; positions never decrease.
    std::deque<Sample> samples_;
};

} // namespace kelptally::decision
