#include "group/quotamanager.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <utility>

namespace kelptally::group {

namespace {

// The manager isn't notified when earlier owners end: shares are recomputed at this interval.
constexpr Duration refreshPeriod = std::chrono::milliseconds(200);
// Accounts that are first used later than this start with the tokens earned by then.
constexpr Duration startTime = std::chrono::seconds(1);
// An organisation that is removed and added again doesn't get a full account within this time.
constexpr Duration formerQuotaRetention = std::chrono::minutes(1);
// Links to owners of quotas are dropped when no tokens were needed from them for this long.
constexpr Duration unusedLinkTimeout = std::chrono::seconds(30);
// Interval of the log lines on the use of quotas.
constexpr Duration useReportPeriod = std::chrono::milliseconds(500);
// Organisations in one report: those that took the most tokens.
constexpr std::size_t maxReportedOrganisations = 2;
// Further organisations share one counter, which bounds the size of the metrics page.
constexpr std::size_t maxOrganisationCounters = 100;

// Returns the number of owned groups with earlier owners.
int overlapping(const decision::QuotaHolders &holders)
{
    return static_cast<int>(std::count_if(
        holders.owned.begin(), holders.owned.end(),
        [](const decision::OwnedQuotaGroup &group) { return group.earlierOwners > 0; }));
}

} // namespace

QuotaManager::QuotaManager(const Parts &parts)
    : parts_(parts), startedAt_(parts.timers.now()),
      requestsSent_(parts.metrics.counter("kelptally_quota_requests_total",
                                          "Requests for tokens to other owners",
                                          {{"result", "sent"}})),
      requestsWithoutLink_(parts.metrics.counter("kelptally_quota_requests_total",
                                                 "Requests for tokens to other owners",
                                                 {{"result", "no_link"}})),
      tokensGranted_(parts.metrics.counter("kelptally_quota_tokens_total", "Tokens of quotas",
                                           {{"flow", "granted"}})),
      tokensReceived_(parts.metrics.counter("kelptally_quota_tokens_total", "Tokens of quotas",
                                            {{"flow", "received"}})),
      tokensStarted_(parts.metrics.counter("kelptally_quota_tokens_total", "Tokens of quotas",
                                           {{"flow", "started"}})),
      tokensEarned_(parts.metrics.counter("kelptally_quota_tokens_total", "Tokens of quotas",
                                          {{"flow", "earned"}})),
      tokensTaken_(parts.metrics.counter("kelptally_quota_tokens_total", "Tokens of quotas",
                                         {{"flow", "taken"}})),
      unknownAdmitted_(parts.metrics.counter(
          "kelptally_quota_unknown_total",
          "Operations admitted of organisations that only a newer configuration contains"))
{
    parts_.timers.subscribeEvery(useReportPeriod, [this] { reportUse(); });
    parts_.timers.subscribeEvery(refreshPeriod, [this] { checkOwnerships(); });
    parts_.timers.subscribeEvery(unusedLinkTimeout / 2, [this] { dropUnusedLinks(); });
}

void QuotaManager::setCatalogue(const session::Catalogue &catalogue)
{
    const Instant now = parts_.timers.now();
    const bool isFirst = version_ == 0;
    std::vector<GroupName> groups;
    for (const auto &[name, options] : catalogue.groups)
        groups.push_back(name);
    // Other groups hold the quotas now, and the tokens spent from the former ones are not known.
    const bool holdersChange = !isFirst && groups != groups_;
    groups_ = std::move(groups);
    version_ = catalogue.version;
    std::set<OrganisationName> previousOrganisations;
    previousOrganisations.swap(organisations_);
    std::map<OrganisationName, Account> previous;
    previous.swap(accounts_);
    for (const auto &[organisation, quota] : catalogue.organisations) {
        organisations_.insert(organisation);
        if (!quota)
            continue;
        Account &account = accounts_[organisation];
        const auto known = previous.find(organisation);
        if (known != previous.end()) {
            account = std::move(known->second);
            previous.erase(known);
        } else {
            account.limitedSince =
                limitedSince(organisation, previousOrganisations.count(organisation) != 0);
        }
        if (holdersChange)
            account.limitedSince = now;
        account.quota = *quota;
        account.refreshAt = Instant();
        if (holdersChange && !account.holders.empty())
            account.holders = decision::quotaHolders(organisation, groups_);
    }
    for (auto &[organisation, account] : previous) {
        const auto announced = announced_.find(organisation);
        if (announced != announced_.end() && announced->second > version_)
            accounts_[organisation] = std::move(account);
        else
            formerlyLimited_[organisation] = now;
    }
    for (auto announced = announced_.begin(); announced != announced_.end();)
        announced =
            announced->second <= version_ ? announced_.erase(announced) : std::next(announced);
    for (auto former = formerlyLimited_.begin(); former != formerlyLimited_.end();)
        former = now - former->second > formerQuotaRetention ? formerlyLimited_.erase(former)
                                                             : std::next(former);
}

bool QuotaManager::isKnown(const inner::RunStatement &statement)
{
    const OrganisationName &organisation = statement.organisation;
    if (organisations_.count(organisation) != 0)
        return true;
    if (statement.organisationVersion <= version_)
        return false;
    announced_[organisation] = statement.organisationVersion;
    const bool isLimited = statement.quotaPerSecond != 0 || statement.quotaBurst != 0;
    if (isLimited && accounts_.count(organisation) == 0) {
        Account &account = accounts_[organisation];
        account.quota.perSecond = static_cast<double>(statement.quotaPerSecond) / thousandths;
        account.quota.burst = static_cast<double>(statement.quotaBurst) / thousandths;
        account.limitedSince = limitedSince(organisation, false);
        parts_.log.info("quota_announced")
            .with("organisation", organisation)
            .with("version", version_)
            .with("statement_version", statement.organisationVersion)
            .with("per_second", statement.quotaPerSecond / 1000)
            .with("burst", statement.quotaBurst / 1000);
    }
    if (accounts_.count(organisation) != 0)
        return true;
    unknownAdmitted_.Increment();
    parts_.log.info("quota_unknown")
        .with("organisation", organisation)
        .with("version", version_)
        .with("statement_version", statement.organisationVersion);
    return true;
}

// An organisation that is new, and wasn't without a limit before, has not spent any tokens.
Instant QuotaManager::limitedSince(const OrganisationName &organisation, bool wasUnlimited) const
{
    const Instant now = parts_.timers.now();
    return wasUnlimited || formerlyLimited_.count(organisation) != 0 ? now : now - unlimitedTime;
}

// Shares

decision::QuotaHolders QuotaManager::holdersOf(const Account &account) const
{
    decision::QuotaHolders holders;
    holders.total = static_cast<int>(account.holders.size());
    for (const GroupName &group : account.holders) {
        const auto owned = owned_.find(group);
        if (owned != owned_.end())
            holders.owned.push_back(owned->second.share);
    }
    return holders;
}

void QuotaManager::refreshShare(Account &account)
{
    const Instant now = parts_.timers.now();
    account.refreshAt = now + refreshPeriod;
    account.shares = holdersOf(account);
    account.account.set(now, decision::quotaShare(account.quota, parts_.tolerance, account.shares));
}

decision::QuotaShare QuotaManager::groupShare(const Account &account, const OwnedGroup &group) const
{
    return decision::quotaShare(account.quota, parts_.tolerance,
                                {static_cast<int>(account.holders.size()), {group.share}});
}

double QuotaManager::unspentTokens(const Account &account, const OwnedGroup &group) const
{
    if (group.share.earlierOwners > 0)
        return 0;
    const decision::QuotaShare share = groupShare(account, group);
    const Duration unspent =
        parts_.timers.now() - std::max(group.unspentSince, account.limitedSince);
    return std::min(share.capacity,
                    share.perSecond * std::chrono::duration<double>(unspent).count());
}

double QuotaManager::startTokens(const Account &account, const OwnedGroup &group) const
{
    const double unspent = unspentTokens(account, group);
    const bool isStart = group.mayStart && account.limitedSince <= group.acquiredAt
        && parts_.timers.now() - group.acquiredAt < startTime;
    if (!isStart)
        return unspent;
    const double start = decision::quotaStart(account.quota, parts_.tolerance,
                                              static_cast<int>(account.holders.size()));
    return std::max(unspent, start);
}

// The holders are computed on first use, as it takes a hash for each group.
void QuotaManager::open(const OrganisationName &organisation, Account &account)
{
    account.holders = decision::quotaHolders(organisation, groups_);
    refreshShare(account);
    double tokens = 0;
    for (const GroupName &group : account.holders) {
        const auto owned = owned_.find(group);
        if (owned != owned_.end())
            tokens += startTokens(account, owned->second);
    }
    account.account.deposit(parts_.timers.now(), tokens);
}

QuotaManager::Account *QuotaManager::find(const OrganisationName &organisation)
{
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end())
        return nullptr;
    Account &account = found->second;
    if (account.holders.empty())
        open(organisation, account);
    else if (parts_.timers.now() >= account.refreshAt)
        refreshShare(account);
    return &account;
}

