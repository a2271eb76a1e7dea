#include "owner/groupruntime.h"

#include "backend/sqltraits.h"
#include "core/logging.h"
#include "owner/ownermetrics.h"

#include <glog/logging.h>

#include <algorithm>

namespace kelptally::owner {

namespace {

// Maximum time that requests are held while this process starts to serve the group.
constexpr Duration maxStartHold = std::chrono::milliseconds(1500);
// Interval between samples of the servers' positions while there are requests.
constexpr Duration samplePeriod = std::chrono::milliseconds(40);
// Sampling stops this long after the last request.
constexpr Duration samplingIdleTimeout = std::chrono::seconds(1);
constexpr Duration metricsPeriod = std::chrono::milliseconds(500);
constexpr Duration retryAfterRefusal = std::chrono::milliseconds(200);
// A successor closes its reserve after this time without a heartbeat; longer than a promise.
constexpr Duration heartbeatTimeout = std::chrono::milliseconds(1700);
// Delay from a new successor's first promise to the opening of its reserve. By then the replaced
// successor has closed its own, so that both together stay within the server's limit.
constexpr Duration reserveDelay = std::chrono::milliseconds(2500);
// Minimum interval between reads of the row.
constexpr Duration refreshPeriod = std::chrono::milliseconds(300);

// Returns why a statement must not run on a pooled connection; empty if it may.
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

// ---- Periodic work ----

void GroupRuntime::tick()
{
    // 1. Ownership first: everything else depends on the lease.
    ownership_.tick();
    acceptRequestsWhenReady();
    checkLease();
    // 2. Failover.
    failover_.tick();
    // 3. Requests past their deadline.
    reads_.expire();
    writes_.expire();
    transactions_.expire();
    servers_.forEachExecutor([](ServerExecutor &executor) { executor.expire(); });
    servers_.dropRetired();
    updateHeldRequests();
    // 4. Hand-over and background work.
    updateReserve();
    logSilentServers();
    checkCutOff();
    handOver_.step(now());
    logHandOverWait();
    if (acceptingRequests_)
        purge_.tick();
    sampleWhenNeeded();
    updateMetrics();
}

// A new owner may get its lease only with the first answered heartbeat, after the primary is found.
void GroupRuntime::acceptRequestsWhenReady()
{
    if (acceptingRequests_ || !primaryFound_ || !ownership_.holdsLease())
        return;
    acceptingRequests_ = true;
    updateHeldRequests();
}

std::optional<inner::GroupHeartbeatAnswer>
GroupRuntime::onHeartbeat(const ProcessId &from, const inner::GroupHeartbeat &heartbeat)
{
    auto answer = ownership_.onHeartbeat(from, heartbeat);
    if (!answer || !answer->promised)
        return answer;
    if (now() - lastPromise_ > heartbeatTimeout)
        promisingSince_ = now();
    lastPromise_ = now();
    return answer;
}

// Opens the reserve of connections while this process is a listed successor that receives
// heartbeats, and closes it when they stop.
void GroupRuntime::updateReserve()
{
    if (serving_)
        return;
    const bool ownerAlive = now() - lastPromise_ <= heartbeatTimeout;
    const bool listed = ownership_.role() == decision::OwnershipRole::Successor;
    if (ownerAlive && !listed)
        refreshOwner();
    const bool reserve =
        ownerAlive && listed && servers_.hasReserves() && now() - promisingSince_ >= reserveDelay;
    if (reserve == reserveOpen_)
        return;
    reserveOpen_ = reserve;
    updateConnectionShare();
    if (reserveOpen_) {
        failover_.preconnect();
        servers_.preconnect();
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
    acceptRequestsWhenReady();
}

// After the lease has lapsed a successor may own the group, so requests in progress are refused and
// connections closed.
void GroupRuntime::checkLease()
{
    const bool lapsed = acceptingRequests_ && !ownership_.holdsLease();
    if (lapsed == leaseLapsed_)
        return;
    leaseLapsed_ = lapsed;
    if (!lapsed) {
        LOG(INFO) << "event=lease_regained group=" << name();
        updateConnectionShare();
        return;
    }
    if (handOver_.isTransferring())
        return;
    LOG(WARNING) << "event=lease_lapsed group=" << name() << " epoch=" << ownership_.epoch();
    stopRunners({Reason::LeaseLost, "", Executed::No, retryAfterRefusal, ""});
    updateConnectionShare();
    servers_.forEachExecutor([](ServerExecutor &executor) { executor.closeConnections(true); });
}

void GroupRuntime::sampleWhenNeeded()
{
    if (!serving_)
        return;
    const bool active = now() - lastRequest_ < samplingIdleTimeout;
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
    primaryFound_ = false;
    acceptingRequests_ = false;
    leaseLapsed_ = false;
    servingSince_ = now();
    lastRequest_ = now();
    context_.ports.metrics.countClaim();
    updateConnectionShare();
    transactions_.start(start.epoch);
    failover_.start(start.epoch, start.termHint, start.primaryHint);
}

void GroupRuntime::onStopServing(const std::string &stopReason)
{
    const bool planned = handOver_.isTransferring();
    if (planned) {
        context_.ports.metrics.countHandOver();
        context_.ports.metrics.observeHandOver(now() - handOver_.phaseStartedAt());
        LOG(INFO) << "event=handed_over group=" << name() << " to=" << ownerAddress()
                  << " ms=" << toMilliseconds(now() - handOver_.phaseStartedAt());
    } else {
        LOG(WARNING) << "event=ownership_lost group=" << name()
                     << " cause=" << logValue(stopReason);
    }
    serving_ = false;
    primaryFound_ = false;
    acceptingRequests_ = false;
    leaseLapsed_ = false;
    handOver_.end();
    failover_.stop();
    stopRunners(notOwnerRefusal());
    held_.refuseAll(notOwnerRefusal());
    updateConnectionShare();
    servers_.forEachExecutor(
        [planned](ServerExecutor &executor) { executor.closeConnections(!planned); });
}

void GroupRuntime::onRowChanged()
{
    updateConnectionShare();
    rowConfirmedAt_ = now();
    if (ownership_.row())
        startHandOver();
}

void GroupRuntime::updateConnectionShare()
{
    using ConnectionShare = GroupServers::ConnectionShare;
    ConnectionShare share = ConnectionShare::None;
    if (serving_ && !handOver_.isTransferring() && !leaseLapsed_)
        share = ConnectionShare::Owner;
    else if (serving_ || reserveOpen_)
        share = ConnectionShare::Reserve;
    servers_.setConnectionShare(share);
    if (share == ConnectionShare::None)
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
    servers_.setConnectionShare(GroupServers::ConnectionShare::None);
    servers_.forEachExecutor([](ServerExecutor &executor) { executor.closeConnections(true); });
    failover_.closeConnections();
}

Refusal GroupRuntime::notOwnerRefusal() const
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
    primaryFound_ = true;
    confirmations_.onPrimaryReady(ready.term, group.servers.size());
    writes_.onPrimaryReady();
    failover_.sampleAll();
    servers_.preconnect();
    acceptRequestsWhenReady();
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

// Requests are held while the group starts here and while it is handed over.
bool GroupRuntime::mustHold(const RequestPtr &request) const
{
    if (!serving_)
        return handOverNotifiedAt_ && now() - *handOverNotifiedAt_ < maxStartHold;
    if (!acceptingRequests_ && now() - servingSince_ < maxStartHold)
        return true;
    return handOver_.mustHold(request->execute.step);
}

void GroupRuntime::dispatch(const RequestPtr &request)
{
    if (!serving_) {
        refreshOwner();
        context_.responder.refuse(*request, notOwnerRefusal());
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

void GroupRuntime::updateHeldRequests()
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
        handOverNotifiedAt_ = now();
    ownership_.onHandOver(newEpoch);
}

void GroupRuntime::beginHandOver()
{
    if (!serving_ || handOver_.running() || now() - handOverRequestedAt_ < refreshPeriod)
        return;
    handOverRequestedAt_ = now();
    ownership_.refresh();
}

// Lets the log show whether an owner has a majority or merely cannot hand the group over.
void GroupRuntime::logSilentServers()
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

void GroupRuntime::checkCutOff()
{
    const decision::Failover *failover = failover_.decision();
    if (!serving_ || !failover)
        return;
    decision::CutOffView view;
    view.isCutOff = failover->isCutOff(now());
    view.handOverInProgress = handOver_.running();
    view.rowIsFresh = now() - rowConfirmedAt_ < refreshPeriod;
    view.successors = ownership_.row() ? ownership_.row()->row.successors.size() : 0;
    const decision::CutOffStep step = cutOff_.next(now(), view);
    if (step != cutOffStep_)
        LOG(WARNING) << "event=cut_off step=" << decision::cutOffStepName(step)
                     << " group=" << name() << " successors=" << view.successors
                     << " row_age_ms=" << toMilliseconds(now() - rowConfirmedAt_);
    cutOffStep_ = step;
    if (step == decision::CutOffStep::ReadRow && now() - rowRequestedAt_ >= refreshPeriod) {
        rowRequestedAt_ = now();
        ownership_.refresh();
    }
    if (step == decision::CutOffStep::StartHandOver) {
        cutOff_.onHandOverStarted(now());
        LOG(INFO) << "event=hand_over_begins group=" << name();
        handOver_.begin(now());
    }
}

// Requests are held during the wait, so its reason is logged.
void GroupRuntime::logHandOverWait()
{
    const decision::HandOverWait wait =
        handOver_.isTransferring() ? ownership_.handOverWait() : decision::HandOverWait::None;
    if (wait != handOverWait_ && wait != decision::HandOverWait::None)
        LOG(WARNING) << "event=hand_over_waits reason=" << decision::handOverWaitName(wait)
                     << " group=" << name();
    handOverWait_ = wait;
}

// Starts the requested hand-over. Requests are held only if the table service has just answered and
// a successor is listed.
void GroupRuntime::startHandOver()
{
    const bool requested = now() - handOverRequestedAt_ < refreshPeriod;
    if (!serving_ || handOver_.running() || !requested)
        return;
    if (ownership_.row()->row.successors.empty()) {
        LOG(WARNING) << "event=hand_over_waits reason=no_successor group=" << name();
        return;
    }
    LOG(INFO) << "event=hand_over_begins group=" << name();
    handOver_.begin(now());
}

std::size_t GroupRuntime::requestsInProgress() const
{
    return reads_.waiting() + writes_.waiting() + transactions_.waiting();
}

// The new owner opens its full share of connections at once, so this process reduces its own before
// the row is written.
void GroupRuntime::transferOwnership()
{
    stopRunners({Reason::Draining, "", Executed::No, retryAfterRefusal, ""});
    const Instant transferStartedAt = handOver_.phaseStartedAt();
    std::weak_ptr<bool> alive = alive_;
    servers_.setConnectionShare(GroupServers::ConnectionShare::Reserve,
                                [this, alive, transferStartedAt] {
                                    if (!alive.expired() && handOver_.isTransferring()
                                        && handOver_.phaseStartedAt() == transferStartedAt)
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
