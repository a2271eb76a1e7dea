#include "host/hostprocess.h"

#include "decision/claimorder.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <utility>

namespace kelptally::host {

namespace {

constexpr Duration drainStepPeriod = std::chrono::milliseconds(50);
// Interval at which the end of the last connections is awaited.
constexpr Duration closeCheckPeriod = std::chrono::milliseconds(10);
// Time in which answers of this host's groups reach the sessions, and then the other hosts.
constexpr Duration localAnswerTime = std::chrono::milliseconds(5);
constexpr Duration linkFlushTime = std::chrono::milliseconds(50);
// A reachable server accepts a connection within this time from any zone.
constexpr Duration reachabilityTimeout = std::chrono::milliseconds(150);
// Opening a connection to the store takes 1 to 3 ms.
constexpr Duration storeProbeTimeout = std::chrono::milliseconds(150);
// Limits of the peers that receive one request to locate or to take over a group, as many hosts may
// send one when an owner is lost.
constexpr std::size_t maxLocateRecipients = 8;
constexpr std::size_t maxTakeOverRecipients = 24;

} // namespace

HostProcess::HostProcess(const settings::HostSettings &settings, const Ports &ports)
    : settings_(settings), ports_(ports), self_ {settings.peerAddress(), ports.incarnation},
      stageTimes_(ports.metrics), configurationTimes_(ports.metrics),
      random_(static_cast<std::minstd_rand::result_type>(std::hash<std::string>()(self_.address)
                                                         ^ ports.incarnation)),
      store_({ports.timers, ports.table, ports.feed, ports.log, ports.metrics,
              settings.storeTimeout,
              [this](std::function<void(bool)> callback) { probeStore(std::move(callback)); },
              ports.cancelStoreCalls, [this] { return draw(); }}),
      tableRelay_({ports.timers, store_, relayLinks_, ports.log, ports.metrics, self_.address,
                   settings.zone, group::OwnershipTable::table,
                   decision::hasCapacity(settings.processors, 0), [this] { return draw(); }}),
      renotifiedGroups_(ports.metrics.scannedEntries("retold_groups")),
      serverList_(ports.timers, ports.log, ports.metrics,
                  [this](const GroupName &group, const std::vector<group::ListedServer> &servers) {
                      onServers(group, servers);
                  }),
      connector_({ports.connector, ports.timers, ports.log, ports.metrics}),
      localReads_({ports.timers, connector_, ports.log, ports.metrics, stageTimes_, settings.zone,
                   [this](Instant since) { closeStaleConnections(since); },
                   [this](const OrganisationName &organisation) {
                       return groups_->quotas().hasQuota(organisation);
                   }}),
      stopPlan_(settings.gracePeriod)
{ }

HostProcess::~HostProcess() = default;

absl::Status HostProcess::start(CallerConnections &callers)
{
    callers_ = &callers;
    auto links = ports_.makeLinks(
        self_, [this] { return catalogue_.version(); }, *this);
    if (!links.ok())
        return links.status();
    links_ = *std::move(links);
    TimerService &timers = ports_.timers;
    groups_ = std::make_unique<group::GroupHost>(group::GroupHost::Parts {
        timers,
        *links_,
        store_,
        tableRelay_,
        store_,
        connector_,
        ports_.promotions,
        ports_.log,
        ports_.metrics,
        stageTimes_,
        ports_.probe,
        self_,
        settings_.zone,
        settings_.processors,
        [this](const GroupName &group) {
            sendToSomePeers(maxLocateRecipients, inner::Locate {0, group});
        },
        [this](const inner::TakeOver &message) { sendToSomePeers(maxTakeOverRecipients, message); },
        [this](const GroupName &group) { onOwnerChanged(group); },
        [this](Instant since) { closeStaleConnections(since); },
        [this] { return store_.isSilent(); },
        {settings_.quotaWindow, settings_.quotaOvershoot, settings_.quotaSlack},
        settings_.policies});
    router_ = std::make_unique<session::Router>(
        session::Router::Parts {timers, *links_, groups_->ownership(), *groups_, localReads_,
                                ports_.log, ports_.metrics, stageTimes_, self_});
    groups_->setServerLeaveTime(settings_.serverLeaveTime);
    groups_->start();
    store_.onRecovery([this](Duration outage) { groups_->ownership().onStoreRecovered(outage); });
    return absl::OkStatus();
}

bool HostProcess::RelayLinks::isSameZone(inner::LinkId link) const
{
    const auto address = host_.linkAddresses_.find(link);
    if (address == host_.linkAddresses_.end())
        return false;
    const auto peer = host_.peers_.find(address->second);
    return peer != host_.peers_.end() && peer->second.zone == host_.settings_.zone;
}

// Sends to at most maxRecipients peers, in rotation over all links.
void HostProcess::sendToSomePeers(std::size_t maxRecipients, const inner::Message &message)
{
    auto next = linkAddresses_.upper_bound(lastRecipientLink_);
    const std::size_t count = std::min(maxRecipients, linkAddresses_.size());
    for (std::size_t i = 0; i < count; ++i, ++next) {
        if (next == linkAddresses_.end())
            next = linkAddresses_.begin();
        lastRecipientLink_ = next->first;
        static_cast<void>(links_->sendOn(next->first, message));
    }
}

// Owners are the relay candidates, as hosts that send statements are linked with them anyway.
void HostProcess::onOwnerChanged(const GroupName &group)
{
    router_->onOwnerChanged(group);
    if (candidateUpdatePending_)
        return;
    candidateUpdatePending_ = true;
    ports_.timers.subscribeAt(ports_.timers.now(), [this] {
        candidateUpdatePending_ = false;
        tableRelay_.setCandidates(groups_->ownership().owners());
    });
}

void HostProcess::probeStore(std::function<void(bool)> callback)
{
    ports_.probe(settings_.store, storeProbeTimeout,
                 [callback = std::move(callback)](ProbeOutcome outcome) {
                     callback(outcome == ProbeOutcome::Accepted);
                 });
}

void HostProcess::onCatalogue(session::CataloguePtr catalogue, const ConfigurationArrival &arrival)
{
    const session::CataloguePtr before = catalogue_.shared();
    const ConfigVersion version = catalogue->version;
    const Instant now = ports_.timers.now();
    if (!catalogue_.install(std::move(catalogue), now))
        return;
    configurationTimes_.add(arrival, now,
                            ports_.log.info("configuration_in_force")
                                .with("version", version)
                                .with("before", before ? before->version : 0)
                                .with("routes", std::uint64_t(catalogue_.get()->routes.size()))
                                .with("keys", std::uint64_t(catalogue_.get()->keys.size())));
    groups_->setCatalogue(catalogue_.shared());
    // Servers that were listed before the configuration named their group are reported again.
    for (const auto &[group, options] : catalogue_.get()->groups) {
        if (before && before->groups.count(group) != 0)
            continue;
        renotifiedGroups_.Increment();
        serverList_.republish(group);
    }
}

// Servers of a group that the configuration doesn't name are kept, but not used until it does.
bool HostProcess::isNamed(const GroupName &group) const
{
    return catalogue_.get() != nullptr && catalogue_.get()->groups.count(group) != 0;
}

void HostProcess::onServers(const GroupName &group, const std::vector<group::ListedServer> &servers)
{
    if (!isNamed(group))
        return;
    for (const group::ListedServer &server : servers)
        if (server.primary)
            primaryZones_[group] = server.zone;
    groups_->setServers(group, servers);
    localReads_.setServers(group, servers);
    claimIfPrimaryInZone(group);
}

void HostProcess::onServerRefused(const ServerName &server, const FieldError &error)
{
    ports_.metrics
        .counter("kelptally_server_entries_refused_total", "Invalid entries of servers",
                 {{"reason", fieldFaultName(error.fault)}})
        .Increment();
    ports_.log.warning("server_entry_refused", fieldFaultName(error.fault))
        .with("server", server)
        .with("field", error.field);
    serverList_.onMissing(server);
}

// Claims a group with its primary in this zone before the first statement needs an owner.
void HostProcess::claimIfPrimaryInZone(const GroupName &group)
{
    const auto zone = primaryZones_.find(group);
    if (!draining_ && zone != primaryZones_.end() && zone->second == settings_.zone)
        groups_->ownership().claimProactively(group, catalogue_.get()->groups.size());
}

HostProcess::OpenedSession HostProcess::openSession(const std::string &database,
                                                    const Sha256Digest &key,
                                                    session::SessionOutput &output)
{
    const session::Route *route = catalogue_.route(database);
    if (route == nullptr)
        return refuseSession(Reason::UnknownGroup);
    const bool needsKey = catalogue_.needsKeys() && route->needsKey;
    if (needsKey && catalogue_.organisationOf(key) == nullptr)
        return refuseSession(Reason::Unauthenticated);
    const session::CallerSession::Parts parts {*router_, catalogue_, ports_.timers, ports_.log,
                                               ports_.metrics};
    return {std::make_shared<session::CallerSession>(parts, ++lastSession_, database, output, key)};
}

HostProcess::OpenedSession HostProcess::refuseSession(Reason reason)
{
    ports_.metrics.countRefusal(reason);
    return {nullptr, reason};
}

std::string HostProcess::notReady() const
{
    if (draining_)
        return "draining";
    if (catalogue_.get() == nullptr)
        return "no configuration yet";
    if (!groups_->ownership().isReady())
        return "the owners of groups are not known yet";
    if (serverList_.isEmpty())
        return "no server is known yet";
    return std::string();
}

void HostProcess::onTimerLate(Duration lateness)
{
    ports_.metrics.counter("kelptally_timers_late_total", "Timers that fired late").Increment();
    ports_.log.warning("timer_late").with("late_ms", lateness);
}

void HostProcess::onSilentStoreConnection(const services::SilentConnection &connection)
{
    ports_.metrics
        .counter("kelptally_store_connections_silent_total",
                 "Connections to the table service on which a read got no answer in time")
        .Increment();
    ports_.log.info("store_connection_silent")
        .with("idle_ms", connection.idle)
        .with("waited_ms", connection.waited)
        .with("held_ms", connection.longPollTime);
}

void HostProcess::reload(const settings::HostSettings &settings)
{
    if (!draining_ || settings.gracePeriod < settings_.gracePeriod) {
        settings_.gracePeriod = settings.gracePeriod;
        stopPlan_ = decision::StopPlan(settings.gracePeriod);
        if (draining_)
            router_->setStop(stopPlan_, drainBegan_);
    }
    settings_.serverLeaveTime = settings.serverLeaveTime;
    groups_->setServerLeaveTime(settings.serverLeaveTime);
}

// Stopping

void HostProcess::drain(std::function<void()> whenDone)
{
    if (draining_)
        return;
    draining_ = true;
    drainBegan_ = ports_.timers.now();
    whenDrained_ = std::move(whenDone);
    router_->setStop(stopPlan_, drainBegan_);
    for (const auto &[link, address] : linkAddresses_)
        static_cast<void>(links_->sendOn(link, inner::Stopping {self_}));
    ports_.log.info("drain")
        .with("sessions", std::uint64_t(callers_->count()))
        .with("grace_ms", settings_.gracePeriod);
    drainStep();
}

void HostProcess::drainStep()
{
    const Duration passed = ports_.timers.now() - drainBegan_;
    // 1. Groups are handed over at once; callers are accepted until the balancer has noticed.
    groups_->handOverAll(peers_);
    // 2. Then idle sessions are closed.
    if (passed >= stopPlan_.acceptUntil()) {
        callers_->stopAccepting();
        callers_->closeIdle(stopPlan_.maxClosed(passed, callers_->count(), drainStepPeriod));
    }
    // 3. What is left shortly before the end of the grace period gets its final answer.
    if (passed >= stopPlan_.answerAt())
        return giveFinalAnswers();
    // 4. Ends sooner if nothing is left. The last answers are sent in the step after them.
    const bool isIdle = passed >= stopPlan_.acceptUntil() && callers_->count() == 0
        && groups_->isIdle() && router_->inProgress() == 0;
    if (std::exchange(wasIdle_, isIdle) && isIdle)
        return endDrain();
    const Instant next = ports_.timers.now() + drainStepPeriod;
    ports_.timers.subscribeAt(std::min(next, drainBegan_ + stopPlan_.answerAt()),
                              [this] { drainStep(); });
}

// Groups end first, as they know which statements have not run.
void HostProcess::giveFinalAnswers()
{
    groups_->endAll();
    ports_.timers.subscribeAfter(localAnswerTime, [this] {
        ports_.log.info("final_answers")
            .with("statements", std::uint64_t(router_->inProgress()))
            .with("sessions", std::uint64_t(callers_->count()));
        router_->abandonAll();
        callers_->closeAnswered();
        const Instant flushed = ports_.timers.now() + linkFlushTime;
        ports_.timers.subscribeAt(std::min(flushed, drainBegan_ + stopPlan_.exitAt()),
                                  [this] { awaitClosed(); });
    });
}

void HostProcess::awaitClosed()
{
    const bool isOver = ports_.timers.now() - drainBegan_ >= stopPlan_.exitAt();
    if (callers_->count() == 0 || isOver)
        return endDrain();
    ports_.timers.subscribeAfter(closeCheckPeriod, [this] { awaitClosed(); });
}

void HostProcess::endDrain()
{
    ports_.log.info("drained")
        .with("took_ms", ports_.timers.now() - drainBegan_)
        .with("sessions_left", std::uint64_t(callers_->count()));
    whenDrained_();
}

// Closes idle connections unused since then, as they may be broken like the one that fell silent.
void HostProcess::closeStaleConnections(Instant since)
{
    groups_->closeStaleIdle(since);
    localReads_.closeStaleIdle(since);
}

void HostProcess::collect()
{
    Metrics &metrics = ports_.metrics;
    metrics.gauge("kelptally_sessions", "Callers' sessions that are open")
        .Set(double(callers_->count()));
    metrics
        .gauge("kelptally_statements_in_progress", "Statements from callers of this host in flight")
        .Set(double(router_->inProgress()));
    metrics.gauge("kelptally_statements_queued", "Statements queued in groups owned by this host")
        .Set(double(groups_->queued()));
    metrics.gauge("kelptally_groups_owned", "Groups that this process owns")
        .Set(double(groups_->ownership().owned().size()));
    metrics.gauge("kelptally_configuration_version", "Version of the configuration in force")
        .Set(double(catalogue_.version()));
    metrics.gauge("kelptally_log_lines_dropped", "Log lines dropped because nobody read them")
        .Set(double(ports_.log.dropped()));
    metrics.gauge("kelptally_log_lines_left_out", "Log lines left out by the limit of their event")
        .Set(double(ports_.log.suppressed()));
    for (prometheus::Gauge *gauge : groupGauges_)
        gauge->Set(0);
    groupGauges_.clear();
    for (const inner::GroupStatus &group : groups_->status())
        if (group.owner == self_)
            collectGroup(group);
}

void HostProcess::setGroupGauge(prometheus::Gauge &gauge, double value)
{
    gauge.Set(value);
    groupGauges_.push_back(&gauge);
}

void HostProcess::collectGroup(const inner::GroupStatus &group)
{
    Metrics &metrics = ports_.metrics;
    setGroupGauge(metrics.gauge("kelptally_owner_lease_left_seconds", "Time left of the lease",
                                {{"group", group.group}}),
                  toMilliseconds(group.leaseLeft) / 1000);
    for (const inner::ServerStatus &server : group.servers) {
        const MetricLabels labels = {{"group", group.group}, {"server", server.server}};
        setGroupGauge(
            metrics.gauge("kelptally_owner_slots_busy", "Slots of a server in use", labels),
            server.slotsBusy);
        setGroupGauge(
            metrics.gauge("kelptally_owner_connections", "Open connections to a server", labels),
            server.connectionsOpen);
        setGroupGauge(metrics.gauge("kelptally_owner_replica_age_seconds",
                                    "Replication lag of a replica", labels),
                      toMilliseconds(server.lag) / 1000);
    }
}

// Peers

void HostProcess::onPeerUp(inner::LinkId link, const inner::Hello &peer)
{
    linkAddresses_[link] = peer.process.address;
    peers_[peer.process.address] = peer;
    ports_.log.info("peer_up").with("peer", peer.process.address).with("host", peer.host);
    if (draining_)
        static_cast<void>(links_->sendOn(link, inner::Stopping {self_}));
    groups_->onPeerUp(link, peer);
    groups_->ownership().onPeerUp(peer.process);
    // Only for the link dialled here; a link dialled by the peer doesn't prove that one is up.
    if (links_->linkTo(peer.process.address) == link) {
        router_->onLinkUp(peer.process);
        tableRelay_.onLinkUp(peer.process.address);
    }
}

void HostProcess::onPeerMessage(inner::LinkId link, inner::Message message)
{
    // Answers come on the link dialled here.
    const auto address = linkAddresses_.find(link);
    const bool isAnswer = std::holds_alternative<inner::StatementDone>(message)
        || std::holds_alternative<inner::AliveAnswer>(message);
    if (isAnswer && address != linkAddresses_.end())
        router_->onPeerResponse(address->second);
    std::visit([this, link](auto &fields) { handle(link, fields); }, message);
}

void HostProcess::onPeerDown(inner::LinkId link, const std::string &address,
                             const absl::Status &why)
{
    ports_.log.info("peer_down").with("peer", address).with("cause", why.message());
    linkAddresses_.erase(link);
    bool linked = false;
    for (const auto &[id, other] : linkAddresses_)
        linked = linked || other == address;
    if (!linked)
        peers_.erase(address);
    groups_->onPeerDown(link);
    tableRelay_.onLinkDown(link);
    router_->onLinkDown(address);
}

void HostProcess::handle(inner::LinkId link, inner::RunStatement &message)
{
    groups_->onStatement(link, std::move(message));
}

void HostProcess::handle(inner::LinkId, inner::StatementDone &message)
{
    router_->onAnswer(std::move(message));
}

void HostProcess::handle(inner::LinkId link, inner::EndTransaction &message)
{
    groups_->onEndTransaction(link, message);
}

void HostProcess::handle(inner::LinkId link, inner::QuotaRequest &message)
{
    groups_->quotas().onRequest(link, message);
}

void HostProcess::handle(inner::LinkId, inner::QuotaGrant &message)
{
    groups_->quotas().onGrant(message);
}

void HostProcess::handle(inner::LinkId, inner::QuotaTransfer &message)
{
    groups_->quotas().onTransfer(message);
}

void HostProcess::handle(inner::LinkId link, inner::AliveRequest &message)
{
    static_cast<void>(links_->sendOn(link, inner::AliveAnswer {message.sequence}));
}

void HostProcess::handle(inner::LinkId, inner::TakeOver &message)
{
    if (draining_ || (message.needsCapacity && !groups_->ownership().hasCapacity()))
        return;
    if (message.ownerSuspected)
        return groups_->ownership().onOwnerSuspected(message.group, message.epoch);
    if (message.requiredEndpoint.empty())
        return groups_->ownership().onTakeOverRequested(message.group, message.epoch);
    ports_.probe(message.requiredEndpoint, reachabilityTimeout,
                 [this, group = message.group, epoch = message.epoch](ProbeOutcome outcome) {
                     if (outcome == ProbeOutcome::Accepted)
                         groups_->ownership().onTakeOverRequested(group, epoch);
                 });
}

void HostProcess::handle(inner::LinkId, inner::Stopping &message)
{
    const auto peer = peers_.find(message.process.address);
    if (peer != peers_.end() && peer->second.process == message.process)
        peers_.erase(peer);
}

void HostProcess::handle(inner::LinkId link, inner::Locate &message)
{
    const group::OwnershipRecord *record = groups_->ownership().record(message.group);
    if (record == nullptr)
        return;
    static_cast<void>(links_->sendOn(link,
                                     inner::LocateAnswer {message.requestId, self_, message.group,
                                                          record->epoch, record->owner.address}));
}

// The answer has the owner's address only; its incarnation is known if the owner itself answers.
void HostProcess::handle(inner::LinkId, inner::LocateAnswer &message)
{
    const bool itself = message.owner == message.from.address;
    const Incarnation incarnation = itself ? message.from.incarnation : 0;
    groups_->ownership().applyReportedOwner(message.group,
                                            {message.epoch, {message.owner, incarnation}});
}

void HostProcess::handle(inner::LinkId link, inner::SubscribeTables &message)
{
    tableRelay_.onSubscribe(link, message);
}

void HostProcess::handle(inner::LinkId link, inner::TableUpdate &message)
{
    const auto address = linkAddresses_.find(link);
    if (address != linkAddresses_.end())
        tableRelay_.onUpdate(address->second, message);
}

void HostProcess::handle(inner::LinkId link, inner::OwnershipEndRequest &message)
{
    groups_->onEndRequest(link, message);
}

void HostProcess::handle(inner::LinkId link, inner::OwnershipEnded &message)
{
    const auto address = linkAddresses_.find(link);
    if (address != linkAddresses_.end())
        groups_->ownership().onOwnershipEnded(address->second, message);
}

} // namespace kelptally::host
