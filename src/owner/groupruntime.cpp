#include "owner/groupruntime.h"

#include "backend/sqltraits.h"
#include "core/logging.h"
#include "owner/ownermetrics.h"

#include <glog/logging.h>

#include <algorithm>

namespace kelptally::owner {

namespace {

// How long requests are held for a group that this process has just begun to serve, or is about to;
// a start needs a handful of round trips.
constexpr Duration longestStart = std::chrono::milliseconds(1500);
// Positions are sampled this often while there are requests, and after each commit.
constexpr Duration samplePeriod = std::chrono::milliseconds(40);
constexpr Duration sampleAfterRequest = std::chrono::seconds(1);
constexpr Duration metricsPeriod = std::chrono::milliseconds(500);
constexpr Duration retryAfterRefusal = std::chrono::milliseconds(200);
// A successor that has heard no heartbeat for this long closes its reserve; longer than a promise.
constexpr Duration successorSilence = std::chrono::milliseconds(1700);
// A new successor opens its reserve this long after its first promise, when the one that it
// replaces has closed its own.
constexpr Duration reserveDelay = std::chrono::milliseconds(2500);
// A process that is asked for a group it does not serve reads the row at most this often.
constexpr Duration refreshPeriod = std::chrono::milliseconds(300);

// Why a statement must not run on a connection that others use too; empty when it may.
std::string findProblem(const inner::Execute &execute)
{
    const bool hasSql = execute.step == inner::StatementStep::Single
        || execute.step == inner::StatementStep::InTransaction;
    if (!hasSql)
        return {};
    return backend::findSqlProblem(backend::inspectSql(execute.sql), execute.readOnly);
}

const settings::Group &findGroup(const settings::Configuration &configuration,
                                 const GroupName &name)
{
    return *configuration.inventory.findGroup(name);
}

} // namespace

GroupRuntime::GroupRuntime(const settings::Group &group, settings::ConfigurationPtr configuration,
                           OwnerPorts &ports, HeartbeatBatch &heartbeats, Responder &responder)
    : ownership_(group.name, ports, heartbeats, *this),
      servers_(group, configuration->inventory, ports),
      failover_(group, ports, *this), context_ {ports,     responder, ownership_,
                                                failover_, servers_,  std::move(configuration),
                                                group.name},
      confirmations_(context_), reads_(context_), writes_(context_, confirmations_),
      transactions_(context_, confirmations_, writes_), held_(responder), purge_(context_)
{ }

GroupRuntime::~GroupRuntime() = default;

// ---- Time ----

void GroupRuntime::tick()
{
    // 1. Ownership first: everything else depends on the lease.
    ownership_.tick();
    beginWhenReady();
    checkLease();
    // 2. The primary.
    failover_.tick();
    // 3. Requests whose time is up.
    reads_.expire();
    writes_.expire();
    transactions_.expire();
    servers_.forEachExecutor([](ServerExecutor &executor) { executor.expire(); });
    updateHeld();
    // 4. What goes on by itself.
    updateSuccessor();
    noteSilentServers();
    considerCutOff();
    handOver_.step(now());
    noteHandOverWait();
    if (begun_)
        purge_.tick();
    sampleWhenNeeded();
    updateMetrics();
}

// The lease of a new owner may begin with the first answered heartbeat.
void GroupRuntime::beginWhenReady()
{
    if (begun_ || !ready_ || !ownership_.holdsLease())
        return;
    begun_ = true;
    updateHeld();
}

std::optional<inner::GroupHeartbeatAnswer>
GroupRuntime::onHeartbeat(const ProcessId &from, const inner::GroupHeartbeat &heartbeat)
{
    auto answer = ownership_.onHeartbeat(from, heartbeat);
    if (!answer || !answer->promised)
        return answer;
    if (now() - lastPromise_ > successorSilence)
        promisingSince_ = now();
    lastPromise_ = now();
    return answer;
}

// A successor that has been replaced closes its reserve once it hears no more heartbeats; the next
// one opens its own only after that.
void GroupRuntime::updateSuccessor()
{
    if (serving_)
        return;
    const bool heard = now() - lastPromise_ <= successorSilence;
    const bool listed = ownership_.role() == decision::OwnershipRole::Successor;
    if (heard && !listed)
        refreshOwner();
    const bool reserve = heard && listed && now() - promisingSince_ >= reserveDelay;
    if (reserve == reserve_)
        return;
    reserve_ = reserve;
    updateShare();
    if (reserve_) {
        failover_.warm();
        servers_.warm();
    }
}

void GroupRuntime::onAnswered()
{
    handOver_.step(now());
}

void GroupRuntime::onHeartbeatAnswer(const ProcessId &from,
                                     const inner::GroupHeartbeatAnswer &answer)
{
    ownership_.onHeartbeatAnswer(from, answer);
    beginWhenReady();
}

// Once the lease has lapsed a successor may own the group, so nothing waits for it to come back.
void GroupRuntime::checkLease()
{
    const bool lapsed = begun_ && !ownership_.holdsLease();
    if (lapsed == lapsed_)
        return;
    lapsed_ = lapsed;
    if (!lapsed) {
        LOG(INFO) << "event=lease_regained group=" << name();
        updateShare();
        return;
    }
    if (handOver_.givenAway())
        return;
    LOG(WARNING) << "event=lease_lapsed group=" << name() << " epoch=" << ownership_.epoch();
    stopRunners({Reason::LeaseLost, "", Executed::No, retryAfterRefusal, ""});
    updateShare();
    servers_.forEachExecutor([](ServerExecutor &executor) { executor.closeConnections(true); });
}

void GroupRuntime::sampleWhenNeeded()
{
    if (!serving_)
        return;
    const bool active = now() - lastRequest_ < sampleAfterRequest;
    if (confirmations_.waiting())
        failover_.requestReplicaSamples();
    if (!active || now() - lastSample_ < samplePeriod)
        return;
    lastSample_ = now();
    failover_.sampleAll();
}

void GroupRuntime::updateMetrics()
{
    if (!serving_ || now() - lastMetrics_ < metricsPeriod)
        return;
    lastMetrics_ = now();
    OwnerMetrics &metrics = context_.ports.metrics;
    metrics.setLeaseLeft(name(), ownership_.leaseLeft());
    for (const decision::ServerView &view : servers_.views(now())) {
        metrics.setPool(name(), view.name, servers_.executor(view.name)->openConnections(),
                        view.busy, view.queued);
        if (view.age)
            metrics.setLag(name(), view.name, *view.age);
    }
}

void GroupRuntime::configure(settings::ConfigurationPtr configuration)
{
    const settings::Group &group = findGroup(*configuration, name());
    context_.configuration = std::move(configuration);
    servers_.configure(group, context_.configuration->inventory);
    failover_.setServers(group);
    reads_.configure();
}

// ---- Ownership ----

void GroupRuntime::onStartServing(const decision::StartServing &start)
{
    serving_ = true;
    ready_ = false;
    begun_ = false;
    lapsed_ = false;
    servingSince_ = now();
    lastRequest_ = now();
    context_.ports.metrics.countClaim();
    updateShare();
    transactions_.start(start.epoch);
    failover_.start(start.epoch, start.termHint, start.primaryHint);
}

void GroupRuntime::onStopServing(const std::string &why)
{
    const bool planned = handOver_.givenAway();
    if (planned) {
        context_.ports.metrics.countHandOver();
        context_.ports.metrics.observeHandOver(now() - handOver_.since());
        LOG(INFO) << "event=handed_over group=" << name() << " to=" << ownerAddress()
                  << " ms=" << toMilliseconds(now() - handOver_.since());
    } else {
        LOG(WARNING) << "event=ownership_lost group=" << name() << " cause=" << logValue(why);
    }
    serving_ = false;
    ready_ = false;
    begun_ = false;
    lapsed_ = false;
    handOver_.end();
    failover_.stop();
    stopRunners(notOwner());
    held_.refuseAll(notOwner());
    updateShare();
    servers_.forEachExecutor(
        [planned](ServerExecutor &executor) { executor.closeConnections(!planned); });
}

void GroupRuntime::onRowChanged()
{
    updateShare();
    rowToldAt_ = now();
    if (ownership_.row())
        startHandOver();
}

void GroupRuntime::updateShare()
{
    using Share = GroupServers::Share;
    Share share = Share::None;
    if (serving_ && !handOver_.givenAway() && !lapsed_)
        share = Share::Owner;
    else if (serving_ || reserve_)
        share = Share::Reserve;
    servers_.setShare(share);
    if (share == Share::None)
        failover_.closeConnections();
}

void GroupRuntime::stopRunners(const Refusal &refusal)
{
    reads_.stop(refusal);
    writes_.stop(refusal);
    transactions_.stop(refusal);
    confirmations_.stop();
}

std::string GroupRuntime::ownerAddress() const
{
    return ownership_.row() ? ownership_.row()->row.owner.address : std::string();
}

void GroupRuntime::refreshOwner()
{
    if (serving_ || now() - lastRefresh_ < refreshPeriod)
        return;
    lastRefresh_ = now();
    ownership_.refresh();
}

void GroupRuntime::end()
{
    const Refusal gone {Reason::UnknownGroup, "", Executed::No, Duration(0), ""};
    serving_ = false;
    failover_.stop();
    stopRunners(gone);
    held_.refuseAll(gone);
    servers_.setShare(GroupServers::Share::None);
    servers_.forEachExecutor([](ServerExecutor &executor) { executor.closeConnections(true); });
    failover_.closeConnections();
}

Refusal GroupRuntime::notOwner() const
{
    Refusal refusal;
    refusal.reason = Reason::NotOwner;
    refusal.ownerHint = ownerAddress();
    if (refusal.ownerHint == context_.ports.self.address)
        refusal.ownerHint.clear();
    return refusal;
}

// ---- Servers ----

void GroupRuntime::onServerReport(const ServerName &server, Instant sentAt,
                                  const decision::ServerReport &report)
{
    servers_.onReport(server, sentAt, report);
    confirmations_.onReport(server, report);
    if (confirmations_.waiting())
        failover_.requestReplicaSamples();
    reads_.onReports();
}

void GroupRuntime::onServerUnreachable(const ServerName &server)
{
    servers_.onUnreachable(server);
}

void GroupRuntime::onPrimaryGone(const decision::PrimaryGone &gone)
{
    servers_.onPrimaryGone();
    writes_.onPrimaryGone();
    transactions_.onPrimaryGone();
    if (ServerExecutor *executor = servers_.executor(gone.server)) {
        executor->refuseAll({Reason::NoPrimary, Duration(0), gone.cause, true});
        executor->closeConnections(true);
    }
}

void GroupRuntime::onPrimaryReady(const decision::PrimaryReady &ready)
{
    const decision::Failover *failover = failover_.decision();
    const settings::Group &group = findGroup(*context_.configuration, name());
    servers_.onNewTerm(now(), ready.server, ready.term, failover->history());
    ownership_.setPrimary(ready.term, ready.server);
    if (ready.gap > Duration(0)) {
        context_.ports.metrics.countPromotion();
        context_.ports.metrics.observeFailoverGap(ready.gap);
    }
    if (ready.lostAfter)
        LOG(ERROR) << "event=forced_promotion group=" << name() << " to=" << ready.server
                   << " lost_after_term=" << ready.lostAfter->term
                   << " lost_after_offset=" << ready.lostAfter->offset;
    ready_ = true;
    confirmations_.onPrimaryReady(ready.term, group.servers.size());
    writes_.onPrimaryReady();
    failover_.sampleAll();
    servers_.warm();
    beginWhenReady();
}

// ---- Requests ----

void GroupRuntime::execute(const RequestPtr &request)
{
    lastRequest_ = now();
    if (mustHold(request))
        held_.hold(request, static_cast<std::size_t>(std::max(1, context_.limits().queueLength)));
    else
        dispatch(request);
}

// Held are requests for a group that is about to start here, and those that come while it is
// handed over.
bool GroupRuntime::mustHold(const RequestPtr &request) const
{
    if (!serving_)
        return arrivingSince_ && now() - *arrivingSince_ < longestStart;
    if (!begun_ && now() - servingSince_ < longestStart)
        return true;
    return handOver_.mustHold(request->execute.step);
}

void GroupRuntime::dispatch(const RequestPtr &request)
{
    if (!serving_) {
        refreshOwner();
        context_.responder.refuse(*request, notOwner());
        return;
    }
    const std::string problem = findProblem(request->execute);
    if (!problem.empty())
        context_.responder.refuse(
            *request, {Reason::MalformedRequest, problem, Executed::No, Duration(0), ""});
    else if (request->execute.step != inner::StatementStep::Single)
        transactions_.run(request);
    else if (request->execute.readOnly)
        reads_.run(request);
    else
        writes_.run(request);
}

void GroupRuntime::updateHeld()
{
    held_.update(
        now(), [this](const RequestPtr &request) { return mustHold(request); },
        [this](const RequestPtr &request) { dispatch(request); });
}

void GroupRuntime::cancelTransaction(const std::string &transaction)
{
    transactions_.cancel(transaction);
}

// ---- Hand-over ----

void GroupRuntime::onHandOver(OwnerEpoch newEpoch)
{
    if (newEpoch > ownership_.epoch())
        arrivingSince_ = now();
    ownership_.onHandOver(newEpoch);
}

void GroupRuntime::beginHandOver()
{
    if (!serving_ || handOver_.running() || now() - handOverAsked_ < refreshPeriod)
        return;
    handOverAsked_ = now();
    ownership_.refresh();
}

// Without it a log can't tell an owner that hears a majority from one that can't give the group
// away.
void GroupRuntime::noteSilentServers()
{
    const decision::Failover *failover = failover_.decision();
    if (!serving_ || !failover)
        return;
    std::vector<ServerName> silent = failover->silentServers(now());
    if (silent == silentServers_)
        return;
    silentServers_ = std::move(silent);
    std::string names;
    for (const ServerName &name : silentServers_)
        names += (names.empty() ? "" : ",") + name;
    LOG(INFO) << "event=servers_silent group=" << name() << " silent=" << logValue(names)
              << " cut_off=" << failover->isCutOff(now());
}

void GroupRuntime::considerCutOff()
{
    const decision::Failover *failover = failover_.decision();
    if (!serving_ || !failover)
        return;
    decision::CutOffView view;
    view.isCutOff = failover->isCutOff(now());
    view.handOverInProgress = handOver_.running();
    view.rowIsFresh = now() - rowToldAt_ < refreshPeriod;
    view.successors = ownership_.row() ? ownership_.row()->row.successors.size() : 0;
    const decision::CutOffStep step = cutOff_.next(now(), view);
    if (step != cutOffStep_)
        LOG(WARNING) << "event=cut_off step=" << decision::cutOffStepName(step)
                     << " group=" << name() << " successors=" << view.successors
                     << " row_age_ms=" << toMilliseconds(now() - rowToldAt_);
    cutOffStep_ = step;
    if (step == decision::CutOffStep::ReadRow && now() - rowAskedAt_ >= refreshPeriod) {
        rowAskedAt_ = now();
        ownership_.refresh();
    }
    if (step == decision::CutOffStep::StartHandOver) {
        cutOff_.onHandOverStarted(now());
        LOG(INFO) << "event=hand_over_begins group=" << name();
        handOver_.begin(now());
    }
}

// Requests are held meanwhile, so a log has to tell what for.
void GroupRuntime::noteHandOverWait()
{
    const decision::HandOverWait wait =
        handOver_.givenAway() ? ownership_.handOverWait() : decision::HandOverWait::None;
    if (wait != handOverWait_ && wait != decision::HandOverWait::None)
        LOG(WARNING) << "event=hand_over_waits reason=" << decision::handOverWaitName(wait)
                     << " group=" << name();
    handOverWait_ = wait;
}

// Nothing is held before the store has just answered and there is somebody to take the group.
void GroupRuntime::startHandOver()
{
    const bool asked = now() - handOverAsked_ < refreshPeriod;
    if (!serving_ || handOver_.running() || !asked)
        return;
    if (ownership_.row()->row.successors.empty()) {
        LOG(WARNING) << "event=hand_over_waits reason=no_successor group=" << name();
        return;
    }
    LOG(INFO) << "event=hand_over_begins group=" << name();
    handOver_.begin(now());
}

std::size_t GroupRuntime::inProgress() const
{
    return reads_.waiting() + writes_.waiting() + transactions_.waiting();
}

// The next owner opens its whole share at once, so that of this process goes first.
void GroupRuntime::giveAway()
{
    stopRunners({Reason::Draining, "", Executed::No, retryAfterRefusal, ""});
    const Instant begun = handOver_.since();
    std::weak_ptr<bool> alive = alive_;
    servers_.setShare(GroupServers::Share::Reserve, [this, alive, begun] {
        if (!alive.expired() && handOver_.givenAway() && handOver_.since() == begun)
            ownership_.beginHandOver();
    });
}

void GroupRuntime::promote(const ServerName &server, bool acceptLoss)
{
    LOG(WARNING) << "event=operator_promotion group=" << name() << " to=" << server
                 << " accept_loss=" << acceptLoss;
    failover_.promote(server, acceptLoss);
}

inner::GroupStatus GroupRuntime::status() const
{
    inner::GroupStatus status;
    status.group = name();
    status.epoch = ownership_.epoch();
    if (ownership_.row()) {
        status.owner = ownership_.row()->row.owner;
        status.successors = ownership_.row()->row.successors;
    }
    status.leaseLeft = serving_ ? ownership_.leaseLeft() : Duration(0);
    const decision::Failover *failover = failover_.decision();
    if (failover && failover->primary()) {
        status.primary = *failover->primary();
        status.term = failover->term();
    }
    for (const settings::Server &server : findGroup(*context_.configuration, name()).servers)
        status.servers.push_back(servers_.status(server.name, now()));
    return status;
}

} // namespace kelptally::owner
