#include "group/grouphost.h"

#include "session/statementrules.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <utility>

namespace kelptally::group {

namespace {

// Time allowed to open transactions after another process has taken the group.
constexpr Duration transactionDrainTime = std::chrono::milliseconds(1500);
// Percentage of a server's connections that is granted to the entries of its zone. The owner's own
// share comes in addition.
constexpr int grantedPercent = 30;
// Limits the slots of a server that a single entry can occupy.
constexpr int maxGrantedConnections = 2;
// A stopping host offers its groups to all peers, and after this time hands over each unclaimed
// group to a peer of its own choice.
constexpr Duration offerTimeout = std::chrono::milliseconds(400);
constexpr Duration idleCheckInterval = std::chrono::milliseconds(100);
// Time without a link after which an entry's transactions are rolled back; a running entry
// reconnects sooner.
constexpr Duration entryExpiry = std::chrono::milliseconds(600);
// Exceeds the time in which an entry detects a silent link.
constexpr Duration answerRetention = std::chrono::seconds(3);
// The same for single reads, which may run again: a link is replaced within this time.
constexpr Duration readRetention = std::chrono::milliseconds(600);
constexpr std::size_t maxKeptReads = 64;
constexpr std::size_t maxKeptReadBytes = 16u << 10;

} // namespace

GroupHost::GroupHost(const Parts &parts)
    : parts_(parts),
      repeatsOfRunning_(parts.metrics.counter(
          "kelptally_statements_repeated_total",
          "Further copies of statements that entries sent again", {{"first", "running"}})),
      repeatsOfAnswered_(parts.metrics.counter(
          "kelptally_statements_repeated_total",
          "Further copies of statements that entries sent again", {{"first", "answered"}})),
      ownership_({parts.timers, parts.table, parts.feed, parts.directFeed, parts.links, parts.log,
                  parts.metrics, parts.self, parts.zone, parts.processors,
                  [this](const std::string &address, std::function<void(bool)> callback) {
                      constexpr Duration timeout = std::chrono::milliseconds(150);
                      parts_.probe(address, timeout, [callback](ProbeOutcome outcome) {
                          callback(outcome == ProbeOutcome::Refused);
                      });
                  },
                  parts.queryPeers, parts.broadcastTakeOver,
                  [this](const GroupName &group) {
                      const auto found = servers_.find(group);
                      if (found != servers_.end())
                          for (const ListedServer &server : found->second)
                              if (server.primary)
                                  return server.zone;
                      return ZoneName();
                  },
                  parts.isStoreUnavailable},
                 *this),
      quotas_({parts.timers, parts.links, ownership_, parts.log, parts.metrics, parts.self,
               parts.quotaTolerance,
               [this](const std::string &address) { return linkTo(address); }})
{ }

inner::LinkId GroupHost::linkTo(const std::string &address) const
{
    const inner::LinkId dialled = parts_.links.linkTo(address);
    const auto entry = entries_.find(address);
    if (dialled != 0 || entry == entries_.end() || entry->second.links.empty())
        return dialled;
    return *entry->second.links.rbegin();
}

GroupHost::HostedGroup &GroupHost::hostedGroup(const GroupName &group)
{
    HostedGroup &hosted = groups_[group];
    if (hosted.runner)
        return hosted;
    hosted.runner = std::make_unique<GroupRunner>(
        GroupRunner::Parts {parts_.timers, parts_.connector, ownership_, quotas_, parts_.promotions,
                            parts_.log, parts_.metrics, parts_.times, parts_.probe, parts_.zone,
                            parts_.onSilentConnections, parts_.policies},
        group);
    hosted.runner->setServerLeaveTime(serverLeaveTime_);
    if (const session::GroupOptions *options = optionsOf(group))
        hosted.runner->setOptions(*options);
    hosted.runner->setServers(servers_[group]);
    return hosted;
}

void GroupHost::setServerLeaveTime(Duration time)
{
    serverLeaveTime_ = time;
    for (const auto &[group, hosted] : groups_)
        hosted.runner->setServerLeaveTime(time);
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
    for (const auto &[group, hosted] : groups_)
        if (const session::GroupOptions *options = optionsOf(group))
            hosted.runner->setOptions(*options);
}

// Returns null if the configuration does not contain the group.
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
    HostedGroup &hosted = hostedGroup(group);
    hosted.handingOver = false;
    hosted.offeredAt = Instant();
    quotas_.onAcquired(group);
    hosted.runner->onAcquired();
}

