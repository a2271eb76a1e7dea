#include "bench/policy.h"

#include <algorithm>
#include <set>

namespace kelptally::bench {

using namespace std::chrono_literals;

namespace {

constexpr Duration checkInterval = 1s;
constexpr int maxMissedChecks = 3;

// The proxy of one host. Proxies do not communicate with each other.
struct Proxy
{
    TraceHost host;
    int index = 0;
    bool alive = true;
    bool stopping = false;
    int unanswered = 0;
    // Incremented at each restart, so that answers to earlier requests are ignored.
    int incarnation = 0;
    // By group: the primary that this proxy assumes, its consecutive failed checks, and the
    // round-robin index of reads.
    std::map<GroupName, ServerName> primary;
    std::map<GroupName, int> missed;
    std::map<GroupName, std::size_t> nextReader;
};

class Baseline : public Policy
{
public:
    Baseline(Model &model, bool readReplicas);

    void start() override;
    void submit(const TraceRequest &request, const HostName &entry,
                AnswerCallback callback) override;
    bool acceptsCallers(const HostName &host) const override;
    void stopHost(const HostName &host) override;
    void crashHost(const HostName &host) override;
    void startHost(const HostName &host) override;
    void onServerLeaving(const ServerName &) override { }

private:
    void check(Proxy &proxy, const GroupName &group);
    void onCheckResult(Proxy &proxy, const GroupName &group, bool answered);
    void promoteNext(Proxy &proxy, const GroupName &group);
    void promote(Proxy &proxy, const GroupName &group, ModelServer &server);
    ModelServer &chooseReader(Proxy &proxy, const GroupName &group);
    void finishStop(Proxy &proxy);

