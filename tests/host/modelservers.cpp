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
constexpr Duration workTime = std::chrono::milliseconds(4);
constexpr Duration promoteTime = std::chrono::milliseconds(300);
// A server that was in the list this recently is one that hosts can know of.
constexpr Duration knownFor = std::chrono::seconds(10);

bool holds(const ModelServer &server, const std::string &commit)
{
    return std::any_of(server.log.begin(), server.log.end(),
                       [&](const LogEntry &entry) { return entry.id == commit; });
}

} // namespace

// One connection of one process. Commands run one after the other.
class ModelConnection : public group::ServerConnection,
                        public std::enable_shared_from_this<ModelConnection>
{
public:
    ModelConnection(ModelGroup &group, std::string from, ServerName server,
                    OrganisationName organisation)
        : group_(group), from_(std::move(from)), server_(std::move(server)),
          organisation_(std::move(organisation))
    { }

    void run(std::vector<ServerCommand> batch, group::BatchCallback callback) override
    {
        batch_ = std::move(batch);
        callback_ = std::move(callback);
        result_ = {};
        const auto self = shared_from_this();
        if (!open_)
            return after(Duration(0), [self] { self->end(); });
        after(networkDelay, [self] { self->step(0); });
    }

    void close() override
    {
        onEnd_ = nullptr;
        const auto self = shared_from_this();
        after(Duration(0), [self] { self->end(); });
        open_ = false;
    }
    bool isOpen() const override { return open_; }
    const std::string &from() const { return from_; }
    void silence() { silent_ = true; }
    bool inTransaction() const { return inTransaction_; }
    void onEnd(std::function<void()> callback) override { onEnd_ = std::move(callback); }

    // The server or the way to it has broken the connection.
    void end()
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
        const auto found = group_.answerDelays.find({from_, server_});
        return found == group_.answerDelays.end() ? Duration(0) : found->second;
    }

    void step(std::size_t index)
    {
        // A dark server or way answers nothing at all.
        if (silent_ || !callback_ || !server().running || !group_.isReachable(from_, server_))
            return;
        const ServerCommand &command = batch_[index];
        const bool works =
            command.kind == CommandKind::Statement || command.kind == CommandKind::ExecutePrepared;
        const auto self = shared_from_this();
        if (works)
            ++server().busy;
        after(works ? workTime : Duration(0), [self, index, works] {
            if (works)
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
        if (command.kind == CommandKind::Statement && commits && check(command, result)) {
            if (command.text == "COMMIT")
                group_.committedWith["s" + command.id] = statements_;
            if (command.text != "COMMIT" || wrote_)
                return commit(index, command.id);
            inTransaction_ = false;
            result.signature = "s" + command.id;
        } else if (result.error == ServerError::None) {
            perform(command, result);
        }
        answer(index, std::move(result));
    }

    // The id of a statement that belongs to an organisation begins with its name and a stroke.
    void checkOrganisation(const std::string &id)
    {
        const std::size_t stroke = id.find('/');
        const std::string owner = stroke == std::string::npos ? "" : id.substr(0, stroke);
        if (owner != organisation_ && !id.empty())
            group_.violations_.add("statement " + id + " ran on a connection of \"" + organisation_
                                   + "\"");
    }

    // Whether the server may run the command at all.
    bool check(const ServerCommand &command, CommandResult &result)
    {
        ModelServer &s = server();
        const bool plain = inTransaction_ && !readOnly_;
        const bool writes = command.kind == CommandKind::Begin
            || command.text.compare(0, 5, "WRITE") == 0 || (plain && command.text != "COMMIT")
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
            if (!check(command, result))
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
            if (!check(command, result))
                return;
            if (command.text.compare(0, 5, "WRITE") == 0)
                wrote_ = true;
            // A read gives the ids of everything that it sees.
            for (std::size_t i = 0; i < s.applied; ++i)
                result.rows.push_back(s.log[i].id);
            result.signature = "s" + command.id;
            if (inTransaction_)
                statements_.push_back(result.signature);
            return;
        case CommandKind::StopReceiving:
            if (!s.primary && command.term > std::max(s.term, s.stoppedTerm))
                s.stoppedTerm = command.term;
            break;
        case CommandKind::ResumeReceiving:
            s.stoppedTerm = 0;
            group_.catchUp();
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
        group_.waiting_.push_back({server_, s.log.size(), [self, index, id] {
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
        if (!group_.isReachable(from_, server_))
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
    const std::string from_;
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
    // Signatures of what has run in the transaction that is open.
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
        if (server.unlisted || server.ended)
            continue;
        group::ListedServer listed;
        listed.run.id = id;
        if (tellsStart)
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

bool ModelGroup::isReachable(const std::string &from, const ServerName &id) const
{
    return cuts.count({from, id}) == 0;
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
        connection->end();
}

void ModelGroup::bounce(const ServerName &id)
{
    ++servers_.at(id).run;
    servers_.at(id).stoppedTerm = 0;
    const auto connections = servers_.at(id).connections;
    for (const auto &connection : connections)
        connection->end();
}

void ModelGroup::silence(const ServerName &id)
{
    for (const auto &connection : servers_.at(id).connections)
        connection->silence();
}

// The log of the primary that runs, or while there is none the furthest one: a server that was
// replaced while it was down still takes itself for a primary.
const std::vector<LogEntry> &ModelGroup::newestLog() const
{
    const auto leader = servers_.find(primary());
    if (leader != servers_.end() && leader->second.running)
        return leader->second.log;
    const auto furthest =
        std::max_element(servers_.begin(), servers_.end(), [](const auto &a, const auto &b) {
            if (a.second.ended != b.second.ended)
                return a.second.ended;
            return a.second.position(a.second.log.size()) < b.second.position(b.second.log.size());
        });
    return furthest->second.log;
}

int ModelGroup::openTransactions() const
{
    int open = 0;
    for (const auto &[id, server] : servers_)
        open += int(std::count_if(server.connections.begin(), server.connections.end(),
                                  [](const auto &each) { return each->inTransaction(); }));
    return open;
}

int ModelGroup::timesCommitted(const std::string &id) const
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
    catchUp();
}

// Replicas that receive again ask for what they lack.
void ModelGroup::catchUp()
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

ModelServer &ModelGroup::addInPlace(const ServerName &inPlaceOf)
{
    const ModelServer &before = servers_.at(inPlaceOf);
    const ServerName id = name_ + "-" + std::to_string(++lastNumber_);
    ModelServer &server = servers_[id];
    server.id = id;
    server.endpoint = before.endpoint;
    server.zone = before.zone;
    // What cuts the machine off still does.
    for (const auto &[from, cutOff] : std::set<std::pair<std::string, ServerName>>(cuts))
        if (cutOff == inPlaceOf)
            cuts.insert({from, id});
    for (const auto &[from, cutOff] : std::set<std::pair<std::string, ServerName>>(refusingCuts))
        if (cutOff == inPlaceOf)
            refusingCuts.insert({from, id});
    if (replicationCuts.count(inPlaceOf) != 0)
        replicationCuts.insert(id);
    return server;
}

ServerName ModelGroup::succeed(const ServerName &id)
{
    ModelServer &next = addInPlace(id);
    ModelServer &before = servers_.at(id);
    next.term = before.term;
    next.primary = before.primary && before.term >= newestTerm_;
    next.log = std::move(before.log);
    next.applied = next.log.size();
    before.log.clear();
    before.applied = 0;
    before.primary = false;
    before.ended = true;
    const ServerName leader = primary();
    if (!leader.empty())
        replicate(leader);
    return next.id;
}

// Its log stays here to tell what was lost with it.
void ModelGroup::lose(const ServerName &id)
{
    crash(id);
    servers_.at(id).primary = false;
    servers_.at(id).ended = true;
}

ServerName ModelGroup::replace(const ServerName &id)
{
    const ServerName next = addInPlace(id).id;
    const ServerName leader = primary();
    if (!leader.empty())
        replicate(leader);
    return next;
}

std::vector<ServerName> ModelGroup::atAddressOf(const ServerName &id) const
{
    std::vector<ServerName> all;
    for (const auto &[other, server] : servers_)
        if (server.endpoint == servers_.at(id).endpoint)
            all.push_back(other);
    return all;
}

std::vector<ServerName> ModelGroup::existing() const
{
    std::vector<ServerName> all;
    for (const auto &[id, server] : servers_)
        if (!server.ended)
            all.push_back(id);
    return all;
}

std::string ModelGroup::summary() const
{
    std::string text;
    for (const ServerName &id : existing()) {
        const ModelServer &server = servers_.at(id);
        const Position end = server.position(server.log.size());
        text += (text.empty() ? "" : " ") + id + "=" + std::to_string(end.term) + "."
            + std::to_string(end.offset);
        text += server.primary ? " primary" : "";
        text += server.running ? "" : " down";
        text += server.deaf ? " deaf" : "";
        text += server.stoppedTerm == 0 ? "" : " stopped";
    }
    return text;
}

void ModelGroup::refuse(const std::string &from, const ServerName &id)
{
    cuts.insert({from, id});
    refusingCuts.insert({from, id});
    const auto connections = servers_.at(id).connections;
    for (const auto &connection : connections)
        if (connection->from() == from)
            connection->end();
}

void ModelGroup::endCut(const std::string &from, const ServerName &id)
{
    for (const ServerName &each : atAddressOf(id)) {
        cuts.erase({from, each});
        refusingCuts.erase({from, each});
    }
}

// Replicas receive what the primary has, and apply it later.
void ModelGroup::replicate(const ServerName &primaryId)
{
    timers_.subscribeAfter(networkDelay, [this, primaryId] {
        ModelServer &source = servers_.at(primaryId);
        if (!source.running || !source.primary)
            return;
        for (auto &[id, replica] : servers_) {
            if (id == primaryId || !replica.running || replica.deaf || replica.primary
                || replica.term > source.term || replicationCuts.count(id) != 0
                || replicationCuts.count(primaryId) != 0 || replica.stoppedTerm > source.term)
                continue;
            replica.term = source.term;
            if (replica.behind)
                continue;
            // What the primary does not have is rolled back.
            std::size_t same = 0;
            while (same < replica.log.size() && same < source.log.size()
                   && replica.log[same].term == source.log[same].term
                   && replica.log[same].id == source.log[same].id)
                ++same;
            replica.log.resize(same);
            replica.applied = std::min(replica.applied, same);
            replica.log.insert(replica.log.end(), source.log.begin() + long(same),
                               source.log.end());
            const std::size_t length = replica.log.size();
            timers_.subscribeAfter(replica.lag, [&replica, length] {
                replica.applied = std::min(std::max(replica.applied, length), replica.log.size());
            });
        }
        confirm(primaryId);
    });
}

// Commits that some replica has received are acknowledged.
void ModelGroup::confirm(const ServerName &primaryId)
{
    const ModelServer &source = servers_.at(primaryId);
    std::vector<std::function<void()>> done;
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        bool received = false;
        const bool mine = at->primary == primaryId && at->length <= source.log.size();
        for (const auto &[id, replica] : servers_) {
            if (!mine)
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
        at = waiting_.erase(at);
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
    if (turnedAwayCalls > 0) {
        --turnedAwayCalls;
        onTurnedAway(id);
        return group::PromotionOutcome::TryAgain;
    }
    if (!servers_.at(id).running)
        return group::PromotionOutcome::NotRunning;
    if (primary() == id)
        return group::PromotionOutcome::Accepted;
    if (!promoting_) {
        promoting_ = true;
        candidate_ = id;
        timers_.subscribeAfter(promoteTime, [this, id] { lead(id); });
    }
    return group::PromotionOutcome::Accepted;
}

void ModelGroup::lead(const ServerName &id)
{
    promoting_ = false;
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
    newestTerm_ = server.term;
    checkNothingLost(server);
    // The others receive again. An old primary learns of it after a while, if it can.
    for (auto &[other, each] : servers_)
        if (other != id)
            each.stoppedTerm = 0;
    const Term term = server.term;
    timers_.subscribeAfter(std::chrono::seconds(1), [this, id, term] {
        for (auto &[other, each] : servers_)
            if (other != id && each.running && each.term < term
                && replicationCuts.count(other) == 0)
                each.primary = false;
        replicate(id);
    });
    replicate(id);
}

// Every acknowledged commit is in the log of the server that was promoted, unless all that held it
// are gone for good.
void ModelGroup::checkNothingLost(const ModelServer &promoted)
{
    std::unordered_set<std::string> held;
    for (const LogEntry &entry : promoted.log)
        held.insert(entry.id);
    std::vector<std::string> gone;
    for (const auto &[committed, at] : acknowledged_) {
        if (held.count(committed) != 0)
            continue;
        const std::string holders = holdersOf(committed);
        if (holders.empty()) {
            gone.push_back(committed);
            continue;
        }
        violations_.add("acknowledged commit " + committed + " is not in the log of " + promoted.id
                        + ", which was promoted at "
                        + std::to_string(toMilliseconds(timers_.now() - Instant()) - 3.6e6)
                        + " ms; " + holders);
    }
    for (const std::string &commit : gone)
        acknowledged_.erase(commit);
    unavoidablyLost += int(gone.size());
}

bool ModelGroup::wasKnown(const ModelServer &server) const
{
    return !server.listedAt || timers_.now() - *server.listedAt <= knownFor;
}

// The servers that exist and hold the commit, in words; empty when there is none, and one that is
// gone for good held it.
std::string ModelGroup::holdersOf(const std::string &commit) const
{
    std::string known;
    std::string others;
    bool lost = false;
    for (const auto &[id, server] : servers_) {
        if (!holds(server, commit))
            continue;
        if (server.ended) {
            lost = true;
            continue;
        }
        std::string &list = wasKnown(server) ? known : others;
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

std::unique_ptr<group::ServerConnector> ModelGroup::connector(const std::string &from)
{
    class Connector : public group::ServerConnector
    {
    public:
        Connector(ModelGroup &group, std::string from) : group_(group), from_(std::move(from)) { }

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
            if (!group_.isReachable(from_, server.id)) {
                const bool refused = group_.refusingCuts.count({from_, server.id}) != 0;
                const auto outcome =
                    refused ? group::ConnectOutcome::Refused : group::ConnectOutcome::Silent;
                timers.subscribeAfter(refused ? networkDelay : timeout,
                                      [callback, outcome] { callback(outcome, nullptr); });
                return;
            }
            if (!target.running) {
                const auto outcome = whenNotRunning(target);
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
                std::make_shared<ModelConnection>(group_, from_, server.id, organisation);
            target.connections.push_back(connection);
            timers.subscribeAfter(networkDelay, [callback, connection] {
                callback(connection->isOpen() ? group::ConnectOutcome::Ok
                                              : group::ConnectOutcome::Failed,
                         connection->isOpen() ? connection : nullptr);
            });
        }

    private:
        // A server that is gone for good leaves a machine that answers nothing until another server
        // has its address.
        group::ConnectOutcome whenNotRunning(const ModelServer &target) const
        {
            if (!target.ended)
                return group::ConnectOutcome::Refused;
            group::ConnectOutcome outcome = group::ConnectOutcome::Silent;
            for (const ServerName &id : group_.atAddressOf(target.id)) {
                const ModelServer &other = group_.servers().at(id);
                if (other.running)
                    return group::ConnectOutcome::WrongServer;
                if (!other.ended)
                    outcome = group::ConnectOutcome::Refused;
            }
            return outcome;
        }

        ModelGroup &group_;
        const std::string from_;
    };
    return std::make_unique<Connector>(*this, from);
}

} // namespace kelptally::model
