#include "group/nearreads.h"

#include <algorithm>

namespace kelptally::group {

namespace {

// A read without an answer after this part of its objective goes to the owner instead: a dark
// replica must not cost the objective.
constexpr int objectiveParts = 2;
// Pauses before a replica that refused, or could not be reached, is asked again.
constexpr Duration behindPause = std::chrono::milliseconds(20);
constexpr Duration longestBehindPause = std::chrono::milliseconds(320);
constexpr Duration busyPause = std::chrono::milliseconds(50);
constexpr Duration lostPause = std::chrono::milliseconds(500);
// A borrowed connection is closed for another organisation's only after resting for this long: with
// the owner's way open, opening one for nearly each read would cost its replica more slots than the
// reads.
constexpr Duration leastRest = std::chrono::seconds(1);
// A sample's age counts from the sending of the statement that brought it; clocks of two hosts may
// run apart by less than this meanwhile.
constexpr Duration ageMargin = std::chrono::milliseconds(10);

} // namespace

NearReads::NearReads(const Parts &parts) : parts_(parts) { }

void NearReads::setServers(const GroupName &group, const std::vector<ListedServer> &servers)
{
    Group &known = groups_[group];
    std::map<ServerName, std::unique_ptr<GroupServer>> kept;
    for (const ListedServer &server : servers) {
        if (server.zone != parts_.zone || server.primary || server.leaving)
            continue;
        auto &mine = kept[server.id()];
        const auto before = known.servers.find(server.id());
        if (before != known.servers.end())
            mine = std::move(before->second);
        else
            mine = std::make_unique<GroupServer>(
                GroupServer::Parts {parts_.timers,
                                    parts_.connector,
                                    parts_.log,
                                    parts_.times,
                                    [] {},
                                    [](const ServerName &, ConnectOutcome) {},
                                    parts_.onSilence,
                                    {}},
                server);
        mine->update(server);
        mine->limitConnections(known.lent);
        mine->setLeastRest(leastRest);
    }
    known.servers.swap(kept);
}

void NearReads::dropIdle(Instant since)
{
    for (const auto &[name, group] : groups_)
        for (const auto &[id, server] : group.servers)
            server->dropIdle(since);
}

// What a group's owner has told with an answer.
void NearReads::learn(const inner::RunStatement &statement, Instant sent,
                      const inner::StatementDone &done)
{
    if (!done.logPosition)
        return;
    Group &group = groups_[statement.group];
    group.positions.add(sent - done.logAge, *done.logPosition);
    if (group.lent == done.grantedConnections)
        return;
    group.lent = done.grantedConnections;
    for (const auto &[id, server] : group.servers)
        server->limitConnections(group.lent);
}

std::optional<Position> NearReads::positionNeeded(const Group &group,
                                                  const inner::RunStatement &statement) const
{
    const Instant now = parts_.timers.now();
    const auto needed = group.positions.positionCovering(now - statement.maxAge + ageMargin);
    const auto &own = statement.sessionPosition;
    if (needed && statement.rule == inner::ReadRule::OwnWrites && own && *needed < *own)
        return own;
    return needed;
}

GroupServer *NearReads::choose(Group &group, Position needed)
{
    const Instant now = parts_.timers.now();
    for (const auto &[id, server] : group.servers) {
        if (server->inFlight() >= group.lent || now < server->seen.busyUntil)
            continue;
        const bool holds = server->seen.shown && needed <= *server->seen.shown;
        if (holds || now >= server->seen.behindUntil)
            return server.get();
    }
    return nullptr;
}

bool NearReads::run(const inner::RunStatement &statement, session::DoneCallback callback)
{
    // 1. Only single reads that may be a little old.
    if (statement.inTransaction || statement.verb != inner::SessionVerb::Read
        || statement.rule == inner::ReadRule::Newest)
        return false;
    if (!statement.organisation.empty() && parts_.isLimited(statement.organisation))
        return false;
    const auto found = groups_.find(statement.group);
    if (found == groups_.end() || found->second.lent == 0)
        return false;
    Group &group = found->second;
    // 2. Only with a position that makes the read right, and a replica that may hold it.
    const std::optional<Position> needed = positionNeeded(group, statement);
    GroupServer *server = needed ? choose(group, *needed) : nullptr;
    if (server == nullptr)
        return false;
    const SessionValues values = valuesOf(statement);
    const PooledConnectionPtr connection = server->take(values, statement.organisation).connection;
    if (!connection)
        return false;
    // 3. Send it.
    auto read = std::make_shared<Read>();
    read->statement = statement;
    read->callback = std::move(callback);
    read->group = statement.group;
    read->server = server->id();
    read->connection = connection;
    server->sent();
    server->beginWork(*connection, true);
    std::vector<ServerCommand> batch = prepareConnection(*connection, statement, values, false);
    batch.push_back(statementCommand(*connection, statement, needed));
    const std::size_t expected = batch.size();
    read->timer = parts_.timers.subscribeAfter(std::min(statement.timeLeft, statement.objective)
                                                   / objectiveParts,
                                               [connection] { connection->connection->close(); });
    connection->connection->run(std::move(batch), [this, read, expected](BatchResult result) {
        onResult(read, result, expected);
    });
    parts_.log.line(LogLevel::Debug, "near_read_sent")
        .with("id", statement.statementId)
        .with("group", statement.group)
        .with("server", read->server)
        .with("needs", *needed);
    return true;
}

GroupServer *NearReads::find(const ReadPtr &read)
{
    const auto group = groups_.find(read->group);
    if (group == groups_.end())
        return nullptr;
    const auto server = group->second.servers.find(read->server);
    return server == group->second.servers.end() ? nullptr : server->second.get();
}

void NearReads::onResult(const ReadPtr &read, const BatchResult &result, std::size_t expected)
{
    parts_.timers.cancel(read->timer);
    GroupServer *server = find(read);
    const Instant now = parts_.timers.now();
    const bool whole = result.results.size() == expected;
    bool clean = whole;
    for (std::size_t i = 0; i + 1 < result.results.size(); ++i)
        clean = clean && result.results[i].error == ServerError::None;
    const CommandResult *answer = whole ? &result.results.back() : nullptr;
    const ServerError error = answer != nullptr ? answer->error : ServerError::Other;
    // 1. What the answer tells of the replica.
    if (server != nullptr) {
        parts_.times.addServer(now - read->connection->workSince);
        server->endWork(*read->connection);
        if (whole)
            server->heard();
        else
            server->dropIdle(read->connection->workSince);
        if (answer != nullptr && answer->position)
            server->seen.shown = answer->position;
        if (error == ServerError::None)
            server->seen.behindPause = Duration(0);
        if (error == ServerError::Lagging) {
            server->seen.behindPause =
                std::clamp(2 * server->seen.behindPause, behindPause, longestBehindPause);
            server->seen.behindUntil = now + server->seen.behindPause;
        } else if (error != ServerError::None) {
            server->seen.busyUntil = now + (whole ? busyPause : lostPause);
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
    // 2. The answer, or the long way.
    if (!clean || error != ServerError::None) {
        return giveUp(
            read, error == ServerError::Lagging ? Reason::PositionNotReached : Reason::Unconfirmed);
    }
    inner::StatementDone done;
    done.executed = Executed::Yes;
    done.rows = answer->rows;
    done.signature = answer->signature;
    read->callback(std::move(done));
}

// The router takes the statement to the owner instead.
void NearReads::giveUp(const ReadPtr &read, Reason why)
{
    inner::StatementDone done;
    done.reason = why;
    read->callback(std::move(done));
}

} // namespace kelptally::group
