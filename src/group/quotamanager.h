#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/quota.h"
#include "group/ownership.h"
#include "inner/peerlink.h"
#include "session/catalogue.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kelptally::group {

// What this host has of the quotas of organisations, whose operations the groups that it owns run.
// Asks other owners for more, and gives them what is to spare; see decision/quota.
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
    };

    explicit QuotaManager(const Parts &parts);

    void setCatalogue(const session::Catalogue &catalogue);

    enum class TakeResult {
        Taken,
        // Other owners have been asked a moment ago: there may be room when they answer.
        Pending,
        Refused,
    };
    // One operation of the organisation.
    TakeResult take(const OrganisationName &organisation);
    // One that was taken has not run.
    void giveBack(const OrganisationName &organisation);
    // When there is room for one that is refused now; counts the refusal.
    Duration refuse(const OrganisationName &organisation);

    // Whether the organisation is there, or may be: the statement's entry knows a newer
    // configuration than this host.
    bool isKnown(const OrganisationName &organisation, ConfigVersion version) const;
    bool hasQuota(const OrganisationName &organisation) const
    {
        return accounts_.count(organisation) != 0;
    }

    void onRequest(inner::LinkId link, const inner::QuotaRequest &request);
    void onGrant(const inner::QuotaGift &message);

private:
    struct Account
    {
        decision::Quota quota;
        std::vector<GroupName> holders;
        decision::QuotaAccount account;
        Instant refreshAt {};
    };

    // Null for an organisation without a quota.
    Account *find(const OrganisationName &organisation);
    decision::QuotaHolders holdersOf(const Account &account) const;
    void requestGrants(const OrganisationName &organisation, const Account &account,
                       const decision::QuotaAccount::GrantRequest &grantRequest);

    const Parts parts_;
    ConfigVersion version_ = 0;
    std::vector<GroupName> groups_;
    std::set<OrganisationName> organisations_;
    // Of those that have a quota.
    std::map<OrganisationName, Account> accounts_;
    // Where the next question begins among the owners, so that all are asked in turn.
    std::size_t nextOwner_ = 0;
    // Organisations that have a counter of their own.
    std::set<OrganisationName> organisationsWithCounter_;
};

} // namespace kelptally::group
