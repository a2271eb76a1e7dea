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
class QuotaBook
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

    explicit QuotaBook(const Parts &parts);

    void setCatalogue(const session::Catalogue &catalogue);

    enum class Verdict {
        Taken,
        // Other owners have been asked a moment ago: there may be room when they answer.
        Ask,
        Refused,
    };
    // One operation of the organisation.
    Verdict take(const OrganisationName &organisation);
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
    void onGift(const inner::QuotaGift &gift);

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
    void ask(const OrganisationName &organisation, const Account &account,
             const decision::QuotaAccount::Need &need);

    const Parts parts_;
    ConfigVersion version_ = 0;
    std::vector<GroupName> groups_;
    std::set<OrganisationName> organisations_;
    // Of those that have a quota.
    std::map<OrganisationName, Account> accounts_;
    // Where the next question begins among the owners, so that all are asked in turn.
    std::size_t askNext_ = 0;
    // Organisations that have a counter of their own.
    std::set<OrganisationName> counted_;
};

} // namespace kelptally::group
