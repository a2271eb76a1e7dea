#pragma once

// Decisions that can be made in several ways. The first of each is the one that measured best, and
// is what a process does; a section of a settings file that is meant for experiments picks others.
namespace kelptally::decision {

// Whose idle connection is closed when another organisation needs its place.
enum class RoomRule {
    // The one that has rested longest.
    LongestRest,
    // That of the organisation which asks least often.
    LeastAsked,
};

// Which server a read opens a connection to, of those that may serve it.
enum class OpeningRule {
    // The one with least to do.
    LeastBusy,
    // The first in an order of the organisation's own, unless it has clearly more to do.
    OwnOrder,
};

// Which statement of a priority goes first.
enum class WaitRule {
    // The one that would be late first.
    Due,
    // One of an organisation that has had no more than its share, and then as above.
    FairShare,
};

struct Ways
{
    RoomRule room = RoomRule::LongestRest;
    OpeningRule opening = OpeningRule::LeastBusy;
    WaitRule wait = WaitRule::Due;
    // Of a server's connections an owner may have this part, in percent, where each belongs to an
    // organisation.
    int ownerShare = 60;
    // What speaks against a server to which a connection would have to be opened, in percent of its
    // slots.
    int openingCost = 100;
};

} // namespace kelptally::decision