void GroupHost::onLost(const GroupName &group)
{
    HostedGroup &hosted = hostedGroup(group);
    hosted.lostAt = parts_.timers.now();
    hosted.runner->onLost();
    quotas_.onLost(group);
    closeWhenIdle(group);
}

// Closes the connections once the group is idle, as they count towards the servers' limits.
void GroupHost::closeWhenIdle(const GroupName &group)
{
    HostedGroup &hosted = hostedGroup(group);
    if (ownership_.owns(group))
        return;
    if (hosted.runner->isIdle())
        return hosted.runner->closeAll();
    parts_.timers.subscribeAfter(idleCheckInterval, [this, group] { closeWhenIdle(group); });
}

void GroupHost::onStatement(inner::LinkId link, inner::RunStatement statement)
{
    const GroupName group = statement.group;
    Entry *entry = entryOf(link);
    if (entry == nullptr)
        return;
    const auto grantConnections = [this, link, group](inner::StatementDone &done) {
        done.grantedConnections = connectionsGrantedTo(link, group);
    };
    // 1. A single read that is sent again would load the servers twice.
    if (session::isSingleRead(statement)) {
        if (isFurtherCopy(entry->reads, link, statement))
            return;
        return run(entry->origin, std::move(statement),
                   [this, grantConnections, address = entry->process.address,
                    origin = entry->origin](auto done) {
                       grantConnections(done);
                       onReadAnswered(address, origin, std::move(done));
                   });
    }
    // 2. Any other statement runs once: a duplicate gets the answer to the first copy. A statement
    // that may be a duplicate of a forgotten one is refused.
    const bool isKnown = entry->answers.count(statement.requestId) != 0;
    if (!isKnown && statement.requestId <= entry->forgottenUpTo)
        return refuse(link, statement.requestId, Reason::Unconfirmed, Executed::Unknown,
                      "the statement may have run already and its answer is no longer kept");
    // 3. A broken link may deliver statements after the link that replaced it. A late begin would
    // displace the session's next transaction, and a late commit would commit it.
    if (!isKnown && isSuperseded(*entry, statement)) {
        parts_.log.info("statement_overtaken")
            .with("id", statement.statementId)
            .with("group", group)
            .with("session", statement.session);
        return refuse(link, statement.requestId, Reason::TransactionEnded, Executed::No,
                      "the session has already abandoned this transaction");
    }
    if (statement.inTransaction)
        recordSession(*entry, statement.session, statement.requestId);
    entry->newestRequest = std::max(entry->newestRequest, statement.requestId);
    if (isFurtherCopy(entry->answers, link, statement))
        return;
    run(entry->origin, std::move(statement),
        [this, grantConnections, address = entry->process.address,
         origin = entry->origin](auto done) {
            grantConnections(done);
            onAnswered(address, origin, std::move(done));
        });
}

bool GroupHost::isFurtherCopy(std::unordered_map<inner::RequestId, Answer> &answers,
                              inner::LinkId link, const inner::RunStatement &statement)
{
    const auto [answer, isNew] = answers.try_emplace(statement.requestId);
    // The first copy may arrive after the one that was sent again on a newer link, and its own link
    // is about to be closed. Ids of links increase.
    answer->second.link = std::max(answer->second.link, link);
    if (isNew)
        return false;
    const std::optional<inner::StatementDone> &done = answer->second.done;
    (done ? repeatsOfAnswered_ : repeatsOfRunning_).Increment();
    parts_.log.info("statement_repeated")
        .with("id", statement.statementId)
        .with("answered", done.has_value());
    if (done)
        static_cast<void>(parts_.links.sendOn(answer->second.link, *done));
    return true;
}

GroupHost::Entry *GroupHost::entryAt(const std::string &address, inner::LinkId origin)
{
    const auto found = entries_.find(address);
    const bool isSameRun = found != entries_.end() && found->second.origin == origin;
    return isSameRun ? &found->second : nullptr;
}

