#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/claimorder.h"
#include "decision/tellers.h"
#include "group/ownershiprecord.h"
#include "inner/peerlink.h"
#include "services/tablefollower.h"
#include "session/router.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kelptally::group {

// What the table tells of groups.
class OwnershipEvents
{
public:
    virtual ~OwnershipEvents() = default;

    // Another owner, or none, is known now.
    virtual void onOwnerChanged(const GroupName &group) = 0;
    // This process owns the group from now on, or not any more.
    virtual void onAcquired(const GroupName &group) = 0;
    virtual void onLost(const GroupName &group) = 0;
};

// The owners of all groups, by rows in the table service that change under conditions only.
//
// A claim takes the row at any time: two owners that send statements to the same primary break no
// promise. An owner acts only while it has seen its row unchanged within the lease, counted from
// the sending of the question. A new owner changes the primary only when owners before it have
// ended: their leases have run out since its claim, or they run anew, or they say so.
class OwnershipTable : public session::OwnerSource
{
public:
    struct Parts
    {
        TimerService &timers;
        services::TableService &table;
        services::TableFeed &feed;
        // The service itself, without what other hosts tell.
        services::TableFeed &directFeed;
        inner::PeerLinks &links;
        EventLog &log;
        Metrics &metrics;
        ProcessId self;
        ZoneName zone;
        // Processor cores that this host may use.
        double processors;
        // Whether nothing listens at a process's address.
        std::function<void(const std::string &address, std::function<void(bool refused)>)> probe;
        // Asks other processes who owns the group; what they know comes to learnOwner().
        std::function<void(const GroupName &)> queryPeers;
        // Sends it to all processes that there is a link with.
        std::function<void(const inner::TakeOver &)> broadcastTakeOver;
        // Zone of the group's primary, as far as known.
        std::function<ZoneName(const GroupName &)> primaryZone;
        // Whether the table service answers nothing, as far as is known.
        std::function<bool()> isStoreUnavailable;
    };

    static constexpr const char *table = "kelptally_owners";

    OwnershipTable(const Parts &parts, OwnershipEvents &events);

    void start();
    // The rows have been read once.
    bool isReady() const { return follower_.isRead(); }
    // This process claims nothing from now on.
    void stopClaiming() { claiming_ = false; }

    std::optional<session::OwnerRef> owner(const GroupName &group) const override;
    void wantOwner(const GroupName &group) override;
    // The same before anybody has asked for it, one of so many groups.
    void claimProactively(const GroupName &group, std::size_t groups);
    void suspectOwner(const GroupName &group, const session::OwnerRef &owner,
                      const std::string &reason) override;
    void refreshOwner(const GroupName &group) override;
    // What another process knows, for when the store turns this one away.
    void learnOwner(const GroupName &group, const session::OwnerRef &owner) override;

    // The processes that own groups, each once, with their zones.
    const decision::TellerOrder &owners() const { return owners_; }
    bool owns(const GroupName &group) const;
    const std::set<GroupName> &owned() const { return owned_; }
    const OwnershipRecord *record(const GroupName &group) const;
    // Statements may be sent, and their answers believed.
    bool hasLease(const GroupName &group) const;
    Duration leaseLeft(const GroupName &group) const;
    // No owner before this one can act any more, so that the primary may be changed.
    bool isSoleOwner(const GroupName &group) const;

    using Edit = std::function<void(OwnershipRecord &)>;
    // Changes the own row; Ok once the change is in it, and nothing else may be assumed before.
    void change(const GroupName &group, const Edit &edit,
                std::function<void(absl::Status)> callback);
    // Names another process the owner. Ok once it is.
    void handOver(const GroupName &group, const ProcessId &to, const ZoneName &zone,
                  std::function<void(absl::Status)> callback);

    // This process owns the group and can't do what it needs: another one that reaches the
    // endpoint, or any if that is empty, should claim it. Said at most twice a second.
    void requestTakeOver(const GroupName &group, const std::string &requiredEndpoint,
                         const std::string &reason, bool needsRoom = false);
    // This host has processor time for one group more.
    bool hasRoom() const;
    // An owner has asked for it.
    void onTakeOverRequested(const GroupName &group, OwnerEpoch epoch);

