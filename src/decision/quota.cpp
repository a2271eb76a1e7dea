#include "decision/quota.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>

namespace kelptally::decision {

namespace {

// Groups that hold one organisation's quota. Bounds the owners to request tokens from, and the
// share that is unavailable when one owner fails.
constexpr std::size_t maxHolders = 8;
// How the operations that the tolerance allows beyond the rate are used: for the capacity of the
// accounts, and for the rate and the capacity in groups with several active owners. Tokens at the
// start of owners are added, and the rest covers grants in flight. The capacity of small quotas
// must not fall far below one operation for each account.
constexpr double capacityFraction = 0.72;
constexpr double overlapFraction = 0.05;
// Tokens of a new owner that does not know what its predecessors have spent, as a fraction of a
// group's capacity.
constexpr double startFraction = 0.2;
// Part of the rate that an owner keeps when its ownership is not confirmed. The rest is for its
// successors. Organisations that use less than this are not limited while the table service is
// unavailable.
constexpr double unconfirmedFraction = 0.5;
// Fraction of the capacity that an account doesn't grant to others, and up to which it requests
// tokens.
constexpr double reserveFraction = 0.5;
// An account keeps the tokens for its own operations of this time if an operation waits elsewhere.
constexpr Duration ownUseTime = std::chrono::milliseconds(100);
// An account whose own operations found no token keeps its reserve for this time.
constexpr Duration shortageTime = std::chrono::milliseconds(250);
// Time constant of the average number of operations that ask an account for tokens.
constexpr Duration useAveraging = std::chrono::seconds(1);
// Tokens are requested when fewer are left than are refilled in this time, or when an operation was
// refused. When tokens were requested from all others below half of the capacity, an account at its
// usual rate sent 22 messages a second for 3.3 operations.
constexpr Duration lookAhead = std::chrono::milliseconds(200);
// Reciprocal of the part of the reserve that each owner is expected to grant while an operation
// waits. A larger divisor requests from more owners. With requests to two of seven owners, 1.5% of
// the operations of a small organisation were refused.
constexpr int missedGrantDivisor = 4;
// Allows for a round trip between availability zones, 1 to 3 ms each way.
constexpr Duration grantTimeout = std::chrono::milliseconds(20);
// Operations wait this long for links to owners of the quota. A link opens in some 5 ms within a
// region, and in 100 ms between distant ones.
constexpr Duration linkOpenTime = std::chrono::milliseconds(150);
// Interval of requests after a grant, and when nobody has granted anything.
constexpr Duration minRequestInterval = std::chrono::milliseconds(40);
constexpr Duration unansweredBackoff = std::chrono::milliseconds(400);
// A grant of at least this much that is not enough for an operation leads to another request.
constexpr double minUsefulGrant = 0.1;
// A host without a share discards unused grants after this time. The granter allows for the time
// that the message may take.
constexpr Duration unusedGrantTimeout = std::chrono::seconds(1);
constexpr Duration maxGrantDelay = std::chrono::milliseconds(500);
// Owners without a share request this much more than they miss, as some of the owners asked have
// less to spare.
constexpr double surplusFactor = 1.5;
// Maximum retry delay of refused callers. Bounded, as demand may fall at any time.
constexpr Duration maxRetryDelay = std::chrono::seconds(2);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Returns the operations that the tolerance allows in a window beyond those at the rate.
double headroom(const Quota &quota, const QuotaTolerance &tolerance)
{
    const double nominal = quota.perSecond * seconds(tolerance.window);
    return (nominal + quota.burst) * (1 + tolerance.overshoot) + tolerance.slack - nominal;
}

} // namespace

double quotaStart(const Quota &quota, const QuotaTolerance &tolerance, int holders)
{
    if (holders == 0 || quota.perSecond + quota.burst <= 0)
        return 0;
    return startFraction * capacityFraction * headroom(quota, tolerance) / holders;
}

// Guards against overload by one organisation, also during partitions in which both sides have an
// owner of the same group.
QuotaShare quotaShare(const Quota &quota, const QuotaTolerance &tolerance,
                      const QuotaHolders &holders)
{
    const double nominal = quota.perSecond * seconds(tolerance.window);
    if (holders.total == 0 || nominal + quota.burst <= 0)
        return {};
    const double groupRate = quota.perSecond / holders.total;
    const double groupCapacity = capacityFraction * headroom(quota, tolerance) / holders.total;
    // What all owners but the first of a group may spend within a window.
    const double groupOverlap = overlapFraction * headroom(quota, tolerance) / holders.total;
    QuotaShare share;
    for (const OwnedQuotaGroup &group : holders.owned) {
        const double confirmed = group.isConfirmed ? 1 : unconfirmedFraction;
        if (group.earlierOwners == 0) {
            share.perSecond += groupRate * confirmed;
            share.capacity += groupCapacity;
            continue;
        }
        // The parts of any number of successive owners add up to at most one.
        const double overlap = groupOverlap * std::exp2(-group.earlierOwners);
        const double rate = group.areEarlierLimited
            ? groupRate * std::pow(1 - unconfirmedFraction, group.earlierOwners) * confirmed
            : 0;
        share.perSecond += std::min(groupRate, rate + overlap / seconds(tolerance.window));
        share.capacity += std::min(groupCapacity, overlap + startFraction * groupCapacity);
    }
    // A host that owns none gets the capacity of one group for received grants. At least one
    // operation must fit.
    if (holders.owned.empty())
        share.capacity = groupCapacity;
    share.capacity = std::max(1.0, share.capacity);
    return share;
}

std::vector<GroupName> quotaHolders(const OrganisationName &organisation,
                                    const std::vector<GroupName> &groups)
{
    if (groups.size() <= maxHolders)
        return groups;
    // Rendezvous hashing. The hash has to be the same on all hosts.
    std::vector<std::pair<Sha256Digest, const GroupName *>> ranked;
    ranked.reserve(groups.size());
    for (const GroupName &group : groups)
        ranked.emplace_back(sha256(organisation + '/' + group), &group);
    std::partial_sort(ranked.begin(), ranked.begin() + maxHolders, ranked.end(),
                      [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<GroupName> holders;
    for (std::size_t i = 0; i < maxHolders; ++i)
        holders.push_back(*ranked[i].second);
    return holders;
}

void QuotaAccount::set(Instant now, const QuotaShare &share)
{
    refill(now);
    const bool hadShare = hasShare();
    share_ = share;
    // Borrowed tokens don't become a part of the share, nor the other way round.
    if (hadShare != hasShare()) {
        borrowed_.clear();
        available_ = 0;
    }
    available_ = std::min(available_, limit());
}

void QuotaAccount::deposit(Instant now, double operations)
{
    refill(now);
    flows_.started += add(operations);
}

double QuotaAccount::withdraw(Instant now, double fraction)
{
    refill(now);
    const double withdrawn = available_ * std::clamp(fraction, 0.0, 1.0);
    available_ -= withdrawn;
    return withdrawn;
}

double QuotaAccount::limit() const
{
    return std::max(0.0, share_.capacity - queued_ - lentTotal_);
}

double QuotaAccount::add(double operations)
{
    const double added = std::max(0.0, std::min(operations, limit() - available_));
    available_ += added;
    return added;
}

void QuotaAccount::refill(Instant now)
{
    const Duration passed = std::max(Duration(0), now - refilledAt_);
    dropExpired(now);
    flows_.earned += add(share_.perSecond * seconds(passed));
    refilledAt_ = std::max(refilledAt_, now);
}

void QuotaAccount::dropExpired(Instant now)
{
    for (; !lent_.empty() && lent_.front().until <= now; lent_.pop_front())
        lentTotal_ -= lent_.front().operations;
    if (lent_.empty())
        lentTotal_ = 0;
    for (; !borrowed_.empty() && borrowed_.front().until <= now; borrowed_.pop_front())
        available_ = std::max(0.0, available_ - borrowed_.front().operations);
}

bool QuotaAccount::take(Instant now)
{
    refill(now);
    noteUse(now);
    lastTakeFailed_ = available_ < 1;
    if (!lastTakeFailed_) {
        available_ -= 1;
        flows_.taken += 1;
        for (double left = 1; left > 0 && !borrowed_.empty();) {
            const double used = std::min(left, borrowed_.front().operations);
            left -= used;
            borrowed_.front().operations -= used;
            if (borrowed_.front().operations <= 0)
                borrowed_.pop_front();
        }
    }
    return !lastTakeFailed_;
}

void QuotaAccount::onDequeued(Instant now)
{
    refill(now);
    queued_ = std::max(0.0, queued_ - 1);
}

void QuotaAccount::onQueued(Instant now)
{
    refill(now);
    queued_ += 1;
    available_ = std::min(available_, limit());
}

void QuotaAccount::giveBack(Instant now)
{
    refill(now);
    const double added = add(1);
    flows_.taken -= added;
    if (!hasShare())
        borrowed_.push_back({now + unusedGrantTimeout, added});
}

// Exponentially weighted average.
void QuotaAccount::noteUse(Instant now)
{
    usePerSecond_ = use(now) + 1 / seconds(useAveraging);
    usedAt_ = std::max(usedAt_, now);
}

double QuotaAccount::use(Instant now) const
{
    const double elapsed = seconds(std::max(Duration(0), now - usedAt_)) / seconds(useAveraging);
    return usePerSecond_ * std::exp(-elapsed);
}

double QuotaAccount::grant(Instant now, double wanted, bool operationWaits, bool requesterHasShare)
{
    refill(now);
    double reserve = share_.capacity * reserveFraction;
    if (operationWaits) {
        const bool isShort = lastTakeFailed_ && now - usedAt_ < shortageTime;
        reserve = isShort ? reserve : std::min(reserve, use(now) * seconds(ownUseTime));
    }
    const double spare = available_ - reserve;
    const double granted = std::clamp(wanted, 0.0, std::max(0.0, spare));
    available_ -= granted;
    flows_.granted += granted;
    if (!requesterHasShare && granted > 0) {
        lent_.push_back({now + unusedGrantTimeout + maxGrantDelay, granted});
        lentTotal_ += granted;
    }
    return granted;
}

void QuotaAccount::receive(Instant now, double operations)
{
    refill(now);
    const double added = add(operations);
    flows_.received += added;
    if (!hasShare())
        borrowed_.push_back({now + unusedGrantTimeout, added});
    nextRequestAt_ = std::min(nextRequestAt_, requestedAt_ + minRequestInterval);
    if (lastTakeFailed_ && available_ < 1 && operations >= minUsefulGrant)
        awaitedUntil_ = std::max(awaitedUntil_, nextRequestAt_ + grantTimeout);
}

std::optional<QuotaAccount::GrantRequest> QuotaAccount::nextGrantRequest(Instant now)
{
    refill(now);
    const double lookAheadAmount = share_.perSecond * seconds(lookAhead);
    const double threshold =
        lastTakeFailed_ ? 1 : std::min(lookAheadAmount, share_.capacity * reserveFraction);
    if (now < nextRequestAt_ || available_ >= threshold)
        return std::nullopt;
    requestedAt_ = now;
    awaitedUntil_ = std::max(awaitedUntil_, now + grantTimeout);
    nextRequestAt_ = now + unansweredBackoff;
    const double reserve = share_.capacity * reserveFraction;
    const double needed = hasShare() ? reserve : std::min(reserve, use(now) * seconds(lookAhead));
    GrantRequest request;
    request.wanted = std::max(1.0, needed) - available_;
    request.operationWaits = lastTakeFailed_;
    request.hasShare = hasShare();
    const double expectedGrant = reserve / (lastTakeFailed_ ? missedGrantDivisor : 2);
    const double owners = std::ceil(request.wanted / expectedGrant);
    request.owners = static_cast<std::size_t>(owners);
    // All of them may grant what a waiting operation asks for, and tokens beyond the capacity would
    // be lost. Tokens that are left at an owner without a share expire.
    const double most = hasShare() ? limit() - available_ : surplusFactor * request.wanted;
    request.wantedOfEach =
        lastTakeFailed_ ? std::min(request.wanted, most / owners) : request.wanted;
    return request;
}

void QuotaAccount::onLinksOpening(Instant now)
{
    awaitedUntil_ = std::max(awaitedUntil_, now + linkOpenTime);
    nextRequestAt_ = now + minRequestInterval;
}

bool QuotaAccount::awaitsGrants(Instant now) const
{
    return now < awaitedUntil_;
}

Duration QuotaAccount::retryDelay(Instant now)
{
    refill(now);
    if (share_.perSecond <= 0)
        return maxRetryDelay;
    const auto time = [this](double operations) {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(operations / share_.perSecond));
    };
    const Instant first = now + time(std::max(0.0, 1 - available_));
    reservedUntil_ = std::max(first, reservedUntil_ + time(1));
    reservedUntil_ = std::min(reservedUntil_, now + maxRetryDelay);
    return reservedUntil_ - now;
}

double QuotaAccount::available(Instant now)
{
    refill(now);
    return available_;
}

} // namespace kelptally::decision
