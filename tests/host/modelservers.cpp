#include "modelservers.h"

#include <algorithm>
#include <unordered_set>

namespace kelptally::model {

namespace {

using group::CommandKind;
using group::CommandResult;
using group::ServerCommand;
using group::ServerError;

constexpr Duration networkDelay = std::chrono::milliseconds(1);
constexpr Duration statementDuration = std::chrono::milliseconds(4);
constexpr Duration promotionDuration = std::chrono::milliseconds(300);
// Hosts may know a server that was listed this recently.
constexpr Duration knownDuration = std::chrono::seconds(10);

bool holds(const ModelServer &server, const std::string &commit)
{
    return std::any_of(server.log.begin(), server.log.end(),
                       [&](const LogEntry &entry) { return entry.id == commit; });
}

} // namespace

// One connection of one process. Runs its commands one after the other.
class ModelConnection : public group::ServerConnection,
                        public std::enable_shared_from_this<ModelConnection>
{
public:
    ModelConnection(ModelGroup &group, std::string client, ServerName server,
                    OrganisationName organisation)
        : group_(group), client_(std::move(client)), server_(std::move(server)),
          organisation_(std::move(organisation))
    { }

    void run(std::vector<ServerCommand> batch, group::BatchCallback callback) override
    {
        batch_ = std::move(batch);
        callback_ = std::move(callback);
        result_ = {};
        const auto self = shared_from_this();
        if (!open_)
            return after(Duration(0), [self] { self->disconnect(); });
        after(networkDelay, [self] { self->step(0); });
    }

    void close() override
    {
        onEnd_ = nullptr;
        const auto self = shared_from_this();
        after(Duration(0), [self] { self->disconnect(); });
        open_ = false;
    }
    bool isOpen() const override { return open_; }
    const std::string &client() const { return client_; }
    void silenceConnections() { silent_ = true; }
    bool inTransaction() const { return inTransaction_; }
    void onEnd(std::function<void()> callback) override { onEnd_ = std::move(callback); }

    // Called when the connection is broken by the server or the network.
    void disconnect()
    {
        open_ = false;
        auto &open = group_.servers().at(server_).connections;
        open.erase(std::remove(open.begin(), open.end(), shared_from_this()), open.end());
        inTransaction_ = false;
        if (callback_) {
            const auto callback = std::move(callback_);
            callback_ = nullptr;
            result_.lost = true;
            callback(std::move(result_));
        }
        if (onEnd_) {
            const auto callback = std::move(onEnd_);
            onEnd_ = nullptr;
            callback();
        }
    }

private:
    void after(Duration delay, std::function<void()> what)
    {
        group_.timers_.subscribeAfter(delay, std::move(what));
    }

    ModelServer &server() { return group_.servers().at(server_); }

    Duration answerDelay() const
    {
        const auto found = group_.answerDelays.find({client_, server_});
        return found == group_.answerDelays.end() ? Duration(0) : found->second;
    }

    void step(std::size_t index)
    {
        // A stopped or unreachable server does not answer at all.
        if (silent_ || !callback_ || !server().running || !group_.isReachable(client_, server_))
            return;
        const ServerCommand &command = batch_[index];
        const bool takesTime =
            command.kind == CommandKind::Statement || command.kind == CommandKind::ExecutePrepared;
        const auto self = shared_from_this();
        if (takesTime)
            ++server().busy;
        if (takesTime && inTransaction_)
            ++group_.transactionRuns[command.id];
        after(takesTime ? statementDuration : Duration(0), [self, index, takesTime] {
            if (takesTime)
                --self->server().busy;
            self->execute(index);
        });
    }

    void execute(std::size_t index)
    {
        if (!callback_ || !server().running)
            return;
        const ServerCommand &command = batch_[index];
        checkOrganisation(command.id);
        CommandResult result;
        const bool commits = command.text == "COMMIT"
            || (command.text.compare(0, 5, "WRITE") == 0 && !inTransaction_);
        if (command.kind == CommandKind::Statement && commits && checkAllowed(command, result)) {
            if (command.text == "COMMIT")
                group_.statementsByCommit["s" + command.id] = statements_;
            if (command.text != "COMMIT" || wrote_)
                return commit(index, command.id);
            inTransaction_ = false;
            result.signature = "s" + command.id;
        } else if (result.error == ServerError::None) {
            perform(command, result);
        }
        answer(index, std::move(result));
    }

    // The id of a statement of an organisation begins with the organisation's name and a slash.
    void checkOrganisation(const std::string &id)
    {
        const std::size_t separator = id.find('/');
        const std::string statementOrganisation =
            separator == std::string::npos ? "" : id.substr(0, separator);
        if (statementOrganisation != organisation_ && !id.empty())
            group_.violations_.add("statement " + id + " ran on a connection of \"" + organisation_
                                   + "\"");
    }

    // Whether the server may run the command. If not, the result gets the error.
    bool checkAllowed(const ServerCommand &command, CommandResult &result)
    {
        ModelServer &s = server();
        const bool inReadWriteTransaction = inTransaction_ && !readOnly_;
        const bool writes = command.kind == CommandKind::Begin
            || command.text.compare(0, 5, "WRITE") == 0
            || (inReadWriteTransaction && command.text != "COMMIT")
            || (command.text == "COMMIT" && wrote_);
        if (writes && !s.primary) {
            result.error = ServerError::ReadOnly;
            return false;
        }
        if (command.after && !s.holds(*command.after)) {
            result.error = ServerError::Lagging;
            return false;
        }
        return true;
    }

    void perform(const ServerCommand &command, CommandResult &result)
    {
        ModelServer &s = server();
        switch (command.kind) {
        case CommandKind::Begin:
        case CommandKind::BeginReadOnly:
            if (!checkAllowed(command, result))
                return;
            inTransaction_ = true;
            wrote_ = false;
            statements_.clear();
            readOnly_ = command.kind == CommandKind::BeginReadOnly;
            return;
        case CommandKind::Rollback:
            inTransaction_ = false;
            return;
        case CommandKind::Statement:
        case CommandKind::ExecutePrepared:
            if (!checkAllowed(command, result))
                return;
            if (command.text.compare(0, 5, "WRITE") == 0)
                wrote_ = true;
            // A read returns the ids of all entries that it sees.
            for (std::size_t i = 0; i < s.applied; ++i)
                result.rows.push_back(s.log[i].id);
            result.signature = "s" + command.id;
            if (inTransaction_)
                statements_.push_back(result.signature);
            else
                ++group_.readRuns[command.id];
            return;
        case CommandKind::StopReceiving:
            if (!s.primary && command.term > std::max(s.term, s.stoppedTerm))
                s.stoppedTerm = command.term;
            break;
        case CommandKind::ResumeReceiving:
            s.stoppedTerm = 0;
            group_.resumeReplication();
            break;
        case CommandKind::StepDown:
            if (s.primary && s.term < command.term)
                s.primary = false;
            break;
        default:
            return;
        case CommandKind::Report:
            break;
        }
        group::ServerReport report;
        report.primary = s.primary;
        report.term = s.term;
        report.received = s.position(s.log.size());
        report.stoppedTerm = s.stoppedTerm;
        report.busy = s.busy;
        result.report = report;
    }

    void commit(std::size_t index, const std::string &id)
    {
        ModelServer &s = server();
        s.log.push_back({s.term, id});
        s.applied = s.log.size();
        ++group_.commits;
        inTransaction_ = false;
        const auto self = shared_from_this();
        group_.pendingCommits_.push_back({server_, s.log.size(), [self, index, id] {
                                              CommandResult result;
                                              result.signature = "s" + id;
                                              self->answer(index, std::move(result));
                                          }});
        group_.replicate(server_);
    }

    void answer(std::size_t index, CommandResult result)
    {
        ModelServer &s = server();
        result.position = s.position(s.applied);
        result.inTransaction = inTransaction_ && result.error == ServerError::None;
        result.idle = !inTransaction_;
        const auto self = shared_from_this();
        result_.results.push_back(std::move(result));
        if (index + 1 < batch_.size())
            return step(index + 1);
        if (!group_.isReachable(client_, server_))
            return;
        after(networkDelay + answerDelay(), [self] {
            if (!self->callback_ || self->silent_)
                return;
            const auto callback = std::move(self->callback_);
            self->callback_ = nullptr;
            callback(std::move(self->result_));
        });
    }

    ModelGroup &group_;
    const std::string client_;
    const ServerName server_;
    const OrganisationName organisation_;
    std::vector<ServerCommand> batch_;
    group::BatchCallback callback_;
    group::BatchResult result_;
    std::function<void()> onEnd_;
    bool open_ = true;
    bool silent_ = false;
    bool inTransaction_ = false;
    bool readOnly_ = false;
    bool wrote_ = false;
    // Signatures of the statements of the open transaction.
    std::vector<std::string> statements_;
};

ModelGroup::ModelGroup(ManualTimerService &timers, GroupName name, Violations &violations)
    : timers_(timers), name_(std::move(name)), violations_(violations)
{
    for (int i = 1; i <= 3; ++i)
        add(name_ + "-" + std::to_string(i));
    servers_.begin()->second.primary = true;
}

void ModelGroup::add(const ServerName &id)
{
    ModelServer server;
    server.id = id;
    server.endpoint = id + ":1";
    server.zone = "zone-" + std::to_string(servers_.size() % 3 + 1);
    servers_[id] = server;
}

std::vector<group::ListedServer> ModelGroup::listed() const
{
    std::vector<group::ListedServer> list;
    for (const auto &[id, server] : servers_) {
        if (server.unlisted || server.retired)
            continue;
        group::ListedServer listed;
        listed.run.id = id;
        if (entriesHaveStart)
            listed.run.start = group::ServerStart(std::chrono::milliseconds(server.run));
        listed.group = name_;
        listed.endpoint = server.endpoint;
        listed.zone = server.zone;
        listed.slots = 3;
        listed.leaving = server.leaving;
        listed.leavingSince = timers_.now();
        listed.primary = server.primary;
        list.push_back(listed);
    }
    return list;
}

bool ModelGroup::isReachable(const std::string &client, const ServerName &id) const
{
    return partitions.count({client, id}) == 0;
}

ServerName ModelGroup::primary() const
{
    ServerName best;
    Term term = 0;
    for (const auto &[id, server] : servers_)
        if (server.primary && server.term > term) {
            best = id;
            term = server.term;
        }
    return best;
}

void ModelGroup::crash(const ServerName &id)
{
    ModelServer &server = servers_.at(id);
    server.running = false;
    const auto connections = server.connections;
    for (const auto &connection : connections)
        connection->disconnect();
}

void ModelGroup::restartQuickly(const ServerName &id)
{
    ++servers_.at(id).run;
    servers_.at(id).stoppedTerm = 0;
    const auto connections = servers_.at(id).connections;
    for (const auto &connection : connections)
        connection->disconnect();
}

void ModelGroup::silenceConnections(const ServerName &id)
{
    for (const auto &connection : servers_.at(id).connections)
        connection->silenceConnections();
}

// Returns the log of the running primary, or else the one with the highest position: a server that
// was replaced while it was down may still be marked as primary.
const std::vector<LogEntry> &ModelGroup::newestLog() const
{
    const auto leader = servers_.find(primary());
    if (leader != servers_.end() && leader->second.running)
        return leader->second.log;
    const auto longest =
        std::max_element(servers_.begin(), servers_.end(), [](const auto &a, const auto &b) {
            if (a.second.retired != b.second.retired)
                return a.second.retired;
            return a.second.position(a.second.log.size()) < b.second.position(b.second.log.size());
        });
    return longest->second.log;
}

int ModelGroup::openTransactionCount() const
{
    int open = 0;
    for (const auto &[id, server] : servers_)
        open += int(std::count_if(server.connections.begin(), server.connections.end(),
                                  [](const auto &each) { return each->inTransaction(); }));
    return open;
}

int ModelGroup::commitCount(const std::string &id) const
{
    const auto &log = newestLog();
    return int(std::count_if(log.begin(), log.end(),
                             [&](const LogEntry &entry) { return entry.id == id; }));
}

void ModelGroup::restart(const ServerName &id)
{
    ModelServer &server = servers_.at(id);
    server.running = true;
    ++server.run;
    server.applied = server.log.size();
    server.stoppedTerm = 0;
    for (const auto &[other, each] : servers_)
        if (other != id && each.primary && each.term > server.term)
            server.primary = false;
    resumeReplication();
}

// Sends the primary's log to replicas that receive again.
void ModelGroup::resumeReplication()
{
    const ServerName leader = primary();
    if (!leader.empty())
        replicate(leader);
}

void ModelGroup::restartAs(const ServerName &id, const ServerName &newId)
{
    ModelServer server = servers_.at(id);
    server.id = newId;
    server.run = 0;
    server.primary = false;
    server.connections.clear();
    servers_[newId] = server;
    restart(newId);
}

ModelServer &ModelGroup::addAtAddressOf(const ServerName &predecessor)
{
    const ModelServer &before = servers_.at(predecessor);
    const ServerName id = name_ + "-" + std::to_string(++lastServerNumber_);
    ModelServer &server = servers_[id];
    server.id = id;
    server.endpoint = before.endpoint;
    server.zone = before.zone;
    // The new server inherits the partitions of its address.
    for (const auto &[client, partitionedServer] :
         std::set<std::pair<std::string, ServerName>>(partitions))
        if (partitionedServer == predecessor)
            partitions.insert({client, id});
    for (const auto &[client, partitionedServer] :
         std::set<std::pair<std::string, ServerName>>(refusingPartitions))
        if (partitionedServer == predecessor)
            refusingPartitions.insert({client, id});
    if (replicationPartitions.count(predecessor) != 0)
        replicationPartitions.insert(id);
    return server;
}

ServerName ModelGroup::replaceWithLog(const ServerName &id)
{
    ModelServer &next = addAtAddressOf(id);
    ModelServer &before = servers_.at(id);
    next.term = before.term;
    next.primary = before.primary && before.term >= highestPromotedTerm_;
    next.log = std::move(before.log);
    next.applied = next.log.size();
    before.log.clear();
    before.applied = 0;
    before.primary = false;
    before.retired = true;
    const ServerName leader = primary();
    if (!leader.empty())
        replicate(leader);
    return next.id;
}

// Keeps the log, to tell which commits were lost with it.
void ModelGroup::destroy(const ServerName &id)
{
    crash(id);
    servers_.at(id).primary = false;
    servers_.at(id).retired = true;
}

ServerName ModelGroup::replaceEmpty(const ServerName &id)
{
    const ServerName next = addAtAddressOf(id).id;
    const ServerName leader = primary();
    if (!leader.empty())
        replicate(leader);
    return next;
}

std::vector<ServerName> ModelGroup::serversAtAddressOf(const ServerName &id) const
{
    std::vector<ServerName> all;
    for (const auto &[other, server] : servers_)
        if (server.endpoint == servers_.at(id).endpoint)
            all.push_back(other);
    return all;
}

std::vector<ServerName> ModelGroup::existingServers() const
{
    std::vector<ServerName> all;
    for (const auto &[id, server] : servers_)
        if (!server.retired)
            all.push_back(id);
    return all;
}

std::string ModelGroup::summary() const
{
    std::string text;
    for (const ServerName &id : existingServers()) {
        const ModelServer &server = servers_.at(id);
        const Position end = server.position(server.log.size());
        text += (text.empty() ? "" : " ") + id + "=" + std::to_string(end.term) + "."
            + std::to_string(end.offset);
        text += server.primary ? " primary" : "";
        text += server.running ? "" : " down";
        text += server.stalled ? " stalled" : "";
        text += server.stoppedTerm == 0 ? "" : " stopped";
    }
    return text;
}

void ModelGroup::refuseConnections(const std::string &client, const ServerName &id)
{
    partitions.insert({client, id});
    refusingPartitions.insert({client, id});
    const auto connections = servers_.at(id).connections;
    for (const auto &connection : connections)
        if (connection->client() == client)
            connection->disconnect();
}

void ModelGroup::healPartition(const std::string &client, const ServerName &id)
{
    for (const ServerName &each : serversAtAddressOf(id)) {
        partitions.erase({client, each});
        refusingPartitions.erase({client, each});
    }
}

// Sends the primary's log to the replicas, which apply it after their lag.
void ModelGroup::replicate(const ServerName &primaryId)
{
    timers_.subscribeAfter(networkDelay, [this, primaryId] {
        ModelServer &source = servers_.at(primaryId);
        if (!source.running || !source.primary)
            return;
        for (auto &[id, replica] : servers_) {
            if (id == primaryId || !replica.running || replica.stalled || replica.primary
                || replica.term > source.term || replicationPartitions.count(id) != 0
                || replicationPartitions.count(primaryId) != 0 || replica.stoppedTerm > source.term)
                continue;
            replica.term = source.term;
            if (replica.awaitsLog)
                continue;
            // Entries that the primary does not have are rolled back.
            std::size_t commonLength = 0;
            while (commonLength < replica.log.size() && commonLength < source.log.size()
                   && replica.log[commonLength].term == source.log[commonLength].term
                   && replica.log[commonLength].id == source.log[commonLength].id)
                ++commonLength;
            replica.log.resize(commonLength);
            replica.applied = std::min(replica.applied, commonLength);
            replica.log.insert(replica.log.end(), source.log.begin() + long(commonLength),
                               source.log.end());
            const std::size_t length = replica.log.size();
            timers_.subscribeAfter(replica.lag, [&replica, length] {
                replica.applied = std::min(std::max(replica.applied, length), replica.log.size());
            });
        }
        acknowledgeReplicated(primaryId);
    });
}

// Acknowledges the commits that a replica has received.
void ModelGroup::acknowledgeReplicated(const ServerName &primaryId)
{
    const ModelServer &source = servers_.at(primaryId);
    std::vector<std::function<void()>> done;
    for (auto at = pendingCommits_.begin(); at != pendingCommits_.end();) {
        bool received = false;
        const bool isPending = at->primary == primaryId && at->length <= source.log.size();
        for (const auto &[id, replica] : servers_) {
            if (!isPending)
                break;
            const std::size_t i = at->length - 1;
            received = received
                || (id != primaryId && replica.running && replica.log.size() >= at->length
                    && replica.log[i].term == source.log[i].term
                    && replica.log[i].id == source.log[i].id);
        }
        if (!received) {
            ++at;
            continue;
        }
        done.push_back(std::move(at->done));
        at = pendingCommits_.erase(at);
    }
    for (const auto &each : done)
        each();
}

group::PromotionOutcome ModelGroup::promote(const ServerName &id, OwnerEpoch token)
{
    if (token < highestToken_)
        violations_.add("a fencing token went down: " + std::to_string(token) + " after "
                        + std::to_string(highestToken_));
    highestToken_ = std::max(highestToken_, token);
    if (rejectedPromotions > 0) {
        --rejectedPromotions;
        onPromotionRejected(id);
        return group::PromotionOutcome::TryAgain;
    }
    if (!servers_.at(id).running)
        return group::PromotionOutcome::NotRunning;
    if (primary() == id)
        return group::PromotionOutcome::Accepted;
    if (!promotionPending_) {
        promotionPending_ = true;
        candidate_ = id;
        timers_.subscribeAfter(promotionDuration, [this, id] { completePromotion(id); });
    }
    return group::PromotionOutcome::Accepted;
}

void ModelGroup::completePromotion(const ServerName &id)
{
    promotionPending_ = false;
    ModelServer &server = servers_.at(id);
    if (!server.running)
        return;
    ++promotions;
    Term highest = 0;
    for (const auto &[other, each] : servers_)
        highest = std::max(highest, each.term);
    server.primary = true;
    server.term = highest + 1;
    server.stoppedTerm = 0;
    server.applied = server.log.size();
    highestPromotedTerm_ = server.term;
    checkNoCommitLost(server);
    // The other servers receive again. A former primary steps down after a while, if it can be
    // reached.
    for (auto &[other, each] : servers_)
        if (other != id)
            each.stoppedTerm = 0;
    const Term term = server.term;
    timers_.subscribeAfter(std::chrono::seconds(1), [this, id, term] {
        for (auto &[other, each] : servers_)
            if (other != id && each.running && each.term < term
                && replicationPartitions.count(other) == 0)
                each.primary = false;
        replicate(id);
    });
    replicate(id);
}

// Checks that the promoted server's log holds every acknowledged commit, except commits whose
// holders are all gone for good.
void ModelGroup::checkNoCommitLost(const ModelServer &promoted)
{
    std::unordered_set<std::string> held;
    for (const LogEntry &entry : promoted.log)
        held.insert(entry.id);
    std::vector<std::string> unrecoverable;
    for (const auto &[committed, at] : acknowledged_) {
        if (held.count(committed) != 0)
            continue;
        const std::string holders = describeHolders(committed);
        if (holders.empty()) {
            unrecoverable.push_back(committed);
            continue;
        }
        violations_.add("acknowledged commit " + committed + " is not in the log of " + promoted.id
                        + ", which was promoted at "
                        + std::to_string(toMilliseconds(timers_.now() - Instant()) - 3.6e6)
                        + " ms; " + holders);
    }
    for (const std::string &commit : unrecoverable)
        acknowledged_.erase(commit);
    unrecoverableCommits += int(unrecoverable.size());
}

bool ModelGroup::isKnownToHosts(const ModelServer &server) const
{
    return !server.lastListedAt || timers_.now() - *server.lastListedAt <= knownDuration;
}

// Describes the existing servers that hold the commit. Returns an empty string if there is none,
// but a server that is gone for good held it.
std::string ModelGroup::describeHolders(const std::string &commit) const
{
    std::string known;
    std::string others;
    bool lost = false;
    for (const auto &[id, server] : servers_) {
        if (!holds(server, commit))
            continue;
        if (server.retired) {
            lost = true;
            continue;
        }
        std::string &list = isKnownToHosts(server) ? known : others;
        list += " " + id + (server.running ? " (running" : " (down");
        list += server.primary ? ", the primary before)" : ")";
    }
    if (!known.empty())
        return "a known replica had it:" + known;
    if (!others.empty())
        return "only servers that were not listed had it:" + others;
    return lost ? "" : "no server had it";
}

void ModelGroup::onAcknowledged(const std::string &id)
{
    acknowledged_[id] = timers_.now();
    const auto &log = newestLog();
    const bool held =
        std::any_of(log.begin(), log.end(), [&](const LogEntry &entry) { return entry.id == id; });
    if (!held)
        violations_.add("commit " + id + " was acknowledged, and the primary does not have it");
}

std::vector<std::string> ModelGroup::acknowledgedBefore(Instant instant) const
{
    std::vector<std::string> ids;
    for (const auto &[id, at] : acknowledged_)
        if (at < instant)
            ids.push_back(id);
    return ids;
}

bool ModelGroup::isCommitted(const std::string &id) const
{
    const auto &log = newestLog();
    return std::any_of(log.begin(), log.end(),
                       [&](const LogEntry &entry) { return entry.id == id; });
}

std::unique_ptr<group::ServerConnector> ModelGroup::connector(const std::string &client)
{
    class Connector : public group::ServerConnector
    {
    public:
        Connector(ModelGroup &group, std::string client) : group_(group), client_(std::move(client))
        { }

        void connect(const group::ServerAddress &server, const OrganisationName &organisation,
                     Duration timeout, group::ServerConnectCallback callback) override
        {
            const auto known = group_.servers().find(server.id);
            if (known == group_.servers().end()) {
                group_.timers_.subscribeAfter(
                    timeout, [callback] { callback(group::ConnectOutcome::Silent, nullptr); });
                return;
            }
            ModelServer &target = known->second;
            ManualTimerService &timers = group_.timers_;
            if (!group_.isReachable(client_, server.id)) {
                const bool refused = group_.refusingPartitions.count({client_, server.id}) != 0;
                const auto outcome =
                    refused ? group::ConnectOutcome::Refused : group::ConnectOutcome::Silent;
                timers.subscribeAfter(refused ? networkDelay : timeout,
                                      [callback, outcome] { callback(outcome, nullptr); });
                return;
            }
            if (!target.running) {
                const auto outcome = outcomeWhenNotRunning(target);
                const bool silent = outcome == group::ConnectOutcome::Silent;
                timers.subscribeAfter(silent ? timeout : networkDelay,
                                      [callback, outcome] { callback(outcome, nullptr); });
                return;
            }
            if (target.connections.size() >= target.maxConnections) {
                timers.subscribeAfter(networkDelay, [callback] {
                    callback(group::ConnectOutcome::TooManyConnections, nullptr);
                });
                return;
            }
            const auto connection =
                std::make_shared<ModelConnection>(group_, client_, server.id, organisation);
            target.connections.push_back(connection);
            timers.subscribeAfter(networkDelay, [callback, connection] {
                callback(connection->isOpen() ? group::ConnectOutcome::Ok
                                              : group::ConnectOutcome::Failed,
                         connection->isOpen() ? connection : nullptr);
            });
        }

    private:
        // The address of a destroyed server does not answer until another server uses it.
        group::ConnectOutcome outcomeWhenNotRunning(const ModelServer &target) const
        {
            if (!target.retired)
                return group::ConnectOutcome::Refused;
            group::ConnectOutcome outcome = group::ConnectOutcome::Silent;
            for (const ServerName &id : group_.serversAtAddressOf(target.id)) {
                const ModelServer &other = group_.servers().at(id);
                if (other.running)
                    return group::ConnectOutcome::WrongServer;
                if (!other.retired)
                    outcome = group::ConnectOutcome::Refused;
            }
            return outcome;
        }

        ModelGroup &group_;
        const std::string client_;
    };
    return std::make_unique<Connector>(*this, client);
}

} // namespace kelptally::model