    // The table service answers again, after so long.
    void onStoreRecovered(Duration outage);

    // Another run of the process at the address, or the same, was heard.
    void onPeerUp(const ProcessId &process);
    void onOwnershipEnded(const std::string &address, const inner::OwnershipEnded &ended);

private:
    // Why a group is claimed: its owner has asked for it.
    static constexpr const char *reasonRequested = "asked";
    // Or nobody owns it, ahead of the first statement or after one; or an earlier run of this
    // process did, or nothing listens at the owner's address: enough to claim, no proof that the
    // owner has ended. Anything else is a suspicion.
    static constexpr const char *reasonUnowned = "unowned";
    static constexpr const char *reasonProactive = "ahead";
    static constexpr const char *reasonRestarted = "restarted";
    static constexpr const char *reasonNothingListens = "nothing_listens";
    static constexpr const char *reasonLinkDown = "link_down";
    // An owner acts this long after it asked for its row and found it unchanged. Longer than the
    // outages of the store that are usual, so that service goes on through them; it delays a change
    // of primary only when owner and primary are lost together and the owner neither says that it
    // has ended nor starts again.
    static constexpr Duration leaseDuration = std::chrono::seconds(12);
    // Rows in one write; the platform takes no more.
    static constexpr std::size_t maxRowsPerWrite = 100;
    // Clocks of two hosts may run apart by this over one lease: 1%, far above any real drift.
    static constexpr Duration clockMargin = std::chrono::milliseconds(120);

    struct Entry
    {
        OwnershipRecord record;
        std::string etag;
        bool known = false;
        // A claim or a change of the own row is under way.
        bool writing = false;
        // The row that is being written names another owner: this one's lease grows no more.
        bool handingOver = false;
        bool claimPlanned = false;
        Instant claimAfter {};
        // The row and the peers are not asked again before then.
        Instant queryAfter {};
        Instant requestTakeOverAfter {};
        // When it was offered to hosts with room.
        Instant offeredAt {};
        Instant leaseUntil {};
        decision::EarlierOwners earlier;
        // The last of them, and the guard of those before it as its row had it.
        decision::EarlierOwner previous;
        Duration inheritedGuard {0};
        // No owner before this one can act longer, by the service's clock: the claim had taken
        // effect when that was told. 0 when it is not known.
        Duration guardLimit {0};
        // The group was claimed because its owner asked for it.
        bool claimedOnRequest = false;
    };

    void onTableRead();
    void setRecord(const GroupName &group, Entry &entry, const OwnershipRecord &record);
    void updateOwnerCount(const OwnershipRecord &record, int change);
    bool applyRow(const services::TableRow &row);
    void applyRecord(const GroupName &group, const OwnershipRecord &record,
                     const std::string &etag);
    void scheduleClaim(const GroupName &group, const std::string &reason, Duration delay);
    decision::Claimant claimant(const GroupName &group) const;
    Duration claimDelay(const GroupName &group) const;
    void claim(const GroupName &group, OwnerEpoch seen, const std::string &reason);
    // What one question to the service for all rows has told.
    struct ChangeQueryResult
    {
        absl::Status status;
        Instant sent {};
        Duration serviceTime {0};
        // Tags of the rows that have changed since the question before.
        std::map<GroupName, std::string> changed;
        // Rows that can't be read, whenever they changed: they prove nothing.
        std::set<GroupName> unreadable;
    };
    struct Claim
    {
        GroupName group;
        OwnerEpoch seen = 0;
        std::string reason;
        // Before it is made alone.
        int triesLeft = 3;
    };
    // One change of a row until its outcome is known.
    struct RowChange
    {
        GroupName group;
        OwnershipRecord record;
        // The row under which it is made; nothing when there must be none.
        std::optional<std::string> expected;
        std::function<void(absl::Status)> callback;
        Instant sentAt {};
        int triesLeft = 0;
        // It was sent before, without an answer, and may have taken effect or may still do so.
        bool mayHaveTakenEffect = false;
        // Of a claim that is made with others.
        Claim batchedClaim;
    };
    using RowChangePtr = std::shared_ptr<RowChange>;

