#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/quota.h"
#include "group/ownership.h"
#include "inner/peerlink.h"
#include "session/catalogue.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kelptally::group {

// Enforces the quotas of organisations for the operations of the groups that this host owns.
// Exchanges tokens with other owners, and passes those of a lost group on to its next owner; see
// decision/quota.h.
class QuotaManager
{
public:
    struct Parts
    {
        TimerService &timers;
        inner::PeerLinks &links;
        const OwnershipTable &ownership;
        EventLog &log;
        Metrics &metrics;
        ProcessId self;
        decision::QuotaTolerance tolerance;
        // Returns a link to the process, in either direction; 0 if there is none.
        std::function<inner::LinkId(const std::string &address)> linkTo;
    };

    explicit QuotaManager(const Parts &parts);

    void setCatalogue(const session::Catalogue &catalogue);

    // This process has become the owner of the group, or has lost it. The ownership table already
    // tells so.
    void onAcquired(const GroupName &group);
    void onLost(const GroupName &group);
    // Sends the tokens of a lost group on the link to its next owner, unless they have been sent.
    void sendTransfer(inner::LinkId link, const GroupName &group);
    void onTransfer(const inner::QuotaTransfer &message);

    enum class TakeResult {
        Taken,
        // Other owners may still send tokens: try again when they answer.
        Pending,
        Refused,
    };
    // Takes a token for one operation. Organisations without a quota are always admitted.
    TakeResult take(const OrganisationName &organisation);
    // Returns the token of a queued operation that was not run.
    void giveBack(const OrganisationName &organisation);
    // An operation that took a token is queued, or leaves the queue. take() queues it.
    void onQueued(const OrganisationName &organisation);
    void onDequeued(const OrganisationName &organisation);
    // Counts a refusal; returns the delay after which the caller should retry.
    Duration refuse(const OrganisationName &organisation);

    // Whether the organisation of the statement is configured, or may be: the statement's entry has
    // a newer configuration than this host. In that case its quota is the one that the entry tells.
    bool isKnown(const inner::RunStatement &statement);
    bool hasQuota(const OrganisationName &organisation) const
    {
        return accounts_.count(organisation) != 0;
    }

    void onRequest(inner::LinkId link, const inner::QuotaRequest &request);
    void onGrant(const inner::QuotaGrant &message);

private:
    // Stands for a time at which no token had been spent yet. Any account is full after this time.
    static constexpr Duration unlimitedTime = std::chrono::hours(1);
    // Messages tell tokens in thousandths. Bounds the amounts, which are converted to double.
    static constexpr double thousandths = 1000;
    static constexpr std::uint64_t maxThousandths = std::uint64_t(1) << 50;

    struct Account
    {
        decision::Quota quota;
        // The organisation has had a quota here since then.
        Instant limitedSince {};
        // Empty until the account is first used.
        std::vector<GroupName> holders;
        decision::QuotaAccount account;
        Instant refreshAt {};
        decision::QuotaHolders shares;
        // Flows at the last check of the use.
        decision::QuotaFlows reported;
        // Owners that the last request for tokens was sent to, and those without a link to them.
        std::size_t lastRequested = 0;
        std::size_t lastUnreachable = 0;
    };
    // A group that this process owns.
    struct OwnedGroup
    {
        OwnerEpoch epoch = 0;
        Instant acquiredAt {};
        // No tokens of the group have been spent since then, except those of accounts in use here.
        Instant unspentSince {};
        // Earlier owners that may still spend tokens of the group, and those that have passed their
        // tokens on.
        decision::OwnedQuotaGroup share;
        // Whether accounts start with tokens though the earlier owners' use is not known.
        bool mayStart = false;
        std::set<std::pair<std::string, OwnerEpoch>> transferred;
        // Until when an earlier owner may pass its tokens on.
        Instant transferAwaitedUntil {};
    };
    struct Transfer
    {
        Instant at {};
        inner::QuotaTransfer message;
    };

    // Returns the refreshed account, or null for an organisation without a quota.
    Account *find(const OrganisationName &organisation);
    Instant limitedSince(const OrganisationName &organisation, bool wasUnlimited) const;
    // Sets the account up on its first use.
    void open(const OrganisationName &organisation, Account &account);
    decision::QuotaHolders holdersOf(const Account &account) const;
    void refreshShare(Account &account);
    // Returns the part of one owned group in the account's share.
    decision::QuotaShare groupShare(const Account &account, const OwnedGroup &group) const;
    // Returns the tokens that the group has earned for the account since they were last spent.
    double unspentTokens(const Account &account, const OwnedGroup &group) const;
    // Returns the tokens with which the account starts for the group.
    double startTokens(const Account &account, const OwnedGroup &group) const;
    // Calls the function for each account in use whose quota the group holds.
    void forEachAccount(const GroupName &group,
                        const std::function<void(const OrganisationName &, Account &)> &function);
    decision::OwnedQuotaGroup ownedShare(const GroupName &group, const OwnedGroup &owned) const;
    bool isTransferAwaited(const Account &account) const;
    // Notes which earlier owners have ended, and whether ownerships are confirmed.
    void checkOwnerships();
    void dropOldTransfers();
    void applyTransfer(OwnedGroup &owned, const inner::QuotaTransfer &message);
    void requestGrants(const OrganisationName &organisation, Account &account,
                       const decision::QuotaAccount::GrantRequest &grantRequest);
    // Returns the addresses of the other owners that hold the quota.
    std::vector<std::string> otherOwners(const Account &account) const;
    // Logs the tokens of the organisations with the most operations here.
    void reportUse();
    void logUse(const OrganisationName &organisation, const Account &account,
                const decision::QuotaFlows &change);
    // Keeps a link to the owner open while its tokens are needed. Returns whether it is new.
    bool dial(const std::string &address);
    void dropUnusedLinks();

    const Parts parts_;
    const Instant startedAt_;
    prometheus::Counter &requestsSent_;
    prometheus::Counter &requestsWithoutLink_;
    prometheus::Counter &tokensGranted_;
    prometheus::Counter &tokensReceived_;
    prometheus::Counter &tokensStarted_;
    prometheus::Counter &tokensEarned_;
    prometheus::Counter &tokensTaken_;
    prometheus::Counter &unknownAdmitted_;
    ConfigVersion version_ = 0;
    std::vector<GroupName> groups_;
    std::set<OrganisationName> organisations_;
    // Organisations that have a quota.
    std::map<OrganisationName, Account> accounts_;
    // Organisations that only a newer configuration contains, and its version.
    std::map<OrganisationName, ConfigVersion> announced_;
    // Organisations that have lost their quota or were removed, and when.
    std::map<OrganisationName, Instant> formerlyLimited_;
    std::map<GroupName, OwnedGroup> owned_;
    // Groups that this process owned at any time.
    std::set<GroupName> everOwned_;
    // Tokens of lost groups that have not been sent, and tokens received ahead of the ownership.
    std::map<GroupName, Transfer> unsentTransfers_;
    std::map<GroupName, Transfer> earlyTransfers_;
    // Round-robin position of the next owner to send a request to.
    std::size_t nextOwner_ = 0;
    std::set<OrganisationName> organisationsWithCounter_;
    // Owners that this manager has dialled, and when their tokens were last needed.
    std::map<std::string, Instant> dialledOwners_;
};

} // namespace kelptally::group
