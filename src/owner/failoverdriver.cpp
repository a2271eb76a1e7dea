#include "owner/failoverdriver.h"

#include "core/logging.h"
#include "owner/serverendpoint.h"
#include "owner/serverreport.h"

#include <glog/logging.h>

#include <utility>

namespace kelptally::owner {

namespace {

// Minimum interval between samples of the replicas, so that concurrent writes share them.
constexpr Duration minSampleInterval = std::chrono::microseconds(500);

decision::CommandFailure toCommandFailure(CommandState state)
{
    switch (state) {
    // The server answered, but the answer could not be parsed.
    case CommandState::Done:
    case CommandState::Refused:
        return decision::CommandFailure::Refused;
    case CommandState::NotSent:
        return decision::CommandFailure::NotSent;
    case CommandState::Unknown:
        return decision::CommandFailure::Unknown;
    }
    return decision::CommandFailure::Unknown;
}

} // namespace

FailoverDriver::FailoverDriver(const settings::Group &group, OwnerPorts &ports,
                               FailoverListener &listener)
    : ports_(ports), listener_(listener)
{
    setServers(group);
}

void FailoverDriver::start(OwnerEpoch epoch, Term termHint, const ServerName &primaryHint)
{
    stop();
    std::vector<ServerName> names;
    for (const auto &server : group_.servers)
        names.push_back(server.name);
    failover_.emplace(group_.name, epoch, names);
    perform(failover_->start(now(), termHint, primaryHint));
}

void FailoverDriver::stop()
{
    failover_.reset();
    generation_ = std::make_shared<int>(0);
    samplings_.clear();
    sampleTimerActive_ = false;
}

void FailoverDriver::tick()
{
    if (failover_)
        perform(failover_->onTick(now()));
}

void FailoverDriver::setServers(const settings::Group &group)
{
    const settings::Group old = std::exchange(group_, group);
    std::map<ServerName, std::shared_ptr<ControlConnection>> connections;
    std::vector<ServerName> names;
    std::vector<ServerName> leaving;
    for (const auto &server : group.servers) {
        names.push_back(server.name);
        if (server.administrativeState == settings::AdministrativeState::Leaving)
            leaving.push_back(server.name);
        auto &connection = connections[server.name];
        const auto found = connections_.find(server.name);
        if (found != connections_.end() && !isRemovedOrChanged(old, group, server.name)) {
            connection = found->second;
            continue;
        }
        connection = std::make_shared<ControlConnection>(
            ports_.timers, ports_.makeServer(endpointOf(group, server)));
    }
    connections_.swap(connections);
    for (const auto &[name, connection] : connections) {
        const auto current = connections_.find(name);
        if (current == connections_.end() || current->second != connection)
            connection->close();
    }
    if (failover_)
        perform(failover_->setServers(now(), names, leaving));
}

void FailoverDriver::preconnect()
{
    for (const auto &[name, connection] : connections_)
        if (!connection->connected() && connection->idle())
            sample(name);
}

void FailoverDriver::closeConnections()
{
    for (const auto &[name, connection] : connections_)
        connection->close();
}

void FailoverDriver::sample(const ServerName &server)
{
    Sampling &sampling = samplings_[server];
    if (sampling.running) {
        sampling.repeat = true;
        return;
    }
    sampling = {true, false};
    queryStatus(server, [this, server](const CommandResult &, const auto &) {
        Sampling &finished = samplings_[server];
        finished.running = false;
        if (finished.repeat)
            sample(server);
    });
}

void FailoverDriver::sampleAll()
{
    for (const auto &server : group_.servers)
        sample(server.name);
}

void FailoverDriver::requestReplicaSamples()
{
    if (sampleTimerActive_)
        return;
    if (now() >= nextSample_) {
        sampleReplicas();
        return;
    }
    sampleTimerActive_ = true;
    std::weak_ptr<int> generation = generation_;
    ports_.timers.subscribeAt(nextSample_, [this, generation] {
        if (generation.expired())
            return;
        sampleTimerActive_ = false;
        sampleReplicas();
    });
}

void FailoverDriver::sampleReplicas()
{
    nextSample_ = now() + minSampleInterval;
    for (const auto &server : group_.servers)
        if (!failover_ || failover_->primary() != server.name)
            sample(server.name);
}

void FailoverDriver::onTraffic(const ServerName &server)
{
    if (failover_)
        failover_->onTraffic(now(), server);
}

void FailoverDriver::onConnectionLost(const ServerName &server)
{
    if (failover_)
        perform(failover_->onConnectionLost(now(), server));
}

void FailoverDriver::promote(const ServerName &server, bool acceptLoss)
{
    if (failover_)
        perform(failover_->promote(now(), server, acceptLoss));
}

void FailoverDriver::perform(const decision::FailoverActions &actions)
{
    for (const auto &action : actions) {
        if (!failover_)
            return;
        std::visit([this](const auto &typedAction) { perform(typedAction); }, action);
    }
}

void FailoverDriver::perform(const decision::SendProbe &action)
{
    queryStatus(action.server, [this, action](const CommandResult &result, const auto &report) {
        if (!failover_)
            return;
        if (report)
            perform(failover_->onReport(now(), action.server, action.sequence, *report));
        else
            perform(failover_->onProbeFailed(now(), action.server, action.sequence,
                                             result.connectionRefused));
    });
}

void FailoverDriver::perform(const decision::SendPrepare &action)
{
    backend::Statement statement {group_.statements.prepare, {std::to_string(action.term)}};
    runCommand(action.server, std::move(statement), [this, action](const CommandResult &) {
        queryStatus(action.server, [this, action](const CommandResult &status, const auto &report) {
            if (!failover_)
                return;
            if (report)
                perform(failover_->onPrepared(now(), action.server, action.term, *report));
            else
                perform(failover_->onCommandFailed(now(), action.server,
                                                   toCommandFailure(status.state)));
        });
    });
}

void FailoverDriver::perform(const decision::SendPromote &action)
{
    backend::Statement statement {group_.statements.promote, {std::to_string(action.term)}};
    runCommand(action.server, std::move(statement), [this, action](const CommandResult &) {
        perform(failover_->onPromoted(now(), action.server, action.term));
    });
}

void FailoverDriver::perform(const decision::SendFollow &action)
{
    backend::Statement statement {group_.statements.follow,
                                  {action.primary, std::to_string(action.term)}};
    runCommand(action.server, std::move(statement), [this, action](const CommandResult &) {
        perform(failover_->onFollowing(now(), action.server, action.term));
    });
}

void FailoverDriver::perform(const decision::SendRaiseFence &action)
{
    backend::Statement statement {group_.statements.raiseFence, {std::to_string(action.epoch)}};
    runCommand(action.server, std::move(statement), [this, action](const CommandResult &) {
        perform(failover_->onFenceRaised(now(), action.server, action.epoch));
    });
}

void FailoverDriver::perform(const decision::SendReadHistory &action)
{
    runCommand(action.server, {group_.statements.history, {}},
               [this, action](const CommandResult &result) {
                   if (const auto history = parseHistory(result.rows))
                       perform(failover_->onHistory(now(), action.server, *history));
                   else
                       perform(failover_->onCommandFailed(now(), action.server,
                                                          toCommandFailure(result.state)));
               });
}

void FailoverDriver::perform(const decision::PrimaryGone &action)
{
    LOG(WARNING) << "event=primary_gone group=" << group_.name << " server=" << action.server
                 << " cause=" << logValue(action.cause);
    listener_.onPrimaryGone(action);
}

void FailoverDriver::perform(const decision::PrimaryReady &action)
{
    LOG(INFO) << "event=primary_ready group=" << group_.name << " server=" << action.server
              << " term=" << action.term << " gap_ms=" << toMilliseconds(action.gap);
    listener_.onPrimaryReady(action);
}

void FailoverDriver::queryStatus(const ServerName &server, StatusHandler handler)
{
    const auto found = connections_.find(server);
    if (found == connections_.end())
        return;
    std::weak_ptr<int> generation = generation_;
    found->second->run({group_.statements.status, {}},
                       [this, generation, server, handler](const CommandResult &result) {
                           if (generation.expired())
                               return;
                           std::optional<decision::ServerReport> report;
                           if (result.state == CommandState::Done)
                               report = parseServerReport(result.rows);
                           if (report)
                               listener_.onServerReport(server, result.sentAt, *report);
                           else
                               listener_.onServerUnreachable(server);
                           handler(result, report);
                       });
}

void FailoverDriver::runCommand(const ServerName &server, backend::Statement statement,
                                CommandHandler handler)
{
    const auto found = connections_.find(server);
    if (found == connections_.end())
        return;
    std::weak_ptr<int> generation = generation_;
    found->second->run(
        std::move(statement), [this, generation, server, handler](const CommandResult &result) {
            if (generation.expired() || !failover_)
                return;
            if (result.state == CommandState::Done) {
                handler(result);
                return;
            }
            // Commands to a stopped server are repeated; logging each failure would flood the log.
            if (!result.connectionRefused)
                LOG(WARNING) << "event=server_command_failed group=" << group_.name
                             << " server=" << server << " cause=" << logValue(result.message);
            perform(failover_->onCommandFailed(now(), server, toCommandFailure(result.state)));
        });
}

} // namespace kelptally::owner
