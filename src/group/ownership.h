#pragma once

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "decision/claimorder.h"
#include "decision/relaychoice.h"
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

// Receives the changes of ownership that an OwnershipTable observes.
class OwnershipEvents
{
public:
    virtual ~OwnershipEvents() = default;

    // The known owner of the group has changed; it may be unknown now.
    virtual void onOwnerChanged(const GroupName &group) = 0;
    // This process has become the owner of the group, or has lost it.
    virtual void onAcquired(const GroupName &group) = 0;
    virtual void onLost(const GroupName &group) = 0;
};

// Keeps the owner of every group in a table service whose rows are written conditionally only
// (compare and swap by etag).
//
// Any process may claim a group at any time: two owners that send statements to the same primary do
// no harm. An owner acts only while its lease is valid, that is, while it has found its row
// unchanged within the last leaseDuration, counted from when the read was sent. A new owner may
// replace the primary only after every earlier owner has ended: its lease has expired since the
// claim, its process has restarted, or it has confirmed the end itself.
class OwnershipTable : public session::OwnerSource
{
public:
    struct Parts
    {
        TimerService &timers;
        services::TableService &table;
        services::TableFeed &feed;
        // Reads the table service itself, without changes relayed by other hosts.
        services::TableFeed &directFeed;
        inner::PeerLinks &links;
        EventLog &log;
        Metrics &metrics;
        ProcessId self;
        ZoneName zone;
        // Processor cores available to this host; may be a fraction.
        double processors;
        // Connects to a process's address; reports whether the connection was refused.
        std::function<void(const std::string &address, std::function<void(bool refused)>)> probe;
        // Asks other processes for the group's owner; the answers arrive in applyReportedOwner().
        std::function<void(const GroupName &)> queryPeers;
        // Sends the request to all connected peers.
        std::function<void(const inner::TakeOver &)> broadcastTakeOver;
        // Zone of the group's primary; empty when unknown.
        std::function<ZoneName(const GroupName &)> primaryZone;
        // Whether the table service is currently considered unreachable.
        std::function<bool()> isStoreUnavailable;
    };

    static constexpr const char *table = "kelptally_owners";
    // Upper bound of the drift between the clocks of two hosts over one lease.
    static constexpr Duration clockMargin = std::chrono::milliseconds(120);

    OwnershipTable(const Parts &parts, OwnershipEvents &events);

    void start();
    // Whether the initial snapshot of the table has been read.
    bool isReady() const { return follower_.hasSnapshot(); }
    // Makes no more claims; used when the process shuts down.
    void stopClaiming() { claiming_ = false; }

    std::optional<session::OwnerRef> owner(const GroupName &group) const override;
    void requestOwner(const GroupName &group) override;
    // Like requestOwner(), ahead of the first statement for the group. The claims of all `groups`
    // groups are spread over time.
    void claimProactively(const GroupName &group, std::size_t groups);
    void reportOwnerUnreachable(const GroupName &group, const session::OwnerRef &owner,
                                const std::string &reason) override;
    void refreshOwner(const GroupName &group) override;
    // Takes over the owner that another process knows, in case the store rejects this process.
    void applyReportedOwner(const GroupName &group, const session::OwnerRef &owner) override;

    // All processes that own groups, without duplicates, with their zones.
    const decision::RelayOrder &owners() const { return owners_; }
    bool owns(const GroupName &group) const;
    const std::set<GroupName> &owned() const { return owned_; }
    const OwnershipRecord *record(const GroupName &group) const;
    // Whether the lease is valid, so that statements may be sent and their answers trusted.
    bool hasLease(const GroupName &group) const;
    Duration leaseLeft(const GroupName &group) const;
    // Returns the time since the sending of the last read that found this process as the owner.
    Duration timeSinceConfirmation(const GroupName &group) const
    {
        return leaseDuration - leaseLeft(group);
    }
    // Whether no earlier owner can act any more, which is required for changing the primary.
    bool isSoleOwner(const GroupName &group) const;
    // Whether this owner may start with some tokens of quotas without knowing what its predecessors
    // have spent. At most one owner of a group may within any quotaStartInterval.
    bool mayStartQuotas(const GroupName &group) const;
    // Returns the earlier owners of a group that may still act, including unnamed ones.
    std::vector<decision::EarlierOwner> activeEarlierOwners(const GroupName &group) const;

    using Edit = std::function<void(OwnershipRecord &)>;
    // Edits and writes the row of a group that this process owns. The callback gets Ok once the
    // write is known to have taken effect; with an error it may or may not have.
    void change(const GroupName &group, const Edit &edit,
                std::function<void(absl::Status)> callback);
    // Transfers ownership to another process. The callback gets Ok once the row names it.
    void handOver(const GroupName &group, const ProcessId &to, const ZoneName &zone,
                  std::function<void(absl::Status)> callback);

