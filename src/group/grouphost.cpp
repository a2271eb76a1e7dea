#include "group/grouphost.h"

#include "session/statementrules.h"

#include <algorithm>
#include <utility>

namespace kelptally::group {

namespace {

// After another process has taken the group, open transactions get this long to end here.
constexpr Duration lastStatements = std::chrono::milliseconds(1500);
// Of a server's connections the entries of its zone may borrow this share; the owner takes 60%.
constexpr int lentPercent = 30;
// More than this an entry could hardly use at once without filling the server's slots.
constexpr int mostLent = 2;
// A host that stops offers its groups to all that it has links with, so that one with room claims
// each; what nobody has claimed after this time is given to one of them.
constexpr Duration offerTime = std::chrono::milliseconds(400);
constexpr Duration quietPeriod = std::chrono::milliseconds(100);
// An entry without a link is gone after this long: one that lives dials again after 25 to 50 ms.
constexpr Duration entryReturns = std::chrono::milliseconds(600);
// Answers are kept for longer than an entry needs to notice that its link is silent.
constexpr Duration keepAnswers = std::chrono::seconds(3);

} // namespace

GroupHost::GroupHost(const Parts &parts)
    : parts_(parts),
      ownership_({parts.timers, parts.table, parts.feed, parts.direct, parts.links, parts.log,
                  parts.metrics, parts.self, parts.zone, parts.processors,
                  [this](const std::string &address, std::function<void(bool)> callback) {
                      constexpr Duration timeout = std::chrono::milliseconds(150);
                      parts_.probe(address, timeout, [callback](ProbeOutcome outcome) {
                          callback(outcome == ProbeOutcome::Refused);
                      });
                  },
                  parts.askPeers, parts.tellPeers,
                  [this](const GroupName &group) {
                      const auto found = servers_.find(group);
                      if (found != servers_.end())
                          for (const ListedServer &server : found->second)
                              if (server.primary)
                                  return server.zone;
                      return ZoneName();
                  },
                  parts.storeIsSilent},
                 *this),
      quotas_({parts.timers, parts.links, ownership_, parts.log, parts.metrics, parts.self,
               parts.quotaTolerance})
{ }

GroupHost::Held &GroupHost::held(const GroupName &group)
{
    Held &held = groups_[group];
    if (held.runner)
        return held;
    held.runner = std::make_unique<GroupRunner>(
        GroupRunner::Parts {parts_.timers, parts_.connector, ownership_, quotas_, parts_.promotions,
                            parts_.log, parts_.metrics, parts_.times, parts_.probe, parts_.zone,
                            parts_.onSilence, parts_.ways},
        group);
    held.runner->setServerLeaveTime(serverLeaveTime_);
    if (const session::GroupOptions *options = optionsOf(group))
        held.runner->setOptions(*options);
    held.runner->setServers(servers_[group]);
    return held;
}

void GroupHost::setServerLeaveTime(Duration time)
{
    serverLeaveTime_ = time;
    for (const auto &[group, held] : groups_)
        held.runner->setServerLeaveTime(time);
}

GroupRunner *GroupHost::find(const GroupName &group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? nullptr : found->second.runner.get();
}

void GroupHost::setServers(const GroupName &group, const std::vector<ListedServer> &servers)
{
    servers_[group] = servers;
    if (GroupRunner *runner = find(group))
        runner->setServers(servers);
}

void GroupHost::setCatalogue(session::CataloguePtr catalogue)
{
    quotas_.setCatalogue(*catalogue);
    catalogue_ = std::move(catalogue);
    for (const auto &[group, held] : groups_)
        if (const session::GroupOptions *options = optionsOf(group))
            held.runner->setOptions(*options);
}

// Null when the configuration does not name the group.
const session::GroupOptions *GroupHost::optionsOf(const GroupName &group) const
{
    if (catalogue_ == nullptr)
        return nullptr;
    const auto found = catalogue_->groups.find(group);
    return found == catalogue_->groups.end() ? nullptr : &found->second;
}

void GroupHost::run(inner::LinkId origin, inner::RunStatement statement,
                    session::DoneCallback callback)
{
    const GroupName group = statement.group;
    const auto answer = [this, group, callback = std::move(callback)](inner::StatementDone done) {
        const OwnershipRecord *record = ownership_.record(group);
        if (done.reason == Reason::NotOwner && record != nullptr) {
            done.ownerEpoch = record->epoch;
            done.owner = record->owner;
        }
        callback(std::move(done));
    };
    if (GroupRunner *runner = find(group))
        return runner->run(origin, std::move(statement), answer);
    inner::StatementDone done;
    done.requestId = statement.requestId;
    done.reason = Reason::NotOwner;
    answer(std::move(done));
}

void GroupHost::endTransaction(inner::LinkId origin, const inner::EndTransaction &end)
{
    if (GroupRunner *runner = find(end.group))
        runner->endTransaction(origin, end);
}

void GroupHost::onOwnerChanged(const GroupName &group)
{
    parts_.onOwnerChanged(group);
}

void GroupHost::onAcquired(const GroupName &group)
{
    Held &mine = held(group);
    mine.handingOver = false;
    mine.offeredAt = Instant();
    mine.runner->onAcquired();
}

void GroupHost::onLost(const GroupName &group)
{
    Held &mine = held(group);
    mine.lostAt = parts_.timers.now();
    mine.runner->onLost();
    closeWhenQuiet(group);
}

// The next owner needs the connections.
void GroupHost::closeWhenQuiet(const GroupName &group)
{
    Held &mine = held(group);
    if (ownership_.owns(group))
        return;
    if (mine.runner->isQuiet())
        return mine.runner->closeAll();
    parts_.timers.subscribeAfter(quietPeriod, [this, group] { closeWhenQuiet(group); });
}

void GroupHost::onStatement(inner::LinkId link, inner::RunStatement statement)
{
    const GroupName group = statement.group;
    Entry *entry = entryOf(link);
    if (entry == nullptr)
        return;
    const auto lend = [this, link, group](inner::StatementDone &done) {
        done.grantedConnections = lentTo(link, group);
    };
    // 1. A single read may run twice.
    if (session::isSingleRead(statement)) {
        return run(entry->origin, std::move(statement), [this, link, lend](auto done) {
            lend(done);
            static_cast<void>(parts_.links.sendOn(link, std::move(done)));
        });
    }
    // 2. Anything else runs once: a second copy waits for the first one's answer, or gets it. One
    // that may be a copy of a forgotten statement does not run.
    const bool isKnown = entry->answers.count(statement.requestId) != 0;
    if (!isKnown && statement.requestId <= entry->forgottenUpTo)
        return refuse(link, statement.requestId, Reason::Unconfirmed, Executed::Unknown,
                      "it may have run already, and its answer is not kept any more");
    // 3. A link that was cut may deliver after the one that was dialled beside it. A begin from it
    // would take the place of the session's next transaction, and a commit would commit that one.
    if (!isKnown && isOvertaken(*entry, statement)) {
        parts_.log.info("statement_overtaken")
            .with("id", statement.statementId)
            .with("group", group)
            .with("session", statement.session);
        return refuse(link, statement.requestId, Reason::TransactionEnded, Executed::No,
                      "its session has gone on without it");
    }
    if (statement.inTransaction)
        noteSession(*entry, statement.session, statement.requestId);
    entry->newest = std::max(entry->newest, statement.requestId);
    const auto [answer, isNew] = entry->answers.try_emplace(statement.requestId);
    answer->second.link = link;
    if (!isNew) {
        parts_.log.info("statement_repeated")
            .with("id", statement.statementId)
            .with("answered", answer->second.done.has_value());
        if (answer->second.done)
            static_cast<void>(parts_.links.sendOn(link, *answer->second.done));
        return;
    }
    run(entry->origin, std::move(statement),
        [this, lend, address = entry->process.address, origin = entry->origin](auto done) {
            lend(done);
            onAnswered(address, origin, std::move(done));
        });
}

void GroupHost::onAnswered(const std::string &address, inner::LinkId origin,
                           inner::StatementDone done)
{
    const auto found = entries_.find(address);
    if (found == entries_.end() || found->second.origin != origin)
        return;
    Entry &entry = found->second;
    const auto answer = entry.answers.find(done.requestId);
    if (answer == entry.answers.end())
        return;
    static_cast<void>(parts_.links.sendOn(answer->second.link, done));
    const Instant now = parts_.timers.now();
    entry.answered.emplace_back(now, done.requestId);
    answer->second.done = std::move(done);
    while (now - entry.answered.front().first > keepAnswers) {
        entry.forgottenUpTo = std::max(entry.forgottenUpTo, entry.answered.front().second);
        entry.answers.erase(entry.answered.front().second);
        entry.answered.pop_front();
    }
    forgetSessions(entry);
}

void GroupHost::refuse(inner::LinkId link, inner::RequestId id, Reason reason, Executed executed,
                       const std::string &detail)
{
    inner::StatementDone done;
    done.requestId = id;
    done.reason = reason;
    done.executed = executed;
    done.detail = detail;
    static_cast<void>(parts_.links.sendOn(link, std::move(done)));
}

void GroupHost::noteSession(Entry &entry, std::uint64_t session, inner::RequestId number)
{
    const auto [known, isNew] = entry.sessions.try_emplace(session, number);
    if (!isNew && number <= known->second)
        return;
    entry.sessionsByNumber.erase({known->second, session});
    known->second = number;
    entry.sessionsByNumber.insert({number, session});
}

void GroupHost::forgetSessions(Entry &entry)
{
    while (!entry.sessionsByNumber.empty()) {
        const auto oldest = entry.sessionsByNumber.begin();
        if (oldest->first > entry.forgottenUpTo)
            return;
        entry.sessions.erase(oldest->second);
        entry.sessionsByNumber.erase(oldest);
    }
}

bool GroupHost::isOvertaken(const Entry &entry, const inner::RunStatement &statement)
{
    const auto session = entry.sessions.find(statement.session);
    return statement.inTransaction && session != entry.sessions.end()
        && statement.requestId <= session->second;
}

void GroupHost::onEndTransaction(inner::LinkId link, const inner::EndTransaction &end)
{
    Entry *entry = entryOf(link);
    if (entry == nullptr)
        return;
    noteSession(*entry, end.session, end.begunBy);
    endTransaction(entry->origin, end);
}

GroupHost::Entry *GroupHost::entryOf(inner::LinkId link)
{
    const auto peer = peers_.find(link);
    if (peer == peers_.end())
        return nullptr;
    const auto entry = entries_.find(peer->second.process.address);
    return entry == entries_.end() ? nullptr : &entry->second;
}

// Answered once it is true.
void GroupHost::onEndRequest(inner::LinkId link, const inner::OwnershipEndRequest &request)
{
    const OwnershipRecord *record = ownership_.record(request.group);
    if (record != nullptr && record->epoch <= request.epoch)
        ownership_.refreshOwner(request.group);
    if (ownership_.owns(request.group) || (record != nullptr && record->epoch <= request.epoch))
        return;
    const auto found = groups_.find(request.group);
    if (found != groups_.end() && !found->second.runner->isQuiet()) {
        if (parts_.timers.now() - found->second.lostAt < lastStatements)
            return;
        found->second.runner->closeAll();
    }
    static_cast<void>(
        parts_.links.sendOn(link, inner::OwnershipEnded {request.group, request.epoch}));
}

// All entries of one zone together borrow a fixed part of each replica's connections there.
int GroupHost::lentTo(inner::LinkId link, const GroupName &group) const
{
    const auto peer = peers_.find(link);
    const GroupRunner *runner = find(group);
    if (peer == peers_.end() || runner == nullptr)
        return 0;
    std::set<std::string> entries;
    for (const auto &[id, other] : peers_)
        if (other.zone == peer->second.zone)
            entries.insert(other.process.address);
    const int lent = runner->maxConnections() * lentPercent / 100;
    return std::min(mostLent, lent / static_cast<int>(entries.size()));
}

void GroupHost::onPeerUp(inner::LinkId link, const inner::Hello &peer)
{
    peers_[link] = peer;
    const std::string &address = peer.process.address;
    const auto known = entries_.find(address);
    if (known != entries_.end() && known->second.process != peer.process) {
        endEntry(known->second);
        entries_.erase(known);
    }
    Entry &entry = entries_[address];
    if (entry.origin == 0) {
        entry.process = peer.process;
        entry.origin = ++lastOrigin_;
    }
    entry.links.insert(link);
    parts_.timers.cancel(entry.gone);
}

void GroupHost::onPeerDown(inner::LinkId link)
{
    Entry *entry = entryOf(link);
    peers_.erase(link);
    if (entry == nullptr || entry->links.erase(link) == 0 || !entry->links.empty())
        return;
    const std::string address = entry->process.address;
    entry->gone = parts_.timers.subscribeAfter(entryReturns,
                                               [this, address] { endEntry(entries_.at(address)); });
}

// The entry itself stays known: should it come back, it must not make anything run twice.
void GroupHost::endEntry(Entry &entry)
{
    parts_.timers.cancel(entry.gone);
    entry.forgottenUpTo = entry.newest;
    entry.answers.clear();
    entry.answered.clear();
    forgetSessions(entry);
    for (const auto &[group, held] : groups_)
        held.runner->onOriginGone(entry.origin);
}

void GroupHost::handOverAll(const std::map<std::string, inner::Hello> &peers)
{
    ownership_.stopClaiming();
    const Instant now = parts_.timers.now();
    const std::set<GroupName> owned = ownership_.owned();
    for (const GroupName &group : owned) {
        Held &mine = held(group);
        if (mine.handingOver)
            continue;
        if (peers.empty()) {
            if (!std::exchange(mine.toldNoPeer, true))
                parts_.log.warning("hand_over_waits", "no_peer").with("group", group);
            continue;
        }
        if (mine.offeredAt == Instant()) {
            mine.offeredAt = now;
            ownership_.requestTakeOver(group, std::string(), "stopping");
        }
        if (now - mine.offeredAt < offerTime)
            continue;
        // In the primary's zone if possible, else spread by name.
        const ZoneName zone = mine.runner->primaryZone();
        auto chosen = peers.begin();
        std::advance(chosen, std::hash<std::string>()(group) % peers.size());
        for (auto peer = peers.begin(); peer != peers.end(); ++peer)
            if (peer->second.zone == zone && chosen->second.zone != zone)
                chosen = peer;
        mine.handingOver = true;
        parts_.log.info("hand_over").with("group", group).with("to", chosen->first);
        ownership_.handOver(group, chosen->second.process, chosen->second.zone,
                            [this, group](const absl::Status &status) {
                                if (status.ok())
                                    return;
                                held(group).handingOver = false;
                                parts_.log.warning("hand_over_failed")
                                    .with("group", group)
                                    .with("cause", status.message());
                            });
    }
}

void GroupHost::dropIdle(Instant since)
{
    for (const auto &[group, held] : groups_)
        held.runner->dropIdle(since);
}

bool GroupHost::isQuiet() const
{
    if (!ownership_.owned().empty())
        return false;
    for (const auto &[group, held] : groups_)
        if (!held.runner->isQuiet())
            return false;
    return true;
}

std::vector<inner::GroupStatus> GroupHost::status() const
{
    std::vector<inner::GroupStatus> all;
    if (catalogue_ == nullptr)
        return all;
    for (const auto &[group, options] : catalogue_->groups) {
        const GroupRunner *runner = ownership_.owns(group) ? find(group) : nullptr;
        if (runner != nullptr) {
            all.push_back(runner->status());
            continue;
        }
        inner::GroupStatus status;
        status.group = group;
        if (const OwnershipRecord *record = ownership_.record(group)) {
            status.epoch = record->epoch;
            status.owner = record->owner;
            status.term = record->term;
            status.primary = record->primary;
        }
        all.push_back(std::move(status));
    }
    return all;
}

std::size_t GroupHost::queued() const
{
    std::size_t count = 0;
    for (const auto &[group, held] : groups_)
        count += held.runner->queued();
    return count;
}

} // namespace kelptally::group
