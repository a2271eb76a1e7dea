#include "bench/model.h"

#include <algorithm>

namespace kelptally::bench {

using namespace std::chrono_literals;

namespace {

// One-way delay between two hosts of the same availability zone.
constexpr Duration sameZoneDelay = 100us;

} // namespace

ModelServer::ModelServer(Model &model, const TraceServer &details)
    : model_(model), details_(details)
{ }

void ModelServer::startAsPrimary(Term term)
{
    term_ = term;
    primary_ = true;
    position_ = model_.logs(details_.group).beginTerm(term, {}, model_.timers.now());
    applied_ = position_;
}

decision::ServerReport ModelServer::report() const
{
    return {term_, primary_, position_, applied_, fence_};
}

void ModelServer::answer(const ZoneName &to, const ReplyCallback &callback, ReplyKind kind)
{
    const Reply reply {kind, report(), applied_};
    model_.send(details_.zone, to, [callback, reply] { callback(reply); });
}

// A call that needs no slot. A hung server replies once it recovers.
void ModelServer::call(const ZoneName &from, ReplyCallback callback,
                       std::function<ReplyKind()> work)
{
    model_.send(from, details_.zone, [this, from, callback, work] {
        if (!alive_)
            return answer(from, callback, ReplyKind::Refused);
        if (hung_) {
            deferredCalls_.push_back(
                [this, from, callback, work] { answer(from, callback, work()); });
            return;
        }
        answer(from, callback, work());
    });
}

void ModelServer::status(const ZoneName &from, ReplyCallback callback)
{
    call(from, std::move(callback), [] { return ReplyKind::Done; });
}

void ModelServer::prepare(const ZoneName &from, Term term, ReplyCallback callback)
{
    call(from, std::move(callback), [this, term] {
        if (term < term_)
            return ReplyKind::Failed;
        term_ = term;
        primary_ = false;
        source_ = nullptr;
        return ReplyKind::Done;
    });
}

void ModelServer::promote(const ZoneName &from, Term term, ReplyCallback callback)
{
    call(from, std::move(callback), [this, term] {
        if (primary_ && term_ == term)
            return ReplyKind::Done;
        if (term != term_)
            return ReplyKind::Failed;
        primary_ = true;
        source_ = nullptr;
        position_ = model_.logs(details_.group).beginTerm(term, position_, model_.timers.now());
        applied_ = position_;
        return ReplyKind::Done;
    });
}

void ModelServer::follow(const ZoneName &from, ModelServer &primary, Term term,
                         ReplyCallback callback)
{
    call(from, std::move(callback), [this, &primary, term] {
        if (term < term_ || primary.term() != term)
            return ReplyKind::Failed;
        term_ = term;
        primary_ = false;
        source_ = &primary;
        position_ = model_.logs(details_.group).commonPrefix(position_, term);
        applied_ = model_.logs(details_.group).commonPrefix(applied_, term);
        replicate();
        return ReplyKind::Done;
    });
}

void ModelServer::raiseFence(const ZoneName &from, OwnerEpoch epoch, ReplyCallback callback)
{
    call(from, std::move(callback), [this, epoch] {
        if (!primary_ || epoch < fence_)
            return ReplyKind::Failed;
        fence_ = epoch;
        return ReplyKind::Done;
    });
}

void ModelServer::replicate()
{
    if (source_ == nullptr || !source_->alive())
        return;
    const Position end = source_->position();
    const Term term = term_;
    ModelServer *source = source_;
    model_.send(source->details().zone, details_.zone,
                [this, source, end, term] { receive(source, end, term); });
}

// Records are received at once and visible to reads after the replication delay.
void ModelServer::receive(ModelServer *source, Position end, Term term)
{
    const auto follows = [this, source, term] {
        return alive_ && !hung_ && source_ == source && term_ == term;
    };
    if (!follows() || end <= position_)
        return;
    position_ = end;
    model_.timers.subscribeAfter(model_.trace.replicationDelay + lag_, [this, follows, end] {
        if (follows() && applied_ < end)
            applied_ = end;
    });
}

void ModelServer::replicateToFollowers()
{
    for (ModelServer *other : model_.serversOf(details_.group)) {
        if (other->source_ == this)
            other->replicate();
    }
}

void ModelServer::kill()
{
    alive_ = false;
    primary_ = false;
    source_ = nullptr;
    running_ = 0;
    ++incarnation_;
    queuedCalls_.clear();
    deferredCalls_.clear();
    const auto lost = std::move(inFlight_);
    inFlight_.clear();
    for (const auto &call : lost)
        answer(call->from, call->callback, ReplyKind::Lost);
}

void ModelServer::start()
{
    alive_ = true;
    hung_ = false;
}

void ModelServer::setHung(bool hung)
{
    hung_ = hung;
    if (hung)
        return;
    const auto calls = std::move(deferredCalls_);
    deferredCalls_.clear();
    for (const auto &call : calls)
        call();
    applied_ = position_;
    replicate();
    startQueuedCalls();
}

void ModelServer::run(const ZoneName &from, const ModelStatement &statement, ReplyCallback callback)
{
    auto call = std::make_shared<Call>(Call {from, statement, std::move(callback)});
    model_.send(from, details_.zone, [this, call] {
        if (!alive_)
            return answer(call->from, call->callback, ReplyKind::Refused);
        inFlight_.insert(call);
        queuedCalls_.push_back(call);
        startQueuedCalls();
    });
}

void ModelServer::startQueuedCalls()
{
    while (alive_ && !hung_ && running_ < details_.slots && !queuedCalls_.empty()) {
        const auto call = queuedCalls_.front();
        queuedCalls_.pop_front();
        ++running_;
        model_.onStatementStarted(details_.name);
        const int incarnation = incarnation_;
        model_.timers.subscribeAfter(call->statement.request->cost * slowness_,
                                     [this, call, incarnation] {
                                         if (incarnation == incarnation_)
                                             finish(call);
                                     });
    }
}

ReplyKind ModelServer::write(const ModelStatement &statement, Position &position)
{
    GroupLogs &logs = model_.logs(details_.group);
    if (!primary_ || statement.epoch < fence_)
        return ReplyKind::Failed;
    const RequestId request = statement.request->id;
    const auto recorded = logs.find(position_, request);
    if (statement.keyed && recorded) {
        position = *recorded;
        return ReplyKind::Done;
    }
    position_ = logs.append(term_, request, model_.timers.now());
    position = position_;
    applied_ = position_;
    replicateToFollowers();
    return ReplyKind::Done;
}

void ModelServer::finish(const std::shared_ptr<Call> &call)
{
    if (hung_) {
        deferredCalls_.push_back([this, call] { finish(call); });
        return;
    }
    --running_;
    inFlight_.erase(call);
    Reply reply {ReplyKind::Done, report(), applied_};
    if (call->statement.request->write)
        reply.kind = write(call->statement, reply.position);
    const ReplyCallback callback = call->callback;
    model_.send(details_.zone, call->from, [callback, reply] { callback(reply); });
    startQueuedCalls();
}

Model::Model(const Trace &trace)
    : trace(trace),
      checker([this](const GroupName &group) -> const GroupLogs & { return logs_[group]; })
{
    std::set<GroupName> groupsWithPrimary;
    for (const TraceServer &details : trace.servers) {
        servers_[details.name] = std::make_unique<ModelServer>(*this, details);
        if (groupsWithPrimary.insert(details.group).second)
            servers_[details.name]->startAsPrimary(makeTerm(0, 1));
    }
    for (const auto &[name, server] : servers_) {
        ModelServer *primary = primaryOf(server->details().group);
        if (primary != server.get())
            server->follow(server->details().zone, *primary, makeTerm(0, 1), [](const Reply &) {});
    }
}

std::optional<Duration> Model::networkDelay(const ZoneName &from, const ZoneName &to) const
{
    if (from == to)
        return sameZoneDelay;
    if (partitionedZones_.count(from) > 0 || partitionedZones_.count(to) > 0)
        return std::nullopt;
    return trace.zoneDelay;
}

void Model::send(const ZoneName &from, const ZoneName &to, std::function<void()> function)
{
    if (const auto delay = networkDelay(from, to))
        timers.subscribeAfter(*delay, std::move(function));
}

ModelServer &Model::server(const ServerName &name)
{
    return *servers_.at(name);
}

std::vector<ModelServer *> Model::serversOf(const GroupName &group)
{
    std::vector<ModelServer *> found;
    for (const TraceServer &details : trace.servers) {
        if (details.group == group)
            found.push_back(servers_.at(details.name).get());
    }
    return found;
}

ModelServer *Model::primaryOf(const GroupName &group)
{
    ModelServer *newest = nullptr;
    for (ModelServer *server : serversOf(group)) {
        if (server->primary() && (newest == nullptr || newest->term() < server->term()))
            newest = server;
    }
    return newest;
}

void Model::setPartitioned(const ZoneName &zone, bool partitioned)
{
    if (partitioned) {
        partitionedZones_.insert(zone);
        return;
    }
    partitionedZones_.erase(zone);
    for (const auto &[name, server] : servers_)
        server->replicate();
}

void Model::onStatementStarted(const ServerName &name)
{
    const auto leaving = leaving_.find(name);
    if (leaving != leaving_.end())
        checker.onStatementOnLeavingServer(timers.now() - leaving->second);
}

} // namespace kelptally::bench
