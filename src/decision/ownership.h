#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "decision/lease.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

// Who owns a database group, decided without a coordination service: one row in the table service,
// changed only by conditional write, and leases made of successors' promises.
namespace kelptally::decision {

// The row of one group in the table service.
struct OwnershipRow
{
    OwnerEpoch epoch = 0;
    ProcessId owner;
    // Processes that may claim the group once their promise has ended; at most two.
    std::vector<ProcessId> successors;
    // Newest term and primary, as a hint for the next owner; the servers themselves decide.
    Term term = 0;
    ServerName primary;
    // Drawn anew for each write, so that a lost answer is recognised by reading back.
    std::string changeId;
};

// A row as read, with the tag for the next conditional write.
struct TaggedRow
{
    OwnershipRow row;
    std::string etag;
};

// What one successor is asked to promise, and what it answers.
struct LeaseRequest
{
    OwnerEpoch epoch = 0;
    ProcessId owner;
    std::uint64_t sequence = 0;
};

struct LeaseAnswer
{
    ProcessId from;
    OwnerEpoch epoch = 0;
    std::uint64_t sequence = 0;
    bool promised = false;
    OwnerEpoch knownEpoch = 0;
};

enum class WriteOutcome {
    Done,
    // The condition did not hold; nothing was written.
    Conflict,
    // Nothing was sent.
    NotSent,
    // The answer was lost; only reading back tells.
    Unknown,
};

// Actions that the process carries out.
struct ReadRow
{ };
struct WriteRow
{
    OwnershipRow row;
    // Nothing: the row must not exist yet.
    std::optional<std::string> expectedEtag;
};
struct SendLeaseRequest
{
    ProcessId to;
    LeaseRequest request;
};
// Start to serve the group at this epoch; reads and writes still need holdsLease().
struct StartServing
{
    OwnerEpoch epoch = 0;
    Term termHint = 0;
    ServerName primaryHint;
};
struct StopServing
{
    std::string reason;
};
// Tells a successor that it is the owner now.
struct SendHandOver
{
    ProcessId to;
    OwnerEpoch epoch = 0;
};

using OwnershipAction =
    std::variant<ReadRow, WriteRow, SendLeaseRequest, StartServing, StopServing, SendHandOver>;
using OwnershipActions = std::vector<OwnershipAction>;

// Which checks are in force. All of them, always: tests of the checker switch one off to show that
// a schedule then breaks a promise.
struct OwnershipChecks
{
    bool lease = true;
    bool incarnation = true;
};

// What keeps an owner from writing the row of a hand-over.
enum class HandOverWait {
    None,
    // Another write of the row is under way, or was a moment ago.
    ChangeUnderWay,
    // No process that could take the group is known to live.
    NoEligibleSuccessor,
};

// For logs.
const char *handOverWaitName(HandOverWait wait);

enum class OwnershipRole {
    // Not named in the row as far as known.
    Unlisted,
    Successor,
    Owner,
};

// The part of one process in the ownership of one group. No I/O and no clock: each call says when
// it happens and returns what to do.
class Ownership
{
public:
    // Processes fit to be successors, best first (see Membership); asked when a place is free.
    using SuccessorCandidates = std::vector<ProcessId>;

    Ownership(GroupName group, ProcessId self, std::uint64_t seed, OwnershipChecks checks = {});

    // The answer of a ReadRow; nothing when there is no row.
    OwnershipActions onRow(Instant now, const std::optional<TaggedRow> &row);
    OwnershipActions onRowReadFailed(Instant now);
    // The answer of a WriteRow. The new tag comes with Done.
    OwnershipActions onWriteOutcome(Instant now, const std::string &changeId, WriteOutcome outcome,
                                    const std::string &etag);

    // As successor: answers an owner's request. Nothing means no answer at all, as while the
    // outcome of its own claim is not known.
    std::optional<LeaseAnswer> onLeaseRequest(Instant now, const LeaseRequest &request,
                                              OwnershipActions &actions);
    // As owner.
    OwnershipActions onLeaseAnswer(Instant now, const LeaseAnswer &answer);

    // Another process at the address was heard with this incarnation: all older ones are dead.
    OwnershipActions onIncarnation(Instant now, const ProcessId &heard);
    // The platform's list no longer has the host of this process (for longer than its lag).
    OwnershipActions onProcessGone(Instant now, const ProcessId &process);

    // Who could be successor; given again at each change.
    void setSuccessorCandidates(SuccessorCandidates candidates);
    // Whether this process should own the group if nobody does (see Membership).
    void setPreferredOwner(bool isPreferred);
    // The servers' newest term and primary, kept in the row at the next change.
    void setPrimary(Term term, const ServerName &primary);