    // Asks other processes to claim a group that this process owns but can't serve. If
    // requiredEndpoint is not empty only those that can reach it should claim. Rate-limited per
    // group.
    void requestTakeOver(const GroupName &group, const std::string &requiredEndpoint,
                         const std::string &reason, bool needsCapacity = false);
    // Whether this host has the processor capacity for another group.
    bool hasCapacity() const;
    // Handles another owner's request that this process claim the group.
    void onTakeOverRequested(const GroupName &group, OwnerEpoch epoch);
    // Handles an entry's report that the owner does not answer it.
    void onOwnerSuspected(const GroupName &group, OwnerEpoch epoch);

    // The table service answers again after an outage.
    void onStoreRecovered(Duration outage);

    // A process has connected. A new incarnation at a known address proves that the old one ended.
    void onPeerUp(const ProcessId &process);
    // The process at the address confirms that its ownership has ended.
    void onOwnershipEnded(const std::string &address, const inner::OwnershipEnded &ended);

private:
    // Reasons for a claim, as logged. With any other reason the owner is only suspected to have
    // failed. None of them proves that the owner has ended.
    static constexpr const char *reasonRequested = "asked";
    static constexpr const char *reasonUnowned = "unowned";
    static constexpr const char *reasonProactive = "ahead";
    // The row names an earlier process of this host, or of another one.
    static constexpr const char *reasonRestarted = "restarted";
    static constexpr const char *reasonOwnerRestarted = "owner_restarted";
    static constexpr const char *reasonNothingListens = "nothing_listens";
    static constexpr const char *reasonLinkDown = "link_down";
    static constexpr const char *reasonReported = "reported";
    // Counted from sending the read that found the row unchanged. Long enough to serve through a
    // short outage of the store. It delays a failover only if owner and primary are lost together.
    static constexpr Duration leaseDuration = std::chrono::seconds(12);
    // The platform takes 100 entries in a call, and a row takes two: its condition and its value.
    // It refused larger claims of a host that owned many groups each time they were repeated.
    static constexpr std::size_t maxRowsPerWrite = 50;

    struct Entry
    {
        OwnershipRecord record;
        std::string etag;
        bool known = false;
        // A claim or another write of the row is in flight.
        bool writing = false;
        // The write in flight transfers ownership, so the lease must not be extended.
        bool handingOver = false;
        bool claimPlanned = false;
        Instant claimAfter {};
        // Earliest time of the next query to the store or to peers.
        Instant queryAfter {};
        Instant requestTakeOverAfter {};
        // Earliest time of the next report of a suspected owner, and whether the last one was sent.
        Instant reportAfter {};
        bool isReported = false;
        // Last time the group was offered to hosts with capacity.
        Instant offeredAt {};
        Instant leaseUntil {};
        decision::EarlierOwners earlier;
        // The latest earlier owner, and the end of the guard time for the ones before it, as read
        // from its row.
        decision::EarlierOwner previous;
        Duration inheritedGuard {0};
        // Upper bound of guardedUntil, from the service's clock at a time when the claim had taken
        // effect; 0 when unknown.
        Duration guardLimit {0};
        // Claimed at the previous owner's request.
        bool claimedOnRequest = false;
        bool mayStartQuotas = false;
        // The last claim: its epoch, the row that it replaces, and the service's clock when that
        // row was read.
        OwnerEpoch claimedEpoch = 0;
        OwnershipRecord claimedFrom;
        Duration claimedAt {0};
    };