void QuotaManager::forEachAccount(
    const GroupName &group,
    const std::function<void(const OrganisationName &, Account &)> &function)
{
    for (auto &[organisation, account] : accounts_) {
        const std::vector<GroupName> &holders = account.holders;
        if (std::find(holders.begin(), holders.end(), group) != holders.end())
            function(organisation, account);
    }
}

// Operations

QuotaManager::TakeResult QuotaManager::take(const OrganisationName &organisation)
{
    Account *account = find(organisation);
    if (account == nullptr)
        return TakeResult::Taken;
    const Instant now = parts_.timers.now();
    const bool taken = account->account.take(now);
    if (const auto grantRequest = account->account.nextGrantRequest(now))
        requestGrants(organisation, *account, *grantRequest);
    if (taken) {
        account->account.onQueued(now);
        return TakeResult::Taken;
    }
    const bool mayGetTokens = account->account.awaitsGrants(now) || isTransferAwaited(*account);
    return mayGetTokens ? TakeResult::Pending : TakeResult::Refused;
}

void QuotaManager::onDequeued(const OrganisationName &organisation)
{
    if (Account *account = find(organisation))
        account->account.onDequeued(parts_.timers.now());
}

void QuotaManager::onQueued(const OrganisationName &organisation)
{
    if (Account *account = find(organisation))
        account->account.onQueued(parts_.timers.now());
}

