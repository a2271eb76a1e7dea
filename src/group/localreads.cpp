#include "group/localreads.h"

#include <algorithm>

namespace kelptally::group {

namespace {

// A read without an answer within this fraction of its objective is sent to the owner, so that an
// unresponsive replica does not cost the objective.
constexpr int objectiveDivisor = 2;
// Backoff after a replica refused a read or could not be reached.
constexpr Duration minLaggingBackoff = std::chrono::milliseconds(20);
constexpr Duration maxLaggingBackoff = std::chrono::milliseconds(320);
constexpr Duration busyBackoff = std::chrono::milliseconds(50);
constexpr Duration lostBackoff = std::chrono::milliseconds(500);
// Minimum idle time before a granted connection is replaced by another organisation's, since
// opening a connection costs the replica more than the read, which can go to the owner.
constexpr Duration minIdleTime = std::chrono::seconds(1);
// Exceeds the drift between two hosts' clocks over the lifetime of a position sample.
constexpr Duration clockSkewMargin = std::chrono::milliseconds(10);

} // namespace

LocalReads::LocalReads(const Parts &parts) : parts_(parts) { }

void LocalReads::setServers(const GroupName &group, const std::vector<ListedServer> &servers)
{
    Group &known = groups_[group];
    std::map<ServerName, std::unique_ptr<GroupServer>> kept;
    for (const ListedServer &server : servers) {
        if (server.zone != parts_.zone || server.primary || server.leaving)
            continue;
        auto &groupServer = kept[server.id()];
        const auto before = known.servers.find(server.id());
        if (before != known.servers.end())
            groupServer = std::move(before->second);
        else
            groupServer = std::make_unique<GroupServer>(
                GroupServer::Parts {parts_.timers,
                                    parts_.connector,
                                    parts_.log,
                                    parts_.times,
                                    [] {},
                                    [](const ServerName &, ConnectOutcome) {},
                                    parts_.onSilentConnections,
                                    {}},
                server);
        groupServer->update(server);
        groupServer->limitConnections(known.connectionLimit);
        groupServer->setMinIdleTime(minIdleTime);
    }
    known.servers.swap(kept);
}

void LocalReads::closeStaleIdle(Instant since)
{
    for (const auto &[name, group] : groups_)
        for (const auto &[id, server] : group.servers)
            server->closeStaleIdle(since);
}

// Records the log position and the granted connections from an owner's answer.
void LocalReads::onOwnerAnswer(const inner::RunStatement &statement, Instant sent,
                               const inner::StatementDone &done)
{
    if (!done.logPosition)
        return;
    Group &group = groups_[statement.group];
    group.positions.add(sent - done.logAge, *done.logPosition);
    if (group.connectionLimit == done.grantedConnections)
        return;
    group.connectionLimit = done.grantedConnections;
    for (const auto &[id, server] : group.servers)
        server->limitConnections(group.connectionLimit);
}

std::optional<Position> LocalReads::requiredPosition(const Group &group,
                                                     const inner::RunStatement &statement) const
{
    const Instant now = parts_.timers.now();
    const auto needed = group.positions.positionCovering(now - statement.maxAge + clockSkewMargin);
    const auto &own = statement.sessionPosition;
    if (needed && statement.rule == inner::ReadRule::OwnWrites && own && *needed < *own)
        return own;
    return needed;
}

GroupServer *LocalReads::chooseReplica(Group &group, Position needed)
{
    const Instant now = parts_.timers.now();
    for (const auto &[id, server] : group.servers) {
        if (server->inFlight() >= group.connectionLimit || now < server->observed.busyUntil)
            continue;
        const bool holds = server->observed.position && needed <= *server->observed.position;
        if (holds || now >= server->observed.laggingUntil)
            return server.get();
    }
    return nullptr;
}

bool LocalReads::run(const inner::RunStatement &statement, session::DoneCallback callback)
{
    // 1. Only single reads with bounded staleness qualify.
    if (statement.inTransaction || statement.verb != inner::SessionVerb::Read
        || statement.rule == inner::ReadRule::Newest)
        return false;
    if (!statement.organisation.empty() && parts_.hasQuota(statement.organisation))
        return false;
    const auto found = groups_.find(statement.group);
    if (found == groups_.end() || found->second.connectionLimit == 0)
        return false;
    Group &group = found->second;
    // 2. Select a replica that may hold the required position.
    const std::optional<Position> needed = requiredPosition(group, statement);
    GroupServer *server = needed ? chooseReplica(group, *needed) : nullptr;
    if (server == nullptr)
        return false;
    const SessionValues values = valuesOf(statement);
    const PooledConnectionPtr connection = server->take(values, statement.organisation).connection;
    if (!connection)
        return false;
    // 3. Send the read.
    auto read = std::make_shared<Read>();
    read->statement = statement;
    read->callback = std::move(callback);
    read->group = statement.group;
    read->server = server->id();
    read->connection = connection;
    server->onSend();
    server->beginWork(*connection, true);
    std::vector<ServerCommand> batch = prepareConnection(*connection, statement, values, false);
    batch.push_back(statementCommand(*connection, statement, needed));
    const std::size_t expected = batch.size();
    read->timer = parts_.timers.subscribeAfter(std::min(statement.timeLeft, statement.objective)
                                                   / objectiveDivisor,
                                               [connection] { connection->connection->close(); });
    connection->connection->run(std::move(batch), [this, read, expected](BatchResult result) {
        onResult(read, result, expected);
    });
    parts_.log.line(LogLevel::Debug, "local_read_sent")
        .with("id", statement.statementId)
        .with("group", statement.group)
        .with("server", read->server)
        .with("needs", *needed);
    return true;
}

GroupServer *LocalReads::find(const ReadPtr &read)
{
    const auto group = groups_.find(read->group);
    if (group == groups_.end())
        return nullptr;
    const auto server = group->second.servers.find(read->server);
    return server == group->second.servers.end() ? nullptr : server->second.get();
}

void LocalReads::onResult(const ReadPtr &read, const BatchResult &result, std::size_t expected)
{
    parts_.timers.cancel(read->timer);
    GroupServer *server = find(read);
    const Instant now = parts_.timers.now();
    const bool complete = result.results.size() == expected;
    bool clean = complete;
    for (std::size_t i = 0; i + 1 < result.results.size(); ++i)
        clean = clean && result.results[i].error == ServerError::None;
    const CommandResult *answer = complete ? &result.results.back() : nullptr;
    const ServerError error = answer != nullptr ? answer->error : ServerError::Other;
    // 1. Update the replica's observed state and release the connection.
    if (server != nullptr) {
        parts_.times.addServer(now - read->connection->workStartedAt);
        server->endWork(*read->connection);
        if (complete)
            server->onResponse();
        else
            server->closeStaleIdle(read->connection->workStartedAt);
        if (answer != nullptr && answer->position)
            server->observed.position = answer->position;
        if (error == ServerError::None)
            server->observed.laggingBackoff = Duration(0);
        if (error == ServerError::Lagging) {
            server->observed.laggingBackoff = std::clamp(2 * server->observed.laggingBackoff,
                                                         minLaggingBackoff, maxLaggingBackoff);
            server->observed.laggingUntil = now + server->observed.laggingBackoff;
        } else if (error != ServerError::None) {
            server->observed.busyUntil = now + (complete ? busyBackoff : lostBackoff);
        }
        const bool known = clean && answer->idle
            && (error == ServerError::None || error == ServerError::Lagging
                || error == ServerError::Busy);
        if (known)
            server->giveBack(read->connection);
        else
            server->discard(read->connection);
    } else {
        read->connection->connection->close();
    }
    // 2. Return the answer, or fall back to the owner.
    if (!clean || error != ServerError::None) {
        return fallBackToOwner(
            read, error == ServerError::Lagging ? Reason::PositionNotReached : Reason::Unconfirmed);
    }
    inner::StatementDone done;
    done.executed = Executed::Yes;
    done.rows = answer->rows;
    done.signature = answer->signature;
    read->callback(std::move(done));
}

// Makes the router send the statement to the owner.
void LocalReads::fallBackToOwner(const ReadPtr &read, Reason reason)
{
    inner::StatementDone done;
    done.reason = reason;
    read->callback(std::move(done));
}

} // namespace kelptally::group
