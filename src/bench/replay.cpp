#include "bench/replay.h"

#include "bench/model.h"
#include "bench/policy.h"

#include <absl/status/status.h>

#include <algorithm>

namespace kelptally::bench {

using namespace std::chrono_literals;

namespace {

// Time for the processes to settle before the trace begins, and for answers after its end.
constexpr Duration settleTime = 5s;
constexpr Duration endTime = 15s;
// Time until a changed configuration has reached every proxy (docs/design/configuration.md has the
// measured figure; this is above it).
constexpr Duration configurationTime = 500ms;
// The perfectly informed router may wait for a replica as long as the real one does.
constexpr Duration informedWait = 30ms;
constexpr Duration informedStep = 1ms;

// Runs one trace: sends its requests, causes its faults and hands the answers to the checker.
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
                cause(*event.fault);
        }
        model_.timers.advance(endTime);
        finish();
        return model_.checker.figures();
    }

private:
    void send(const TraceRequest &request)
    {
        model_.checker.onSent(request, model_.timers.now());
        if (!request.write && request.statedAge)
            askInformedRouter(request, model_.timers.now() + informedWait);
        submit(request, options_.callerRepeats);
    }

    void submit(const TraceRequest &request, int repeatsLeft)
    {
        model_.timers.subscribeAfter(model_.trace.clientDelay, [this, &request, repeatsLeft] {
            const auto entry = entryFor(request);
            if (!entry)
                return;
            policy_->submit(request, *entry, [this, &request, repeatsLeft](const Answer &answer) {
                model_.timers.subscribeAfter(
                    model_.trace.clientDelay,
                    [this, &request, repeatsLeft, answer] { take(request, repeatsLeft, answer); });
            });
        });
    }

    void take(const TraceRequest &request, int repeatsLeft, const Answer &answer)
    {
        if (answer.executed == Executed::No && repeatsLeft > 0) {
            const Duration pause = options_.repeatAfter.value_or(answer.retryAfter);
            model_.timers.subscribeAfter(pause, [this, &request, repeatsLeft] {
                model_.checker.onRetried(request, model_.timers.now());
                submit(request, repeatsLeft - 1);
            });
            return;
        }
        if (answered_.insert(request.id).second)
            model_.checker.onAnswer(request, answer, model_.timers.now());
    }

    // The balancer sends a caller whose host is down or stopping to the next one.
    std::optional<HostName> entryFor(const TraceRequest &request) const
    {
        const auto &hosts = model_.trace.hosts;
        const auto isWanted = [&](const TraceHost &host) { return host.name == request.entry; };
        const auto wanted = std::find_if(hosts.begin(), hosts.end(), isWanted);
        const std::size_t first = static_cast<std::size_t>(wanted - hosts.begin());
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const HostName &name = hosts[(first + i) % hosts.size()].name;
            if (policy_->acceptsCallers(name))
                return name;
        }
        return std::nullopt;
    }

    // A router that knows the true state of all servers could send the read to a replica if one
    // has the data now, or within the time that the real one may wait.
    void askInformedRouter(const TraceRequest &request, Instant until)
    {
        const Instant now = model_.timers.now();
        for (const ModelServer *server : model_.serversOf(request.group)) {
            if (isWithinReach(*server, request) && couldServe(*server, request, now))
                return model_.checker.onReplicaEligibleRead();
        }
        if (now < until)
            model_.timers.subscribeAfter(
                informedStep, [this, &request, until] { askInformedRouter(request, until); });
    }

    bool isWithinReach(const ModelServer &server, const TraceRequest &request) const
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
        // The way there and back and the statement's own time age the data.
        const Duration networkDelay = 2 * model_.trace.zoneDelay + 2 * model_.trace.clientDelay;
        const Instant committedBy = now + networkDelay + request.cost - *request.statedAge;
        return !model_.checker.missesOwnWrite(request, server.applied())
            && !model_.checker.isStale(request.group, server.applied(), committedBy, now);
    }

    void cause(const TraceFault &fault)
    {
        const Instant now = model_.timers.now();
        switch (fault.kind) {
        case FaultKind::KillServer:
            noteWritesStop(fault.subject);
            return model_.server(fault.subject).kill();
        case FaultKind::StartServer:
            return model_.server(fault.subject).start();
        case FaultKind::HangServer:
            noteWritesStop(fault.subject);
            return model_.server(fault.subject).setHung(true);
        case FaultKind::HealServer:
            return model_.server(fault.subject).setHung(false);
        case FaultKind::SlowServer:
            return model_.server(fault.subject).setSlowness(fault.factor);
        case FaultKind::LagServer:
            return model_.server(fault.subject).setLag(fault.time);
        case FaultKind::LeaveServer:
            model_.setLeaving(fault.subject);
            model_.timers.subscribeAfter(
                configurationTime, [this, &fault] { policy_->onServerLeaving(fault.subject); });
            return;
        case FaultKind::CutZone:
            noteCut(fault.subject);
            return model_.setPartitioned(fault.subject, true);
        case FaultKind::HealZone:
            return model_.setPartitioned(fault.subject, false);
        case FaultKind::StopStore:
        case FaultKind::StartStore:
            model_.storeAvailable = fault.kind == FaultKind::StartStore;
            return;
        case FaultKind::StopHost:
            return policy_->stopHost(fault.subject);
        case FaultKind::CrashHost:
            model_.checker.onWritesStop(model_.trace.groups(), now);
            return policy_->crashHost(fault.subject);
        case FaultKind::StartHost:
            return policy_->startHost(fault.subject);
        }
    }

    void noteWritesStop(const ServerName &name)
    {
        const ModelServer &server = model_.server(name);
        if (server.primary())
            model_.checker.onWritesStop({server.details().group}, model_.timers.now());
    }

    void noteCut(const ZoneName &zone)
    {
        for (const GroupName &group : model_.trace.groups()) {
            const ModelServer *primary = model_.primaryOf(group);
            if (primary != nullptr && primary->details().zone == zone)
                model_.checker.onWritesStop({group}, model_.timers.now());
        }
    }

    // Requests without any answer count as unknown; then the logs are judged.
    void finish()
    {
        for (const TraceEvent &event : model_.trace.events) {
            if (!event.request || answered_.count(event.request->id) > 0)
                continue;
            Answer none;
            none.request = event.request->id;
            none.reason = Reason::DeadlineExceeded;
            none.executed = Executed::Unknown;
            model_.checker.onAnswer(*event.request, none, model_.timers.now());
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