void QuotaManager::giveBack(const OrganisationName &organisation)
{
    Account *account = find(organisation);
    if (account == nullptr)
        return;
    account->account.onDequeued(parts_.timers.now());
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
        .with("owned", std::uint64_t(account->shares.owned.size()))
        .with("overlapping", overlapping(account->shares))
        .with("requested", std::uint64_t(account->lastRequested))
        .with("unreachable", std::uint64_t(account->lastUnreachable))
        .with("retry_after_ms", wait);
    return wait;
}

// Sums of these lines over all hosts tell where the tokens of an organisation near its limit came
// from.
void QuotaManager::reportUse()
{
    std::multimap<double, const std::pair<const OrganisationName, Account> *> byUse;
    std::map<OrganisationName, decision::QuotaFlows> since;
    for (auto &item : accounts_) {
        Account &account = item.second;
        const decision::QuotaFlows flows = account.account.flows();
        const decision::QuotaFlows change = flows - std::exchange(account.reported, flows);
        tokensTaken_.Increment(std::max(0.0, change.taken));
        tokensStarted_.Increment(std::max(0.0, change.started));
        tokensEarned_.Increment(std::max(0.0, change.earned));
        if (change.taken <= 0)
            continue;
        byUse.emplace(change.taken, &item);
        since[item.first] = change;
    }
    std::size_t reported = 0;
    for (auto use = byUse.rbegin(); use != byUse.rend(); ++use) {
        if (reported++ == maxReportedOrganisations)
            return;
        const auto &[organisation, account] = *use->second;
        logUse(organisation, account, since[organisation]);
    }
}

