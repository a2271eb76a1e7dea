#pragma once

#include "decision/failover.h"
#include "owner/controlconnection.h"
#include "owner/ownerports.h"

#include <map>
#include <memory>
#include <optional>

namespace kelptally::owner {

// Receives the events of a FailoverDriver: the servers' reports and changes of the primary.
class FailoverListener
{
public:
    virtual ~FailoverListener() = default;

    virtual void onServerReport(const ServerName &server, Instant sentAt,
                                const decision::ServerReport &report) = 0;
    virtual void onServerUnreachable(const ServerName &server) = 0;
    virtual void onPrimaryGone(const decision::PrimaryGone &gone) = 0;
    virtual void onPrimaryReady(const decision::PrimaryReady &ready) = 0;
};

// Executes the actions of one group's failover decision over a control connection to each server:
// probe, prepare, promote, follow, raise the fence and read the term history. Also samples the
// servers' positions for confirmation and freshness. Active only while this process serves the
// group.
class FailoverDriver
{
public:
    FailoverDriver(const settings::Group &group, OwnerPorts &ports, FailoverListener &listener);

    void start(OwnerEpoch epoch, Term termHint, const ServerName &primaryHint);
    void stop();
    bool running() const { return failover_.has_value(); }
    void tick();

    // Applies the servers of a new configuration.
    void setServers(const settings::Group &group);

    // Opens the control connections ahead of need.
    void preconnect();
    void closeConnections();

    // Queries the status of all servers.
    void sampleAll();
    // Queries the status of all replicas, at most once per minSampleInterval.
    void requestReplicaSamples();

    void onTraffic(const ServerName &server);
    void onConnectionLost(const ServerName &server);
    void promote(const ServerName &server, bool acceptLoss);

    const decision::Failover *decision() const { return failover_ ? &*failover_ : nullptr; }

private:
    using StatusHandler =
        std::function<void(const CommandResult &, const std::optional<decision::ServerReport> &)>;
    using CommandHandler = std::function<void(const CommandResult &)>;

    void perform(const decision::FailoverActions &actions);
    void perform(const decision::SendProbe &action);
    void perform(const decision::SendPrepare &action);
    void perform(const decision::SendPromote &action);
    void perform(const decision::SendFollow &action);
    void perform(const decision::SendRaiseFence &action);
    void perform(const decision::SendReadHistory &action);
    void perform(const decision::PrimaryGone &action);
    void perform(const decision::PrimaryReady &action);

    void sample(const ServerName &server);
    void sampleReplicas();
    void queryStatus(const ServerName &server, StatusHandler handler);
    // Runs one command. Calls the handler on success and reports a failure to the decision.
    void runCommand(const ServerName &server, backend::Statement statement, CommandHandler handler);
    Instant now() const { return ports_.timers.now(); }

    OwnerPorts &ports_;
    FailoverListener &listener_;
    settings::Group group_;
    std::optional<decision::Failover> failover_;
    std::map<ServerName, std::shared_ptr<ControlConnection>> connections_;
    // A status query of a server.
    struct Sampling
    {
        bool running = false;
        // Another sample was requested while this one runs; it follows.
        bool repeat = false;
    };
    std::map<ServerName, Sampling> samplings_;
    Instant nextSample_;
    bool sampleTimerActive_ = false;
    // Replaced on each stop, so that callbacks of earlier runs are dropped.
    std::shared_ptr<int> generation_ = std::make_shared<int>(0);
};

} // namespace kelptally::owner
