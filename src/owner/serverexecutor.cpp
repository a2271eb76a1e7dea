#include "owner/serverexecutor.h"

#include "owner/serverendpoint.h"

#include <glog/logging.h>

namespace kelptally::owner {

namespace {

backend::PoolOptions poolOptions(const settings::Server &server)
{
    backend::PoolOptions options;
    options.limit = 0;
    options.seed = std::hash<std::string>()(server.name);
    return options;
}

} // namespace

ServerExecutor::ServerExecutor(const settings::Group &group, const settings::Server &server,
                               const settings::Limits &limits, OwnerPorts &ports)
    : ports_(ports), server_(server), admission_(server.slots, limits.queueLength)
{
    pool_ = std::make_shared<backend::ConnectionPool>(
        ports.timers, ports.makeServer(endpointOf(group, server)), poolOptions(server));
}

void ServerExecutor::submit(ExecutorWork work)
{
    const decision::AdmissionAnswer answer = admission_.offer(ports_.timers.now(), work.work);
    if (answer.reason != Reason::None) {
        WorkRefusal refusal;
        refusal.reason = answer.reason;
        refusal.retryAfter = answer.retryAfter;
        work.refused(refusal);
        return;
    }
    const decision::WorkId id = work.work.id;
    PendingWork pending;
    pending.queued = std::move(work);
    pendingWorks_[id] = std::move(pending);
    dispatch();
}

bool ServerExecutor::cancel(decision::WorkId id)
{
    const auto found = pendingWorks_.find(id);
    if (found == pendingWorks_.end())
        return false;
    const PendingWork pending = std::move(found->second);
    pendingWorks_.erase(found);
    if (!pending.hasSlot)
        return admission_.cancel(id);
    pool_->cancel(pending.request);
    finished(pending.queued.work, std::nullopt);
    return true;
}

void ServerExecutor::finished(const decision::Work &work, std::optional<Duration> serviceTime)
{
    if (serviceTime)
        admission_.finished(work, *serviceTime);
    else
        admission_.abandoned(work);
    dispatch();
}

void ServerExecutor::release(const ConnectionPtr &connection, bool reusable)
{
    pool_->release(connection, reusable);
}

// Callbacks may submit or finish work; the loop handles that without recursion.
void ServerExecutor::dispatch()
{
    dispatchAgain_ = true;
    if (dispatching_)
        return;
    const auto keepAlive = shared_from_this();
    dispatching_ = true;
    while (dispatchAgain_) {
        dispatchAgain_ = false;
        startAdmitted();
    }
    dispatching_ = false;
    refuseDropped();
}

void ServerExecutor::startAdmitted()
{
    while (const auto work = admission_.next(ports_.timers.now()))
        start(*work);
}

void ServerExecutor::start(const decision::Work &work)
{
    const auto found = pendingWorks_.find(work.id);
    if (found == pendingWorks_.end()) {
        admission_.abandoned(work);
        return;
    }
    if (found->second.queued.pinned) {
        const ExecutorWork queued = std::move(found->second.queued);
        pendingWorks_.erase(found);
        queued.start(queued.pinned);
        return;
    }
    found->second.hasSlot = true;
    std::weak_ptr<ServerExecutor> weak = weak_from_this();
    const auto request = pool_->acquire(
        work.deadline, [weak, id = work.id](const absl::Status &status, ConnectionPtr connection) {
            const auto self = weak.lock();
            if (self)
                self->onConnection(id, status, std::move(connection));
            else if (connection)
                connection->close();
        });
    const auto remaining = pendingWorks_.find(work.id);
    if (remaining != pendingWorks_.end())
        remaining->second.request = request;
}

void ServerExecutor::onConnection(decision::WorkId id, const absl::Status &status,
                                  ConnectionPtr connection)
{
    const auto found = pendingWorks_.find(id);
    if (found == pendingWorks_.end()) {
        if (connection)
            pool_->release(connection, true);
        return;
    }
    const ExecutorWork queued = std::move(found->second.queued);
    pendingWorks_.erase(found);
    if (status.ok()) {
        queued.start(std::move(connection));
        return;
    }
    WorkRefusal refusal;
    refusal.reason = Reason::NoPrimary;
    refusal.unreachable = !absl::IsDeadlineExceeded(status);
    if (!refusal.unreachable)
        refusal.reason = Reason::DeadlineExceeded;
    refusal.detail = std::string(status.message());
    finished(queued.work, std::nullopt);
    queued.refused(refusal);
}

void ServerExecutor::refuse(decision::WorkId id, const WorkRefusal &refusal)
{
    const auto found = pendingWorks_.find(id);
    if (found == pendingWorks_.end())
        return;
    const ExecutorWork queued = std::move(found->second.queued);
    pendingWorks_.erase(found);
    queued.refused(refusal);
}

void ServerExecutor::refuseAll(const WorkRefusal &refusal)
{
    const auto keepAlive = shared_from_this();
    for (const decision::Work &work : admission_.takeAll())
        refuse(work.id, refusal);
    std::vector<decision::WorkId> connecting;
    for (const auto &[id, pending] : pendingWorks_)
        if (pending.hasSlot)
            connecting.push_back(id);
    for (const decision::WorkId id : connecting) {
        const auto found = pendingWorks_.find(id);
        if (found == pendingWorks_.end())
            continue;
        const ExecutorWork queued = found->second.queued;
        if (cancel(id))
            queued.refused(refusal);
    }
}

void ServerExecutor::closeConnections(bool abortRunning)
{
    pool_->closeAll(abortRunning);
}

void ServerExecutor::expire()
{
    dispatch();
}

void ServerExecutor::refuseDropped()
{
    for (const decision::DroppedWork &dropped : admission_.expire(ports_.timers.now())) {
        WorkRefusal refusal;
        refusal.reason = dropped.reason;
        refusal.retryAfter = dropped.retryAfter;
        refuse(dropped.id, refusal);
    }
}

void ServerExecutor::setConnectionLimit(int limit, std::function<void()> withinLimit)
{
    connectionLimit_ = limit;
    pool_->setLimit(limit, std::move(withinLimit));
}

void ServerExecutor::configure(const settings::Server &server,
                               const std::vector<settings::Team> &teams)
{
    server_ = server;
    admission_.setTeamShares(teams);
    admission_.setSlots(server.slots);
    dispatch();
}

void ServerExecutor::setMinConnections(int connections)
{
    pool_->setMinConnections(connections);
}

} // namespace kelptally::owner