    void queryChanges(std::function<void(const ChangeQueryResult &)> callback);
    void claimSingle(const GroupName &group, OwnerEpoch seen, const std::string &reason);
    void addToClaimBatch(const Claim &claim);
    void claimBatch(const std::vector<Claim> &claims, const ChangeQueryResult &seen);
    void onBatchConflict(const std::vector<RowChangePtr> &changes);
    void onClaimReadFailed(const GroupName &group, const std::string &reason,
                           const absl::Status &status);
    void retryClaim(const GroupName &group, const std::string &reason);
    RowChangePtr prepareClaim(const GroupName &group, Duration serviceTime,
                              const std::string &reason);

    RowChangePtr prepareChange(const GroupName &group, const Edit &edit,
                               std::function<void(absl::Status)> callback);
    RowChangePtr prepareWrite(const GroupName &group, const OwnershipRecord &record,
                              const std::string &etag, bool exists,
                              std::function<void(absl::Status)> callback);
    static services::ConditionalWrite conditionalWrite(const RowChange &change);
    void sendBatch(std::vector<RowChangePtr> changes);
    void onWritten(const RowChangePtr &change, const std::string &tag);
    void write(const GroupName &group, const OwnershipRecord &record, const std::string &etag,
               bool exists, std::function<void(absl::Status)> callback);
    void send(const RowChangePtr &change);
    void resolveOutcome(const RowChangePtr &change);
    void onReadBack(const RowChangePtr &change,
                    const absl::StatusOr<std::optional<services::TableRow>> &row);
    void finish(const RowChangePtr &change, const absl::Status &status);
    void acquire(const GroupName &group, const OwnershipRecord &record, const std::string &etag,
                 const OwnershipRecord &previous, Duration serviceTime);
    // Reads the rows of all groups owned here, which makes their leases last longer.
    void renewLeases();
    void renewAllLeases();
    void renewLease(const GroupName &group);
    void extendLease(const GroupName &group, Instant sent, const std::string &tag);
    void offerGroupIfNoRoom();
    void queryPredecessors();
    void queryOwnershipEnd(const decision::EarlierOwner &owner, const GroupName &group);
    // Links of this table's own, to these processes and no others.
    void updateDialledPeers(const std::set<std::string> &addresses);
    bool admitQuery(const GroupName &group);
    bool canClearGuard(const GroupName &group) const;
    void scheduleGuardClear(const GroupName &group);
    void clearGuards();
    void noteServiceTime(const services::TableRow &row, Instant queriedAt);
    // At the latest; nothing when it was never told.
    std::optional<Duration> serviceTime() const;
    static void setEarlierOwners(OwnershipRecord &record,
                                 const std::vector<decision::EarlierOwner> &open,
                                 const decision::EarlierOwner &previous, Duration lastRenewal);
    void onPredecessorEnded(const GroupName &group, const std::string &address,
                            const std::string &proof);

    const Parts parts_;
    prometheus::Counter &visits_;
    OwnershipEvents &events_;
    std::map<GroupName, Entry> entries_;
    // Groups whose rows name this process.
    std::set<GroupName> owned_;
    decision::TellerOrder owners_;
    // How many groups each owns, by address.
    std::map<std::string, int> ownedBy_;
    std::set<GroupName> wantedGroups_;
    // The same for claimProactively(), with the number of groups.
    std::map<GroupName, std::size_t> pendingProactiveClaims_;
    std::set<GroupName> guardsToClear_;
    // Claims that are about to be made together.
    std::vector<Claim> claimBatch_;
    std::vector<Claim> proactiveClaimBatch_;
    // Rows that are gone or can't be read as they are now.
    std::set<GroupName> unreadableRows_;
    // The service itself has told all changes up to this version. Nothing while it is not known.
    std::optional<std::uint64_t> knownVersion_;
    bool claiming_ = true;
    bool queryingPredecessors_ = false;
    // A question for all leases is under way.
    bool renewing_ = false;
    // Until then silence of an owner is no reason to claim its group.
    Instant suspectAfter_ {};
    std::set<std::string> dialledPeers_;
    // The service's clock as a row told it, and when that row was asked for.
    std::optional<Duration> serviceTime_;
    Instant serviceTimeQueriedAt_ {};
    services::TableFollower follower_;
};

} // namespace kelptally::group
