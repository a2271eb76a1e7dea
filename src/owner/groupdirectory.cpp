#include "owner/groupdirectory.h"

#include "owner/ownermetrics.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>

namespace kelptally::owner {

namespace {

// Maximum time that a Locate waits for the table service.
constexpr Duration locateTimeout = std::chrono::milliseconds(500);
// Number of hosts per group, chosen by its hash, that keep links to each other: the owner, two
// successors and the same number of replacements.
constexpr std::size_t candidateCount = 6;
// Interval between checks of which links are needed.
constexpr Duration connectPeriod = std::chrono::seconds(1);
// Limit of requests in progress over all groups.
constexpr std::size_t maxRequests = 50'000;

settings::RequestClass defaultClass(const inner::Execute &execute)
{
    if (!execute.readOnly)
        return execute.key.empty() ? settings::RequestClass::Write
                                   : settings::RequestClass::Critical;
    return execute.statedAge ? settings::RequestClass::Browse : settings::RequestClass::FreshRead;
}

} // namespace

GroupDirectory::GroupDirectory(OwnerPorts &ports)
    : ports_(ports), responder_(ports), heartbeats_(ports)
{
    responder_.setObserver([this](const Request &request) { onAnswered(request); });
}

GroupDirectory::~GroupDirectory() = default;

// ---- Configuration and membership ----

void GroupDirectory::configure(const settings::ConfigurationPtr &configuration)
{
    configuration_ = configuration;
    heartbeats_.setConfigVersion(configuration->version);
    LOG(INFO) << "event=configuration_in_force version=" << configuration->version
              << " groups=" << configuration->inventory.groups.size();
    for (auto it = runtimes_.begin(); it != runtimes_.end();) {
        if (configuration->inventory.findGroup(it->first)) {
            it->second->configure(configuration);
            ++it;
        } else {
            it->second->end();
            it = runtimes_.erase(it);
        }
    }
    membership_.setHosts(configuration->inventory.hosts);
    membership_.onPeerUp(ports_.timers.now(), ports_.self);
    for (const auto &[link, process] : peers_)
        membership_.onPeerUp(ports_.timers.now(), process);
    findCandidateGroups();
    connectPeers();
    membershipChanged_ = true;
}

void GroupDirectory::findCandidateGroups()
{
    candidateGroups_.clear();
    for (const settings::Group &group : configuration_->inventory.groups) {
        std::vector<std::string> candidates = membership_.candidates(group.name, candidateCount);
        const std::string &self = ports_.self.address;
        if (std::find(candidates.begin(), candidates.end(), self) != candidates.end())
            candidateGroups_.emplace(group.name, std::move(candidates));
    }
}

// Keeps links to the other candidates of each group that this process is a candidate for or has a
// role in.
void GroupDirectory::connectPeers()
{
    std::set<std::string> wanted;
    for (const auto &[name, candidates] : candidateGroups_)
        wanted.insert(candidates.begin(), candidates.end());
    for (const auto &[name, runtime] : runtimes_) {
        if (runtime->ownership().role() == decision::OwnershipRole::Unlisted)
            continue;
        for (std::string &address : membership_.candidates(name, candidateCount))
            wanted.insert(std::move(address));
    }
    wanted.erase(ports_.self.address);
    for (const std::string &address : connectedAddresses_)
        if (wanted.count(address) == 0)
            ports_.links.drop(address);
    for (const std::string &address : wanted)
        if (connectedAddresses_.count(address) == 0)
            ports_.links.connect(address);
    connectedAddresses_ = std::move(wanted);
}

void GroupDirectory::onPeerUp(inner::LinkId link, const inner::Hello &peer)
{
    peers_[link] = peer.process;
    membership_.onPeerUp(ports_.timers.now(), peer.process);
    membershipChanged_ = true;
    for (auto &[name, runtime] : runtimes_)
        runtime->ownership().onIncarnation(peer.process);
}

// Cancels the link's requests, as their answers can no longer be sent.
void GroupDirectory::onPeerDown(inner::LinkId link)
{
    const auto peer = peers_.find(link);
    if (peer == peers_.end())
        return;
    const ProcessId process = peer->second;
    peers_.erase(peer);
    const bool linked = std::any_of(peers_.begin(), peers_.end(),
                                    [&](const auto &other) { return other.second == process; });
    if (!linked) {
        membership_.onPeerDown(ports_.timers.now(), process);
        membershipChanged_ = true;
    }
    const auto found = requests_.find(link);
    if (found == requests_.end())
        return;
    for (const auto &[id, request] : found->second)
        request->cancelled = true;
}

void GroupDirectory::onHostList(const std::vector<HostName> &live,
                                const std::vector<HostName> &leaving)
{
    membership_.onHostList(ports_.timers.now(), live, leaving);
    membershipChanged_ = true;
}

void GroupDirectory::updateMembership()
{
    for (const ProcessId &dead : membership_.takeDeadProcesses(ports_.timers.now()))
        for (auto &[name, runtime] : runtimes_)
            runtime->ownership().onProcessGone(dead);
    if (!membershipChanged_ || !configuration_)
        return;
    membershipChanged_ = false;
    std::set<GroupName> names;
    for (const auto &[name, candidates] : candidateGroups_)
        names.insert(name);
    for (const auto &[name, runtime] : runtimes_)
        names.insert(name);
    for (const GroupName &name : names)
        updateGroup(*configuration_->inventory.findGroup(name));
}

void GroupDirectory::updateGroup(const settings::Group &group)
{
    const ZoneName zone = group.servers.empty() ? ZoneName() : group.servers.front().zone;
    const auto owner = membership_.preferredOwner(group.name, zone);
    const bool candidate = candidateGroups_.count(group.name) != 0;
    const bool wanted = candidate && !draining_ && owner && *owner == ports_.self;
    GroupRuntime *runtime = wanted ? findOrCreateRuntime(group.name) : findRuntime(group.name);
    if (!runtime)
        return;
    runtime->ownership().setPreferredOwner(wanted);
    runtime->ownership().setSuccessorCandidates(
        membership_.successorCandidates(group.name, ports_.self));
}

GroupRuntime *GroupDirectory::findRuntime(const GroupName &group)
{
    const auto found = runtimes_.find(group);
    return found == runtimes_.end() ? nullptr : found->second.get();
}

GroupRuntime *GroupDirectory::findOrCreateRuntime(const GroupName &group)
{
    if (GroupRuntime *existing = findRuntime(group))
        return existing;
    const settings::Group *settings =
        configuration_ ? configuration_->inventory.findGroup(group) : nullptr;
    if (!settings)
        return nullptr;
    auto created =
        std::make_unique<GroupRuntime>(*settings, configuration_, ports_, heartbeats_, responder_);
    GroupRuntime *result = created.get();
    runtimes_.emplace(group, std::move(created));
    result->ownership().setSuccessorCandidates(membership_.successorCandidates(group, ports_.self));
    result->refreshOwner();
    return result;
}

// ---- Periodic work ----

void GroupDirectory::tick()
{
    updateMembership();
    if (configuration_ && ports_.timers.now() >= nextConnect_) {
        nextConnect_ = ports_.timers.now() + connectPeriod;
        connectPeers();
    }
    for (auto &[name, runtime] : runtimes_) {
        if (draining_)
            runtime->beginHandOver();
        runtime->tick();
    }
    answerLocates();
    const auto served = std::count_if(runtimes_.begin(), runtimes_.end(),
                                      [](const auto &entry) { return entry.second->serving(); });
    ports_.metrics.setGroupsServed(static_cast<std::size_t>(served));
}

// ---- Messages ----

void GroupDirectory::onMessage(inner::LinkId link, inner::Message message)
{
    std::visit([&](auto &&fields) { handle(link, std::forward<decltype(fields)>(fields)); },
               std::move(message));
}

void GroupDirectory::classify(Request &request) const
{
    request.requestClass = defaultClass(request.execute);
    const settings::Kind *kind =
        configuration_ ? configuration_->inventory.findKind(request.execute.kind) : nullptr;
    if (kind)
        request.requestClass = kind->requestClass;
}

void GroupDirectory::refuse(Request &request, Reason reason)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.retryAfter = std::chrono::milliseconds(200);
    responder_.refuse(request, refusal);
}

