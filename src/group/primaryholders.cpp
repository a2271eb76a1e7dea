#include "group/primarykeeper.h"

#include <algorithm>

// Which servers may hold acknowledged commits, what is known of their logs, and what the row tells
// the next owner of both.
namespace kelptally::group {

namespace {

// Between two writes of the row that no caller waits for: servers come and go a few at a time.
constexpr Duration rowPause = std::chrono::seconds(1);
// The log tells this often why nothing is promoted.
constexpr Duration waitingNoted = std::chrono::seconds(1);

void raise(std::optional<Position> &position, Position to)
{
    if (!position || *position < to)
        position = to;
}

} // namespace

// Acknowledgements

void PrimaryKeeper::onAcknowledged(Position shown, int beside)
{
    raise(acknowledgedAtMost_, shown);
    const auto unsure = static_cast<LogOffset>(beside);
    if (shown.offset > unsure)
        raise(acknowledgedAtLeast_, {shown.term, shown.offset - unsure});
}

// Here, or by what an earlier owner left in the row.
std::optional<Position> PrimaryKeeper::surelyAcknowledged() const
{
    std::optional<Position> known = acknowledgedAtLeast_;
    const OwnershipRecord *record = parts_.ownership.record(group_);
    if (record != nullptr && record->acknowledged.term != 0
        && (!known || *known < record->acknowledged))
        known = record->acknowledged;
    return known;
}

// While a primary leads

std::vector<decision::LogHolder> PrimaryKeeper::listedHolders() const
{
    std::vector<decision::LogHolder> listed;
    for (const auto &[id, server] : servers_)
        listed.push_back({id, server->listed().endpoint});
    return listed;
}

void PrimaryKeeper::watchHolders(Instant now)
{
    if (now - holdersWatchedAt_ < askPeriod)
        return;
    holdersWatchedAt_ = now;
    const bool mayKnowAll = !knowsAll_ && aloneSince_ != Instant();
    if (mayKnowAll || !holders_.unlisted().empty())
        askWhatIsHeld(now);
    if (now - rowWrittenAt_ >= rowPause)
        recordHolders(now);
}

// The primary, and while some have vanished the others, too: whether they hold what those may hold.
void PrimaryKeeper::askWhatIsHeld(Instant now)
{
    const bool replicasToo = !holders_.unlisted().empty();
    for (const auto &[id, server] : servers_)
        if (id == primary_ || (replicasToo && !server->isUnreachable()))
            ask(*server, CommandKind::Report, 0, reportTimeout,
                [this, id = id, now](const ServerReport &report) { onHeld(id, report, now); });
}

void PrimaryKeeper::onHeld(const ServerName &server, const ServerReport &report, Instant asked)
{
    if (step_ != Step::Leading || report.term != term_)
        return;
    if (server != primary_ && !report.primary)
        return holders_.onReplicaPosition(report.received);
    if (server != primary_ || !report.primary)
        return;
    holders_.onPrimaryPosition(report.received, asked);
    // Asked after the owners before this one had ended: all that they acknowledged is in it. An
    // answer that was already on its way then shows less.
    if (aloneSince_ == Instant() || asked < aloneSince_)
        return;
    knowsAll_ = true;
    raise(acknowledgedAtMost_, report.received);
}

void PrimaryKeeper::recordHolders(Instant now)
{
    if (leadUnrecorded_)
        return recordLead();
    const OwnershipRecord *record = parts_.ownership.record(group_);
    if (record == nullptr || record->holders == holders_.all())
        return;
    rowWrittenAt_ = now;
    parts_.ownership.change(
        group_, [this](OwnershipRecord &row) { tellHolders(row); }, [](const absl::Status &) {});
}

// What the next owner has to know of logs, should this one be lost.
void PrimaryKeeper::tellHolders(OwnershipRecord &row) const
{
    row.holders = holders_.all();
    row.acknowledged = surelyAcknowledged().value_or(Position());
}

// A row that goes on naming the primary before hides from the next owner which server led last.
void PrimaryKeeper::recordLead()
{
    if (!leadUnrecorded_)
        return;
    rowWrittenAt_ = parts_.timers.now();
    const std::uint64_t change = change_;
    parts_.ownership.change(
        group_,
        [this](OwnershipRecord &row) {
            if (leadTook_ != Duration(0))
                row.leadTime =
                    row.leadTime == Duration(0) ? leadTook_ : std::min(row.leadTime, leadTook_);
            row.primary = primary_;
            row.term = term_;
            row.termBegan = termBegan_;
            row.firstHeld = firstHeld_;
            row.candidate.clear();
            row.otherCandidates = false;
            row.primaryServes = false;
            tellHolders(row);
        },
        [this, alive = alive_, change](const absl::Status &written) {
            if (*alive && change == change_ && written.ok())
                leadUnrecorded_ = false;
        });
}

// While one is chosen

// All that may hold acknowledged commits count, not only those that the list names now.
decision::ChoiceState PrimaryKeeper::choiceState(Instant now) const
{
    decision::ChoiceState state;
    state.acknowledgedAtLeast = surelyAcknowledged();
    if (knowsAll_)
        state.acknowledgedAtMost = acknowledgedAtMost_;
    state.waited = inStep(now);
    // The row may lag behind what this owner has seen, or tell of a term that it has not.
    const OwnershipRecord *record = parts_.ownership.record(group_);
    const bool isRowsTerm = record != nullptr && record->term > term_;
    const Term term = isRowsTerm ? record->term : term_;
    const LogOffset began = isRowsTerm ? record->termBegan : termBegan_;
    state.inherited = isRowsTerm ? record->firstHeld : firstHeld_;
    // Where its beginning is not known, nothing was acknowledged in it before it was first seen.
    state.termBegan = {term, began != 0 ? began : state.inherited};
    for (const decision::LogHolder &holder : holders_.all()) {
        decision::ReplicaState replica;
        replica.server = holder.server;
        replica.endpoint = holder.endpoint;
        replica.isLastLeader = holder.server == oldPrimary_;
        const auto report = stopped_.find(holder.server);
        const auto server = servers_.find(holder.server);
        if (report != stopped_.end() && server != servers_.end())
            replica.held = report->second.received;
        // One that failed as a candidate still counts by its position: if it holds the most, it is
        // the one again.
        replica.avoided = excluded_.count(holder.server) != 0
            || (server != servers_.end() && server->second->listed().leaving);
        state.replicas.push_back(std::move(replica));
    }
    return state;
}

// Nothing is promoted that may lack something acknowledged, however long that takes.
void PrimaryKeeper::noteWaiting(const decision::ReplicaChoice &choice, Instant now)
{
    const Instant since = std::max(stepSince_, aloneSince_);
    if (now - since < waitingNoted || now - waitingNotedAt_ < waitingNoted)
        return;
    waitingNotedAt_ = now;
    // One that hears nobody is the one that is cut off, or all servers are.
    if (choice.held)
        askForHearing();
    const auto known = surelyAcknowledged();
    parts_.log.warning("promotion_waits", decision::ruleName(choice.rule))
        .with("group", group_)
        .with("old_primary", oldPrimary_)
        .with("held", choice.held ? positionText(*choice.held) : std::string("-"))
        .with("acknowledged", known ? positionText(*known) : std::string("-"))
        .with("unheard", unheard());
}

// Another process may reach the replicas that this one does not.
void PrimaryKeeper::askForHearing()
{
    for (const auto &[id, server] : servers_)
        if (stopped_.count(id) == 0 && id != oldPrimary_ && !server->listed().missing)
            return parts_.ownership.askTakeOver(group_, server->listed().endpoint,
                                                "replica_unreachable");
}

// Servers whose logs the choice does not know, and what is known of each.
std::string PrimaryKeeper::unheard() const
{
    std::string text;
    for (const auto &[id, server] : servers_) {
        if (stopped_.count(id) != 0)
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
