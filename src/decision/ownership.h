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

// Ownership of a database group without a coordination service. The owner is named in one row of
// the table service, which is changed by conditional writes only, and holds a lease that its
// successors grant.
namespace kelptally::decision {

// The row of a group in the table service.
struct OwnershipRow
{
    OwnerEpoch epoch = 0;
    ProcessId owner;
    // Processes that may claim the group once their promise has expired; at most maxSuccessors.
    std::vector<ProcessId> successors;
    // Newest term and primary, as a hint for the next owner. The servers' reports decide.
    Term term = 0;
    ServerName primary;
    // Unique for each write. Identifies the write when the row is read back after a lost answer.
    std::string changeId;
};

// A row and its ETag, the condition of the next write.
struct TaggedRow
{
    OwnershipRow row;
    std::string etag;
};

// Asks a successor for the promise not to claim the group.
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
    // Highest epoch that the answering process knows.
    OwnerEpoch knownEpoch = 0;
};

enum class WriteOutcome {
    Done,
    // The condition did not hold and nothing was written.
    Conflict,
    // Nothing was sent.
    NotSent,
    // The answer was lost. The row has to be read to learn the outcome.
    Unknown,
};

// Actions for the caller to carry out.
struct ReadRow
{ };
struct WriteRow
{
    OwnershipRow row;
    // Without a value the row must not exist.
    std::optional<std::string> expectedEtag;
};
struct SendLeaseRequest
{
    ProcessId to;
    LeaseRequest request;
};
// Starts serving the group at this epoch. Statements still require holdsLease().
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
// Notifies a successor that it is the owner now.
struct SendHandOver
{
    ProcessId to;
    OwnerEpoch epoch = 0;
};

using OwnershipAction =
    std::variant<ReadRow, WriteRow, SendLeaseRequest, StartServing, StopServing, SendHandOver>;
using OwnershipActions = std::vector<OwnershipAction>;

// Safety checks, always enabled in production. The model checker's tests disable one to verify that
// the checker finds the violation.
struct OwnershipChecks
{
    bool lease = true;
    bool incarnation = true;
};

// Why an owner cannot write the row of a hand-over yet.
enum class HandOverWait {
    None,
    // Another write of the row is pending or has just failed.
    ChangeUnderWay,
    // No live process is eligible to take the group.
    NoEligibleSuccessor,
};

// Returns the name used in logs.
const char *handOverWaitName(HandOverWait wait);

enum class OwnershipRole {
    // Not named in the row, as far as this process knows.
    Unlisted,
    Successor,
    Owner,
};

// State machine of one process for the ownership of one group. It has no I/O and no clock: callers
// pass the current time and carry out the returned actions.
class Ownership
{
public:
    // Processes eligible as successors, best first (see Membership).
    using SuccessorCandidates = std::vector<ProcessId>;

    Ownership(GroupName group, ProcessId self, std::uint64_t seed, OwnershipChecks checks = {});

    // Handles the answer to a ReadRow. Without a value the row does not exist.
    OwnershipActions onRow(Instant now, const std::optional<TaggedRow> &row);
    OwnershipActions onRowReadFailed(Instant now);
    // Handles the answer to a WriteRow. The new ETag is valid with Done only.
    OwnershipActions onWriteOutcome(Instant now, const std::string &changeId, WriteOutcome outcome,
                                    const std::string &etag);

    // As successor: answers an owner's request. Returns no value if it must not answer, for
    // example while the outcome of this process's own claim is unknown.
    std::optional<LeaseAnswer> onLeaseRequest(Instant now, const LeaseRequest &request,
                                              OwnershipActions &actions);
    // As owner: handles a successor's answer.
    OwnershipActions onLeaseAnswer(Instant now, const LeaseAnswer &answer);

    // A process was seen at its address with this incarnation: all older ones there are dead.
    OwnershipActions onIncarnation(Instant now, const ProcessId &process);
    // The host of the process has left the platform's list for longer than the list's delay.
    OwnershipActions onProcessGone(Instant now, const ProcessId &process);

    // Sets the eligible successors. The caller repeats this at each change of the membership.
    void setSuccessorCandidates(SuccessorCandidates candidates);
    // Sets whether this process should own the group if no other process does (see Membership).
    void setPreferredOwner(bool isPreferred);
    // Sets the newest term and primary, which the next write of the row includes.
    void setPrimary(Term term, const ServerName &primary);

    // Starts a planned hand-over to a successor. The caller must have stopped sending new work.
    // StopServing and SendHandOver follow when the row has been written.
    OwnershipActions beginHandOver(Instant now);
    HandOverWait handOverWait(Instant now) const;
    // Requests a read of the row, for example when another owner is expected.
    OwnershipActions refresh(Instant now);
    // As new owner: handles the previous owner's notification.
    OwnershipActions onHandOver(Instant now, OwnerEpoch newEpoch);

    // Must be called at least once each tickPeriod. Drives heartbeats, claims, replacement of
    // successors and retries.
    OwnershipActions onTick(Instant now);

    // Whether this process is owner and its lease is valid. The caller checks this before it sends
    // a statement and again before it acknowledges the answer.
    bool holdsLease(Instant now) const;
    // Returns the end of the owner's lease: Instant::max() if no other process can claim the group,
    // Instant::min() if this process is not the owner or is handing over.
    Instant leaseEnd() const;
    OwnershipRole role() const;
    OwnerEpoch epoch() const;
    const std::optional<TaggedRow> &row() const { return row_; }

    static constexpr Duration tickPeriod = std::chrono::milliseconds(50);
    static constexpr Duration heartbeatPeriod = std::chrono::milliseconds(300);
    static constexpr std::size_t maxSuccessors = 2;

private:
    enum class ChangeKind { Claim, Successors, HandOver };

    // The pending write of the row. It is kept until its outcome is certain and retried unchanged,
    // as an earlier attempt may still take effect.
    struct Change
    {
        ChangeKind kind = ChangeKind::Claim;
        OwnershipRow row;
        std::optional<std::string> expectedEtag;
        Instant firstSent;
        Instant lastSent;
        bool inFlight = true;
        // An attempt may have reached the store.
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
    // Returns the processes that could take over the group, best first.
    std::vector<ProcessId> handOverCandidates(Instant now) const;
    void tryHandOver(Instant now, OwnershipActions &actions);

    GroupName group_;
    ProcessId self_;
    OwnershipChecks checks_;
    std::mt19937_64 random_;
    std::optional<TaggedRow> row_;

    // Reads of the row.
    bool reading_ = false;
    // The pending read was sent before a write that has succeeded since, so its result is ignored.
    bool staleRead_ = false;
    bool readAgain_ = false;
    // A read was requested and none has succeeded since.
    bool needRead_ = false;
    bool rowAbsent_ = false;
    Instant nextRead_;
    Instant nextPoll_;
    std::optional<Change> change_;
    Instant nextChange_;

    // As successor.
    Instant mayClaimFrom_;
    // A promise was made since the row was last read. The owner may have listed this process since
    // then, so the row is read when the promise has expired.
    bool promised_ = false;
    OwnerEpoch promisedEpoch_ = 0;
    OwnerEpoch highestEpoch_ = 0;
    bool isPreferredOwner_ = false;
    // Time of the first tick at which this process was the preferred owner.
    std::optional<Instant> preferredSince_;
    std::optional<Instant> ownerDeadSince_;
    // By address: processes with a lower incarnation are dead.
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