    // Begins a planned hand-over to a successor. StopServing and SendHandOver follow once the row
    // says so; the caller stops giving out new work by its own means first.
    OwnershipActions beginHandOver(Instant now);
    HandOverWait handOverWait(Instant now) const;
    // Reads the row, as when a caller expects another owner than the one it names.
    OwnershipActions refresh(Instant now);
    // As new owner, told by the old one.
    OwnershipActions onHandOver(Instant now, OwnerEpoch newEpoch);

    // Called at least each tickPeriod: heartbeats, claims, replacement of successors, retries.
    OwnershipActions onTick(Instant now);

    // Whether this process is owner and its lease holds at this instant. Checked when a statement
    // is sent and again when its answer is acknowledged.
    bool holdsLease(Instant now) const;
    // End of the lease as owner; the far future when nobody could claim.
    Instant leaseEnd() const;
    OwnershipRole role() const;
    OwnerEpoch epoch() const;
    const std::optional<TaggedRow> &row() const { return row_; }

    static constexpr Duration tickPeriod = std::chrono::milliseconds(50);
    static constexpr Duration heartbeatPeriod = std::chrono::milliseconds(300);
    static constexpr std::size_t maxSuccessors = 2;

private:
    enum class ChangeKind { Claim, Successors, HandOver };

    // The one write of the row that is under way. It stays until its outcome is certain, and is
    // only ever repeated as it was: an attempt that seemed lost may still land.
    struct Change
    {
        ChangeKind kind = ChangeKind::Claim;
        OwnershipRow row;
        std::optional<std::string> expectedEtag;
        Instant firstSent;
        Instant lastSent;
        bool inFlight = true;
        // Some attempt may have reached the store.
        bool maybeSent = false;
    };

    struct BannedProcess
    {
        ProcessId process;
        Instant until;
    };

    bool isSameProcess(const ProcessId &a, const ProcessId &b) const;
    bool contains(const std::vector<ProcessId> &list, const ProcessId &process) const;
    bool isDead(const ProcessId &process) const;
    bool isListed() const;
    bool isEligible(const ProcessId &process) const;

    void requestRead(Instant now, OwnershipActions &actions);
    void processRow(Instant now, const std::optional<TaggedRow> &row, OwnershipActions &actions);
    bool resolveChange(Instant now, const std::optional<TaggedRow> &row, OwnershipActions &actions);
    void adoptRow(Instant now, const TaggedRow &row);
    void startChange(Instant now, ChangeKind kind, OwnershipRow row, OwnershipActions &actions);
    void sendChange(Instant now, OwnershipActions &actions);
    void finishChange(Instant now, const std::string &etag, OwnershipActions &actions);

    bool shouldClaim(Instant now) const;
    void claim(Instant now, OwnershipActions &actions);
    void becomeOwner(Instant now, std::optional<Instant> claimSent, OwnershipActions &actions);
    void stopServing(std::string reason, OwnershipActions &actions);

    bool isSilent(Instant now, const ProcessId &process) const;
    void recordDeath(Instant now, const std::string &address, Incarnation below);
    void trackListedSuccessors();
    bool isBanned(Instant now, const ProcessId &process) const;
    void sendHeartbeats(Instant now, OwnershipActions &actions);
    void dropStaleCandidates(Instant now);
    std::vector<ProcessId> readyCandidates(Instant now, const std::vector<ProcessId> &kept);
    void updateSuccessors(Instant now, OwnershipActions &actions);
    // Who could take the group, best first.
    std::vector<ProcessId> handOverCandidates(Instant now) const;
    void tryHandOver(Instant now, OwnershipActions &actions);

    GroupName group_;
    ProcessId self_;
    OwnershipChecks checks_;
    std::mt19937_64 random_;
    std::optional<TaggedRow> row_;

    // Reading of the row.
    bool reading_ = false;
    // The read under way began before a write that is known to be done.
    bool staleRead_ = false;
    bool readAgain_ = false;
    // A read was asked for and none has succeeded since.
    bool needRead_ = false;
    bool rowAbsent_ = false;
    Instant nextRead_;
    Instant nextPoll_;
    std::optional<Change> change_;
    Instant nextChange_;

    // As successor.
    Instant mayClaimFrom_;
    // A promise was made that may have listed us without our knowledge: once it has ended, the row
    // tells.
    bool promised_ = false;
    OwnerEpoch promisedEpoch_ = 0;
    OwnerEpoch highestEpoch_ = 0;
    bool isPreferredOwner_ = false;
    // When this process was first seen as wanted, by the clock of the ticks.
    std::optional<Instant> preferredSince_;
    std::optional<Instant> ownerDeadSince_;
    // All processes at an address with an incarnation below this are dead.
    std::map<std::string, Incarnation> minLiveIncarnation_;

    // As owner.
    bool owner_ = false;
    bool handOverWanted_ = false;
    Lease lease_;
    std::uint64_t lastSequence_ = 0;
    Instant nextHeartbeat_;
    SuccessorCandidates successorCandidates_;
    std::vector<BannedProcess> banned_;
    Term term_ = 0;
    ServerName primary_;
};

} // namespace kelptally::decision
