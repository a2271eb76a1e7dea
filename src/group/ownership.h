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
        services::TableFeed &direct;
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
        std::function<void(const GroupName &)> askPeers;
        // Sends it to all processes that there is a link with.
        std::function<void(const inner::TakeOver &)> tellPeers;
        // Zone of the group's primary, as far as known.
        std::function<ZoneName(const GroupName &)> primaryZone;
        // Whether the table service answers nothing, as far as is known.
        std::function<bool()> storeIsSilent;
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
    void prepareOwner(const GroupName &group, std::size_t groups);
    void suspectOwner(const GroupName &group, const session::OwnerRef &owner,
                      const std::string &why) override;
    void refreshOwner(const GroupName &group) override;
    // What another process knows, for when the store turns this one away.
    void learnOwner(const GroupName &group, const session::OwnerRef &owner) override;

    // The processes that own groups, each once, with their zones.
    const decision::TellerOrder &owners() const { return owners_; }
    bool owns(const GroupName &group) const;
    const std::set<GroupName> &owned() const { return owned_; }
    const OwnershipRecord *record(const GroupName &group) const;
    // Statements may be sent, and their answers believed.
    bool leaseHolds(const GroupName &group) const;
    Duration leaseLeft(const GroupName &group) const;
    // No owner before this one can act any more, so that the primary may be changed.
    bool isAlone(const GroupName &group) const;

    using Edit = std::function<void(OwnershipRecord &)>;
    // Changes the own row; Ok once the change is in it, and nothing else may be assumed before.
    void change(const GroupName &group, const Edit &edit,
                std::function<void(absl::Status)> callback);
    // Names another process the owner. Ok once it is.
    void handOver(const GroupName &group, const ProcessId &to, const ZoneName &zone,
                  std::function<void(absl::Status)> callback);

    // This process owns the group and can't do what it needs: another one that reaches the
    // endpoint, or any if that is empty, should claim it. Said at most twice a second.
    void askTakeOver(const GroupName &group, const std::string &reach, const std::string &why,
                     bool needsRoom = false);
    // This host has processor time for one group more.
    bool hasRoom() const;
    // An owner has asked for it.
    void takeOver(const GroupName &group, OwnerEpoch epoch);

    // The table service answers again, after so long.
    void onStoreBack(Duration lostFor);

    // Another run of the process at the address, or the same, was heard.
    void onPeerUp(const ProcessId &process);
    void onEnded(const std::string &address, const inner::OwnershipEnded &ended);

