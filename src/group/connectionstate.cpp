#include "group/connectionstate.h"

namespace kelptally::group {

namespace {

// Prepared statements are shared between sessions by kind and shape.
std::string preparedKey(const inner::RunStatement &statement)
{
    return (statement.verb == inner::SessionVerb::Read ? "r" : "w") + statement.preparedShape;
}

std::string preparedName(int number)
{
    return "p" + std::to_string(number);
}

} // namespace

SessionValues valuesOf(const inner::RunStatement &statement)
{
    SessionValues values;
    for (std::size_t i = 0; i + 1 < statement.values.size(); i += 2)
        values[statement.values[i]] = statement.values[i + 1];
    return values;
}

std::vector<ServerCommand> prepareConnection(PooledConnection &connection,
                                             const inner::RunStatement &statement,
                                             const SessionValues &values, bool inTransaction)
{
    std::vector<ServerCommand> batch;
    // 1. A value can be removed only by a reset of the whole connection.
    bool hasExtraValue = false;
    for (const auto &[name, value] : connection.values)
        hasExtraValue = hasExtraValue || values.count(name) == 0;
    if (hasExtraValue && !inTransaction) {
        ServerCommand reset;
        reset.kind = CommandKind::Reset;
        batch.push_back(reset);
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto &[name, value] : values) {
        const auto current = connection.values.find(name);
        if (current != connection.values.end() && current->second == value)
            continue;
        ServerCommand set;
        set.kind = CommandKind::SetValue;
        set.name = name;
        set.argument = value;
        batch.push_back(set);
        connection.values[name] = value;
    }
    // 2. Prepare the statement unless the connection has it already.
    if (statement.preparedShape.empty())
        return batch;
    const std::string key = preparedKey(statement);
    if (connection.prepared.count(key) == 0) {
        connection.prepared[key] = ++connection.lastPrepared;
        ServerCommand prepare;
        prepare.kind = CommandKind::Prepare;
        prepare.name = preparedName(connection.lastPrepared);
        prepare.argument = statement.preparedShape;
        prepare.writes = statement.verb != inner::SessionVerb::Read;
        batch.push_back(prepare);
    }
    return batch;
}

ServerCommand statementCommand(const PooledConnection &connection,
                               const inner::RunStatement &statement,
                               const std::optional<Position> &after)
{
    ServerCommand command;
    command.id = statement.statementId;
    command.after = after;
    command.commits = statement.verb == inner::SessionVerb::Commit;
    if (statement.preparedShape.empty()) {
        command.kind = CommandKind::Statement;
        command.text = statement.text;
        return command;
    }
    command.kind = CommandKind::ExecutePrepared;
    command.name = preparedName(connection.prepared.at(preparedKey(statement)));
    command.argument = statement.arguments;
    return command;
}

} // namespace kelptally::group
