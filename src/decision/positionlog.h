#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <deque>
#include <optional>

namespace kelptally::decision {

// Positions that a group's primary has shown, each with the time at which the question was sent.
// Everything acknowledged before that time is in the log at that position.
class PositionLog
{
public:
    // Ignores a position below the newest one, as answers overtake each other.
    void add(Instant sentAt, Position position);

    // A position that holds everything acknowledged up to the instant; nothing when the primary has
    // not been asked since.
    std::optional<Position> positionCovering(Instant instant) const;

    // Highest position shown; nothing before the first.
    std::optional<Position> newest() const;
    // When the question was sent that was answered with it.
    Instant newestProbeTime() const
    {
        return samples_.empty() ? Instant() : samples_.back().sentAt;
    }

    // When a position of at least this one was first seen; nothing when it has not been, or long
    // ago.
    std::optional<Instant> firstSeen(Position position) const;

    void clear() { samples_.clear(); }

private:
    struct Sample
    {
        Instant sentAt;
        Position position;
    };

    // Ascending in time; positions never fall.
    std::deque<Sample> samples_;
};

} // namespace kelptally::decision