// Refusals are not kept: the read may be served when it is sent again.
void GroupHost::onReadAnswered(const std::string &address, inner::LinkId origin,
                               inner::StatementDone done)
{
    Entry *entry = entryAt(address, origin);
    if (entry == nullptr)
        return;
    const auto answer = entry->reads.find(done.requestId);
    if (answer == entry->reads.end())
        return;
    static_cast<void>(parts_.links.sendOn(answer->second.link, done));
    const Instant now = parts_.timers.now();
    std::size_t bytes = 0;
    for (const std::string &row : done.rows)
        bytes += row.size();
    if (done.reason == Reason::None && bytes <= maxKeptReadBytes) {
        entry->readTimes.emplace_back(now, done.requestId);
        answer->second.done = std::move(done);
    } else {
        entry->reads.erase(answer);
    }
    while (!entry->readTimes.empty()
           && (now - entry->readTimes.front().first > readRetention
               || entry->readTimes.size() > maxKeptReads)) {
        entry->reads.erase(entry->readTimes.front().second);
        entry->readTimes.pop_front();
    }
}

void GroupHost::onAnswered(const std::string &address, inner::LinkId origin,
                           inner::StatementDone done)
{
    Entry *found = entryAt(address, origin);
    if (found == nullptr)
        return;
    Entry &entry = *found;
    const auto answer = entry.answers.find(done.requestId);
    if (answer == entry.answers.end())
        return;
    static_cast<void>(parts_.links.sendOn(answer->second.link, done));
    const Instant now = parts_.timers.now();
    entry.answerTimes.emplace_back(now, done.requestId);
    answer->second.done = std::move(done);
    while (now - entry.answerTimes.front().first > answerRetention) {
        entry.forgottenUpTo = std::max(entry.forgottenUpTo, entry.answerTimes.front().second);
        entry.answers.erase(entry.answerTimes.front().second);
        entry.answerTimes.pop_front();
    }
    expireSessions(entry);
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

void GroupHost::recordSession(Entry &entry, std::uint64_t session, inner::RequestId number)
{
    const auto [known, isNew] = entry.sessionRequests.try_emplace(session, number);
    if (!isNew && number <= known->second)
        return;
    entry.sessionsByRequest.erase({known->second, session});
    known->second = number;
    entry.sessionsByRequest.insert({number, session});
}

void GroupHost::expireSessions(Entry &entry)
{
    while (!entry.sessionsByRequest.empty()) {
        const auto oldest = entry.sessionsByRequest.begin();
        if (oldest->first > entry.forgottenUpTo)
            return;
        entry.sessionRequests.erase(oldest->second);
        entry.sessionsByRequest.erase(oldest);
    }
}

bool GroupHost::isSuperseded(const Entry &entry, const inner::RunStatement &statement)
{
    const auto session = entry.sessionRequests.find(statement.session);
    return statement.inTransaction && session != entry.sessionRequests.end()
        && statement.requestId <= session->second;
}

void GroupHost::onEndTransaction(inner::LinkId link, const inner::EndTransaction &end)
{
    Entry *entry = entryOf(link);
    if (entry == nullptr)
        return;
    recordSession(*entry, end.session, end.beginRequestId);
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

// Answers only once this process no longer owns the group, its transactions have ended here, and
// none of its promotion requests can arrive after one of the next owner.
void GroupHost::onEndRequest(inner::LinkId link, const inner::OwnershipEndRequest &request)
{
    const OwnershipRecord *record = ownership_.record(request.group);
    if (record != nullptr && record->epoch <= request.epoch)
        ownership_.refreshOwner(request.group);
    if (ownership_.owns(request.group) || (record != nullptr && record->epoch <= request.epoch))
        return;
    const auto peer = peers_.find(link);
    const bool isOwner = record != nullptr && peer != peers_.end()
        && peer->second.process.address == record->owner.address;
    if (isOwner)
        quotas_.sendTransfer(link, request.group);
    const auto found = groups_.find(request.group);
    if (found != groups_.end()) {
        GroupRunner &runner = *found->second.runner;
        const bool awaitsPromotion = runner.mayPromotionArrive();
        const bool isDraining = parts_.timers.now() - found->second.lostAt < transactionDrainTime;
        if (awaitsPromotion || (isDraining && !runner.isIdle())) {
            parts_.log.info("end_unconfirmed", awaitsPromotion ? "promotion" : "transactions")
                .with("group", request.group)
                .with("epoch", request.epoch);
            return;
        }
        // No command to a server may follow the confirmation.
        runner.closeAll();
    }
    parts_.log.info("end_confirmed").with("group", request.group).with("epoch", request.epoch);
    static_cast<void>(
        parts_.links.sendOn(link, inner::OwnershipEnded {request.group, request.epoch}));
}

// The entries of a zone share a fixed part of each replica's connections in that zone.
int GroupHost::connectionsGrantedTo(inner::LinkId link, const GroupName &group) const
{
    const auto peer = peers_.find(link);
    const GroupRunner *runner = find(group);
    if (peer == peers_.end() || runner == nullptr)
        return 0;
    std::set<std::string> entries;
    for (const auto &[id, other] : peers_)
        if (other.zone == peer->second.zone)
            entries.insert(other.process.address);
    const int grantedTotal = runner->maxConnections() * grantedPercent / 100;
    return std::min(maxGrantedConnections, grantedTotal / static_cast<int>(entries.size()));
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
    parts_.timers.cancel(entry.expiryTimer);
}

void GroupHost::onPeerDown(inner::LinkId link)
{
    Entry *entry = entryOf(link);
    peers_.erase(link);
    if (entry == nullptr || entry->links.erase(link) == 0 || !entry->links.empty())
        return;
    const std::string address = entry->process.address;
    entry->expiryTimer = parts_.timers.subscribeAfter(
        entryExpiry, [this, address] { endEntry(entries_.at(address)); });
}

// Keeps the entry itself, so that statements are not run twice if the process reconnects.
void GroupHost::endEntry(Entry &entry)
{
    parts_.timers.cancel(entry.expiryTimer);
    entry.forgottenUpTo = entry.newestRequest;
    entry.answers.clear();
    entry.answerTimes.clear();
    entry.reads.clear();
    entry.readTimes.clear();
    expireSessions(entry);
    for (const auto &[group, hosted] : groups_)
        hosted.runner->onEntryDisconnected(entry.origin);
}

void GroupHost::handOverAll(const std::map<std::string, inner::Hello> &peers)
{
    ownership_.stopClaiming();
    const Instant now = parts_.timers.now();
    const std::set<GroupName> owned = ownership_.owned();
    for (const GroupName &group : owned) {
        HostedGroup &hosted = hostedGroup(group);
        if (hosted.handingOver)
            continue;
        if (peers.empty()) {
            if (!std::exchange(hosted.noPeerLogged, true))
                parts_.log.warning("hand_over_waits", "no_peer").with("group", group);
            continue;
        }
        if (hosted.offeredAt == Instant()) {
            hosted.offeredAt = now;
            ownership_.requestTakeOver(group, std::string(), "stopping");
        }
        if (now - hosted.offeredAt < offerTimeout)
            continue;
        // Prefer a peer in the primary's zone; otherwise spread the groups by name.
        const ZoneName zone = hosted.runner->primaryZone();
        auto chosen = peers.begin();
        std::advance(chosen, std::hash<std::string>()(group) % peers.size());
        for (auto peer = peers.begin(); peer != peers.end(); ++peer)
            if (peer->second.zone == zone && chosen->second.zone != zone)
                chosen = peer;
        hosted.handingOver = true;
        parts_.log.info("hand_over").with("group", group).with("to", chosen->first);
        ownership_.handOver(group, chosen->second.process, chosen->second.zone,
                            [this, group](const absl::Status &status) {
                                if (status.ok())
                                    return;
                                hostedGroup(group).handingOver = false;
                                parts_.log.warning("hand_over_failed")
                                    .with("group", group)
                                    .with("cause", status.message());
                            });
    }
}

void GroupHost::closeStaleIdle(Instant since)
{
    for (const auto &[group, hosted] : groups_)
        hosted.runner->closeStaleIdle(since);
}

bool GroupHost::isIdle() const
{
    if (!ownership_.owned().empty())
        return false;
    for (const auto &[group, hosted] : groups_)
        if (!hosted.runner->isIdle())
            return false;
    return true;
}

void GroupHost::endAll()
{
    for (const auto &[group, hosted] : groups_) {
        hosted.runner->onLost();
        hosted.runner->closeAll();
    }
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
    for (const auto &[group, hosted] : groups_)
        count += hosted.runner->queued();
    return count;
}

} // namespace kelptally::group
