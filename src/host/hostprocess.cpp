#include "host/hostprocess.h"

#include "decision/claimorder.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>

namespace kelptally::host {

namespace {

// A balancer asks once a second and takes a process out after two misses: until then new callers
// still come.
constexpr Duration balancerNotices = std::chrono::milliseconds(2300);
constexpr Duration drainStepPeriod = std::chrono::milliseconds(50);
// Idle sessions closed in one step, so that their callers don't all come back in one instant.
constexpr std::size_t closedPerStep = 20;
// A statement that begins less than this before the end of the grace may not end within it.
constexpr Duration lastStatements = std::chrono::milliseconds(2300);
// A server that is well accepts a connection within this time, from any zone.
constexpr Duration reachTimeout = std::chrono::milliseconds(150);
// Opening a connection to the store took 1 to 3 ms where it was measured.
constexpr Duration storeProbeTimeout = std::chrono::milliseconds(150);
// So many other processes are asked who owns a group, and to take one, by one message. An owner has
// links with all hosts, and each of their entries may ask in the moment in which an owner is lost.
constexpr std::size_t mostAsked = 8;
constexpr std::size_t mostOffered = 24;
// Left of the grace when the process ends in any case.
constexpr Duration leftAtEnd = std::chrono::milliseconds(700);

} // namespace

HostProcess::HostProcess(const settings::HostSettings &settings, const Ports &ports)
    : settings_(settings), ports_(ports), self_ {settings.peerAddress(), ports.incarnation},
      times_(ports.metrics), random_(static_cast<std::minstd_rand::result_type>(
                                 std::hash<std::string>()(self_.address) ^ ports.incarnation)),
      store_({ports.timers, ports.table, ports.feed, ports.log, ports.metrics,
              settings.storeTimeout,
              [this](std::function<void(bool)> callback) { probeStore(std::move(callback)); },
              ports.giveUpStoreCalls, [this] { return draw(); }}),
      news_({ports.timers, store_, newsLinks_, ports.log, ports.metrics, self_.address,
             settings.zone, group::OwnershipTable::table, decision::hasRoom(settings.processors, 0),
             [this] { return draw(); }}),
      retoldVisits_(ports.metrics.visits("retold_groups")),
      serverList_(ports.timers, ports.log, ports.metrics,
                  [this](const GroupName &group, const std::vector<group::ListedServer> &servers) {
                      onServers(group, servers);
                  }),
      near_({ports.timers, ports.connector, ports.log, ports.metrics, times_, settings.zone,
             [this](Instant since) { onSilence(since); },
             [this](const OrganisationName &organisation) {
                 return groups_->quotas().hasQuota(organisation);
             }})
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
        news_,
        store_,
        ports_.connector,
        ports_.promotions,
        ports_.log,
        ports_.metrics,
        times_,
        ports_.probe,
        self_,
        settings_.zone,
        settings_.processors,
        [this](const GroupName &group) {
            sendToSome(mostAsked, inner::Locate {0, group});
        },
        [this](const inner::TakeOver &message) { sendToSome(mostOffered, message); },
        [this](const GroupName &group) { onOwnerChanged(group); },
        [this](Instant since) { onSilence(since); },
        [this] { return store_.isSilent(); },
        {settings_.quotaWindow, settings_.quotaOver, settings_.quotaSlack},
        settings_.ways});
    router_ = std::make_unique<session::Router>(
        session::Router::Parts {timers, *links_, groups_->ownership(), *groups_, near_, ports_.log,
                                ports_.metrics, times_, self_});
    groups_->setServerLeaveTime(settings_.serverLeaveTime);
    groups_->start();
    store_.onRecovery([this](Duration lostFor) { groups_->ownership().onStoreRecovered(lostFor); });
    return absl::OkStatus();
}

bool HostProcess::NewsLinks::isNear(inner::LinkId link) const
{
    const auto address = host_.linkAddresses_.find(link);
    if (address == host_.linkAddresses_.end())
        return false;
    const auto peer = host_.peers_.find(address->second);
    return peer != host_.peers_.end() && peer->second.zone == host_.settings_.zone;
}

// Others get the next message, so that all come by turns.
void HostProcess::sendToSome(std::size_t most, const inner::Message &message)
{
    auto next = linkAddresses_.upper_bound(lastAskedLink_);
    const std::size_t count = std::min(most, linkAddresses_.size());
    for (std::size_t i = 0; i < count; ++i, ++next) {
        if (next == linkAddresses_.end())
            next = linkAddresses_.begin();
        lastAskedLink_ = next->first;
        static_cast<void>(links_->sendOn(next->first, message));
    }
}

// Owners are the ones that tell others: whoever sends statements has links with them anyway.
void HostProcess::onOwnerChanged(const GroupName &group)
{
    router_->onOwnerChanged(group);
    if (candidatesChanged_)
        return;
    candidatesChanged_ = true;
    ports_.timers.subscribeAt(ports_.timers.now(), [this] {
        candidatesChanged_ = false;
        news_.setCandidates(groups_->ownership().owners());
    });
}

void HostProcess::probeStore(std::function<void(bool)> callback)
{
    ports_.probe(settings_.store, storeProbeTimeout,
                 [callback = std::move(callback)](ProbeOutcome outcome) {
                     callback(outcome == ProbeOutcome::Accepted);
                 });
}

