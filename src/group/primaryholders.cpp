#include "group/failovercontroller.h"

#include <algorithm>

// Tracks which servers may hold acknowledged commits and what is known of their logs, and records
// both in the row for the next owner.
namespace kelptally::group {

namespace {

// Minimum time between background writes of the row, so that one write covers several changes.
constexpr Duration minRowWriteInterval = std::chrono::seconds(1);
// Minimum time between log entries about why no replica is promoted.
constexpr Duration waitLogInterval = std::chrono::seconds(1);

void raiseTo(std::optional<Position> &position, Position to)
{
    if (!position || *position < to)
        position = to;
}

} // namespace

// Acknowledgements

void FailoverController::onAcknowledged(Position logPosition, int maxUnacknowledged)
{
    raiseTo(acknowledgedUpperBound_, logPosition);
    const auto unacknowledged = static_cast<LogOffset>(maxUnacknowledged);
    if (logPosition.offset > unacknowledged)
        raiseTo(acknowledgedLowerBound_, {logPosition.term, logPosition.offset - unacknowledged});
}

// Highest position known to be acknowledged, by this owner or by an earlier one as recorded in the
// row.
std::optional<Position> FailoverController::knownAcknowledged() const
{
    std::optional<Position> known = acknowledgedLowerBound_;
    const OwnershipRecord *record = parts_.ownership.record(group_);
    if (record != nullptr && record->acknowledged.term != 0
        && (!known || *known < record->acknowledged))
        known = record->acknowledged;
    return known;
}

// While there is a primary

std::vector<decision::LogHolder> FailoverController::listedHolders() const
{
    std::vector<decision::LogHolder> listed;
    for (const auto &[id, server] : servers_)
        listed.push_back({id, server->listed().endpoint});
    return listed;
}

void FailoverController::refreshHolders(Instant now)
{
    if (now - holdersRefreshedAt_ < queryInterval)
        return;
    holdersRefreshedAt_ = now;
    const bool mayKnowAll = !sawAllAcknowledgements_ && soleOwnerSince_ != Instant();
    if (mayKnowAll || !holders_.unlisted().empty())
        queryPositions(now);
    if (now - rowWrittenAt_ >= minRowWriteInterval)
        recordHolders(now);
}

// Queries the primary, and if holders have vanished also the replicas: one that holds all that the
// vanished ones may hold replaces them.
void FailoverController::queryPositions(Instant now)
{
    const bool includeReplicas = !holders_.unlisted().empty();
    for (const auto &[id, server] : servers_)
        if (id == primary_ || (includeReplicas && !server->isUnreachable()))
            sendCommand(*server, CommandKind::Report, 0, reportTimeout,
                        [this, id = id, now](const ServerReport &report) {
                            onPositionReport(id, report, now);
                        });
}

void FailoverController::onPositionReport(const ServerName &server, const ServerReport &report,
                                          Instant queriedAt)
{
    if (step_ != Step::Leading || report.term != term_)
        return;
    if (server != primary_ && !report.primary)
        return holders_.onReplicaPosition(report.received);
    if (server != primary_ || !report.primary)
        return;
    holders_.onPrimaryPosition(report.received, queriedAt);
    // Only a report requested after the earlier owners had ended has all that they acknowledged.
    if (soleOwnerSince_ == Instant() || queriedAt < soleOwnerSince_)
        return;
    sawAllAcknowledgements_ = true;
    raiseTo(acknowledgedUpperBound_, report.received);
}

void FailoverController::recordHolders(Instant now)
{
    if (primaryUnrecorded_)
        return recordPrimary();
    const OwnershipRecord *record = parts_.ownership.record(group_);
    if (record == nullptr || record->holders == holders_.all())
        return;
    rowWrittenAt_ = now;
    parts_.ownership.change(
        group_, [this](OwnershipRecord &row) { writeHolders(row); }, [](const absl::Status &) {});
}

// Writes what the next owner needs to choose a replica.
void FailoverController::writeHolders(OwnershipRecord &row) const
{
    row.holders = holders_.all();
    row.acknowledged = knownAcknowledged().value_or(Position());
}

// Records the current primary, so that a next owner knows which server led last.
void FailoverController::recordPrimary()
{
    if (!primaryUnrecorded_)
        return;
    rowWrittenAt_ = parts_.timers.now();
    const std::uint64_t stepNumber = stepNumber_;
    parts_.ownership.change(
        group_,
        [this](OwnershipRecord &row) {
            if (measuredLeadTime_ != Duration(0))
                row.leadTime = row.leadTime == Duration(0)
                    ? measuredLeadTime_
                    : std::min(row.leadTime, measuredLeadTime_);
            row.primary = primary_;
            row.term = term_;
            row.termStart = termStart_;
            row.firstSeenOffset = firstSeenOffset_;
            row.candidate.clear();
            row.otherCandidates = false;
            row.primaryServes = false;
            writeHolders(row);
        },
        [this, alive = alive_, stepNumber](const absl::Status &written) {
            if (*alive && stepNumber == stepNumber_ && written.ok())
                primaryUnrecorded_ = false;
        });
}

// While a replica is chosen

// Includes all servers that may hold acknowledged commits, not only the listed ones.
decision::ReplicaChoiceInput FailoverController::choiceState(Instant now) const
{
    decision::ReplicaChoiceInput state;
    state.acknowledgedAtLeast = knownAcknowledged();
    if (sawAllAcknowledgements_)
        state.acknowledgedAtMost = acknowledgedUpperBound_;
    state.waited = timeInStep(now);
    // The row may be older than what this owner has seen, or have a newer term.
    const OwnershipRecord *record = parts_.ownership.record(group_);
    const bool isRowTermNewer = record != nullptr && record->term > term_;
    const Term term = isRowTermNewer ? record->term : term_;
    const LogOffset began = isRowTermNewer ? record->termStart : termStart_;
    state.inheritedOffset = isRowTermNewer ? record->firstSeenOffset : firstSeenOffset_;
    // If the start of the term is unknown, nothing was acknowledged in it before it was first seen.
    state.termStart = {term, began != 0 ? began : state.inheritedOffset};
    for (const decision::LogHolder &holder : holders_.all()) {
        decision::ReplicaState replica;
        replica.server = holder.server;
        replica.endpoint = holder.endpoint;
        replica.isLastPrimary = holder.server == oldPrimary_;
        const auto report = stopReports_.find(holder.server);
        const auto server = servers_.find(holder.server);
        if (report != stopReports_.end() && server != servers_.end())
            replica.heldPosition = report->second.received;
        // A failed candidate is chosen again if it alone has the highest position.
        replica.deprioritised = failedCandidates_.count(holder.server) != 0
            || (server != servers_.end() && server->second->listed().leaving);
        state.replicas.push_back(std::move(replica));
    }
    return state;
}

// Logs that no replica can be promoted as each may lack acknowledged commits, and asks another
// process to take over if it may reach more servers.
void FailoverController::logPromotionWait(const decision::ReplicaChoice &choice, Instant now)
{
    const Instant since = std::max(stepSince_, soleOwnerSince_);
    if (now - since < waitLogInterval || now - waitLoggedAt_ < waitLogInterval)
        return;
    waitLoggedAt_ = now;
    // If no server answers, this process is probably cut off, or all servers are.
    if (choice.heldPosition)
        requestTakeOverForReplica();
    const auto known = knownAcknowledged();
    parts_.log.warning("promotion_waits", decision::choiceRuleName(choice.rule))
        .with("group", group_)
        .with("old_primary", oldPrimary_)
        .with("held", choice.heldPosition ? positionText(*choice.heldPosition) : std::string("-"))
        .with("acknowledged", known ? positionText(*known) : std::string("-"))
        .with("unheard", describeMissingReports());
}

// Another process may reach the replicas that this one can't reach.
void FailoverController::requestTakeOverForReplica()
{
    for (const auto &[id, server] : servers_)
        if (stopReports_.count(id) == 0 && id != oldPrimary_ && !server->listed().missing)
            return parts_.ownership.requestTakeOver(group_, server->listed().endpoint,
                                                    "replica_unreachable");
}

// Describes the servers whose logs are unknown, with the state of each.
std::string FailoverController::describeMissingReports() const
{
    std::string text;
    for (const auto &[id, server] : servers_) {
        if (stopReports_.count(id) != 0)
            continue;
        const char *state = server->isAbsent() ? "absent"
            : server->isUnreachable()          ? "unreachable"
            : server->listed().missing         ? "missing"
                                               : "listed";
        text += (text.empty() ? "" : " ") + id + "=" + state;
    }
    for (const decision::LogHolder &holder : holders_.unlisted())
        text += (text.empty() ? "" : " ") + holder.server + "=vanished";
    return text;
}

} // namespace kelptally::group