void QuotaManager::logUse(const OrganisationName &organisation, const Account &account,
                          const decision::QuotaFlows &change)
{
    const auto amount = [](double tokens) {
        return static_cast<std::uint64_t>(std::max(0.0, tokens) * thousandths);
    };
    parts_.log.info("quota_use")
        .with("organisation", organisation)
        .with("per_second", static_cast<std::uint64_t>(account.quota.perSecond))
        .with("burst", static_cast<std::uint64_t>(account.quota.burst))
        .with("owned", std::uint64_t(account.shares.owned.size()))
        .with("taken_thousandths", amount(change.taken))
        .with("started_thousandths", amount(change.started))
        .with("earned_thousandths", amount(change.earned))
        .with("received_thousandths", amount(change.received))
        .with("granted_thousandths", amount(change.granted));
}

std::vector<std::string> QuotaManager::otherOwners(const Account &account) const
{
    std::set<std::string> others;
    for (const GroupName &group : account.holders)
        if (const OwnershipRecord *record = parts_.ownership.record(group))
            if (record->owner.address != parts_.self.address && !record->owner.address.empty())
                others.insert(record->owner.address);
    return {others.begin(), others.end()};
}

// Sends the request to some of the other owners that hold the quota, in round-robin order. Owners
// with a link are preferred, which bounds the number of links.
void QuotaManager::requestGrants(const OrganisationName &organisation, Account &account,
                                 const decision::QuotaAccount::GrantRequest &grantRequest)
{
    const Instant now = parts_.timers.now();
    std::vector<inner::LinkId> links;
    std::vector<std::string> unlinked;
    for (const std::string &address : otherOwners(account)) {
        const inner::LinkId link = parts_.linkTo(address);
        if (link == 0)
            unlinked.push_back(address);
        else
            links.push_back(link);
        const auto dialled = dialledOwners_.find(address);
        if (dialled != dialledOwners_.end())
            dialled->second = now;
    }
    // 1. Ask the owners with a link.
    inner::QuotaRequest request;
    request.organisation = organisation;
    request.thousandths = static_cast<std::uint64_t>(grantRequest.wantedOfEach * thousandths);
    request.operationWaits = grantRequest.operationWaits;
    request.expires = !grantRequest.hasShare;
    const std::size_t sent = std::min(grantRequest.owners, links.size());
    for (std::size_t i = 0; i < sent; ++i)
        static_cast<void>(parts_.links.sendOn(links[nextOwner_++ % links.size()], request));
    requestsSent_.Increment(static_cast<double>(sent));
    // 2. Dial others if these are too few.
    const std::size_t missing = std::min(grantRequest.owners - sent, unlinked.size());
    requestsWithoutLink_.Increment(static_cast<double>(missing));
    bool opensLinks = false;
    for (std::size_t i = 0; i < missing; ++i)
        opensLinks = dial(unlinked[nextOwner_++ % unlinked.size()]) || opensLinks;
    account.lastRequested = sent + missing;
    account.lastUnreachable = missing;
    if (sent == 0 && opensLinks)
        account.account.onLinksOpening(now);
}

bool QuotaManager::dial(const std::string &address)
{
    const bool isNew = dialledOwners_.insert_or_assign(address, parts_.timers.now()).second;
    if (isNew)
        parts_.links.connect(address);
    return isNew;
}

void QuotaManager::dropUnusedLinks()
{
    const Instant now = parts_.timers.now();
    for (auto owner = dialledOwners_.begin(); owner != dialledOwners_.end();) {
        if (now - owner->second < unusedLinkTimeout) {
            ++owner;
            continue;
        }
        parts_.links.drop(owner->first);
        owner = dialledOwners_.erase(owner);
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
    message.thousandths =
        static_cast<std::uint64_t>(account->account.grant(parts_.timers.now(), wanted,
                                                          request.operationWaits, !request.expires)
                                   * thousandths);
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
