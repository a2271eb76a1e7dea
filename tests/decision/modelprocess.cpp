#include "modelprocess.h"

#include <utility>

namespace kelptally::decision {

namespace {

const GroupName group = "offers";
constexpr Duration helloTimeout = std::chrono::milliseconds(700);

} // namespace

ModelProcess::ModelProcess(ProcessEnvironment &environment, ProcessId self,
                           std::vector<settings::Host> hosts, std::uint64_t seed,
                           const CheckerOptions &options)
    : environment_(environment), self_(self), options_(options),
      ownership_(group, self, seed, options.ownership), servers_ {"s0", "s1", "s2"},
      confirmation_(options.requireMajority)
{
    membership_.setHosts(hosts);
    onHello(self_);
}

bool ModelProcess::holdsLease() const
{
    return ownership_.holdsLease(now());
}

// ---- Ownership ----

void ModelProcess::performAll(const OwnershipActions &actions)
{
    for (const OwnershipAction &action : actions)
        std::visit([this](const auto &alternative) { perform(alternative); }, action);
}

void ModelProcess::perform(const ReadRow &)
{
    environment_.readRow(self_);
}

void ModelProcess::perform(const WriteRow &action)
{
    environment_.writeRow(self_, action);
}

void ModelProcess::perform(const SendLeaseRequest &action)
{
    environment_.sendLeaseRequest(self_, action);
}

void ModelProcess::perform(const SendHandOver &action)
{
    environment_.sendHandOver(self_, action);
}

void ModelProcess::perform(const StartServing &action)
{
    environment_.traceEvent(self_, "starts serving epoch " + std::to_string(action.epoch));
    ++failoverRun_;
    failover_.emplace(group, action.epoch, servers_, options_.failover);
    confirmation_ = Confirmation(options_.requireMajority);
    performAll(failover_->start(now(), action.termHint, action.primaryHint));
    performAll(failover_->setServers(now(), servers_, leaving_));
}

void ModelProcess::perform(const StopServing &action)
{
    environment_.traceEvent(self_, "stops serving: " + action.reason);
    ++failoverRun_;
    failover_.reset();
    abandonAll();
}

void ModelProcess::onOwnershipTick()
{
    for (const Member &member : membership_.members()) {
        const auto lastHello = lastHello_.find(member.process.address);
        const bool lost = lastHello == lastHello_.end() || now() - lastHello->second > helloTimeout;
        if (member.reachable && lost && member.process != self_)
            membership_.onPeerDown(now(), member.process);
    }
    ownership_.setPreferredOwner(membership_.preferredOwner(group, "") == self_);
    ownership_.setSuccessorCandidates(membership_.successorCandidates(group, self_));
    performAll(ownership_.onTick(now()));
}

void ModelProcess::onHello(const ProcessId &peer)
{
    lastHello_[peer.address] = now();
    membership_.onPeerUp(now(), peer);
    performAll(ownership_.onIncarnation(now(), peer));
}

void ModelProcess::onProcessGone(const ProcessId &process)
{
    performAll(ownership_.onProcessGone(now(), process));
}

void ModelProcess::handOver()
{
    performAll(ownership_.beginHandOver(now()));
}

// ---- Failover ----

void ModelProcess::performAll(const FailoverActions &actions)
{
    for (const FailoverAction &action : actions) {
        if (failover_)
            std::visit([this](const auto &alternative) { perform(alternative); }, action);
    }
}

void ModelProcess::onFailoverTick()
{
    if (failover_)
        performAll(failover_->onTick(now()));
    if (failover_ && confirmation_.waiting())
        probeReplicas();
}

void ModelProcess::setLeaving(const std::vector<ServerName> &leaving)
{
    leaving_ = leaving;
    if (failover_)
        performAll(failover_->setServers(now(), servers_, leaving_));
}

void ModelProcess::promote(const ServerName &server)
{
    if (failover_)
        performAll(failover_->promote(now(), server, false));
}

void ModelProcess::perform(const SendProbe &action)
{
    const std::uint64_t failoverRun = failoverRun_;
    environment_.callServer(
        self_, action.server,
        [=](ModelServer &server) {
            return [=, report = server.report()] {
                if (failoverRun == failoverRun_)
                    performAll(failover_->onReport(now(), action.server, action.sequence, report));
            };
        },
        [=](bool refused) {
            if (failoverRun == failoverRun_)
                performAll(
                    failover_->onProbeFailed(now(), action.server, action.sequence, refused));
        });
}

// Runs a command at the server. If it succeeds, done receives the state of the server right after
// it.
void ModelProcess::command(const ServerName &name, std::function<bool(ModelServer &)> work,
                           std::function<void(const ModelServer &)> done)
{
    const std::uint64_t failoverRun = failoverRun_;
    const auto failed = [=](CommandFailure failure) {
        if (failoverRun == failoverRun_)
            performAll(failover_->onCommandFailed(now(), name, failure));
    };
    environment_.callServer(
        self_, name,
        [=](ModelServer &server) -> std::function<void()> {
            if (!work(server))
                return [=] { failed(CommandFailure::Refused); };
            return [=, after = server] {
                if (failoverRun == failoverRun_)
                    done(after);
            };
        },
        [=](bool refused) { failed(refused ? CommandFailure::NotSent : CommandFailure::Unknown); });
}

void ModelProcess::perform(const SendPrepare &action)
{
    environment_.traceEvent(self_,
                            "prepares " + action.server + " for " + std::to_string(action.term));
    command(
        action.server, [=](ModelServer &server) { return server.prepare(action.term); },
        [=](const ModelServer &server) {
            performAll(failover_->onPrepared(now(), action.server, action.term, server.report()));
        });
}

void ModelProcess::perform(const SendPromote &action)
{
    environment_.traceEvent(self_, "promotes " + action.server);
    command(
        action.server, [=](ModelServer &server) { return server.promote(action.term); },
        [=](const ModelServer &) {
            performAll(failover_->onPromoted(now(), action.server, action.term));
        });
}

void ModelProcess::perform(const SendFollow &action)
{
    command(
        action.server,
        [=](ModelServer &server) { return server.follow(action.primary, action.term); },
        [=](const ModelServer &) {
            performAll(failover_->onFollowing(now(), action.server, action.term));
        });
}

void ModelProcess::perform(const SendRaiseFence &action)
{
    command(
        action.server, [=](ModelServer &server) { return server.raiseFence(action.epoch); },
        [=](const ModelServer &) {
            performAll(failover_->onFenceRaised(now(), action.server, action.epoch));
        });
}

void ModelProcess::perform(const SendReadHistory &action)
{
    command(
        action.server, [](ModelServer &) { return true; },
        [=](const ModelServer &server) {
            performAll(failover_->onHistory(now(), action.server, server.history()));
        });
}

void ModelProcess::perform(const PrimaryGone &action)
{
    environment_.traceEvent(self_, "primary lost: " + action.server + ": " + action.cause);
    abandonAll();
}

void ModelProcess::perform(const PrimaryReady &action)
{
    environment_.traceEvent(self_,
                            action.server + " is primary of term " + std::to_string(action.term));
    confirmation_.onTerm(action.term, servers_.size());
    environment_.onPrimaryReady(self_, action);
}

// ---- Writes ----

void ModelProcess::onRequest(const ClientRequest &request, AnswerCallback answer)
{
    if (!holdsLease() || !hasPrimary()) {
        answer({request.lookUp ? Outcome::Unknown : Outcome::Refused, {}});
        return;
    }
    const std::uint64_t id = ++lastId_;
    pending_[id] = {request, std::move(answer), {}, Outcome::Unknown};
    write(id);
}

void ModelProcess::write(std::uint64_t id)
{
    const ClientRequest request = pending_[id].request;
    const OwnerEpoch epoch = ownership_.epoch();
    const ServerName primary = *failover_->primary();
    environment_.callServer(
        self_, primary,
        [=](ModelServer &server) {
            const WriteAnswer answer =
                server.write(epoch, request.key, request.attempt, request.lookUp);
            return [=] { onWriteAnswer(id, answer); };
        },
        [=](bool refused) {
            finish(id, refused && !request.lookUp ? Outcome::Refused : Outcome::Unknown);
            if (failover_)
                performAll(failover_->onConnectionLost(now(), primary));
        });
}

void ModelProcess::onWriteAnswer(std::uint64_t id, const WriteAnswer &answer)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
        return;
    failover_->onTraffic(now(), *failover_->primary());
    Pending &pending = found->second;
    const bool lookUp = pending.request.lookUp;
    if (answer.result == WriteResult::Refused) {
        finish(id, lookUp ? Outcome::Unknown : Outcome::Refused);
        return;
    }
    const bool isVoid =
        answer.result == WriteResult::AlreadyVoid || (answer.result == WriteResult::Done && lookUp);
    pending.outcome = isVoid ? Outcome::NotRun : Outcome::Done;
    pending.position = answer.position;
    // A majority already holds all records of earlier terms.
    if (answer.position.term != failover_->term()) {
        acknowledge(id);
        return;
    }
    confirmation_.add(id, answer.position);
    probeReplicas();
}

// Probes each replica once for all pending writes.
void ModelProcess::probeReplicas()
{
    const std::uint64_t failoverRun = failoverRun_;
    for (const ServerName &name : servers_) {
        if (name == failover_->primary())
            continue;
        environment_.callServer(
            self_, name,
            [=](ModelServer &server) {
                return [=, report = server.report()] {
                    if (failoverRun != failoverRun_)
                        return;
                    for (const WriteId id : confirmation_.onReport(name, report))
                        acknowledge(id);
                };
            },
            [](bool) {});
    }
}

void ModelProcess::acknowledge(std::uint64_t id)
{
    if (pending_.count(id) == 0)
        return;
    if (!holdsLease() || !hasPrimary()) {
        finish(id, Outcome::Unknown);
        return;
    }
    environment_.onAcknowledged(self_, failover_->term());
    finish(id, pending_[id].outcome);
}

void ModelProcess::finish(std::uint64_t id, Outcome outcome)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
        return;
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    pending.answer({outcome, pending.position});
}

void ModelProcess::abandonAll()
{
    while (!pending_.empty())
        finish(pending_.begin()->first, Outcome::Unknown);
}

} // namespace kelptally::decision
