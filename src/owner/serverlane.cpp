#include "owner/serverlane.h"

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

ServerLane::ServerLane(const settings::Group &group, const settings::Server &server,
                       const settings::Limits &limits, OwnerPorts &ports)
    : ports_(ports), server_(server), admission_(server.slots, limits.queueLength)
{
    pool_ = std::make_shared<backend::ConnectionPool>(
        ports.timers, ports.makeServer(endpointOf(group, server)), poolOptions(server));
}

void ServerLane::submit(LaneWork work)
{
    const decision::AdmissionAnswer answer = admission_.offer(ports_.timers.now(), work.work);
    if (answer.reason != Reason::None) {
        LaneRefusal refusal;
        refusal.reason = answer.reason;
        refusal.retryAfter = answer.retryAfter;
        work.refused(refusal);
        return;
    }
    const decision::WorkId id = work.work.id;
    Waiting waiting;
    waiting.lane = std::move(work);
    works_[id] = std::move(waiting);
    pump();
}

bool ServerLane::cancel(decision::WorkId id)
{
    const auto found = works_.find(id);
    if (found == works_.end())
        return false;
    const Waiting waiting = std::move(found->second);
    works_.erase(found);
    if (!waiting.hasSlot)
        return admission_.cancel(id);
    pool_->cancel(waiting.request);
    finished(waiting.lane.work, std::nullopt);
    return true;
}

void ServerLane::finished(const decision::Work &work, std::optional<Duration> serviceTime)
{
    if (serviceTime)
        admission_.finished(work, *serviceTime);
    else
        admission_.abandoned(work);
    pump();
}

void ServerLane::release(const ConnectionPtr &connection, bool reusable)
{
    pool_->release(connection, reusable);
}

// Callbacks may submit or finish work; that is taken up here, without recursion.
void ServerLane::pump()
{
    pumpAgain_ = true;
    if (pumping_)
        return;
    const auto keep = shared_from_this();
    pumping_ = true;
    while (pumpAgain_) {
        pumpAgain_ = false;
        startDue();
    }
    pumping_ = false;
    dropLate();
}

void ServerLane::startDue()
{
    while (const auto work = admission_.next(ports_.timers.now()))
        start(*work);
}

void ServerLane::start(const decision::Work &work)
{
    const auto found = works_.find(work.id);
    if (found == works_.end()) {
        admission_.abandoned(work);
        return;
    }
    if (found->second.lane.pinned) {
        const LaneWork lane = std::move(found->second.lane);
        works_.erase(found);
        lane.start(lane.pinned);
        return;
    }
    found->second.hasSlot = true;
    std::weak_ptr<ServerLane> weak = weak_from_this();
    const auto request = pool_->acquire(
        work.deadline, [weak, id = work.id](const absl::Status &status, ConnectionPtr connection) {
            const auto self = weak.lock();
            if (self)
                self->onConnection(id, status, std::move(connection));
            else if (connection)
                connection->close();
        });
    const auto still = works_.find(work.id);
    if (still != works_.end())
        still->second.request = request;
}

void ServerLane::onConnection(decision::WorkId id, const absl::Status &status,
                              ConnectionPtr connection)
{
    const auto found = works_.find(id);
    if (found == works_.end()) {
        if (connection)
            pool_->release(connection, true);
        return;
    }
    const LaneWork lane = std::move(found->second.lane);
    works_.erase(found);
    if (status.ok()) {
        lane.start(std::move(connection));
        return;
    }
    LaneRefusal refusal;
    refusal.reason = Reason::NoPrimary;
    refusal.unreachable = !absl::IsDeadlineExceeded(status);
    if (!refusal.unreachable)
        refusal.reason = Reason::DeadlineExceeded;
    refusal.detail = std::string(status.message());
    finished(lane.work, std::nullopt);
    lane.refused(refusal);
}

void ServerLane::refuse(decision::WorkId id, const LaneRefusal &refusal)
{
    const auto found = works_.find(id);
    if (found == works_.end())
        return;
    const LaneWork lane = std::move(found->second.lane);
    works_.erase(found);
    lane.refused(refusal);
}

void ServerLane::refuseAll(const LaneRefusal &refusal)
{
    const auto keep = shared_from_this();
    for (const decision::Work &work : admission_.takeAll())
        refuse(work.id, refusal);
    std::vector<decision::WorkId> connecting;
    for (const auto &[id, waiting] : works_)
        if (waiting.hasSlot)
            connecting.push_back(id);
    for (const decision::WorkId id : connecting) {
        const auto found = works_.find(id);
        if (found == works_.end())
            continue;
        const LaneWork lane = found->second.lane;
        if (cancel(id))
            lane.refused(refusal);
    }
}

void ServerLane::closeConnections(bool cutRunning)
{
    pool_->closeAll(cutRunning);
}

void ServerLane::expire()
{
    pump();
}

void ServerLane::dropLate()
{
    for (const decision::DroppedWork &dropped : admission_.expire(ports_.timers.now())) {
        LaneRefusal refusal;
        refusal.reason = dropped.reason;
        refusal.retryAfter = dropped.retryAfter;
        refuse(dropped.id, refusal);
    }
}

void ServerLane::setConnectionLimit(int limit, std::function<void()> withinLimit)
{
    connectionLimit_ = limit;
    pool_->setLimit(limit, std::move(withinLimit));
}

void ServerLane::configure(const settings::Server &server, const std::vector<settings::Team> &teams)
{
    server_ = server;
    admission_.setTeamShares(teams);
    admission_.setSlots(server.slots);
    pump();
}

void ServerLane::warm(int connections)
{
    pool_->warm(connections);
}

} // namespace kelptally::owner
