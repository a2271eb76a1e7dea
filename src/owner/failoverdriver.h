#pragma once

#include "decision/failover.h"
#include "owner/controlconnection.h"
#include "owner/ownerports.h"

#include <map>
#include <memory>
#include <optional>

namespace kelptally::owner {

// Told what the group's servers say and who is primary.
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

// Carries out the failover decision of one group over a control connection to each server: probes,
// prepare, promote, follow, the fence and the term history. It also samples the servers' positions
// for confirmation and freshness; while this process does not serve the group it does nothing.
class FailoverDriver
{
public:
    FailoverDriver(const settings::Group &group, OwnerPorts &ports, FailoverListener &listener);

    void start(OwnerEpoch epoch, Term termHint, const ServerName &primaryHint);
    void stop();
    bool running() const { return failover_.has_value(); }
    void tick();

    // Servers as a new configuration has them.
    void setServers(const settings::Group &group);

    // Opens the control connections ahead of need.
    void warm();
    void closeConnections();

    // Asks all servers for their state.
    void sampleAll();
    // Asks the replicas for their state soon: at once, unless that was done a moment ago.
    void requestReplicaSamples();

    void onTraffic(const ServerName &server);
    void onConnectionLost(const ServerName &server);
    void promote(const ServerName &server, bool acceptLoss);

    const decision::Failover *decision() const { return failover_ ? &*failover_ : nullptr; }

private:
    using StatusHandler =
        std::function<void(const CommandResult &, const std::optional<decision::ServerReport> &)>;
    using CommandHandler = std::function<void(const CommandResult &)>;

    void carryOut(const decision::FailoverActions &actions);
    void carryOut(const decision::SendProbe &action);
    void carryOut(const decision::SendPrepare &action);
    void carryOut(const decision::SendPromote &action);
    void carryOut(const decision::SendFollow &action);
    void carryOut(const decision::SendRaiseFence &action);
    void carryOut(const decision::SendReadHistory &action);
    void carryOut(const decision::PrimaryGone &action);
    void carryOut(const decision::PrimaryReady &action);

    void sample(const ServerName &server);
    void sampleReplicas();
    void queryStatus(const ServerName &server, StatusHandler handler);
    // Runs one command; a failure is told to the decision, success to the handler.
    void runCommand(const ServerName &server, backend::Statement statement, CommandHandler handler);
    Instant now() const { return ports_.timers.now(); }

    OwnerPorts &ports_;
    FailoverListener &listener_;
    settings::Group group_;
    std::optional<decision::Failover> failover_;
    std::map<ServerName, std::shared_ptr<ControlConnection>> connections_;
    // Samples under way; one that is asked for meanwhile follows.
    struct Sampling
    {
        bool running = false;
        bool repeat = false;
    };
    std::map<ServerName, Sampling> samplings_;
    Instant nextSample_;
    bool sampleTimerActive_ = false;
    // Answers of an earlier time as owner are dropped.
    std::shared_ptr<int> generation_ = std::make_shared<int>(0);
};

} // namespace kelptally::owner
