#include "bench/replay.h"

#include "bench/model.h"
#include "bench/policy.h"

#include <absl/status/status.h>

#include <algorithm>

namespace kelptally::bench {

using namespace std::chrono_literals;

namespace {

// Time for the processes to start before the trace, and for answers after its end.
constexpr Duration settleTime = 5s;
constexpr Duration drainTime = 15s;
// Upper bound on the time until a configuration change has reached every proxy
// (docs/design/configuration.md).
constexpr Duration configurationDelay = 500ms;
// Maximum wait of the oracle router for a replica to catch up; equal to that of the real router.
constexpr Duration oracleWait = 30ms;
constexpr Duration oraclePollInterval = 1ms;

// Replays a trace: sends its requests, injects its faults and passes the answers to the checker.
class Replay
{
public:
    Replay(const Trace &trace, const std::string &policy, const ReplayOptions &options)
        : model_(trace), options_(options), policy_(makePolicy(policy, model_))
    {
        model_.primaryBrowseSlots = options.primaryBrowseSlots;
    }

    bool hasPolicy() const { return policy_ != nullptr; }

    Figures run()
    {
        policy_->start();
        model_.timers.advance(settleTime);
        begin_ = model_.timers.now();
        for (const TraceEvent &event : model_.trace.events) {
            model_.timers.advance(begin_ + event.at - model_.timers.now());
            if (event.request)
                send(*event.request);
            else
                injectFault(*event.fault);
        }
        model_.timers.advance(drainTime);
        finish();
        return model_.checker.figures();
    }

private:
    void send(const TraceRequest &request)
    {
        model_.checker.onSent(request, model_.timers.now());
        if (!request.write && request.statedAge)
            tryOracleRouter(request, model_.timers.now() + oracleWait);
        submit(request, options_.callerRetries);
    }

    void submit(const TraceRequest &request, int retriesLeft)
    {
        model_.timers.subscribeAfter(model_.trace.clientDelay, [this, &request, retriesLeft] {
            const auto entry = entryFor(request);
            if (!entry)
                return;
            policy_->submit(request, *entry, [this, &request, retriesLeft](const Answer &answer) {
                model_.timers.subscribeAfter(model_.trace.clientDelay,
                                             [this, &request, retriesLeft, answer] {
                                                 handleAnswer(request, retriesLeft, answer);
                                             });
            });
        });
    }

    void handleAnswer(const TraceRequest &request, int retriesLeft, const Answer &answer)
    {
        if (answer.executed == Executed::No && retriesLeft > 0) {
            const Duration delay = options_.callerRetryDelay.value_or(answer.retryAfter);
            model_.timers.subscribeAfter(delay, [this, &request, retriesLeft] {
                model_.checker.onRetried(request, model_.timers.now());
                submit(request, retriesLeft - 1);
            });
            return;
        }
        if (answered_.insert(request.id).second)
            model_.checker.onAnswer(request, answer, model_.timers.now());
    }

    // Returns the host that the load balancer picks: the requested one, or the next that accepts
    // callers.
    std::optional<HostName> entryFor(const TraceRequest &request) const
    {
        const auto &hosts = model_.trace.hosts;
        const auto isRequested = [&](const TraceHost &host) { return host.name == request.entry; };
        const auto requested = std::find_if(hosts.begin(), hosts.end(), isRequested);
        const std::size_t first = static_cast<std::size_t>(requested - hosts.begin());
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const HostName &name = hosts[(first + i) % hosts.size()].name;
            if (policy_->acceptsCallers(name))
                return name;
        }
        return std::nullopt;
    }

    // Counts the read if a router that knows the true state of all servers could send it to a
    // replica: one has the required data now, or by the end of the allowed wait.
    void tryOracleRouter(const TraceRequest &request, Instant until)
    {
        const Instant now = model_.timers.now();
        for (const ModelServer *server : model_.serversOf(request.group)) {
            if (isReachable(*server, request) && couldServe(*server, request, now))
                return model_.checker.onReplicaEligibleRead();
        }
        if (now < until)
            model_.timers.subscribeAfter(
                oraclePollInterval, [this, &request, until] { tryOracleRouter(request, until); });
    }

