#pragma once

#include "decision/ownership.h"
#include "owner/heartbeatbatch.h"
#include "owner/ownerports.h"

#include <memory>

namespace kelptally::owner {

// Receives the events of an OwnershipDriver.
class OwnershipListener
{
public:
    virtual ~OwnershipListener() = default;

    // This process is the owner and may serve the group.
    virtual void onStartServing(const decision::StartServing &start) = 0;
    virtual void onStopServing(const std::string &reason) = 0;
    // The row was read, or a write of it has ended: the owner, successors or role may have changed.
    virtual void onRowChanged() = 0;
};

// Executes the actions of one group's ownership decision: reads and writes of its row in the table
// service, lease requests and hand-over notifications to other processes.
class OwnershipDriver
{
public:
    OwnershipDriver(GroupName group, OwnerPorts &ports, HeartbeatBatch &heartbeats,
                    OwnershipListener &listener);

    // Reads the row again unless a read is pending.
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
    // Returns why the row of a started hand-over is not written yet.
    decision::HandOverWait handOverWait() const { return ownership_.handOverWait(now()); }
    void onHandOver(OwnerEpoch newEpoch);
    void tick();

    bool holdsLease() const { return ownership_.holdsLease(ports_.timers.now()); }
    Duration leaseLeft() const;
    decision::OwnershipRole role() const { return ownership_.role(); }
    OwnerEpoch epoch() const { return ownership_.epoch(); }
    const std::optional<decision::TaggedRow> &row() const { return ownership_.row(); }

private:
    void perform(const decision::OwnershipActions &actions);
    void perform(const decision::ReadRow &action);
    void perform(const decision::WriteRow &action);
    void perform(const decision::SendLeaseRequest &action);
    void perform(const decision::StartServing &action);
    void perform(const decision::StopServing &action);
    void perform(const decision::SendHandOver &action);
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
    // Guards callbacks that may run after this object was destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace kelptally::owner