    void onTableRead();
    void setRecord(const GroupName &group, Entry &entry, const OwnershipRecord &record);
    void addOwner(const GroupName &group, const OwnershipRecord &record);
    void removeOwner(const GroupName &group, const OwnershipRecord &record);
    bool applyRow(const services::TableRow &row);
    void applyRecord(const GroupName &group, const OwnershipRecord &record,
                     const std::string &etag);
    void scheduleClaim(const GroupName &group, const std::string &reason, Duration delay);
    void claimSuspected(const GroupName &group, const session::OwnerRef &suspect,
                        const std::string &reason);
    // Claims the groups whose owner was an earlier process at the address.
    void claimFromRestarted(const ProcessId &process);
    decision::Claimant claimant(const GroupName &group) const;
    Duration claimDelay(const GroupName &group) const;
    void claim(const GroupName &group, OwnerEpoch seen, const std::string &reason);
    // Result of one query to the service for the changes of all rows.
    struct ChangeQueryResult
    {
        absl::Status status;
        Instant sent {};
        Duration serviceTime {0};
        // Etags of the rows that have changed since the previous query.
        std::map<GroupName, std::string> changed;
        // All rows that can't be decoded, not only those changed since; they can't prove a lease.
        std::set<GroupName> unreadable;
    };
    struct Claim
    {
        GroupName group;
        OwnerEpoch seen = 0;
        std::string reason;
        // Attempts left in a batch before the claim is made separately.
        int triesLeft = 3;
    };
    // A conditional write of one row whose outcome is not known yet.
    struct RowChange
    {
        GroupName group;
        OwnershipRecord record;
        // Etag the row must have; nullopt if the row must not exist.
        std::optional<std::string> expected;
        std::function<void(absl::Status)> callback;
        Instant sentAt {};
        int triesLeft = 0;
        // An earlier attempt got no answer: it may have taken effect, or may still do so.
        bool mayHaveTakenEffect = false;
        // Set for a claim that is written in a batch.
        Claim batchedClaim;
    };
    using RowChangePtr = std::shared_ptr<RowChange>;

    void queryChanges(std::function<void(const ChangeQueryResult &)> callback);
    void claimSingle(const GroupName &group, OwnerEpoch seen, const std::string &reason);
    void addToClaimBatch(const Claim &claim);
    void claimBatch(const std::vector<Claim> &claims, const ChangeQueryResult &result);
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
    // Whether the claim, which was prepared when the service's clock had that time, starts quotas.
    bool startsQuotas(const OwnershipRecord &record, Duration claimedAt) const;
    void acquire(const GroupName &group, const OwnershipRecord &record, const std::string &etag,
                 const OwnershipRecord &previous, Duration serviceTime);
    // Extends the leases of all owned groups by reading their rows.
    void renewLeases();
    void renewLeasesBatched();
    void renewLease(const GroupName &group);
    void extendLease(const GroupName &group, Instant sent, const std::string &tag);
    void offerGroupIfNoCapacity();
    void queryPredecessors();
    void queryOwnershipEnd(const decision::EarlierOwner &owner, const GroupName &group);
    // Dials exactly these processes and drops the other links that this table has dialled.
    void updateDialledPeers(const std::set<std::string> &addresses);
    // Whether a query for the group may be sent now; enforces the minimum interval.
    bool admitQuery(const GroupName &group);
    bool canClearGuard(const GroupName &group) const;
    void scheduleGuardClear(const GroupName &group);
    void clearGuards();
    void noteServiceTime(const services::TableRow &row, Instant queriedAt);
    // Upper bound of the service's current time; nullopt if it is not known.
    std::optional<Duration> serviceTime() const;
    static void setEarlierOwners(OwnershipRecord &record,
                                 const std::vector<decision::EarlierOwner> &active,
                                 const decision::EarlierOwner &previous, Duration lastRenewal);
    void onPredecessorEnded(const GroupName &group, const std::string &address,
                            const std::string &proof);

    const Parts parts_;
    prometheus::Counter &scannedEntries_;
    OwnershipEvents &events_;
    std::map<GroupName, Entry> entries_;
    // Groups whose rows name this process.
    std::set<GroupName> owned_;
    // Groups with a later process at the address of the owner that the row names.
    std::set<GroupName> ownerEnded_;
    decision::RelayOrder owners_;
    // Groups by the address of their owner.
    std::map<std::string, std::set<GroupName>> groupsByOwner_;
    // Calls of requestOwner() and claimProactively() that wait for the initial snapshot.
    std::set<GroupName> pendingOwnerRequests_;
    std::map<GroupName, std::size_t> pendingProactiveClaims_;
    std::set<GroupName> guardsToClear_;
    // Claims gathered for the next batch.
    std::vector<Claim> claimBatch_;
    std::vector<Claim> proactiveClaimBatch_;
    // Rows that were removed or can't be decoded.
    std::set<GroupName> unreadableRows_;
    // All changes up to this table version have been read; nullopt until a snapshot was read.
    std::optional<std::uint64_t> knownVersion_;
    bool claiming_ = true;
    bool queryingPredecessors_ = false;
    // A query that renews all leases is in flight.
    bool renewing_ = false;
    // Suspected owners are not replaced before this time.
    Instant suspectAfter_ {};
    Instant storeRecoveredAt_ {};
    std::set<std::string> dialledPeers_;
    // The service's clock as read with a row, and the local time at which that read was sent.
    std::optional<Duration> serviceTime_;
    Instant serviceTimeQueriedAt_ {};
    services::TableFollower follower_;
};

} // namespace kelptally::group
