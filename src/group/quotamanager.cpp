#include "group/quotamanager.h"

#include <prometheus/counter.h>

#include <algorithm>

namespace kelptally::group {

namespace {

// The manager isn't notified when owners change: shares are recomputed at this interval.
constexpr Duration refreshPeriod = std::chrono::milliseconds(200);
constexpr double thousandths = 1000;
// Bounds the amounts in messages, which are converted to double.
constexpr std::uint64_t maxThousandths = std::uint64_t(1) << 50;
// Further organisations share one counter, which bounds the size of the metrics page.
constexpr std::size_t maxOrganisationCounters = 100;

} // namespace

QuotaManager::QuotaManager(const Parts &parts)
    : parts_(parts), requestsSent_(parts.metrics.counter("kelptally_quota_requests_total",
                                                         "Requests for tokens to other owners",
                                                         {{"result", "sent"}})),
      requestsWithoutLink_(parts.metrics.counter("kelptally_quota_requests_total",
                                                 "Requests for tokens to other owners",
                                                 {{"result", "no_link"}})),
      tokensGranted_(parts.metrics.counter("kelptally_quota_tokens_total",
                                           "Tokens exchanged with other owners",
                                           {{"flow", "granted"}})),
      tokensReceived_(parts.metrics.counter("kelptally_quota_tokens_total",
                                            "Tokens exchanged with other owners",
                                            {{"flow", "received"}}))
{ }

void QuotaManager::setCatalogue(const session::Catalogue &catalogue)
{
    groups_.clear();
    for (const auto &[name, options] : catalogue.groups)
        groups_.push_back(name);
    version_ = catalogue.version;
    organisations_.clear();
    std::map<OrganisationName, Account> previous;
    previous.swap(accounts_);
    for (const auto &[organisation, quota] : catalogue.organisations) {
        organisations_.insert(organisation);
        if (!quota)
            continue;
        Account &account = accounts_[organisation];
        const auto known = previous.find(organisation);
        if (known != previous.end())
            account = std::move(known->second);
        account.quota = *quota;
        account.holders.clear();
        account.refreshAt = Instant();
    }
}

bool QuotaManager::isKnown(const OrganisationName &organisation, ConfigVersion version) const
{
    return version > version_ || organisations_.count(organisation) != 0;
}

decision::QuotaHolders QuotaManager::holdersOf(const Account &account) const
{
    decision::QuotaHolders holders;
    for (const GroupName &group : account.holders) {
        const bool owned = parts_.ownership.owns(group);
        const OwnershipRecord *record = parts_.ownership.record(group);
        const bool overlapping = owned ? !parts_.ownership.isSoleOwner(group)
                                       : record != nullptr && record->guardedUntil != Duration(0);
        ++holders.total;
        holders.overlapping += overlapping;
        holders.owned += owned;
        holders.ownedOverlapping += owned && overlapping;
    }
    return holders;
}

QuotaManager::Account *QuotaManager::find(const OrganisationName &organisation)
{
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end())
        return nullptr;
    Account &account = found->second;
    const Instant now = parts_.timers.now();
    // Computed on first use, as it takes a hash for each group.
    if (account.holders.empty())
        account.holders = decision::quotaHolders(organisation, groups_);
    if (now >= account.refreshAt) {
        account.refreshAt = now + refreshPeriod;
        account.shares = holdersOf(account);
        account.account.set(now,
                            decision::quotaShare(account.quota, parts_.tolerance, account.shares));
    }
    return &account;
}

QuotaManager::TakeResult QuotaManager::take(const OrganisationName &organisation)
{
    Account *account = find(organisation);
    if (account == nullptr)
        return TakeResult::Taken;
    const Instant now = parts_.timers.now();
    const bool taken = account->account.take(now);
    if (const auto grantRequest = account->account.nextGrantRequest(now))
        requestGrants(organisation, *account, *grantRequest);
    if (taken)
        return TakeResult::Taken;
    return account->account.awaitsGrants(now) ? TakeResult::Pending : TakeResult::Refused;
}

