#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

// Distributed rate limiting of organisations, without communication for every statement.
//
// A few groups hold an organisation's quota: each of their owners refills a token bucket at an
// equal share of the rate. An owner that runs low requests tokens from the others, which grant what
// they can spare. Granted tokens are subtracted before they are sent, so that lost messages,
// partitions, paused and crashed owners never create tokens.
//
// The owners that a group has had spend no more than a single one could, however many there were: a
// new owner starts with the tokens that its predecessor passes on, or with none. While previous
// owners may still be active, all of them together refill at the group's rate: an owner that has no
// recent proof of its ownership leaves a part of the rate to a possible successor.
namespace kelptally::decision {

// An organisation's limit in operations. A transaction counts as one operation.
struct Quota
{
    double perSecond = 0;
    double burst = 0;
};

// In any time window of this length, all hosts together may run at most
// (perSecond x window + burst) x (1 + overshoot) + slack operations.
struct QuotaTolerance
{
    Duration window {std::chrono::seconds(5)};
    double overshoot = 0;
    double slack = 0;
};

// A group that holds an organisation's quota and is owned by this host.
struct OwnedQuotaGroup
{
    // Earlier owners that may still spend tokens of the group.
    int earlierOwners = 0;
    // Whether these must have noticed by now that their ownership is no longer confirmed.
    bool areEarlierLimited = false;
    // Whether this host's ownership was confirmed recently, within ownershipConfirmationTime.
    bool isConfirmed = true;

    bool operator==(const OwnedQuotaGroup &other) const
    {
        return earlierOwners == other.earlierOwners && areEarlierLimited == other.areEarlierLimited
            && isConfirmed == other.isConfirmed;
    }
};

// An owner limits itself if its ownership was not confirmed for this time, as there may be a
// successor. Two attempts to renew its lease have failed by then.
constexpr Duration ownershipConfirmationTime = std::chrono::seconds(5);

// The groups that hold an organisation's quota, as one host sees them.
struct QuotaHolders
{
    int total = 0;
    std::vector<OwnedQuotaGroup> owned;
};

// One host's refill rate and capacity.
struct QuotaShare
{
    double perSecond = 0;
    double capacity = 0;
};

// Tokens that have entered or left an account since it was created.
struct QuotaFlows
{
    // Deposited for groups that the host began to own.
    double started = 0;
    double earned = 0;
    // Exchanged with other owners.
    double received = 0;
    double granted = 0;
    // Taken by operations, less those given back.
    double taken = 0;

    QuotaFlows operator-(const QuotaFlows &other) const
    {
        return {started - other.started, earned - other.earned, received - other.received,
                granted - other.granted, taken - other.taken};
    }
};

QuotaShare quotaShare(const Quota &quota, const QuotaTolerance &tolerance,
                      const QuotaHolders &holders);

// Returns the tokens with which an owner of one group may start when it does not know what its
// predecessors have spent. Only one owner of the group may, within a lease and a window.
double quotaStart(const Quota &quota, const QuotaTolerance &tolerance, int holders);

// Returns the groups whose owners hold the organisation's quota, the same on all hosts.
std::vector<GroupName> quotaHolders(const OrganisationName &organisation,
                                    const std::vector<GroupName> &groups);

// One host's token bucket for one organisation. Times are of the steady clock.
class QuotaAccount
{
public:
    // Sets rate and capacity. Tokens beyond the capacity are lost.
    void set(Instant now, const QuotaShare &share);
    // Adds the tokens of a group that the host begins to own, up to the capacity.
    void deposit(Instant now, double operations);
    // Removes and returns this fraction of the tokens, as the host no longer owns a group.
    double withdraw(Instant now, double fraction);

    // Takes a token; returns false if there is none.
    bool take(Instant now);
    // Returns the token of an operation that was not run.
    void giveBack(Instant now);
    // An operation that took a token is queued, or leaves the queue. Tokens of queued operations
    // count towards the capacity, as these operations may all run together later.
    void onQueued(Instant now);
    void onDequeued(Instant now);

    // Subtracts and returns what can be spared of the tokens that another owner requests. If an
    // operation waits for them there, only the tokens that are about to be used here are kept. An
    // owner without a share loses them if it doesn't use them soon; until then they count towards
    // the capacity here, as many such owners may hold tokens.
    double grant(Instant now, double wanted, bool operationWaits = false,
                 bool requesterHasShare = true);
    // Adds tokens that another owner granted.
    void receive(Instant now, double operations);
    struct GrantRequest
    {
        // Tokens that are missing, the number of owners to ask, and the tokens to request from
        // each.
        double wanted = 0;
        std::size_t owners = 0;
        double wantedOfEach = 0;
        bool operationWaits = false;
        bool hasShare = true;
    };
    // Returns the request to send to other owners, if tokens run low and the last request was long
    // enough ago. Assumes that the caller sends it.
    std::optional<GrantRequest> nextGrantRequest(Instant now);
    // None of the other owners could be sent the last request, as the links to them are just being
    // opened.
    void onLinksOpening(Instant now);
    // Whether the last request may still be answered.
    bool awaitsGrants(Instant now) const;

    // Returns the delay after which a refused caller should retry. Each call reserves a later time,
    // so that callers don't retry together.
    Duration retryDelay(Instant now);

    double available(Instant now);
    const QuotaShare &share() const { return share_; }
    const QuotaFlows &flows() const { return flows_; }

private:
    // Tokens that expire.
    struct ExpiringTokens
    {
        Instant until;
        double operations = 0;
    };

    bool hasShare() const { return share_.perSecond > 0; }
    void refill(Instant now);
    void dropExpired(Instant now);
    void noteUse(Instant now);
    // Average number of operations per second that asked for tokens.
    double use(Instant now) const;

    // Adds tokens up to the capacity; returns how many were added.
    double add(double operations);
    double limit() const;

    QuotaShare share_;
    QuotaFlows flows_;
    double available_ = 0;
    // Tokens of queued operations.
    double queued_ = 0;
    // Granted to owners without a share, and the sum of these.
    std::deque<ExpiringTokens> lent_;
    double lentTotal_ = 0;
    // The available tokens of an owner without a share.
    std::deque<ExpiringTokens> borrowed_;
    Instant refilledAt_ {};
    // Tokens refilled until then are reserved for callers that were refused.
    Instant reservedUntil_ {};
    Instant requestedAt_ {};
    // Until when the last request may be answered.
    Instant awaitedUntil_ {};
    Instant nextRequestAt_ {};
    bool lastTakeFailed_ = false;
    // Operations per second that asked for tokens here, averaged over useAveraging.
    double usePerSecond_ = 0;
    Instant usedAt_ {};
};

} // namespace kelptally::decision
