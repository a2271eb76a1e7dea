#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstddef>
#include <optional>
#include <vector>

// What organisations may ask of all hosts together, and how owners keep to it without asking each
// other for every statement.
//
// A few groups hold an organisation's quota: each of their owners earns an equal part of it. An
// owner that runs low asks the others, which give away what they have to spare. Whatever is given
// is gone at the giver before it is sent, so that a lost message, a cut, a frozen or dead owner
// never makes it more. What no arithmetic can undo is an owner that acts on after another has taken
// its group: the new one earns less until the earlier one has ended, within what the tolerance
// leaves.
namespace kelptally::decision {

// For one organisation; in operations, a transaction counting as one.
struct Quota
{
    double perSecond = 0;
    double burst = 0;
};

// In any span as long as the window all hosts together may run
// (perSecond x window + burst) x (1 + over) + slack operations.
struct QuotaTolerance
{
    Duration window {std::chrono::seconds(5)};
    double overshoot = 0;
    double slack = 0;
};

// The groups that hold an organisation's quota, as one host sees them.
struct QuotaHolders
{
    // How many there are, and in how many of them an earlier owner may act beside the present one.
    int total = 0;
    int overlapping = 0;
    // Of those, the ones that this host owns.
    int owned = 0;
    int ownedOverlapping = 0;
};

// What one host earns and may keep.
struct QuotaShare
{
    double perSecond = 0;
    // Most that it keeps of what it has earned or been given.
    double capacity = 0;
};

QuotaShare quotaShare(const Quota &quota, const QuotaTolerance &tolerance,
                      const QuotaHolders &holders);

// The groups whose owners hold the organisation's quota, by an order that all hosts agree on.
std::vector<GroupName> quotaHolders(const OrganisationName &organisation,
                                    const std::vector<GroupName> &groups);

// What one host has of one organisation's quota. Counts from the steady clock.
class QuotaAccount
{
public:
    // From now on it earns and keeps this much. What is new of the capacity is there at once, and
    // all of it when the account begins to earn, as its host takes a group.
    void set(Instant now, const QuotaShare &share);

    // Takes one operation; false when there is none.
    bool take(Instant now);
    // One that was taken has not run.
    void giveBack(Instant now);

    // What can be spared of what another owner asks for; it is gone here.
    double grant(Instant now, double wanted);
    void receive(Instant now, double operations);
    struct GrantRequest
    {
        // To ask each for, and how many to ask.
        double wanted = 0;
        std::size_t owners = 0;
    };
    // What should be asked of other owners; nothing when there is enough, or when it is too early
    // to ask again. They are taken to have been asked.
    std::optional<GrantRequest> nextGrantRequest(Instant now);
    // They have been asked a moment ago and may still answer.
    bool awaitsGrants(Instant now) const;

    // When there is room for one more that is refused now. Each refusal reckons with those before
    // it, so that callers come back one after the other.
    Duration retryDelay(Instant now);

    double available(Instant now);

private:
    void refill(Instant now);

    QuotaShare share_;
    double available_ = 0;
    Instant refilledAt_ {};
    // Until when what comes is spoken for by callers that were refused.
    Instant reservedUntil_ {};
    Instant requestedAt_ {};
    Instant nextRequestAt_ {};
    bool isSet_ = false;
    // The last operation found nothing.
    bool lastTakeFailed_ = false;
};

} // namespace kelptally::decision
