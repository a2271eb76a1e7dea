#pragma once

#include "decision/ownership.h"
#include "owner/heartbeatbatch.h"
#include "owner/ownerports.h"

#include <memory>

namespace kelptally::owner {

// Told when this process may serve the group and when it must stop.
class OwnershipListener
{
public:
    virtual ~OwnershipListener() = default;

    virtual void onStartServing(const decision::StartServing &start) = 0;
    virtual void onStopServing(const std::string &reason) = 0;
    // The row as known has changed: new owner, successors or role.
    virtual void onRowChanged() = 0;
};

// Carries out what the ownership decision of one group asks for: rows in the table service, lease
// requests and hand-overs to other processes.
class OwnershipDriver
{
public:
    OwnershipDriver(GroupName group, OwnerPorts &ports, HeartbeatBatch &heartbeats,
                    OwnershipListener &listener);

    // Reads the row again unless that is under way.
    void refresh();
    std::optional<inner::GroupHeartbeatAnswer> onHeartbeat(const ProcessId &from,
                                                           const inner::GroupHeartbeat &heartbeat);
    void onHeartbeatAnswer(const ProcessId &from, const inner::GroupHeartbeatAnswer &answer);
    void onIncarnation(const ProcessId &liveProcess);
    void onProcessGone(const ProcessId &process);
    void setSuccessorCandidates(std::vector<ProcessId> candidates);
    void setPreferredOwner(bool isPreferred);
    void setPrimary(Term term, const ServerName &primary);
    void beginHandOver();
    // Why the row of a hand-over that was begun is not written yet.
    decision::HandOverWait handOverWait() const { return ownership_.handOverWait(now()); }
    void onHandOver(OwnerEpoch newEpoch);
    void tick();

    bool holdsLease() const { return ownership_.holdsLease(ports_.timers.now()); }
    Duration leaseLeft() const;
    decision::OwnershipRole role() const { return ownership_.role(); }
    OwnerEpoch epoch() const { return ownership_.epoch(); }
    const std::optional<decision::TaggedRow> &row() const { return ownership_.row(); }

private:
    void carryOut(const decision::OwnershipActions &actions);
    void carryOut(const decision::ReadRow &action);
    void carryOut(const decision::WriteRow &action);
    void carryOut(const decision::SendLeaseRequest &action);
    void carryOut(const decision::StartServing &action);
    void carryOut(const decision::StopServing &action);
    void carryOut(const decision::SendHandOver &action);
    void onRowRead(const absl::StatusOr<std::optional<services::TableRow>> &read);
    void onRowWritten(const decision::OwnershipRow &row,
                      const absl::StatusOr<std::vector<std::string>> &etags);
    Instant now() const { return ports_.timers.now(); }

    const GroupName group_;
    OwnerPorts &ports_;
    HeartbeatBatch &heartbeats_;
    OwnershipListener &listener_;
    decision::Ownership ownership_;
    Term term_ = 0;
    ServerName primary_;
    // Answers of the table service that arrive after this object is gone are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