void GroupDirectory::handle(inner::LinkId link, inner::Execute &&execute)
{
    auto request = std::make_shared<Request>();
    request->link = link;
    request->execute = std::move(execute);
    request->arrived = ports_.timers.now();
    request->deadline = request->arrived + request->execute.timeLeft;
    request->number = ++lastRequestNumber_;
    classify(*request);
    if (requestCount_ >= maxRequests) {
        refuse(*request, Reason::QueueFull);
        return;
    }
    GroupRuntime *group = findOrCreateRuntime(request->execute.group);
    if (!group) {
        refuse(*request, configuration_ ? Reason::UnknownGroup : Reason::NoOwner);
        return;
    }
    // A repeated id is ignored while its first request is in progress on the same link.
    if (!requests_[link].emplace(request->execute.requestId, request).second)
        return;
    ++requestCount_;
    group->execute(request);
}

void GroupDirectory::onAnswered(const Request &request)
{
    const auto link = requests_.find(request.link);
    if (link == requests_.end())
        return;
    const auto found = link->second.find(request.execute.requestId);
    if (found == link->second.end() || found->second.get() != &request)
        return;
    link->second.erase(found);
    --requestCount_;
    if (link->second.empty())
        requests_.erase(link);
    if (GroupRuntime *group = findRuntime(request.execute.group))
        group->onAnswered();
}

