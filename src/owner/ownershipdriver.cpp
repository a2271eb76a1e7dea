#include "owner/ownershipdriver.h"

#include "core/logging.h"
#include "services/ownershiprow.h"

#include <glog/logging.h>

#include <algorithm>
#include <limits>

namespace kelptally::owner {

using decision::WriteOutcome;

namespace {

// Maps a status of the table service to the outcome of the write.
WriteOutcome toWriteOutcome(const absl::Status &status)
{
    if (status.ok())
        return WriteOutcome::Done;
    if (absl::IsFailedPrecondition(status))
        return WriteOutcome::Conflict;
    if (absl::IsUnavailable(status))
        return WriteOutcome::NotSent;
    return WriteOutcome::Unknown;
}

} // namespace

OwnershipDriver::OwnershipDriver(GroupName group, OwnerPorts &ports, HeartbeatBatch &heartbeats,
                                 OwnershipListener &listener)
    : group_(std::move(group)), ports_(ports), heartbeats_(heartbeats), listener_(listener),
      ownership_(group_, ports.self, ports.self.incarnation ^ std::hash<std::string>()(group_))
{ }

void OwnershipDriver::refresh()
{
    perform(ownership_.refresh(now()));
}

std::optional<inner::GroupHeartbeatAnswer>
OwnershipDriver::onHeartbeat(const ProcessId &from, const inner::GroupHeartbeat &heartbeat)
{
    decision::OwnershipActions actions;
    const auto answer =
        ownership_.onLeaseRequest(now(), {heartbeat.epoch, from, heartbeat.sequence}, actions);
    perform(actions);
    if (!answer)
        return std::nullopt;
    return inner::GroupHeartbeatAnswer {group_, answer->epoch, answer->sequence, answer->promised,
                                        answer->knownEpoch};
}

void OwnershipDriver::onHeartbeatAnswer(const ProcessId &from,
                                        const inner::GroupHeartbeatAnswer &answer)
{
    const decision::LeaseAnswer leaseAnswer {from, answer.epoch, answer.sequence, answer.promised,
                                             answer.knownEpoch};
    perform(ownership_.onLeaseAnswer(now(), leaseAnswer));
}

void OwnershipDriver::onIncarnation(const ProcessId &liveProcess)
{
    perform(ownership_.onIncarnation(now(), liveProcess));
}

void OwnershipDriver::onProcessGone(const ProcessId &process)
{
    perform(ownership_.onProcessGone(now(), process));
}

void OwnershipDriver::setSuccessorCandidates(std::vector<ProcessId> candidates)
{
    ownership_.setSuccessorCandidates(std::move(candidates));
}

void OwnershipDriver::setPreferredOwner(bool isPreferred)
{
    ownership_.setPreferredOwner(isPreferred);
}

void OwnershipDriver::setPrimary(Term term, const ServerName &primary)
{
    term_ = term;
    primary_ = primary;
    ownership_.setPrimary(term, primary);
}

void OwnershipDriver::beginHandOver()
{
    perform(ownership_.beginHandOver(now()));
}

void OwnershipDriver::onHandOver(OwnerEpoch newEpoch)
{
    perform(ownership_.onHandOver(now(), newEpoch));
}

void OwnershipDriver::tick()
{
    perform(ownership_.onTick(now()));
}

Duration OwnershipDriver::leaseLeft() const
{
    constexpr Duration maxLeaseLeft = std::chrono::hours(1);
    const Instant end = ownership_.leaseEnd();
    if (end <= now())
        return Duration(0);
    return end > now() + maxLeaseLeft ? maxLeaseLeft : end - now();
}

void OwnershipDriver::perform(const decision::OwnershipActions &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &typedAction) { perform(typedAction); }, action);
}

void OwnershipDriver::perform(const decision::ReadRow &)
{
    std::weak_ptr<bool> alive = alive_;
    ports_.table.read(services::ownershipTable, group_, [this, alive](auto read) {
        if (!alive.expired())
            onRowRead(read);
    });
}

void OwnershipDriver::perform(const decision::WriteRow &action)
{
    services::ConditionalWrite write;
    write.table = services::ownershipTable;
    write.key = group_;
    write.value = services::encodeOwnershipRow(action.row);
    write.expectedEtag = action.expectedEtag;
    LOG(INFO) << "event=ownership_write group=" << group_ << " epoch=" << action.row.epoch
              << " owner=" << action.row.owner.address
              << " successors=" << action.row.successors.size();
    std::weak_ptr<bool> alive = alive_;
    ports_.table.write({std::move(write)}, [this, alive, row = action.row](auto etags) {
        if (!alive.expired())
            onRowWritten(row, etags);
    });
}

void OwnershipDriver::perform(const decision::SendLeaseRequest &action)
{
    heartbeats_.add(action.to,
                    {group_, action.request.epoch, action.request.sequence, term_, primary_});
}

void OwnershipDriver::perform(const decision::StartServing &action)
{
    LOG(INFO) << "event=start_serving group=" << group_ << " epoch=" << action.epoch;
    listener_.onRowChanged();
    listener_.onStartServing(action);
}

void OwnershipDriver::perform(const decision::StopServing &action)
{
    LOG(INFO) << "event=stop_serving group=" << group_ << " cause=" << logValue(action.reason);
    listener_.onStopServing(action.reason);
    listener_.onRowChanged();
}

void OwnershipDriver::perform(const decision::SendHandOver &action)
{
    LOG(INFO) << "event=hand_over group=" << group_ << " to=" << action.to.address
              << " epoch=" << action.epoch;
    ports_.links.sendTo(action.to.address, inner::HandOver {group_, action.epoch}).IgnoreError();
}

void OwnershipDriver::onRowRead(const absl::StatusOr<std::optional<services::TableRow>> &read)
{
    if (!read.ok()) {
        perform(ownership_.onRowReadFailed(now()));
        return;
    }
    if (!read->has_value()) {
        perform(ownership_.onRow(now(), std::nullopt));
        return;
    }
    const auto row = services::decodeOwnershipRow((*read)->value);
    if (!row.ok()) {
        LOG(ERROR) << "event=ownership_row_unreadable group=" << group_
                   << " cause=" << logValue(std::string(row.status().message()));
        perform(ownership_.onRowReadFailed(now()));
        return;
    }
    perform(ownership_.onRow(now(), decision::TaggedRow {*row, (*read)->etag}));
    listener_.onRowChanged();
}

void OwnershipDriver::onRowWritten(const decision::OwnershipRow &row,
                                   const absl::StatusOr<std::vector<std::string>> &etags)
{
    const WriteOutcome outcome = toWriteOutcome(etags.status());
    const std::string newEtag = etags.ok() && !etags->empty() ? etags->front() : std::string();
    if (outcome != WriteOutcome::Done)
        LOG(WARNING) << "event=ownership_write_failed group=" << group_ << " epoch=" << row.epoch
                     << " cause=" << logValue(std::string(etags.status().message()));
    perform(ownership_.onWriteOutcome(now(), row.changeId, outcome, newEtag));
    listener_.onRowChanged();
}

} // namespace kelptally::owner