    bool isReachable(const ModelServer &server, const TraceRequest &request) const
    {
        const auto entry = entryFor(request);
        for (const TraceHost &host : model_.trace.hosts) {
            if (entry == host.name)
                return model_.networkDelay(host.zone, server.details().zone).has_value();
        }
        return false;
    }

    bool couldServe(const ModelServer &server, const TraceRequest &request, Instant now) const
    {
        if (server.primary() || !server.alive() || server.hung())
            return false;
        if (model_.isLeaving(server.details().name))
            return false;
        // The data ages during the round trip and the execution of the statement.
        const Duration networkDelay = 2 * model_.trace.zoneDelay + 2 * model_.trace.clientDelay;
        const Instant committedBy = now + networkDelay + request.cost - *request.statedAge;
        return !model_.checker.missesOwnWrite(request, server.applied())
            && !model_.checker.isStale(request.group, server.applied(), committedBy, now);
    }

    void injectFault(const TraceFault &fault)
    {
        const Instant now = model_.timers.now();
        switch (fault.kind) {
        case FaultKind::KillServer:
            recordWriteStop(fault.target);
            return model_.server(fault.target).kill();
        case FaultKind::StartServer:
            return model_.server(fault.target).start();
        case FaultKind::HangServer:
            recordWriteStop(fault.target);
            return model_.server(fault.target).setHung(true);
        case FaultKind::HealServer:
            return model_.server(fault.target).setHung(false);
        case FaultKind::SlowServer:
            return model_.server(fault.target).setSlowness(fault.factor);
        case FaultKind::LagServer:
            return model_.server(fault.target).setLag(fault.time);
        case FaultKind::LeaveServer:
            model_.setLeaving(fault.target);
            model_.timers.subscribeAfter(
                configurationDelay, [this, &fault] { policy_->onServerLeaving(fault.target); });
            return;
        case FaultKind::CutZone:
            recordZoneCut(fault.target);
            return model_.setPartitioned(fault.target, true);
        case FaultKind::HealZone:
            return model_.setPartitioned(fault.target, false);
        case FaultKind::StopStore:
        case FaultKind::StartStore:
            model_.storeAvailable = fault.kind == FaultKind::StartStore;
            return;
        case FaultKind::StopHost:
            return policy_->stopHost(fault.target);
        case FaultKind::CrashHost:
            model_.checker.onWritesStop(model_.trace.groups(), now);
            return policy_->crashHost(fault.target);
        case FaultKind::StartHost:
            return policy_->startHost(fault.target);
        }
    }

    void recordWriteStop(const ServerName &name)
    {
        const ModelServer &server = model_.server(name);
        if (server.primary())
            model_.checker.onWritesStop({server.details().group}, model_.timers.now());
    }

    void recordZoneCut(const ZoneName &zone)
    {
        for (const GroupName &group : model_.trace.groups()) {
            const ModelServer *primary = model_.primaryOf(group);
            if (primary != nullptr && primary->details().zone == zone)
                model_.checker.onWritesStop({group}, model_.timers.now());
        }
    }

    // Counts requests without an answer as unknown, then checks the logs.
    void finish()
    {
        for (const TraceEvent &event : model_.trace.events) {
            if (!event.request || answered_.count(event.request->id) > 0)
                continue;
            Answer noAnswer;
            noAnswer.request = event.request->id;
            noAnswer.reason = Reason::DeadlineExceeded;
            noAnswer.executed = Executed::Unknown;
            model_.checker.onAnswer(*event.request, noAnswer, model_.timers.now());
        }
        for (const GroupName &group : model_.trace.groups()) {
            const ModelServer *primary = model_.primaryOf(group);
            if (primary != nullptr)
                model_.checker.checkFinalLog(group, primary->term());
        }
    }

    Model model_;
    const ReplayOptions options_;
    std::unique_ptr<Policy> policy_;
    Instant begin_;
    std::set<RequestId> answered_;
};

} // namespace

absl::StatusOr<Figures> replay(const Trace &trace, const std::string &policy,
                               const ReplayOptions &options)
{
    Replay run(trace, policy, options);
    if (!run.hasPolicy())
        return absl::InvalidArgumentError("no such policy: " + policy);
    return run.run();
}

} // namespace kelptally::bench
