#include "decision/quota.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>

namespace kelptally::decision {

namespace {

// So many groups hold one organisation's quota: enough that the loss of one owner takes an eighth
// for a moment, and few to ask at any number of groups.
constexpr std::size_t maxHolders = 8;
// How the operations that the tolerance allows beyond the plain rate are used: kept by owners for
// moments when more is asked, and earned twice while two owners act for one group. The rest is left
// for what is on its way. Small organisations need what is kept: with 0.6 and 0.3, and accounts
// that began half full, one of seven operations a second had less than one at each of eight owners,
// and 0.9% of what could be served on a calm day was refused.
constexpr double capacityFraction = 0.85;
constexpr double overlapFraction = 0.1;
// Owners that take a group begin with something, too: room for a quarter of the groups changing
// hands within a window.
constexpr double accountsPerGroup = 1.25;
// Below this part of its capacity an account gives nothing away; others are asked for so much.
constexpr double reserveFraction = 0.5;
// They are asked when less is left than what comes in this time, or when an operation has found
// nothing. When an account asked all others as soon as half was gone, one that is used at its usual
// rate sent 22 messages a second for 3.3 operations (the count in quota_test).
constexpr Duration lookAhead = std::chrono::milliseconds(200);
// An owner can spare this part of what it may, most of the time; when an operation waits, more are
// asked: with two of seven asked 1.5% of a small organisation's operations were refused.
constexpr int missedGrantDivisor = 4;
// An answer takes a message each way, 1 to 3 ms between zones.
constexpr Duration grantTimeout = std::chrono::milliseconds(20);
// After an answer the next question may follow soon; without one nobody has anything to spare.
constexpr Duration minRequestInterval = std::chrono::milliseconds(40);
constexpr Duration unansweredBackoff = std::chrono::milliseconds(400);
// What was given to an owner that holds no part, and not used, is not kept for longer.
constexpr Duration unusedGrantTimeout = std::chrono::seconds(1);
// A caller is not told to wait for longer than this: what is asked may fall at any time.
constexpr Duration maxRetryDelay = std::chrono::seconds(2);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

// The load it answers: an organisation at 7.5 times its usual rate, beside cuts after which both
// halves have an owner for the same group.
QuotaShare quotaShare(const Quota &quota, const QuotaTolerance &tolerance,
                      const QuotaHolders &holders)
{
    const double nominal = quota.perSecond * seconds(tolerance.window);
    const double headroom =
        (nominal + quota.burst) * (1 + tolerance.overshoot) + tolerance.slack - nominal;
    if (holders.total == 0 || nominal + quota.burst <= 0)
        return {};
    // 1. Rate: an equal part for each holder. Where two owners may act, the later one earns as much
    // as keeps all of these together within the tolerance.
    double overlapping = 1;
    if (holders.overlapping > 0 && nominal > 0)
        overlapping = std::min(
            1.0, overlapFraction * headroom / nominal * holders.total / holders.overlapping);
    const double ownedShares =
        holders.owned - holders.ownedOverlapping + overlapping * holders.ownedOverlapping;
    QuotaShare share;
    share.perSecond = quota.perSecond * ownedShares / holders.total;
    // 2. Capacity: for each group owned here; an owner that holds none keeps one account's gifts.
    // Less than one operation could never be run.
    const double perGroup = capacityFraction * headroom / (accountsPerGroup * holders.total);
    share.capacity = std::max(1.0, perGroup * std::max(1, holders.owned));
    return share;
}

std::vector<GroupName> quotaHolders(const OrganisationName &organisation,
                                    const std::vector<GroupName> &groups)
{
    if (groups.size() <= maxHolders)
        return groups;
    // Rendezvous hashing; by a sum that is the same in every build.
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
    const bool startsRefilling = share_.perSecond <= 0 && share.perSecond > 0;
    if (!isSet_ || startsRefilling)
        available_ = share.capacity;
    else if (share.capacity > share_.capacity)
        available_ += share.capacity - share_.capacity;
    isSet_ = true;
    share_ = share;
    available_ = std::min(available_, share_.capacity);
}

void QuotaAccount::refill(Instant now)
{
    const Duration passed = std::max(Duration(0), now - refilledAt_);
    if (share_.perSecond <= 0 && passed > unusedGrantTimeout)
        available_ = 0;
    if (isSet_)
        available_ = std::min(share_.capacity, available_ + share_.perSecond * seconds(passed));
    refilledAt_ = std::max(refilledAt_, now);
}

bool QuotaAccount::take(Instant now)
{
    refill(now);
    lastTakeFailed_ = available_ < 1;
    if (!lastTakeFailed_)
        available_ -= 1;
    return !lastTakeFailed_;
}

void QuotaAccount::giveBack(Instant now)
{
    receive(now, 1);
}

double QuotaAccount::grant(Instant now, double wanted)
{
    refill(now);
    const double spare = available_ - share_.capacity * reserveFraction;
    const double granted = std::clamp(wanted, 0.0, std::max(0.0, spare));
    available_ -= granted;
    return granted;
}

void QuotaAccount::receive(Instant now, double operations)
{
    refill(now);
    available_ = std::min(share_.capacity, available_ + operations);
    nextRequestAt_ = std::min(nextRequestAt_, requestedAt_ + minRequestInterval);
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
    nextRequestAt_ = now + unansweredBackoff;
    const double wanted = std::max(1.0, share_.capacity * reserveFraction) - available_;
    const double expectedGrant =
        share_.capacity * reserveFraction / (lastTakeFailed_ ? missedGrantDivisor : 2);
    return GrantRequest {wanted, static_cast<std::size_t>(std::ceil(wanted / expectedGrant))};
}

bool QuotaAccount::awaitsGrants(Instant now) const
{
    return now - requestedAt_ < grantTimeout;
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