    Model &model_;
    const bool readReplicas_;
    std::map<HostName, Proxy> proxies_;
    std::uint64_t promotions_ = 0;
};

Baseline::Baseline(Model &model, bool readReplicas) : model_(model), readReplicas_(readReplicas)
{
    int index = 0;
    for (const TraceHost &host : model.trace.hosts) {
        Proxy &proxy = proxies_[host.name];
        proxy.host = host;
        proxy.index = index++;
        for (const GroupName &group : model.trace.groups())
            proxy.primary[group] = model.serversOf(group).front()->details().name;
    }
}

void Baseline::start()
{
    model_.timers.subscribeEvery(checkInterval, [this] {
        for (auto &[name, proxy] : proxies_) {
            if (!proxy.alive)
                continue;
            for (const GroupName &group : model_.trace.groups())
                check(proxy, group);
        }
    });
}

void Baseline::check(Proxy &proxy, const GroupName &group)
{
    const auto answered = std::make_shared<bool>(false);
    ModelServer &server = model_.server(proxy.primary[group]);
    server.status(proxy.host.zone, [answered](const Reply &reply) {
        *answered = reply.kind == ReplyKind::Done && reply.report.isPrimary;
    });
    model_.timers.subscribeAfter(checkInterval - 1ms, [this, &proxy, group, answered] {
        if (proxy.alive)
            onCheckResult(proxy, group, *answered);
    });
}

void Baseline::onCheckResult(Proxy &proxy, const GroupName &group, bool answered)
{
    int &missed = proxy.missed[group];
    missed = answered ? 0 : missed + 1;
    if (missed >= maxMissedChecks)
        promoteNext(proxy, group);
}

// Adopts a primary that another proxy has promoted, or promotes the first server that answers.
void Baseline::promoteNext(Proxy &proxy, const GroupName &group)
{
    const auto answers = std::make_shared<std::vector<ModelServer *>>();
    for (ModelServer *server : model_.serversOf(group)) {
        server->status(proxy.host.zone, [answers, server](const Reply &reply) {
            if (reply.kind == ReplyKind::Done)
                answers->push_back(server);
        });
    }
    model_.timers.subscribeAfter(50ms, [this, &proxy, group, answers] {
        ModelServer *next = nullptr;
        for (ModelServer *server : *answers) {
            if (server->primary() && (next == nullptr || next->term() < server->term()))
                next = server;
        }
        proxy.missed[group] = 0;
        if (next != nullptr)
            proxy.primary[group] = next->details().name;
        else if (!answers->empty())
            promote(proxy, group, *answers->front());
    });
}

void Baseline::promote(Proxy &proxy, const GroupName &group, ModelServer &server)
{
    const Term term = makeTerm(++promotions_, static_cast<std::uint64_t>(proxy.index) + 1);
    const ZoneName zone = proxy.host.zone;
    server.prepare(zone, term, [this, &proxy, group, &server, term, zone](const Reply &prepared) {
        if (prepared.kind != ReplyKind::Done)
            return;
        server.promote(zone, term, [this, &proxy, group, &server, term, zone](const Reply &reply) {
            if (reply.kind != ReplyKind::Done)
                return;
            proxy.primary[group] = server.details().name;
            for (ModelServer *other : model_.serversOf(group)) {
                if (other != &server)
                    other->follow(zone, server, term, [](const Reply &) {});
            }
        });
    });
}

ModelServer &Baseline::chooseReader(Proxy &proxy, const GroupName &group)
{
    if (!readReplicas_)
        return model_.server(proxy.primary[group]);
    const auto servers = model_.serversOf(group);
    std::size_t &nextReader = proxy.nextReader[group];
    for (std::size_t i = 0; i < servers.size(); ++i) {
        ModelServer &server = *servers[nextReader++ % servers.size()];
        // Skips servers that refuse connections.
        if (server.alive() && !model_.isLeaving(server.details().name)
            && server.details().name != proxy.primary[group])
            return server;
    }
    return model_.server(proxy.primary[group]);
}

void Baseline::submit(const TraceRequest &request, const HostName &entry, AnswerCallback callback)
{
    Proxy &proxy = proxies_.at(entry);
    ModelServer &server = request.write ? model_.server(proxy.primary[request.group])
                                        : chooseReader(proxy, request.group);
    ++proxy.unanswered;
    const auto answered = std::make_shared<bool>(false);
    const auto finish = [this, &proxy, callback, answered,
                         incarnation = proxy.incarnation](const Answer &answer) {
        if (std::exchange(*answered, true) || !proxy.alive || incarnation != proxy.incarnation)
            return;
        --proxy.unanswered;
        callback(answer);
        finishStop(proxy);
    };
    const bool primary = server.details().name == proxy.primary[request.group];
    server.run(proxy.host.zone, {&request, ~OwnerEpoch(0), false},
               [&request, &server, finish, primary](const Reply &reply) {
                   Answer answer;
                   answer.request = request.id;
                   answer.position = reply.position;
                   answer.server = server.details().name;
                   answer.fromReplica = !primary;
                   answer.executed = reply.kind == ReplyKind::Done ? Executed::Yes
                       : reply.kind == ReplyKind::Lost             ? Executed::Unknown
                                                                   : Executed::No;
                   if (reply.kind != ReplyKind::Done)
                       answer.reason = Reason::NoPrimary;
                   finish(answer);
               });
    model_.timers.subscribeAfter(request.deadline, [&request, finish] {
        Answer timedOut;
        timedOut.request = request.id;
        timedOut.reason = Reason::DeadlineExceeded;
        timedOut.executed = request.write ? Executed::Unknown : Executed::No;
        finish(timedOut);
    });
}

bool Baseline::acceptsCallers(const HostName &host) const
{
    const Proxy &proxy = proxies_.at(host);
    return proxy.alive && !proxy.stopping;
}

void Baseline::stopHost(const HostName &host)
{
    Proxy &proxy = proxies_.at(host);
    proxy.stopping = true;
    finishStop(proxy);
}

void Baseline::finishStop(Proxy &proxy)
{
    if (proxy.stopping && proxy.unanswered == 0)
        proxy.alive = false;
}

void Baseline::crashHost(const HostName &host)
{
    proxies_.at(host).alive = false;
}

void Baseline::startHost(const HostName &host)
{
    Proxy &proxy = proxies_.at(host);
    proxy.alive = true;
    proxy.stopping = false;
    proxy.unanswered = 0;
    ++proxy.incarnation;
}

} // namespace

std::unique_ptr<Policy> makeBaseline(Model &model, bool readReplicas)
{
    return std::make_unique<Baseline>(model, readReplicas);
}

std::unique_ptr<Policy> makePolicy(const std::string &name, Model &model)
{
    if (name == "kelptally")
        return makeKelptally(model);
    if (name == "primary-only")
        return makeBaseline(model, false);
    if (name == "round-robin")
        return makeBaseline(model, true);
    return nullptr;
}

} // namespace kelptally::bench