void QuotaManager::giveBack(const OrganisationName &organisation)
{
    if (Account *account = find(organisation))
        account->account.giveBack(parts_.timers.now());
}

Duration QuotaManager::refuse(const OrganisationName &organisation)
{
    const bool hasOwnCounter = organisationsWithCounter_.count(organisation) != 0
        || organisationsWithCounter_.size() < maxOrganisationCounters;
    if (hasOwnCounter)
        organisationsWithCounter_.insert(organisation);
    parts_.metrics
        .counter("kelptally_quota_refusals_total",
                 "Operations refused because their organisation's quota was used up",
                 {{"organisation", hasOwnCounter ? organisation : "other"}})
        .Increment();
    Account *account = find(organisation);
    if (account == nullptr)
        return Duration(0);
    const Instant now = parts_.timers.now();
    const Duration wait = account->account.retryDelay(now);
    parts_.log.info("quota_used_up")
        .with("organisation", organisation)
        .with("per_second", static_cast<std::uint64_t>(account->quota.perSecond))
        .with("burst", static_cast<std::uint64_t>(account->quota.burst))
        .with("left_thousandths",
              static_cast<std::uint64_t>(account->account.available(now) * thousandths))
        .with("holders", account->shares.total)
        .with("owned", account->shares.owned)
        .with("overlapping", account->shares.overlapping)
        .with("requested", std::uint64_t(account->lastRequested))
        .with("unreachable", std::uint64_t(account->lastUnreachable))
        .with("retry_after_ms", wait);
    return wait;
}

// Sends the request to some of the other owners that hold the quota, in round-robin order.
void QuotaManager::requestGrants(const OrganisationName &organisation, Account &account,
                                 const decision::QuotaAccount::GrantRequest &grantRequest)
{
    std::set<std::string> others;
    for (const GroupName &group : account.holders)
        if (const OwnershipRecord *record = parts_.ownership.record(group))
            if (record->owner.address != parts_.self.address && !record->owner.address.empty())
                others.insert(record->owner.address);
    const std::vector<std::string> owners(others.begin(), others.end());
    inner::QuotaRequest request;
    request.organisation = organisation;
    request.thousandths = static_cast<std::uint64_t>(grantRequest.wanted * thousandths);
    account.lastRequested = std::min(grantRequest.owners, owners.size());
    account.lastUnreachable = 0;
    for (std::size_t i = 0; i < account.lastRequested; ++i) {
        const bool sent = parts_.links.sendTo(owners[nextOwner_++ % owners.size()], request).ok();
        (sent ? requestsSent_ : requestsWithoutLink_).Increment();
        account.lastUnreachable += sent ? 0 : 1;
    }
}

void QuotaManager::onRequest(inner::LinkId link, const inner::QuotaRequest &request)
{
    Account *account = find(request.organisation);
    if (account == nullptr)
        return;
    const double wanted =
        static_cast<double>(std::min(request.thousandths, maxThousandths)) / thousandths;
    inner::QuotaGrant message;
    message.organisation = request.organisation;
    message.thousandths = static_cast<std::uint64_t>(
        account->account.grant(parts_.timers.now(), wanted) * thousandths);
    tokensGranted_.Increment(static_cast<double>(message.thousandths) / thousandths);
    if (message.thousandths > 0)
        static_cast<void>(parts_.links.sendOn(link, message));
}

void QuotaManager::onGrant(const inner::QuotaGrant &message)
{
    tokensReceived_.Increment(static_cast<double>(std::min(message.thousandths, maxThousandths))
                              / thousandths);
    if (Account *account = find(message.organisation))
        account->account.receive(parts_.timers.now(),
                                 static_cast<double>(std::min(message.thousandths, maxThousandths))
                                     / thousandths);
}

} // namespace kelptally::group