void GroupDirectory::handle(inner::LinkId link, inner::Cancel &&cancel)
{
    const auto onLink = requests_.find(link);
    if (onLink != requests_.end()) {
        const auto found = onLink->second.find(cancel.requestId);
        if (found != onLink->second.end())
            found->second->cancelled = true;
    }
    GroupRuntime *group = findRuntime(cancel.group);
    if (group && !cancel.transaction.empty())
        group->cancelTransaction(cancel.transaction);
}

void GroupDirectory::handle(inner::LinkId link, inner::Heartbeat &&heartbeat)
{
    inner::HeartbeatAnswer answer;
    answer.from = ports_.self;
    answer.configVersion = configuration_ ? configuration_->version : 0;
    for (const inner::GroupHeartbeat &groupHeartbeat : heartbeat.groups) {
        GroupRuntime *group = findOrCreateRuntime(groupHeartbeat.group);
        if (!group)
            continue;
        if (auto promise = group->onHeartbeat(heartbeat.from, groupHeartbeat))
            answer.groups.push_back(std::move(*promise));
    }
    ports_.links.sendOn(link, std::move(answer)).IgnoreError();
}

void GroupDirectory::handle(inner::LinkId, inner::HeartbeatAnswer &&answer)
{
    for (const inner::GroupHeartbeatAnswer &groupAnswer : answer.groups)
        if (GroupRuntime *group = findRuntime(groupAnswer.group))
            group->onHeartbeatAnswer(answer.from, groupAnswer);
}

void GroupDirectory::handle(inner::LinkId, inner::HandOver &&handOver)
{
    if (GroupRuntime *group = findOrCreateRuntime(handOver.group))
        group->onHandOver(handOver.newEpoch);
}

// ---- Locating owners ----

void GroupDirectory::handle(inner::LinkId link, inner::Locate &&locate)
{
    GroupRuntime *group = findOrCreateRuntime(locate.group);
    if (group)
        group->refreshOwner();
    if (group && group->ownerAddress().empty())
        waitingLocates_.push_back(
            {link, locate.requestId, locate.group, ports_.timers.now() + locateTimeout});
    else
        sendLocation(link, locate.requestId, locate.group);
}

void GroupDirectory::sendLocation(inner::LinkId link, inner::RequestId requestId,
                                  const GroupName &group)
{
    inner::LocateAnswer answer;
    answer.requestId = requestId;
    answer.from = ports_.self;
    answer.group = group;
    if (GroupRuntime *runtime = findRuntime(group)) {
        answer.epoch = runtime->ownership().epoch();
        answer.owner = runtime->ownerAddress();
    }
    ports_.links.sendOn(link, std::move(answer)).IgnoreError();
}

void GroupDirectory::answerLocates()
{
    std::vector<WaitingLocate> waiting;
    waiting.swap(waitingLocates_);
    for (WaitingLocate &locate : waiting) {
        GroupRuntime *group = findRuntime(locate.group);
        const bool ownerKnown = group && !group->ownerAddress().empty();
        if (ownerKnown || ports_.timers.now() >= locate.expiresAt)
            sendLocation(locate.link, locate.requestId, locate.group);
        else
            waitingLocates_.push_back(std::move(locate));
    }
}

// ---- Operator requests ----

void GroupDirectory::handle(inner::LinkId link, inner::OperatorRequest &&request)
{
    ports_.links.sendOn(link, operate(request)).IgnoreError();
}

inner::OperatorAnswer GroupDirectory::operate(const inner::OperatorRequest &request)
{
    inner::OperatorAnswer answer;
    answer.requestId = request.requestId;
    answer.configVersion = configuration_ ? configuration_->version : 0;
    GroupRuntime *group = request.group.empty() ? nullptr : findRuntime(request.group);
    const bool owned = group && group->serving();
    if (!request.group.empty() && !owned && request.command != inner::OperatorCommand::Status)
        answer.reason = Reason::NotOwner;
    else if (request.command == inner::OperatorCommand::Drain && owned)
        group->beginHandOver();
    else if (request.command == inner::OperatorCommand::Drain)
        drain();
    else if (request.command == inner::OperatorCommand::Promote && owned)
        group->promote(request.server, request.acceptLoss);
    else if (request.command == inner::OperatorCommand::Promote)
        answer.reason = Reason::UnknownGroup;
    answer.draining = draining_;
    for (const auto &[name, runtime] : runtimes_)
        if (runtime->serving() && (request.group.empty() || request.group == name))
            answer.groups.push_back(runtime->status());
    return answer;
}

void GroupDirectory::drain()
{
    if (!draining_)
        LOG(INFO) << "event=drain_begins groups=" << runtimes_.size();
    draining_ = true;
    membershipChanged_ = true;
    for (auto &[name, runtime] : runtimes_)
        runtime->beginHandOver();
}

bool GroupDirectory::drained() const
{
    const bool serves = std::any_of(runtimes_.begin(), runtimes_.end(),
                                    [](const auto &entry) { return entry.second->serving(); });
    return !serves && requestCount_ == 0;
}

} // namespace kelptally::owner