private:
    // Why a group is claimed: its owner has asked for it.
    static constexpr const char *asked = "asked";
    // Or nobody owns it, ahead of the first statement or after one; or an earlier run of this
    // process did, or nothing listens at the owner's address: enough to claim, no proof that the
    // owner has ended. Anything else is a suspicion.
    static constexpr const char *unowned = "unowned";
    static constexpr const char *ahead = "ahead";
    static constexpr const char *restarted = "restarted";
    static constexpr const char *nothingListens = "nothing_listens";
    static constexpr const char *linkDown = "link_down";
    // An owner acts this long after it asked for its row and found it unchanged. Longer than the
    // outages of the store that are usual, so that service goes on through them; it delays a change
    // of primary only when owner and primary are lost together and the owner neither says that it
    // has ended nor starts again.
    static constexpr Duration lease = std::chrono::seconds(12);
    // Rows in one write; the platform takes no more.
    static constexpr std::size_t mostTogether = 100;
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
        Instant askAfter {};
        Instant askTakeOverAfter {};
        // When it was offered to hosts with room.
        Instant offeredAt {};
        Instant leaseUntil {};
        decision::EarlierOwners earlier;
        // The last of them, and the guard of those before it as its row had it.
        decision::EarlierOwner before;
        Duration inheritedGuard {0};
        // No owner before this one can act longer, by the service's clock: the claim had taken
        // effect when that was told. 0 when it is not known.
        Duration latestGuard {0};
        // The group was claimed because its owner asked for it.
        bool claimedAsked = false;
    };

    void onRead();
    void setRecord(const GroupName &group, Entry &entry, const OwnershipRecord &record);
    void countOwner(const OwnershipRecord &record, int change);
    bool apply(const services::TableRow &row);
    void applyRecord(const GroupName &group, const OwnershipRecord &record,
                     const std::string &etag);
    void planClaim(const GroupName &group, const std::string &why, Duration delay);
    decision::Claimant claimant(const GroupName &group) const;
    Duration claimDelay(const GroupName &group) const;
    void claim(const GroupName &group, OwnerEpoch seen, const std::string &why);
    // What one question to the service for all rows has told.
    struct Look
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
        std::string why;
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
        bool maybeDone = false;
        // Of a claim that is made with others.
        Claim claimed;
    };
    using RowChangePtr = std::shared_ptr<RowChange>;

    void look(std::function<void(const Look &)> callback);
    void claimAlone(const GroupName &group, OwnerEpoch seen, const std::string &why);
    void claimTogether(const Claim &claim);
    void claimAll(const std::vector<Claim> &claims, const Look &seen);
    void onContended(const std::vector<RowChangePtr> &changes);
    void onClaimUnread(const GroupName &group, const std::string &why, const absl::Status &status);
    void claimAgain(const GroupName &group, const std::string &why);
    RowChangePtr prepareClaim(const GroupName &group, Duration serviceTime, const std::string &why);

    RowChangePtr prepareChange(const GroupName &group, const Edit &edit,
                               std::function<void(absl::Status)> callback);
    RowChangePtr prepare(const GroupName &group, const OwnershipRecord &record,
                         const std::string &etag, bool exists,
                         std::function<void(absl::Status)> callback);
    static services::ConditionalWrite conditionalWrite(const RowChange &change);
    void sendTogether(std::vector<RowChangePtr> changes);
    void onWritten(const RowChangePtr &change, const std::string &tag);
    void write(const GroupName &group, const OwnershipRecord &record, const std::string &etag,
               bool exists, std::function<void(absl::Status)> callback);
    void send(const RowChangePtr &change);
    void settle(const RowChangePtr &change);
    void onReadBack(const RowChangePtr &change,
                    const absl::StatusOr<std::optional<services::TableRow>> &row);
    void finish(const RowChangePtr &change, const absl::Status &status);
    void acquire(const GroupName &group, const OwnershipRecord &record, const std::string &etag,
                 const OwnershipRecord &before, Duration serviceTime);
    // Reads the rows of all groups owned here, which makes their leases last longer.
    void renew();
    void renewTogether();
    void renewOne(const GroupName &group);
    void prolong(const GroupName &group, Instant sent, const std::string &tag);
    void offerWithoutRoom();
    void askPredecessors();
    void askWhetherEnded(const decision::EarlierOwner &owner, const GroupName &group);
    // Links of this table's own, to these processes and no others.
    void keepDialled(const std::set<std::string> &addresses);
    bool mayAsk(const GroupName &group);
    bool mayClearGuard(const GroupName &group) const;
    void clearGuard(const GroupName &group);
    void clearGuards();
    void noteServiceTime(const services::TableRow &row, Instant asked);
    // At the latest; nothing when it was never told.
    std::optional<Duration> serviceTime() const;
    static void nameEarlier(OwnershipRecord &record,
                            const std::vector<decision::EarlierOwner> &open,
                            const decision::EarlierOwner &before, Duration lastRenewal);
    void onEarlierEnded(const GroupName &group, const std::string &address,
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
    std::set<GroupName> wanted_;
    // The same for prepareOwner(), with the number of groups.
    std::map<GroupName, std::size_t> prepared_;
    std::set<GroupName> guardsToClear_;
    // Claims that are about to be made together.
    std::vector<Claim> dueClaims_;
    std::vector<Claim> aheadClaims_;
    // Rows that are gone or can't be read as they are now.
    std::set<GroupName> unreadable_;
    // The service itself has told all changes up to this version. Nothing while it is not known.
    std::optional<std::uint64_t> asOf_;
    bool claiming_ = true;
    bool asking_ = false;
    // A question for all leases is under way.
    bool renewing_ = false;
    // Until then silence of an owner is no reason to claim its group.
    Instant suspectAfter_ {};
    std::set<std::string> dialled_;
    // The service's clock as a row told it, and when that row was asked for.
    std::optional<Duration> serviceTime_;
    Instant serviceTimeAsked_ {};
    services::TableFollower follower_;
};

} // namespace kelptally::group