void HostProcess::onCatalogue(session::CataloguePtr catalogue)
{
    const session::CataloguePtr before = catalogue_.shared();
    const ConfigVersion version = catalogue->version;
    if (!catalogue_.install(std::move(catalogue), ports_.timers.now()))
        return;
    ports_.log.info("configuration_in_force")
        .with("version", version)
        .with("before", before ? before->version : 0)
        .with("routes", std::uint64_t(catalogue_.get()->routes.size()))
        .with("keys", std::uint64_t(catalogue_.get()->keys.size()));
    groups_->setCatalogue(catalogue_.shared());
    // The servers of a group are told once somebody has a use for them.
    for (const auto &[group, options] : catalogue_.get()->groups) {
        if (before && before->groups.count(group) != 0)
            continue;
        retoldVisits_.Increment();
        serverList_.retell(group);
    }
}

// Anybody may write an entry: one for a group that no configuration names is kept, and used only
// once one does.
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
    near_.setServers(group, servers);
    wantOwner(group);
}

void HostProcess::onServerRefused(const ServerName &server, const FieldError &error)
{
    ports_.metrics
        .counter("kelptally_server_entries_refused_total",
                 "Entries of servers that can't be understood",
                 {{"reason", fieldFaultName(error.fault)}})
        .Increment();
    ports_.log.warning("server_entry_refused", fieldFaultName(error.fault))
        .with("server", server)
        .with("field", error.field);
    serverList_.onMissing(server);
}

// A group whose primary is near gets its owner before the first statement asks for one.
void HostProcess::wantOwner(const GroupName &group)
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

void HostProcess::reload(const settings::HostSettings &settings)
{
    settings_.grace = settings.grace;
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
    for (const auto &[link, address] : linkAddresses_)
        static_cast<void>(links_->sendOn(link, inner::Stopping {self_}));
    ports_.log.info("drain").with("sessions", std::uint64_t(callers_->count()));
    drainStep();
}

void HostProcess::drainStep()
{
    const Duration passed = ports_.timers.now() - drainBegan_;
    // 1. Groups go to others at once; callers go on coming until the balancer has noticed.
    groups_->handOverAll(peers_);
    // 2. Then sessions end between operations.
    if (passed >= balancerNotices) {
        callers_->stopAccepting();
        callers_->closeIdle(closedPerStep);
    }
    // 3. What begins so late could not end in time.
    if (passed >= settings_.grace - lastStatements)
        router_->stopTaking();
    // 4. The end: nothing is left, or the grace nearly is.
    const bool empty = passed >= balancerNotices && callers_->count() == 0 && groups_->isQuiet()
        && router_->inProgress() == 0;
    if (!empty && passed < settings_.grace - leftAtEnd) {
        ports_.timers.subscribeAfter(drainStepPeriod, [this] { drainStep(); });
        return;
    }
    ports_.log.info("drained")
        .with("took_ms", passed)
        .with("sessions_left", std::uint64_t(callers_->count()));
    whenDrained_();
}

// Idle connections that may have gone silent with the one that was noticed must not take the next
// statements.
void HostProcess::onSilence(Instant since)
{
    groups_->dropIdle(since);
    near_.dropIdle(since);
}

void HostProcess::collect()
{
    Metrics &metrics = ports_.metrics;
    metrics.gauge("kelptally_sessions", "Callers' sessions that are open")
        .Set(double(callers_->count()));
    metrics.gauge("kelptally_statements_in_progress", "Statements of this entry without an answer")
        .Set(double(router_->inProgress()));
    metrics.gauge("kelptally_statements_queued", "Statements that wait in groups owned here")
        .Set(double(groups_->queued()));
    metrics.gauge("kelptally_groups_owned", "Groups that this process owns")
        .Set(double(groups_->ownership().owned().size()));
    metrics.gauge("kelptally_configuration_version", "Version of the configuration in force")
        .Set(double(catalogue_.version()));
    metrics.gauge("kelptally_log_lines_dropped", "Log lines dropped because nobody read them")
        .Set(double(ports_.log.dropped()));
    metrics.gauge("kelptally_log_lines_left_out", "Log lines left out by the limit of their event")
        .Set(double(ports_.log.leftOut()));
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
                                    "How far a replica is behind", labels),
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
    // The other end's link to this process says nothing of the one from here.
    if (links_->linkTo(peer.process.address) == link) {
        router_->onLinkUp(peer.process);
        news_.onLinkUp(peer.process.address);
    }
}

void HostProcess::onPeerMessage(inner::LinkId link, inner::Message message)
{
    // Answers come on the link that was dialled here.
    const auto address = linkAddresses_.find(link);
    const bool isAnswer = std::holds_alternative<inner::StatementDone>(message)
        || std::holds_alternative<inner::AliveAnswer>(message);
    if (isAnswer && address != linkAddresses_.end())
        router_->onHeard(address->second);
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
    news_.onLinkDown(link);
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

void HostProcess::handle(inner::LinkId link, inner::AliveRequest &message)
{
    static_cast<void>(links_->sendOn(link, inner::AliveAnswer {message.sequence}));
}

void HostProcess::handle(inner::LinkId, inner::TakeOver &message)
{
    if (draining_ || (message.needsCapacity && !groups_->ownership().hasRoom()))
        return;
    if (message.requiredEndpoint.empty())
        return groups_->ownership().onTakeOverRequested(message.group, message.epoch);
    ports_.probe(message.requiredEndpoint, reachTimeout,
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

// The answer names the owner's address only; its run is known when it is the one that answers.
void HostProcess::handle(inner::LinkId, inner::LocateAnswer &message)
{
    const bool itself = message.owner == message.from.address;
    const Incarnation incarnation = itself ? message.from.incarnation : 0;
    groups_->ownership().learnOwner(message.group, {message.epoch, {message.owner, incarnation}});
}

void HostProcess::handle(inner::LinkId link, inner::FollowTables &message)
{
    news_.onFollow(link, message);
}

void HostProcess::handle(inner::LinkId link, inner::TableNews &message)
{
    const auto address = linkAddresses_.find(link);
    if (address != linkAddresses_.end())
        news_.onNews(address->second, message);
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
